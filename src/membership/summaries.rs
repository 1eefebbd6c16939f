//! Summaries between data centres.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Effect, View};
use crate::{
    ids::EntryId,
    ownership,
    time::unix_millis,
    wire::{Contact, DcSummary, GossipBody, Liveness, Rumour, Supply},
};

/// Contacts in a summary at most.
const CONTACTS_PER_SUMMARY: usize = 2;
/// Members that speak for the data centre to the others.
const DELEGATES: usize = 2;
/// Interval of summaries from which their validity is reckoned at least.
const MIN_INTERVAL: Duration = Duration::from_secs(4);

impl View {
    /// Sends this data centre's summary to one contact in each other one, if
    /// this process is one of the delegates.
    pub(super) fn send_summaries(&mut self) -> Vec<Effect> {
        if !self.is_delegate() {
            return Vec::new();
        }
        let mut targets = Vec::new();
        for (summary, _) in self.others.values() {
            let pick = self.rng.choice(&summary.contacts);
            targets.extend(pick.map(|c| c.gossip));
        }
        targets.into_iter().filter_map(|to| self.summary_for(to)).collect()
    }

    /// Returns datagrams with the summaries of every data centre known.
    pub(super) fn summaries_for(&mut self, to: SocketAddr) -> Vec<Effect> {
        let known = self.others.values().map(|(s, _)| Rumour::Summary(s.clone()));
        let known: Vec<Rumour> = known.collect();
        let own = self.summary_for(to);
        own.into_iter().chain(self.news_datagrams(to, &known)).collect()
    }

    pub(super) fn summary_for(&mut self, to: SocketAddr) -> Option<Effect> {
        let summary = self.summary();
        let mut gossip = self.compose(GossipBody::News);
        gossip.rumours = vec![Rumour::Summary(summary)];
        Some(Effect::Send(to, Box::new(gossip)))
    }

    /// Returns the time between summaries. It grows with the number of data
    /// centres, so that the news they make in each does not.
    pub(super) fn summary_interval(&self) -> Duration {
        self.timing.summary_every * self.others.len().max(1) as u32
    }

    pub(super) fn summary_valid(&self) -> Duration {
        self.summary_interval().max(MIN_INTERVAL) * self.timing.summary_valid
    }

    /// Makes the next summary go out soon, since its contacts changed.
    pub(super) fn hurry_summary(&mut self, now: Instant) {
        self.next_summary = self.next_summary.min(now + self.timing.summary_soon);
    }

    /// Returns whether this process speaks for its data centre.
    pub fn is_delegate(&self) -> bool {
        let owners = self.owners();
        let mut ranked: Vec<&EntryId> = owners.iter().collect();
        ranked.sort_by_key(|id| std::cmp::Reverse(ownership::weight(id, &self.data_centre)));
        ranked.iter().take(DELEGATES).any(|id| **id == self.own.contact.id)
    }

    /// Returns the summary of this data centre.
    pub fn summary(&mut self) -> DcSummary {
        let mut supply: BTreeMap<String, Supply> = BTreeMap::new();
        let others = self.members.values().filter(|m| m.is_working()).flat_map(|m| &m.supply);
        for s in others.chain(&self.own_supply) {
            let sum = supply.entry(s.model.clone()).or_insert_with(|| Supply {
                model: s.model.clone(),
                free: 0,
                total: 0,
            });
            sum.free += s.free;
            sum.total += s.total;
        }
        let mut contacts: Vec<Contact> = self.serving().cloned().collect();
        if self.own.liveness == Liveness::Alive {
            contacts.push(self.own.contact.clone());
        }
        self.rng.shuffle(&mut contacts);
        contacts.truncate(CONTACTS_PER_SUMMARY);
        DcSummary {
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            stamp: unix_millis(),
            contacts,
            supply: supply.into_values().collect(),
            config: self.own_config,
        }
    }
}
