//! Copies of the store, and its return from one.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use tokio::{task::spawn_local, time::sleep};

use crate::platform::{Platform, Rows, StoreCopy};

/// Tables whose writers write again what the store has lost.
const REWRITTEN_TABLES: [&str; 2] = ["op", "servers"];

impl Platform {
    /// Takes a copy of the store, in place of the last one.
    pub fn copy_store(&self) {
        let mut state = self.state.borrow_mut();
        state.copy = StoreCopy { rows: state.rows.clone(), version: state.version };
    }

    /// Lets the store return from its last copy in a new era: later changes are lost, and their
    /// versions are given out again. After `rewrite`, the operator and the upstreams write again
    /// what they wrote since the copy.
    pub fn return_from_copy(self: &Rc<Self>, rewrite: Duration) {
        let mut state = self.state.borrow_mut();
        let copy = state.copy.clone();
        let lost = std::mem::replace(&mut state.rows, copy.rows.clone());
        state.version = copy.version;
        state.history.retain(|change| change.version <= copy.version);
        state.discarded_up_to = state.discarded_up_to.min(copy.version);
        state.era += 1;
        let era = state.era;
        drop(state);
        self.changed.notify_waiters();
        let platform = self.clone();
        spawn_local(async move {
            sleep(rewrite).await;
            if platform.state.borrow().era == era {
                platform.write_again(&lost, &copy);
            }
        });
    }

    /// Writes the rows of the operator and the upstreams that differed from the copy, unless they
    /// were written since.
    fn write_again(&self, lost: &Rows, copy: &StoreCopy) {
        let keys: BTreeSet<&(String, String)> = lost.keys().chain(copy.rows.keys()).collect();
        for at in keys.into_iter().filter(|(table, _)| REWRITTEN_TABLES.contains(&table.as_str())) {
            let value = |rows: &Rows| rows.get(at).map(|row| row.value.clone());
            let present = self.state.borrow().rows.get(at).cloned();
            let written_since = present.is_some_and(|row| row.version > copy.version);
            if value(lost) != value(&copy.rows) && !written_since {
                self.put(&at.0, &at.1, value(lost));
            }
        }
    }
}
