//! What one process knows of its data centre and of the others.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use fastrand::Rng;

use super::{Member, News, member::supersedes};
use crate::{
    ids::{ConfigVersion, DataCentre, EntryId, Home, Region},
    ownership,
    wire::{
        Adopted, Contact, DcSummary, Gossip, GossipBody, Liveness, MemberState, Rumour, Supply,
    },
};

/// News items in one datagram at most; keeps it within one network packet.
const NEWS_PER_DATAGRAM: usize = 3;
/// Members asked to ping one that did not answer.
const INDIRECT_PINGS: usize = 2;
/// Contacts in a summary at most.
const CONTACTS_PER_SUMMARY: usize = 2;
/// Members that speak for the data centre to the others.
const DELEGATES: usize = 2;
/// Interval of summaries from which their validity is reckoned at least.
const MIN_INTERVAL: Duration = Duration::from_secs(4);
/// Take-overs remembered at most.
const MAX_ADOPTED: usize = 4_096;

/// Intervals of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between heartbeats.
    pub period: Duration,
    /// From a heartbeat to asking others to try.
    pub ack_within: Duration,
    /// From suspicion to death, without the time that news takes.
    pub suspect_for: Duration,
    /// For how long a dead member is remembered.
    pub forget_after: Duration,
    /// Between fetches of a whole view at least.
    pub sync_every: Duration,
    /// Between summaries of one delegate to other data centres, for each of
    /// them: the more there are, the less often each hears.
    pub summary_every: Duration,
    /// Shortest time between summaries, after a change of the contacts.
    pub summary_soon: Duration,
    /// Age at which a summary is no longer used, in intervals of summaries.
    pub summary_valid: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            ack_within: Duration::from_millis(300),
            suspect_for: Duration::from_secs(3),
            forget_after: Duration::from_secs(600),
            sync_every: Duration::from_secs(2),
            summary_every: Duration::from_secs(3),
            summary_soon: Duration::from_secs(1),
            summary_valid: 5,
        }
    }
}

/// What the caller of a [`View`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Box<Gossip>),
    /// A peer has a newer configuration: fetch it there.
    NewerConfig {
        /// Where.
        peer: SocketAddr,
        /// Its version.
        version: ConfigVersion,
    },
    /// The set of working members changed.
    MembersChanged,
}

/// A heartbeat that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    seq: u64,
    sent: Instant,
    indirect: bool,
    answered: bool,
}

/// What one process knows of its data centre and of the others.
#[derive(Clone, Debug)]
pub struct View {
    data_centre: DataCentre,
    region: Region,
    timing: Timing,
    own: MemberState,
    own_supply: Vec<Supply>,
    own_config: ConfigVersion,
    members: BTreeMap<EntryId, Member>,
    others: BTreeMap<DataCentre, (DcSummary, Instant)>,
    adopted: HashMap<Home, Contact>,
    seeds: Vec<SocketAddr>,
    news: News,
    order: Vec<EntryId>,
    waiting: HashMap<EntryId, Waiting>,
    relayed: HashMap<u64, (SocketAddr, u64)>,
    seq: u64,
    next_ping: Instant,
    next_summary: Instant,
    next_sync: Instant,
    rng: Rng,
}

impl View {
    /// Creates the view of a process that knows only its seeds.
    pub fn new(
        data_centre: DataCentre,
        region: Region,
        contact: Contact,
        seeds: Vec<SocketAddr>,
        now: Instant,
    ) -> Self {
        let seed = contact.incarnation();
        let own = MemberState { contact, liveness: Liveness::Alive, beat: 0 };
        Self {
            data_centre,
            region,
            timing: Timing::default(),
            own,
            own_supply: Vec::new(),
            own_config: 0,
            members: BTreeMap::new(),
            others: BTreeMap::new(),
            adopted: HashMap::new(),
            seeds,
            news: News::default(),
            order: Vec::new(),
            waiting: HashMap::new(),
            relayed: HashMap::new(),
            seq: 0,
            next_ping: now,
            next_summary: now,
            next_sync: now,
            rng: Rng::with_seed(seed),
        }
    }

    /// Returns the view with other intervals.
    pub fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Returns this process's own contact.
    pub fn own_contact(&self) -> &Contact {
        &self.own.contact
    }

    /// Returns the data centre of this process.
    pub fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    /// Returns the other members of the data centre that are known.
    pub fn members(&self) -> &BTreeMap<EntryId, Member> {
        &self.members
    }

    /// Returns the fresh summaries of the other data centres.
    pub fn summaries(&self, now: Instant) -> impl Iterator<Item = &DcSummary> {
        let valid = self.summary_valid();
        self.others
            .values()
            .filter(move |(_, at)| now.duration_since(*at) < valid)
            .map(|(summary, _)| summary)
    }

    /// Returns the names of the members that own upstreams, this one included
    /// unless it leaves, in a fixed order.
    pub fn owners(&self) -> Vec<EntryId> {
        let others = self.members.values().filter(|m| m.is_working());
        let mut ids: Vec<EntryId> = others.map(|m| m.state.contact.id.clone()).collect();
        if self.own.liveness == Liveness::Alive {
            ids.push(self.own.contact.id.clone());
        }
        ids.sort();
        ids
    }

    /// Returns whether no other process has been heard of lately, in this data
    /// centre or another.
    pub fn is_alone(&self, now: Instant) -> bool {
        let working = self.members.values().any(Member::is_working);
        !working && self.summaries(now).next().is_none()
    }

    /// Returns the contact of a member by name.
    pub fn contact(&self, id: &str) -> Option<&Contact> {
        if id == self.own.contact.id {
            return Some(&self.own.contact);
        }
        self.members.get(id).map(|m| &m.state.contact)
    }

    /// Returns whether this process announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.own.liveness == Liveness::Leaving
    }

    /// Announces that this process leaves.
    pub fn leave(&mut self, now: Instant) {
        self.own.liveness = Liveness::Leaving;
        self.own.beat += 1;
        self.news.add(Rumour::Member(self.own.clone()));
        self.next_ping = now;
        self.hurry_summary(now);
    }

    /// Returns a last datagram to every member: this process is gone.
    pub fn farewell(&mut self) -> Vec<Effect> {
        self.own.liveness = Liveness::Dead;
        self.own.beat += 1;
        let working = self.members.values().filter(|m| m.is_working());
        let addrs: Vec<SocketAddr> = working.map(|m| m.state.contact.gossip).collect();
        addrs.into_iter().map(|to| self.datagram(to, GossipBody::News)).collect()
    }

    /// Sets what this process tells of itself.
    pub fn publish(&mut self, supply: Vec<Supply>, config: ConfigVersion) {
        self.own_supply = supply;
        self.own_config = config;
    }

    /// Records that `successor` holds the records of `home`, and spreads it.
    pub fn adopt(&mut self, adopted: Adopted) {
        if self.adopted.get(&adopted.home) == Some(&adopted.successor) {
            return;
        }
        if self.adopted.len() >= MAX_ADOPTED {
            self.adopted.clear();
        }
        self.adopted.insert(adopted.home.clone(), adopted.successor.clone());
        self.news.add(Rumour::Adopted(adopted));
    }

    /// Returns who holds the records of a home that is gone.
    pub fn adopter(&self, home: &Home) -> Option<Adopted> {
        let successor = self.adopted.get(home)?.clone();
        Some(Adopted { home: home.clone(), successor })
    }

    /// Returns whether a member with this home is known and not dead.
    pub fn is_known_alive(&self, home: &Home) -> bool {
        let alive = |m: &Member| m.state.liveness != Liveness::Dead;
        self.members.values().any(|m| m.state.contact.home == *home && alive(m))
    }

    /// Returns whether a member with this home is known to be dead.
    pub fn is_known_dead(&self, home: &Home) -> bool {
        self.members.values().any(|m| {
            let contact = &m.state.contact;
            let replaced = contact.home.http == home.http && contact.home != *home;
            let dead = contact.home == *home && m.state.liveness == Liveness::Dead;
            replaced || dead
        })
    }

    /// Returns when [`View::tick`] wants to be called next.
    pub fn next_tick(&self) -> Instant {
        let ack = self.waiting.values().filter(|w| !w.indirect && !w.answered);
        let ack = ack.map(|w| w.sent + self.timing.ack_within).min();
        ack.map_or(self.next_ping, |at| at.min(self.next_ping))
    }

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

    fn answer(
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

    fn acknowledged(&mut self, id: &str, seq: u64) -> Vec<Effect> {
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

    fn whole_view(&mut self, to: SocketAddr) -> Vec<Effect> {
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

    fn news_datagrams(&self, to: SocketAddr, rumours: &[Rumour]) -> Vec<Effect> {
        let with_news = |chunk: &[Rumour]| {
            let mut gossip = self.compose(GossipBody::News);
            gossip.rumours = chunk.to_vec();
            Effect::Send(to, Box::new(gossip))
        };
        rumours.chunks(NEWS_PER_DATAGRAM).map(with_news).collect()
    }

    fn hear(&mut self, rumour: Rumour, same_dc: bool, now: Instant) -> Vec<Effect> {
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

    fn hear_member(&mut self, state: &MemberState, now: Instant) -> Vec<Effect> {
        if state.contact.id == self.own.contact.id {
            self.object(state);
            return Vec::new();
        }
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
        let is = self.members[&state.contact.id].is_working();
        if was != is || state.liveness == Liveness::Leaving {
            self.hurry_summary(now);
        }
        self.news.add(Rumour::Member(state.clone()));
        if was == is { Vec::new() } else { vec![Effect::MembersChanged] }
    }

    /// Asks a sender that knows other members for its whole view. Steady
    /// views never differ, so this costs nothing but in a change.
    fn compare_views(&mut self, gossip: &Gossip, now: Instant) -> Option<Effect> {
        if gossip.members == self.fingerprint() || now < self.next_sync {
            return None;
        }
        self.next_sync = now + self.timing.sync_every;
        Some(self.datagram(gossip.from.contact.gossip, GossipBody::Join))
    }

    /// Returns a fingerprint of the members that are not dead, this one included.
    fn fingerprint(&self) -> u64 {
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
    fn tell_of_suspicion(&mut self, sender: &MemberState) {
        let Some(member) = self.members.get(&sender.contact.id) else {
            return;
        };
        if supersedes(&member.state, sender) {
            self.news.add(Rumour::Member(member.state.clone()));
        }
    }

    /// Raises the own beat where others hold this process for worse than it is.
    fn object(&mut self, state: &MemberState) {
        let same = state.contact.incarnation() == self.own.contact.incarnation();
        if same && supersedes(state, &self.own) {
            self.own.beat = state.beat + 1;
            self.news.add(Rumour::Member(self.own.clone()));
        }
    }

    fn hear_supply(&mut self, gossip: &Gossip, now: Instant) {
        if let Some(member) = self.members.get_mut(&gossip.from.contact.id) {
            member.supply = gossip.supply.clone();
            member.supply_at = Some(now);
            member.config = gossip.config;
        }
    }

    fn hear_summary(&mut self, summary: DcSummary, now: Instant) {
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

    /// Asks others to ping the members that have not answered in time.
    fn ask_others(&mut self, now: Instant) -> Vec<Effect> {
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
    fn judge(&mut self, now: Instant) -> Vec<Effect> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut changed = false;
        let mut effects = Vec::new();
        for (id, _) in waiting.into_iter().filter(|(_, w)| !w.answered) {
            if self.mark(&id, Liveness::Alive, Liveness::Suspect, now) {
                effects.extend(self.warn_suspect(&id));
            }
        }
        let patience = self.patience();
        let overdue: Vec<EntryId> = self
            .members
            .values()
            .filter(|m| m.state.liveness == Liveness::Suspect)
            .filter(|m| now.duration_since(m.since) >= patience)
            .map(|m| m.state.contact.id.clone())
            .collect();
        for id in overdue {
            self.mark(&id, Liveness::Suspect, Liveness::Dead, now);
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
    fn patience(&self) -> Duration {
        let steps = usize::BITS - self.members.len().leading_zeros();
        self.timing.suspect_for + self.timing.period * steps
    }

    /// Tells a suspect of the suspicion, so that it can object at once.
    fn warn_suspect(&self, id: &str) -> Option<Effect> {
        let member = self.members.get(id)?;
        let mut gossip = self.compose(GossipBody::Ping(0));
        gossip.rumours = vec![Rumour::Member(member.state.clone())];
        Some(Effect::Send(member.state.contact.gossip, Box::new(gossip)))
    }

    /// Changes the liveness of a member. Returns whether it was `from`.
    fn mark(&mut self, id: &str, from: Liveness, to: Liveness, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(id).filter(|m| m.state.liveness == from) else {
            return false;
        };
        member.state.liveness = to;
        member.since = now;
        self.news.add(Rumour::Member(member.state.clone()));
        true
    }

    fn ping_next(&mut self, now: Instant) -> Vec<Effect> {
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
    fn ask_seed(&mut self, body: GossipBody) -> Option<Effect> {
        let own = self.own.contact.gossip;
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| *s != own).collect();
        let seed = *self.rng.choice(&seeds)?;
        Some(self.datagram(seed, body))
    }

    /// Asks a seed for summaries while there are none, or while a data centre
    /// has not been heard of for long.
    fn find_lost(&mut self, now: Instant) -> Option<Effect> {
        let valid = self.summary_valid();
        let lost = self.others.values().any(|(_, at)| now.duration_since(*at) >= valid);
        let wanted = lost || self.others.is_empty();
        if wanted { self.ask_seed(GossipBody::Summaries) } else { None }
    }

    /// Returns the next member to ping: each once in a random order, then anew.
    /// A dead member is tried too, now and then, so that a healed partition
    /// is noticed.
    fn next_target(&mut self) -> Option<EntryId> {
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

    fn random_members(&mut self, count: usize, except: &str) -> Vec<SocketAddr> {
        let working = self.members.values().filter(|m| m.is_working());
        let mut addrs: Vec<SocketAddr> = working
            .filter(|m| m.state.contact.id != except)
            .map(|m| m.state.contact.gossip)
            .collect();
        self.rng.shuffle(&mut addrs);
        addrs.truncate(count);
        addrs
    }

    /// Returns contacts of working members for a push of configuration.
    pub fn random_peers(&mut self, count: usize) -> Vec<Contact> {
        let working = self.members.values().filter(|m| m.is_working());
        let mut contacts: Vec<Contact> = working.map(|m| m.state.contact.clone()).collect();
        self.rng.shuffle(&mut contacts);
        contacts.truncate(count);
        contacts
    }

    /// Sends this data centre's summary to one contact in each other one, if
    /// this process is one of the delegates.
    fn send_summaries(&mut self) -> Vec<Effect> {
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
    fn summaries_for(&mut self, to: SocketAddr) -> Vec<Effect> {
        let known = self.others.values().map(|(s, _)| Rumour::Summary(s.clone()));
        let known: Vec<Rumour> = known.collect();
        let own = self.summary_for(to);
        own.into_iter().chain(self.news_datagrams(to, &known)).collect()
    }

    fn summary_for(&mut self, to: SocketAddr) -> Option<Effect> {
        let summary = self.summary();
        let mut gossip = self.compose(GossipBody::News);
        gossip.rumours = vec![Rumour::Summary(summary)];
        Some(Effect::Send(to, Box::new(gossip)))
    }

    /// Returns the time between summaries. It grows with the number of data
    /// centres, so that the news they make in each does not.
    fn summary_interval(&self) -> Duration {
        self.timing.summary_every * self.others.len().max(1) as u32
    }

    fn summary_valid(&self) -> Duration {
        self.summary_interval().max(MIN_INTERVAL) * self.timing.summary_valid
    }

    /// Makes the next summary go out soon, since its contacts changed.
    fn hurry_summary(&mut self, now: Instant) {
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
        let alive = self.members.values().filter(|m| m.state.liveness == Liveness::Alive);
        let mut contacts: Vec<Contact> = alive.map(|m| m.state.contact.clone()).collect();
        if self.own.liveness == Liveness::Alive {
            contacts.push(self.own.contact.clone());
        }
        self.rng.shuffle(&mut contacts);
        contacts.truncate(CONTACTS_PER_SUMMARY);
        DcSummary {
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            stamp: crate::time::unix_millis(),
            contacts,
            supply: supply.into_values().collect(),
            config: self.own_config,
        }
    }

    fn datagram(&mut self, to: SocketAddr, body: GossipBody) -> Effect {
        let copies = copies_for(self.members.len());
        let mut gossip = self.compose(body);
        gossip.rumours = self.news.take(NEWS_PER_DATAGRAM, copies);
        Effect::Send(to, Box::new(gossip))
    }

    fn compose(&self, body: GossipBody) -> Gossip {
        Gossip {
            from: self.own.clone(),
            data_centre: self.data_centre.clone(),
            body,
            config: self.own_config,
            members: self.fingerprint(),
            supply: self.own_supply.clone(),
            rumours: Vec::new(),
        }
    }
}

/// How often an item of news is sent: three times the logarithm of the size.
fn copies_for(members: usize) -> u32 {
    3 * (usize::BITS - members.leading_zeros()).max(1)
}
