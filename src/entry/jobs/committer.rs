//! Group commit of jobs: one object and one row for all that come within a
//! short time.

use std::{
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel},
    },
    time::{Duration, Instant},
};

use serde_json::json;
use thiserror::Error;

use super::{BatchRow, Job, JobBatch, claimer::run_batch, store};
use crate::{
    cloud::{Check, PlatformError, Put, Txn, TxnOutcome},
    edge::http_server::spawn,
    entry::context::Context,
    record::{Record, Work},
    telemetry::count,
    time::unix_millis,
};

/// Time for which a batch waits for more jobs.
const WINDOW: Duration = Duration::from_millis(50);
/// Jobs of a batch at most.
const MAX_JOBS: usize = 500;

/// Why a job was not accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommitError {
    /// The platform is away: nothing was recorded.
    #[error("the platform does not answer: {0}")]
    NotAccepted(String),
    /// The platform's answer was lost: it may have been recorded.
    #[error("the platform's answer was lost; ask for the job by its id")]
    Unknown,
}

/// A job that waits for its commit.
struct Waiting {
    record: Arc<Record>,
    reply: SyncSender<Result<(), CommitError>>,
}

/// Takes jobs in.
#[derive(Debug)]
pub struct Desk {
    tx: Sender<Waiting>,
}

/// Receiving end of a [`Desk`].
pub struct Inbox {
    rx: Receiver<Waiting>,
}

impl Desk {
    /// Creates a desk and its inbox.
    pub fn open() -> (Self, Inbox) {
        let (tx, rx) = channel();
        (Self { tx }, Inbox { rx })
    }

    /// Waits until the request is recorded at the platform, or is known not to be.
    pub fn submit(&self, record: Arc<Record>) -> Result<(), CommitError> {
        let (reply, committed) = sync_channel(1);
        let gone = CommitError::NotAccepted("the process is stopping".to_owned());
        self.tx.send(Waiting { record, reply }).or(Err(gone.clone()))?;
        committed.recv().unwrap_or(Err(gone))
    }
}

/// Commits jobs, batch by batch, for as long as the process runs.
pub fn commit_loop(cx: &Arc<Context>, inbox: &Inbox) {
    let mut number = 0;
    while let Ok(first) = inbox.rx.recv() {
        let waiting = collect(inbox, first);
        number += 1;
        let dc = &cx.settings.data_centre;
        let name = format!("{dc}/{:x}-{number}", cx.home().incarnation);
        let cx = cx.clone();
        spawn("job-commit", move || commit(&cx, &name, waiting));
    }
}

fn collect(inbox: &Inbox, first: Waiting) -> Vec<Waiting> {
    let until = Instant::now() + WINDOW;
    let mut waiting = vec![first];
    while waiting.len() < MAX_JOBS {
        let left = until.saturating_duration_since(Instant::now());
        match inbox.rx.recv_timeout(left) {
            Ok(next) => waiting.push(next),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
        }
    }
    waiting
}

fn commit(cx: &Arc<Context>, name: &str, waiting: Vec<Waiting>) {
    count(&cx.metrics.platform_calls, "job_commit");
    let jobs: Vec<Job> = waiting.iter().filter_map(|w| job(&w.record)).collect();
    let batch = JobBatch { jobs };
    let committed = record_batch(cx, name, &batch);
    for w in &waiting {
        w.record.set_batch(name);
        drop(w.reply.try_send(committed.clone()));
    }
    if committed.is_ok() {
        run_batch(cx, name, &batch);
    }
}

fn job(record: &Record) -> Option<Job> {
    let Work::Chat(work) = &record.work else {
        return None;
    };
    let left = record.deadline.saturating_duration_since(Instant::now());
    let deadline_ms = unix_millis() + left.as_millis() as u64;
    let (id, customer) = (record.id.clone(), record.customer.clone());
    Some(Job { id, customer, work: work.clone(), deadline_ms })
}

/// Writes the object, then the row that makes it count.
fn record_batch(cx: &Context, name: &str, batch: &JobBatch) -> Result<(), CommitError> {
    let not_accepted = |e: PlatformError| CommitError::NotAccepted(e.to_string());
    store::put_batch(&cx.platform, name, batch).map_err(not_accepted)?;
    let key = store::row_key(name);
    let data_centre = cx.settings.data_centre.clone();
    let row = BatchRow { holder: cx.home().to_string(), data_centre };
    let txn = Txn {
        checks: vec![Check { key: key.clone(), version: 0 }],
        puts: vec![Put { key: key.clone(), value: json!(row) }],
    };
    match cx.platform.txn(&txn) {
        Ok(TxnOutcome::Accepted(_)) => Ok(()),
        Ok(TxnOutcome::Refused(_)) => {
            Err(CommitError::NotAccepted("the batch's name is taken".to_owned()))
        }
        // The row may be there without its answer: read it back.
        Err(PlatformError::Unavailable(_)) => match cx.platform.get(&key) {
            Ok(Some(_)) => Ok(()),
            Ok(None) | Err(_) => Err(CommitError::Unknown),
        },
        Err(e) => Err(not_accepted(e)),
    }
}
