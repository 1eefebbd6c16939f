//! Batches whose holder is gone: when another process may claim them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// For how long a holder of the own data centre must be seen gone.
pub const GONE_FOR: Duration = Duration::from_secs(10);
/// For how long a holder of a data centre that is not heard of must be.
pub const FAR_GONE_FOR: Duration = Duration::from_secs(180);

/// What is known of a batch's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderState {
    /// It is this process, or a member that lives, or in a data centre that does.
    Alive,
    /// It is of this data centre and not among the living.
    Gone,
    /// Its data centre is not heard of.
    FarGone,
}

/// Batches whose holder is seen gone, and since when.
#[derive(Debug, Default)]
pub struct Orphans {
    since: HashMap<String, Instant>,
}

impl Orphans {
    /// Notes what is seen of each batch whose key begins with `prefix`. Returns
    /// those to claim now: their holders have been gone at each look over the
    /// whole time that is asked for.
    pub fn observe(
        &mut self,
        prefix: &str,
        seen: &[(String, HolderState)],
        now: Instant,
    ) -> Vec<String> {
        let gone: HashMap<&String, HolderState> = seen
            .iter()
            .filter(|(_, state)| *state != HolderState::Alive)
            .map(|(batch, state)| (batch, *state))
            .collect();
        self.since.retain(|batch, _| !batch.starts_with(prefix) || gone.contains_key(batch));
        let mut due = Vec::new();
        for (batch, state) in gone {
            let since = *self.since.entry(batch.clone()).or_insert(now);
            let wanted = if state == HolderState::Gone { GONE_FOR } else { FAR_GONE_FOR };
            if now.duration_since(since) >= wanted {
                due.push(batch.clone());
            }
        }
        due.sort();
        due
    }
}
