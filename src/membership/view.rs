//! What one process knows of its data centre and of the others.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::Instant,
};

use fastrand::Rng;

use super::{Effect, Member, News, Timing};
use crate::{
    ids::{ConfigVersion, DataCentre, EntryId, Home, Region},
    wire::{
        Adopted, Contact, DcSummary, Gossip, GossipBody, Liveness, MemberState, Rumour, Supply,
    },
};

/// News items in one datagram at most; keeps it within one network packet.
const NEWS_PER_DATAGRAM: usize = 3;
/// Homes that are gone remembered at most.
const MAX_GONE: usize = 4_096;
/// Take-overs remembered at most.
const MAX_ADOPTED: usize = 4_096;

/// A heartbeat that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    /// Its number.
    pub seq: u64,
    /// When it was sent.
    pub sent: Instant,
    /// Whether others were asked to try.
    pub indirect: bool,
    /// Whether the answer came.
    pub answered: bool,
}

/// What one process knows of its data centre and of the others.
#[derive(Clone, Debug)]
pub struct View {
    /// Data centre of this process.
    pub(super) data_centre: DataCentre,
    /// Its region.
    pub(super) region: Region,
    /// Intervals.
    pub(super) timing: Timing,
    /// State of this process, as it tells it.
    pub(super) own: MemberState,
    /// Slots that it offers.
    pub(super) own_supply: Vec<Supply>,
    /// Configuration version in force here.
    pub(super) own_config: ConfigVersion,
    /// The other members of the data centre, by name.
    pub(super) members: BTreeMap<EntryId, Member>,
    /// Summaries of the other data centres, and when each came.
    pub(super) others: BTreeMap<DataCentre, (DcSummary, Instant)>,
    /// Who holds the records of homes that are gone.
    pub(super) adopted: HashMap<Home, Contact>,
    /// Homes of this data centre that are known to be gone.
    pub(super) gone: HashSet<Home>,
    /// Addresses to ask while nobody is known.
    pub(super) seeds: Vec<SocketAddr>,
    /// News to pass on.
    pub(super) news: News,
    /// Members still to ping in this round.
    pub(super) order: Vec<EntryId>,
    /// Heartbeats that wait for their answers, by member.
    pub(super) waiting: HashMap<EntryId, Waiting>,
    /// Heartbeats sent for others: who asked, and with which number.
    pub(super) relayed: HashMap<u64, (SocketAddr, u64)>,
    /// Number of the last heartbeat.
    pub(super) seq: u64,
    /// When the next heartbeat is due.
    pub(super) next_ping: Instant,
    /// When the next summary is due.
    pub(super) next_summary: Instant,
    /// Before this, no whole view is fetched.
    pub(super) next_sync: Instant,
    /// Source of random choices, seeded by the incarnation.
    pub(super) rng: Rng,
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
            gone: HashSet::new(),
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

    /// Returns the other members that callers may be sent to: neither leaving
    /// nor without the configuration that this process has.
    pub fn serving(&self) -> impl Iterator<Item = &Contact> {
        let alive = self.members.values().filter(|m| m.state.liveness == Liveness::Alive);
        let ready = alive.filter(|m| m.config > 0 || self.own_config == 0);
        ready.map(|m| &m.state.contact)
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

    /// Returns whether this home is known to be gone: it died, or another
    /// incarnation took its place.
    pub fn is_known_dead(&self, home: &Home) -> bool {
        self.gone.contains(home)
    }

    /// Notes a home that is gone.
    pub(super) fn note_gone(&mut self, home: Home) {
        if self.gone.len() >= MAX_GONE {
            self.gone.clear();
        }
        self.gone.insert(home);
    }

    /// Returns when [`View::tick`] wants to be called next.
    pub fn next_tick(&self) -> Instant {
        let ack = self.waiting.values().filter(|w| !w.indirect && !w.answered);
        let ack = ack.map(|w| w.sent + self.timing.ack_within).min();
        ack.map_or(self.next_ping, |at| at.min(self.next_ping))
    }

    /// Returns contacts of working members for a push of configuration.
    pub fn random_peers(&mut self, count: usize) -> Vec<Contact> {
        let working = self.members.values().filter(|m| m.is_working());
        let mut contacts: Vec<Contact> = working.map(|m| m.state.contact.clone()).collect();
        self.rng.shuffle(&mut contacts);
        contacts.truncate(count);
        contacts
    }

    pub(super) fn datagram(&mut self, to: SocketAddr, body: GossipBody) -> Effect {
        let copies = copies_for(self.members.len());
        let mut gossip = self.compose(body);
        gossip.rumours = self.news.take(NEWS_PER_DATAGRAM, copies);
        Effect::Send(to, Box::new(gossip))
    }

    pub(super) fn compose(&self, body: GossipBody) -> Gossip {
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
