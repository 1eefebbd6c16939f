//! Budget of the memory for answers that are buffered whole.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes of each answer that take nothing from the budget, so that small answers never wait for
/// large ones.
const FREE_BYTES: usize = 64 << 10;
/// Bytes that all larger answers of a process may take together. A smaller budget breaks off large
/// answers that come at the same time; a larger one does not fit the smallest hosts.
const BUDGET_BYTES: usize = 16 << 20;

/// Budget of the memory for answers that are buffered whole, for one process.
#[derive(Clone, Debug, Default)]
pub struct BufferBudget {
    taken: Arc<AtomicUsize>,
}

impl BufferBudget {
    /// Starts the account of one answer.
    pub fn open(&self) -> BufferLease {
        BufferLease { taken: self.taken.clone(), held: 0 }
    }
}

/// What one buffered answer takes of the budget, until it is dropped.
#[derive(Debug)]
pub struct BufferLease {
    taken: Arc<AtomicUsize>,
    held: usize,
}

impl BufferLease {
    /// Takes what an answer of `bytes` bytes needs; returns whether the budget has room for it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(FREE_BYTES);
        let more = needed.saturating_sub(self.held);
        // The process serves requests on one thread, so that nothing comes between the two steps.
        if self.taken.load(Ordering::Relaxed) + more > BUDGET_BYTES {
            return false;
        }
        self.taken.fetch_add(more, Ordering::Relaxed);
        self.held += more;
        true
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.taken.fetch_sub(self.held, Ordering::Relaxed);
    }
}
