//! Taking datagrams in.

use std::{net::SocketAddr, time::Instant};

use super::{Effect, Member, View, member::supersedes};
use crate::{
    ids::Home,
    ownership,
    wire::{DcSummary, Gossip, GossipBody, Liveness, MemberState, Rumour},
};

/// News items in one datagram at most; keeps it within one network packet.
const NEWS_PER_DATAGRAM: usize = 3;

impl View {
    /// Takes a datagram in.
    pub fn receive(&mut self, from: SocketAddr, gossip: Gossip, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        let same_dc = gossip.data_centre == self.data_centre;
        if gossip.config > self.own_config {
            let peer = gossip.from.contact.peer;
            effects.push(Effect::NewerConfig { peer, version: gossip.config });
        }
        if same_dc {
            effects.extend(self.hear_member(&gossip.from, now));
            self.hear_supply(&gossip, now);
            self.tell_of_suspicion(&gossip.from);
            effects.extend(self.compare_views(&gossip, now));
        }
        for rumour in gossip.rumours {
            effects.extend(self.hear(rumour, same_dc, now));
        }
        effects.extend(self.answer(from, &gossip.from, gossip.body, same_dc));
        effects
    }

    pub(super) fn answer(
        &mut self,
        from: SocketAddr,
        sender: &MemberState,
        body: GossipBody,
        same_dc: bool,
    ) -> Vec<Effect> {
        match body {
            GossipBody::Ping(seq) => vec![self.datagram(from, GossipBody::Ack(seq))],
            GossipBody::Ack(seq) => self.acknowledged(&sender.contact.id, seq),
            GossipBody::PingRequest { seq, target } => {
                self.seq += 1;
                self.relayed.insert(self.seq, (from, seq));
                vec![self.datagram(target, GossipBody::Ping(self.seq))]
            }
            GossipBody::Join if same_dc => self.whole_view(from),
            GossipBody::Join | GossipBody::Summaries => self.summaries_for(from),
            GossipBody::News => Vec::new(),
        }
    }

    pub(super) fn acknowledged(&mut self, id: &str, seq: u64) -> Vec<Effect> {
        if let Some((asker, asked)) = self.relayed.remove(&seq) {
            return vec![self.datagram(asker, GossipBody::Ack(asked))];
        }
        for (target, waiting) in &mut self.waiting {
            if waiting.seq == seq || target == id {
                waiting.answered = true;
            }
        }
        Vec::new()
    }

    pub(super) fn whole_view(&mut self, to: SocketAddr) -> Vec<Effect> {
        let states: Vec<Rumour> = self
            .members
            .values()
            .filter(|m| m.state.liveness != Liveness::Dead)
            .map(|m| Rumour::Member(m.state.clone()))
            .collect();
        let summaries = self.others.values().map(|(s, _)| Rumour::Summary(s.clone()));
        let rumours: Vec<Rumour> = states.into_iter().chain(summaries).collect();
        self.news_datagrams(to, &rumours)
    }

    pub(super) fn news_datagrams(&self, to: SocketAddr, rumours: &[Rumour]) -> Vec<Effect> {
        let with_news = |chunk: &[Rumour]| {
            let mut gossip = self.compose(GossipBody::News);
            gossip.rumours = chunk.to_vec();
            Effect::Send(to, Box::new(gossip))
        };
        rumours.chunks(NEWS_PER_DATAGRAM).map(with_news).collect()
    }

    pub(super) fn hear(&mut self, rumour: Rumour, same_dc: bool, now: Instant) -> Vec<Effect> {
        match rumour {
            Rumour::Member(state) if same_dc => self.hear_member(&state, now),
            Rumour::Member(_) => Vec::new(),
            Rumour::Summary(summary) => {
                self.hear_summary(summary, now);
                Vec::new()
            }
            Rumour::Adopted(adopted) => {
                self.adopt(adopted);
                Vec::new()
            }
        }
    }

    pub(super) fn hear_member(&mut self, state: &MemberState, now: Instant) -> Vec<Effect> {
        if state.contact.id == self.own.contact.id {
            self.object(state);
            return Vec::new();
        }
        let before = self.members.get(&state.contact.id).map(|m| m.state.contact.home.clone());
        let known = self.members.get_mut(&state.contact.id);
        let (was, news) = match known {
            Some(member) => (member.is_working(), member.merge(state, now)),
            None if state.liveness == Liveness::Dead => return Vec::new(),
            None => {
                let member = Member::new(state.clone(), now);
                self.members.insert(state.contact.id.clone(), member);
                (false, true)
            }
        };
        if !news {
            return Vec::new();
        }
        self.note_home(before, state);
        let is = self.members[&state.contact.id].is_working();
        if was != is || state.liveness == Liveness::Leaving {
            self.hurry_summary(now);
        }
        self.news.add(Rumour::Member(state.clone()));
        if was == is { Vec::new() } else { vec![Effect::MembersChanged] }
    }

    /// Notes which homes are gone after news of a member: the one that it had
    /// before, and its own if it is dead, until it objects.
    fn note_home(&mut self, before: Option<Home>, state: &MemberState) {
        let home = &state.contact.home;
        if let Some(before) = before.filter(|before| before != home) {
            self.note_gone(before);
        }
        if state.liveness == Liveness::Dead {
            self.note_gone(home.clone());
        } else {
            self.gone.remove(home);
        }
    }

    /// Asks a sender that knows other members for its whole view. Steady
    /// views never differ, so this costs nothing but in a change.
    pub(super) fn compare_views(&mut self, gossip: &Gossip, now: Instant) -> Option<Effect> {
        if gossip.members == self.fingerprint() || now < self.next_sync {
            return None;
        }
        self.next_sync = now + self.timing.sync_every;
        Some(self.datagram(gossip.from.contact.gossip, GossipBody::Join))
    }

    /// Returns a fingerprint of the members that are not dead, this one included.
    pub(super) fn fingerprint(&self) -> u64 {
        let of = |state: &MemberState| {
            let contact = &state.contact;
            ownership::weight(&contact.id, &format!("{:x}", contact.incarnation()))
        };
        let known = self.members.values().map(|m| &m.state);
        let alive = known.filter(|s| s.liveness != Liveness::Dead);
        alive.map(of).fold(of(&self.own), |sum, hash| sum ^ hash)
    }

    /// Lets a sender that is held for worse than it says hear of it, so that
    /// it can object: this heals a partition.
    pub(super) fn tell_of_suspicion(&mut self, sender: &MemberState) {
        let Some(member) = self.members.get(&sender.contact.id) else {
            return;
        };
        if supersedes(&member.state, sender) {
            self.news.add(Rumour::Member(member.state.clone()));
        }
    }

    /// Raises the own beat where others hold this process for worse than it is.
    pub(super) fn object(&mut self, state: &MemberState) {
        let same = state.contact.incarnation() == self.own.contact.incarnation();
        if same && supersedes(state, &self.own) {
            self.own.beat = state.beat + 1;
            self.news.add(Rumour::Member(self.own.clone()));
        }
    }

    pub(super) fn hear_supply(&mut self, gossip: &Gossip, now: Instant) {
        if let Some(member) = self.members.get_mut(&gossip.from.contact.id) {
            member.supply = gossip.supply.clone();
            member.supply_at = Some(now);
            member.config = gossip.config;
        }
    }

    pub(super) fn hear_summary(&mut self, summary: DcSummary, now: Instant) {
        if summary.data_centre == self.data_centre {
            return;
        }
        match self.others.get(&summary.data_centre) {
            Some((old, _)) if old.stamp >= summary.stamp => return,
            Some(_) => {}
            None => self.hurry_summary(now),
        }
        self.others.insert(summary.data_centre.clone(), (summary.clone(), now));
        self.news.add(Rumour::Summary(summary));
    }
}
