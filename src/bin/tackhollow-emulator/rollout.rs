//! Reaction of upstreams to a roll-out: those of the version that lost stop or drain when
//! the roll-out ends.

use std::{rc::Rc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::platform::{Platform, State};

/// Time from the rollback of a version until its upstreams start to drain.
const DRAIN_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which upstreams drain before they stop.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Interval between reads of the roll-out status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the status documents of all roll-outs by key.
pub fn statuses(state: &State) -> Value {
    let rows = state.rows.iter().filter(|((table, _), _)| table == "status");
    let status = rows.map(|((_, key), row)| (key.clone(), decoded(&row.value)));
    Value::Object(status.collect())
}

fn decoded(value: &str) -> Value {
    let bytes = STANDARD.decode(value).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

/// Follows a roll-out order until the roll-out ends or the order is replaced or removed.
pub async fn follow_order(platform: Rc<Platform>, order: Value) {
    let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
    let (service, destination) = (text("service"), text("destination"));
    let at = ("op".to_owned(), format!("rollout/{service}"));
    let version = platform.state.borrow().rows.get(&at).map(|r| r.version);
    loop {
        sleep(STATUS_POLL_INTERVAL).await;
        let (ended, current) = {
            let state = platform.state.borrow();
            let key = ("status".to_owned(), format!("rollout/{service}"));
            let later = state.rows.get(&key).filter(|r| Some(r.version) > version);
            let status = later.map(|r| decoded(&r.value)).unwrap_or(json!({}));
            (status["state"].clone(), state.rows.get(&at).map(|r| r.version))
        };
        if current != version {
            return;
        }
        match ended.as_str() {
            Some("completed") => {
                for id in upstreams_of_version(&platform, &service, |v| v != destination) {
                    platform.end_process(&id);
                    platform.put("servers", &id, None);
                }
                return;
            }
            Some("rolled_back") => {
                sleep(DRAIN_DELAY).await;
                drain(&platform, upstreams_of_version(&platform, &service, |v| v == destination))
                    .await;
                return;
            }
            _ => {}
        }
    }
}

async fn drain(platform: &Platform, ids: Vec<String>) {
    for id in &ids {
        let row = {
            let mut state = platform.state.borrow_mut();
            let Some(upstream) = state.upstreams.get_mut(id) else {
                continue;
            };
            upstream.row["state"] = json!("draining");
            upstream.row.to_string()
        };
        platform.put("servers", id, Some(STANDARD.encode(row)));
    }
    sleep(DRAIN_TIME).await;
    for id in &ids {
        platform.end_process(id);
        platform.put("servers", id, None);
    }
}

fn upstreams_of_version(
    platform: &Platform,
    service: &str,
    is: impl Fn(&str) -> bool,
) -> Vec<String> {
    let state = platform.state.borrow();
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
    let of_service = state.upstreams.iter().filter(|(_, e)| text(&e.row, "service") == service);
    of_service.filter(|(_, e)| is(&text(&e.row, "version"))).map(|(id, _)| id.clone()).collect()
}
