//! Heartbeats, suspicion and death.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Effect, View, view::Waiting};
use crate::{
    ids::EntryId,
    wire::{GossipBody, Liveness, Rumour},
};

/// Members asked to ping one that did not answer.
const INDIRECT_PINGS: usize = 2;

impl View {
    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = self.ask_others(now);
        if now >= self.next_ping {
            self.next_ping = now + self.timing.period;
            effects.extend(self.judge(now));
            effects.extend(self.ping_next(now));
        }
        if now >= self.next_summary {
            self.next_summary = now + self.summary_interval();
            effects.extend(self.send_summaries());
            effects.extend(self.find_lost(now));
        }
        effects
    }

    /// Asks others to ping the members that have not answered in time.
    pub(super) fn ask_others(&mut self, now: Instant) -> Vec<Effect> {
        let within = self.timing.ack_within;
        let late = |w: &Waiting| !w.answered && !w.indirect && now >= w.sent + within;
        let targets: Vec<(EntryId, u64)> = self
            .waiting
            .iter()
            .filter(|(_, w)| late(w))
            .map(|(id, w)| (id.clone(), w.seq))
            .collect();
        let mut effects = Vec::new();
        for (id, seq) in targets {
            if let Some(w) = self.waiting.get_mut(&id) {
                w.indirect = true;
            }
            let Some(target) = self.members.get(&id).map(|m| m.state.contact.gossip) else {
                continue;
            };
            for helper in self.random_members(INDIRECT_PINGS, &id) {
                effects.push(self.datagram(helper, GossipBody::PingRequest { seq, target }));
            }
        }
        effects
    }

    /// Turns unanswered heartbeats into suspicion, and old suspicion into death.
    pub(super) fn judge(&mut self, now: Instant) -> Vec<Effect> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut changed = false;
        let mut effects = Vec::new();
        for (id, w) in &waiting {
            if let Some(member) = self.members.get_mut(id) {
                member.note_heartbeat(w.answered, now);
            }
        }
        for (id, _) in waiting.into_iter().filter(|(_, w)| !w.answered) {
            if self.mark(&id, Liveness::Alive, Liveness::Suspect, now) {
                effects.extend(self.warn_suspect(&id));
            }
        }
        let patience = self.patience();
        let overdue = self.members.values().filter(|m| m.is_overdue(patience, now));
        let overdue: Vec<(EntryId, Liveness)> =
            overdue.map(|m| (m.state.contact.id.clone(), m.state.liveness)).collect();
        for (id, liveness) in overdue {
            self.mark(&id, liveness, Liveness::Dead, now);
            changed = true;
        }
        let forget = self.timing.forget_after;
        self.members.retain(|_, m| {
            m.state.liveness != Liveness::Dead || now.duration_since(m.since) < forget
        });
        self.relayed.clear();
        if changed {
            self.hurry_summary(now);
            effects.push(Effect::MembersChanged);
        }
        effects
    }

    /// Returns for how long a member is suspected before it counts as dead.
    /// News takes about the logarithm of the size to reach all, and so does a
    /// suspect's objection.
    pub(super) fn patience(&self) -> Duration {
        let steps = usize::BITS - self.members.len().leading_zeros();
        self.timing.suspect_for + self.timing.period * steps
    }

    /// Tells a suspect of the suspicion, so that it can object at once.
    pub(super) fn warn_suspect(&self, id: &str) -> Option<Effect> {
        let member = self.members.get(id)?;
        let mut gossip = self.compose(GossipBody::Ping(0));
        gossip.rumours = vec![Rumour::Member(member.state.clone())];
        Some(Effect::Send(member.state.contact.gossip, Box::new(gossip)))
    }

    /// Changes the liveness of a member. Returns whether it was `from`.
    pub(super) fn mark(&mut self, id: &str, from: Liveness, to: Liveness, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(id).filter(|m| m.state.liveness == from) else {
            return false;
        };
        member.state.liveness = to;
        member.since = now;
        let state = member.state.clone();
        if to == Liveness::Dead {
            self.note_gone(state.contact.home.clone());
        }
        self.news.add(Rumour::Member(state));
        true
    }

    pub(super) fn ping_next(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.members.values().all(|m| !m.is_working()) {
            effects.extend(self.ask_seed(GossipBody::Join));
        }
        if let Some(id) = self.next_target() {
            self.seq += 1;
            let waiting = Waiting { seq: self.seq, sent: now, indirect: false, answered: false };
            self.waiting.insert(id.clone(), waiting);
            let to = self.members[&id].state.contact.gossip;
            effects.push(self.datagram(to, GossipBody::Ping(self.seq)));
        }
        effects
    }

    /// Asks a random seed for what this process lacks.
    pub(super) fn ask_seed(&mut self, body: GossipBody) -> Option<Effect> {
        let own = self.own.contact.gossip;
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| *s != own).collect();
        let seed = *self.rng.choice(&seeds)?;
        Some(self.datagram(seed, body))
    }

    /// Asks a seed for summaries while there are none, or while a data centre
    /// has not been heard of for long.
    pub(super) fn find_lost(&mut self, now: Instant) -> Option<Effect> {
        let valid = self.summary_valid();
        let lost = self.others.values().any(|(_, at)| now.duration_since(*at) >= valid);
        let wanted = lost || self.others.is_empty();
        if wanted { self.ask_seed(GossipBody::Summaries) } else { None }
    }

    /// Returns the next member to ping: each once in a random order, then anew.
    /// A dead member is tried too, now and then, so that a healed partition
    /// is noticed. Every other time a leaving member that did not answer is
    /// asked again: in a large view its turn would come too late.
    pub(super) fn next_target(&mut self) -> Option<EntryId> {
        if self.seq.is_multiple_of(2)
            && let Some(silent) = self.silent_leaving()
        {
            return Some(silent);
        }
        if self.order.is_empty() {
            self.order = self.members.keys().cloned().collect();
            self.rng.shuffle(&mut self.order);
        }
        while let Some(id) = self.order.pop() {
            if self.members.contains_key(&id) {
                return Some(id);
            }
        }
        None
    }

    /// Returns the leaving member that has been asked least since it fell silent.
    fn silent_leaving(&self) -> Option<EntryId> {
        let leaving = self.members.values().filter(|m| m.state.liveness == Liveness::Leaving);
        let silent = leaving.filter_map(|m| Some((m.unanswered?.0, &m.state.contact.id)));
        silent.min().map(|(_, id)| id.clone())
    }

    pub(super) fn random_members(&mut self, count: usize, except: &str) -> Vec<SocketAddr> {
        let working = self.members.values().filter(|m| m.is_working());
        let mut addrs: Vec<SocketAddr> = working
            .filter(|m| m.state.contact.id != except)
            .map(|m| m.state.contact.gossip)
            .collect();
        self.rng.shuffle(&mut addrs);
        addrs.truncate(count);
        addrs
    }
}
