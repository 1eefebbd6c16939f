//! Store of the emulated platform: rows, conditional writes and change feeds.

use std::{collections::HashMap, rc::Rc, time::Duration};

use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tackhollow::gateway::net::{AnswerBody, IntakeConnection, Service};
use tokio::time::{Instant, timeout_at};

use crate::{
    answer::{empty, json as answer, query, read_json},
    platform::{Platform, StoreMode},
};

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Maximum size of the keys and values on a page.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Service that answers calls to the store.
pub struct Store {
    /// The emulated platform.
    pub platform: Rc<Platform>,
}

impl Service for Store {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        _: Rc<IntakeConnection>,
    ) -> Response<AnswerBody> {
        let (mode, silences, era) = {
            let mut state = self.platform.state.borrow_mut();
            state.store_calls += 1;
            (state.store_mode, state.silences, state.era)
        };
        match mode {
            StoreMode::Refusing => return in_era(era, empty(StatusCode::SERVICE_UNAVAILABLE)),
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Up | StoreMode::ReadOnly | StoreMode::Losing => {}
        }
        let path = request.uri().path().to_owned();
        if mode == StoreMode::ReadOnly && path == "/rows-tx" {
            return in_era(era, empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let response = match path.as_str() {
            "/rows-tx" => self.transaction(read_json(request.into_body()).await),
            "/rows-get" => match query(request.uri()) {
                Some(query) => self.rows(&query),
                None => empty(StatusCode::BAD_REQUEST),
            },
            "/rows-feed" => self.feed(&request).await,
            _ => empty(StatusCode::NOT_FOUND),
        };
        if mode == StoreMode::Losing || self.platform.state.borrow().silences > silences {
            std::future::pending::<()>().await;
        }
        in_era(era, response)
    }
}

/// Adds the header that names the era.
fn in_era(era: u64, mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert("store-era", era.into());
    response
}

fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().unwrap_or_default()
}

impl Store {
    fn with_version(&self, mut body: Value) -> Value {
        body["rowVersion"] = self.platform.state.borrow().version.into();
        body["nowMs"] = self.platform.now_ms().into();
        body
    }

    fn transaction(&self, txn: Value) -> Response<AnswerBody> {
        let list = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let conflicts: Vec<Value> = {
            let state = self.platform.state.borrow();
            let at = |e: &Value| (text(e, "table").to_owned(), text(e, "key").to_owned());
            let expected = list("expectedRevision");
            let version = |e: &Value| state.rows.get(&at(e)).map_or(0, |r| r.version);
            let mismatched =
                expected.iter().filter(|e| e["rowVersion"].as_u64() != Some(version(e)));
            mismatched
                .filter_map(|e| {
                    let row = state.rows.get(&at(e))?;
                    Some(json!({ "key": e["key"], "value": row.value, "rowVersion": row.version }))
                })
                .collect()
        };
        if !conflicts.is_empty() {
            let body = self.with_version(json!({ "rows": conflicts }));
            return answer(StatusCode::PRECONDITION_FAILED, &body);
        }
        for write in list("writes") {
            let value = text(&write, "value").to_owned();
            self.platform.put(text(&write, "table"), text(&write, "key"), Some(value));
        }
        for removed in list("remove") {
            self.platform.put(text(&removed, "table"), text(&removed, "key"), None);
        }
        answer(StatusCode::OK, &self.with_version(json!({})))
    }

    /// Returns the rows of a table from the key `from` on and below `destination`, at most `limit` of them
    /// and no more than fit on a page.
    fn rows(&self, query: &HashMap<String, String>) -> Response<AnswerBody> {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let from = (text("table").to_owned(), text("from").to_owned());
        if from.1.len() > MAX_KEY_BYTES {
            return empty(StatusCode::BAD_REQUEST);
        }
        let state = self.platform.state.borrow();
        let limit = text("limit").parse().unwrap_or(usize::MAX).min(state.page_rows);
        let until = query.get("destination");
        let is_below = |key: &String| until.is_none_or(|until| key < until);
        let of_table = state.rows.range(&from..);
        let of_table = of_table.take_while(|((t, key), _)| *t == from.0 && is_below(key));
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for ((_, key), row) in of_table {
            bytes += key.len() + row.value.len();
            if rows.len() == limit || bytes > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            rows.push(json!({ "key": key, "value": row.value, "rowVersion": row.version }));
        }
        drop(state);
        answer(StatusCode::OK, &self.with_version(json!({ "rows": rows, "morePages": more })))
    }

    async fn feed(&self, request: &Request<Incoming>) -> Response<AnswerBody> {
        let Some(query) = query(request.uri()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (table, after) = (&query["table"], number("afterRevision"));
        let era = self.platform.state.borrow().era;
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        loop {
            let changed = self.platform.changed.notified();
            if self.platform.state.borrow().era != era {
                // The store was away while the call waited.
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            if !self.has_history_after(after) {
                return empty(StatusCode::GONE);
            }
            let rows = self.changes(table, after);
            if !rows.is_empty() || timeout_at(until, changed).await.is_err() {
                let body = self.with_version(json!({ "rows": rows }));
                return answer(StatusCode::OK, &body);
            }
        }
    }

    fn has_history_after(&self, version: u64) -> bool {
        let state = self.platform.state.borrow();
        (state.discarded_up_to..=state.version).contains(&version)
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let state = self.platform.state.borrow();
        let later = state.history.iter().filter(|w| w.version > after && w.at.0 == table);
        later
            .map(|w| match &w.value {
                Some(value) => json!({ "key": w.at.1, "value": value, "rowVersion": w.version }),
                None => json!({ "key": w.at.1, "tombstone": true, "rowVersion": w.version }),
            })
            .collect()
    }
}
