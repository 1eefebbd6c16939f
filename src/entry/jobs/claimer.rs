//! Running of batches, and claiming of those whose holder is gone.

use std::{
    collections::BTreeSet,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use super::{BatchRow, Job, JobBatch, JobResult, Orphans, store};
use crate::{
    cloud::{Check, PlatformError, Put, Row, Txn, TxnOutcome},
    edge::http_server::spawn,
    entry::{context::Context, event::Event, work},
    record::{Outcome, Record, RecordSnapshot, TokenText, Work},
    telemetry::count,
    time::unix_millis,
};

/// Between looks for batches whose holder is gone.
const LOOK_EVERY: Duration = Duration::from_secs(3);
/// One look in this many is at the batches of every data centre.
const LOOKS_FOR_ALL: u32 = 20;
/// Pause before a write that failed is tried again.
const WRITE_AGAIN: Duration = Duration::from_secs(1);

/// Runs the jobs of a batch that have no result yet, each on a thread of its
/// own, and removes the batch once all have.
pub fn run_batch(cx: &Arc<Context>, name: &str, batch: &JobBatch) {
    let (cx, name, batch) = (cx.clone(), name.to_owned(), batch.clone());
    spawn("batch", move || {
        thread::scope(|scope| {
            for job in &batch.jobs {
                let cx = &cx;
                scope.spawn(move || run_job(cx, job));
            }
        });
        remove(&cx, &name);
    });
}

fn run_job(cx: &Arc<Context>, job: &Job) {
    let done = retry(|| store::result(&cx.platform, &job.id));
    if done.is_some() {
        return;
    }
    let record = record_of(cx, job);
    if record.outcome().is_none() {
        work::resume(cx, &record);
    }
    let Some(outcome) = record.outcome() else {
        // Handed over: the successor claims the batch and finishes it.
        return;
    };
    store_result(cx, &record, outcome);
}

fn store_result(cx: &Context, record: &Record, outcome: Outcome) {
    let customer = record.customer.clone();
    let result = JobResult { customer, text: record.text(), outcome };
    retry(|| store::put_result(&cx.platform, &record.id, &result));
}

/// Returns the record of a job: the one that began here or was taken over, or
/// a new one.
fn record_of(cx: &Context, job: &Job) -> Arc<Record> {
    let left = Duration::from_millis(job.deadline_ms.saturating_sub(unix_millis()));
    let snapshot = RecordSnapshot {
        id: job.id.clone(),
        customer: job.customer.clone(),
        key: None,
        work: Work::Chat(job.work.clone()),
        tokens: TokenText::default(),
        outcome: None,
        time_left: left,
        trail: vec!["claimed from a batch".to_owned()],
    };
    cx.records.get_or_insert(&snapshot, Instant::now())
}

/// Removes a batch whose jobs all have results.
fn remove(cx: &Context, name: &str) {
    let Ok(Some(batch)) = store::get_batch(&cx.platform, name) else {
        return;
    };
    let done = |job: &Job| matches!(store::result(&cx.platform, &job.id), Ok(Some(_)));
    if !batch.jobs.iter().all(done) {
        return;
    }
    let key = store::row_key(name);
    let puts = vec![Put { key, value: serde_json::Value::Null }];
    retry(|| cx.platform.txn(&Txn { checks: Vec::new(), puts: puts.clone() }));
    retry(|| store::delete_batch(&cx.platform, name));
}

/// Repeats a call of the platform until it succeeds.
fn retry<T>(mut call: impl FnMut() -> Result<T, PlatformError>) -> T {
    loop {
        match call() {
            Ok(value) => return value,
            Err(e) => {
                log::debug!("a job waits for the platform: {e}");
                thread::sleep(WRITE_AGAIN);
            }
        }
    }
}

/// Looks for batches whose holder is gone, for as long as the process runs.
/// Only the delegates of a data centre look.
pub fn claim_loop(cx: &Arc<Context>) {
    let mut orphans = Orphans::default();
    let mut running = BTreeSet::new();
    let own = format!("{}{}/", store::ROWS, cx.settings.data_centre);
    for look in 1.. {
        thread::sleep(LOOK_EVERY);
        if cx.board.ask(Event::IsDelegate) != Ok(true) {
            continue;
        }
        count(&cx.metrics.platform_calls, "job_scan");
        // Batches of other data centres wait much longer before they are claimed.
        let prefix = if look % LOOKS_FOR_ALL == 0 { store::ROWS } else { &own };
        let Ok(rows) = cx.platform.scan_all(prefix) else {
            continue;
        };
        let batches: Vec<(Row, BatchRow)> = rows.into_iter().filter_map(parse).collect();
        let holders = batches.iter().map(|(_, b)| (b.data_centre.clone(), b.holder.clone()));
        let Ok(states) = cx.board.ask(|reply| Event::Holders(holders.collect(), reply)) else {
            continue;
        };
        let seen: Vec<_> = batches.iter().map(|(row, _)| row.key.clone()).zip(states).collect();
        for key in orphans.observe(prefix, &seen, Instant::now()) {
            let row = batches.iter().find(|(row, _)| row.key == key);
            if let Some((row, _)) = row.filter(|_| running.insert(key.clone())) {
                claim(cx, row);
            }
        }
    }
}

fn parse(row: Row) -> Option<(Row, BatchRow)> {
    let batch = serde_json::from_value(row.value.clone()).ok()?;
    Some((row, batch))
}

/// Makes this process the holder, unless another was faster, and runs the batch.
fn claim(cx: &Arc<Context>, row: &Row) {
    let data_centre = cx.settings.data_centre.clone();
    let value = json!(BatchRow { holder: cx.home().to_string(), data_centre });
    let txn = Txn {
        checks: vec![Check { key: row.key.clone(), version: row.version }],
        puts: vec![Put { key: row.key.clone(), value }],
    };
    let name = row.key.trim_start_matches(store::ROWS);
    match cx.platform.txn(&txn) {
        Ok(TxnOutcome::Accepted(_)) => {}
        Ok(TxnOutcome::Refused(_)) => return,
        Err(e) => return log::warn!("batch {name} cannot be claimed: {e}"),
    }
    log::info!("claimed batch {name}");
    if let Ok(Some(batch)) = store::get_batch(&cx.platform, name) {
        run_batch(cx, name, &batch);
    }
}

/// Claims the batches of a process whose records were taken over: their jobs
/// run on here already.
pub fn adopt(cx: &Arc<Context>, homes: Vec<String>) {
    let cx = cx.clone();
    spawn("adopt-jobs", move || {
        let rows = retry(|| cx.platform.scan_all(store::ROWS));
        for (row, batch) in rows.into_iter().filter_map(parse) {
            if homes.contains(&batch.holder) {
                claim(&cx, &row);
            }
        }
    });
}
