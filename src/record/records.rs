//! The records of a process, found by id and by the caller's key.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use thiserror::Error;

use super::{Outcome, Record, RecordSnapshot, Work};
use crate::ids::{Customer, Home, RequestId};

/// Why a request could not begin.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RecordsError {
    /// The key was used for another request.
    #[error("the key was used for a different request")]
    KeyReused,
    /// This process has handed its records over and begins nothing more.
    #[error("this process has handed its records over")]
    Closed,
}

/// Outcome of beginning a request.
#[derive(Debug)]
pub enum Begin {
    /// It is new: the caller of `begin` has to run it.
    New(Arc<Record>),
    /// It runs or ran under the same key.
    Existing(Arc<Record>),
}

/// The records of a process.
#[derive(Debug, Default)]
pub struct Records {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    by_id: HashMap<RequestId, Arc<Record>>,
    by_key: HashMap<(Customer, String), Arc<Record>>,
    adopted: HashSet<Home>,
    next: u64,
    closed: bool,
}

impl Records {
    /// Begins a request of `home`, or finds the one that has the same key.
    ///
    /// Of any number of calls with the same key exactly one gets
    /// [`Begin::New`]: this is what makes a keyed request run at most once.
    pub fn begin(
        &self,
        home: &Home,
        customer: &str,
        key: Option<&str>,
        work: Work,
        deadline: Instant,
    ) -> Result<Begin, RecordsError> {
        let mut inner = self.lock();
        let slot = key.map(|k| (customer.to_owned(), k.to_owned()));
        if let Some(known) = slot.as_ref().and_then(|s| inner.by_key.get(s)) {
            if !known.work.asks_the_same(&work) {
                return Err(RecordsError::KeyReused);
            }
            // What truly did not run may be tried again under the same key.
            if !matches!(known.outcome(), Some(Outcome::NotRun { .. })) {
                return Ok(Begin::Existing(known.clone()));
            }
        }
        if inner.closed {
            return Err(RecordsError::Closed);
        }
        inner.next += 1;
        let id = format!("{home}.{}", inner.next);
        let key = key.map(str::to_owned);
        let record = Arc::new(Record::new(id, customer.to_owned(), key, work, deadline));
        inner.insert(record.clone());
        Ok(Begin::New(record))
    }

    /// Returns a record by id.
    pub fn get(&self, id: &str) -> Option<Arc<Record>> {
        self.lock().by_id.get(id).cloned()
    }

    /// Returns a record by the caller's key.
    pub fn get_by_key(&self, customer: &str, key: &str) -> Option<Arc<Record>> {
        self.lock().by_key.get(&(customer.to_owned(), key.to_owned())).cloned()
    }

    /// Returns whether this process took over the records of `home`.
    pub fn has_adopted(&self, home: &Home) -> bool {
        self.lock().adopted.contains(home)
    }

    /// Returns the homes whose records this process took over.
    pub fn adopted(&self) -> Vec<Home> {
        self.lock().adopted.iter().cloned().collect()
    }

    /// Takes records over. Returns those that have to be run on from here.
    pub fn adopt(
        &self,
        homes: impl IntoIterator<Item = Home>,
        snapshots: Vec<RecordSnapshot>,
        now: Instant,
    ) -> Result<Vec<Arc<Record>>, RecordsError> {
        let mut inner = self.lock();
        if inner.closed {
            return Err(RecordsError::Closed);
        }
        inner.adopted.extend(homes);
        let mut unfinished = Vec::new();
        for snapshot in snapshots {
            if inner.by_id.contains_key(&snapshot.id) {
                continue;
            }
            let record = Arc::new(Record::from_snapshot(snapshot, now));
            if record.outcome().is_none() {
                unfinished.push(record.clone());
            }
            inner.insert(record);
        }
        Ok(unfinished)
    }

    /// Returns the record with the id of `snapshot`, made from it if there is none.
    pub fn get_or_insert(&self, snapshot: &RecordSnapshot, now: Instant) -> Arc<Record> {
        let mut inner = self.lock();
        if let Some(known) = inner.by_id.get(&snapshot.id) {
            return known.clone();
        }
        let record = Arc::new(Record::from_snapshot(snapshot.clone(), now));
        inner.insert(record.clone());
        record
    }

    /// Stops the beginning of requests and returns every record.
    pub fn close(&self) -> Vec<Arc<Record>> {
        let mut inner = self.lock();
        inner.closed = true;
        inner.by_id.values().cloned().collect()
    }

    /// Allows requests to begin again, after a hand-over that did not succeed.
    pub fn reopen(&self) {
        self.lock().closed = false;
    }

    /// Returns the records of requests in progress.
    pub fn in_progress(&self) -> Vec<Arc<Record>> {
        let inner = self.lock();
        let open = |r: &&Arc<Record>| r.outcome().is_none() && !r.is_moved();
        inner.by_id.values().filter(open).cloned().collect()
    }

    /// Drops records that ended more than `keep` ago; those with a key stay
    /// `keep_keyed`, so that no key can be used again while it is valid.
    pub fn sweep(&self, now: Instant, keep: Duration, keep_keyed: Duration) {
        let mut inner = self.lock();
        let stays = |r: &Arc<Record>| {
            let keep = if r.key.is_some() { keep_keyed.max(keep) } else { keep };
            r.finished_at().is_none_or(|at| now.duration_since(at) < keep)
        };
        inner.by_id.retain(|_, r| stays(r));
        inner.by_key.retain(|_, r| stays(r));
    }

    /// Returns the number of records held.
    pub fn len(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ends every request in progress that may not be repeated as unknown,
    /// before a hand-over.
    pub fn settle_unrepeatable(&self) {
        for record in self.in_progress() {
            if !record.work.is_repeatable() {
                let reason = "the host was reclaimed while it ran".to_owned();
                record.finish(Outcome::Unknown { reason });
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn insert(&mut self, record: Arc<Record>) {
        if let Some(key) = &record.key {
            self.by_key.insert((record.customer.clone(), key.clone()), record.clone());
        }
        self.by_id.insert(record.id.clone(), record);
    }
}
