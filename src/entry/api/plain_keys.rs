//! Keys that name no home: the first entry host to insert the key into the
//! platform's table becomes its home. Costs a write for each key, and is
//! refused while the platform is away.

use serde_json::{Value, json};

use super::problem::Problem;
use crate::{
    cloud::{Check, PlatformError, Put, Txn, TxnOutcome},
    entry::context::Context,
    ids::Home,
    telemetry::count,
};

/// Returns the home of a plain key, which may be this process from now on.
pub fn home_of(cx: &Context, customer: &str, key: &str) -> Result<Home, Problem> {
    count(&cx.metrics.platform_calls, "plain_key");
    let row = format!("keys/{customer}/{key}");
    let own = cx.home().to_string();
    let insert = Txn {
        checks: vec![Check { key: row.clone(), version: 0 }],
        puts: vec![Put { key: row.clone(), value: json!(own) }],
    };
    match cx.platform.txn(&insert) {
        Ok(TxnOutcome::Accepted(_)) => Ok(cx.home().clone()),
        Ok(TxnOutcome::Refused(refused)) => {
            let value = refused.conflicts.first().map_or(&Value::Null, |c| &c.value);
            parse_home(value)
        }
        // The insert may have taken effect without its answer: read it back.
        Err(PlatformError::Unavailable(e)) => match cx.platform.get(&row) {
            Ok(Some(found)) => parse_home(&found.value),
            Ok(None) | Err(_) => Err(Problem::PlatformAway(e.to_string())),
        },
        Err(e) => Err(Problem::PlatformAway(e.to_string())),
    }
}

fn parse_home(value: &Value) -> Result<Home, Problem> {
    let home = value.as_str().and_then(|s| s.parse().ok());
    home.ok_or_else(|| Problem::PlatformAway("the key's row cannot be read".to_owned()))
}
