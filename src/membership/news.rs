//! The queue of news that datagrams carry along.

use crate::wire::Rumour;

/// Times that a process passes a summary on.
const SUMMARY_COPIES: u32 = 2;

/// News of which each item goes out a bounded number of times, the least
/// often sent first.
#[derive(Clone, Debug, Default)]
pub struct News {
    items: Vec<(u32, Rumour)>,
}

impl News {
    /// Adds news; older news of the same subject is dropped.
    pub fn add(&mut self, rumour: Rumour) {
        self.items.retain(|(_, old)| !same_subject(old, &rumour));
        self.items.push((0, rumour));
    }

    /// Takes up to `most` items for one datagram; an item is dropped once it
    /// has been sent `copies` times, a summary once it has been sent
    /// [`SUMMARY_COPIES`] times, since the next one follows soon.
    pub fn take(&mut self, most: usize, copies: u32) -> Vec<Rumour> {
        self.items.sort_by_key(|(sent, _)| *sent);
        let taken = self.items.iter().take(most).map(|(_, r)| r.clone()).collect();
        for (sent, _) in self.items.iter_mut().take(most) {
            *sent += 1;
        }
        self.items.retain(|(sent, item)| match item {
            Rumour::Summary(_) => *sent < SUMMARY_COPIES.min(copies),
            Rumour::Member(_) | Rumour::Adopted(_) => *sent < copies,
        });
        taken
    }

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

fn same_subject(a: &Rumour, b: &Rumour) -> bool {
    match (a, b) {
        (Rumour::Member(a), Rumour::Member(b)) => a.contact.id == b.contact.id,
        (Rumour::Summary(a), Rumour::Summary(b)) => a.data_centre == b.data_centre,
        (Rumour::Adopted(a), Rumour::Adopted(b)) => a.home == b.home,
        _ => false,
    }
}
