//! The upstreams that a process owns, and the slots it gives out on them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Grant, Grants, UpstreamEvent, UpstreamState, grants::GRANT_TTL};
use crate::{
    cloud::HostEntry,
    ids::{Customer, GrantId, UpstreamId},
    routing::{Candidate, Policy, begins_within, choose_upstream},
    wire::{PlaceReply, PlaceRequest, Release, ReleaseOutcome, Supply, UpstreamAddr},
};

/// Time that a refused asker waits where nothing else is known.
const BUSY_RETRY: Duration = Duration::from_millis(200);

/// For how long a customer counts as active after it asked for a slot.
const ACTIVE_FOR: Duration = Duration::from_secs(10);
/// Customers remembered before inactive ones are dropped.
const MAX_CUSTOMERS: usize = 1_024;
/// What an active customer may hold, over an equal part of the slots.
const SHARE_HEADROOM: f64 = 1.25;

/// Settings of an owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnedSettings {
    /// Choice among upstreams.
    pub policy: Policy,
    /// Silence after which an upstream gets no new work.
    pub silence: Duration,
}

/// A notice for the process that holds a grant: its upstream leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticeFor {
    /// Peer address of the process.
    pub holder: SocketAddr,
    /// The grants concerned.
    pub grants: Vec<GrantId>,
    /// Time left.
    pub notice: Duration,
}

/// The upstreams that a process owns.
#[derive(Clone, Debug)]
pub struct Owned {
    settings: OwnedSettings,
    own_peer: SocketAddr,
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    grants: Grants,
    drained: BTreeSet<String>,
    /// When each customer last asked for a slot.
    asked: HashMap<Customer, Instant>,
    turn: u64,
}

impl Owned {
    /// Creates the state of an owner of nothing; `own_peer` is where releases go.
    pub fn new(settings: OwnedSettings, own_peer: SocketAddr) -> Self {
        Self {
            settings,
            own_peer,
            upstreams: BTreeMap::new(),
            grants: Grants::default(),
            drained: BTreeSet::new(),
            asked: HashMap::new(),
            turn: 0,
        }
    }

    /// Takes over the list of the upstreams owned from now on.
    pub fn set_hosts(&mut self, hosts: Vec<HostEntry>, now: Instant) {
        let keep: BTreeSet<&str> = hosts.iter().map(|h| h.id.as_str()).collect();
        self.upstreams.retain(|id, _| keep.contains(id.as_str()));
        for host in hosts {
            match self.upstreams.get_mut(&host.id) {
                Some(state) if state.host.addr == host.addr => state.update(host, now),
                Some(_) | None => {
                    self.upstreams.insert(host.id.clone(), UpstreamState::new(host, now));
                }
            }
        }
    }

    /// Sets the upstreams and data centres that operators drain.
    pub fn set_drained(&mut self, drained: BTreeSet<String>) {
        self.drained = drained;
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> &BTreeMap<UpstreamId, UpstreamState> {
        &self.upstreams
    }

    /// Takes an upstream's event in. Returns notices to pass on where the
    /// upstream is newly known to leave.
    pub fn hear(&mut self, id: &str, event: &UpstreamEvent, now: Instant) -> Vec<NoticeFor> {
        let Some(state) = self.upstreams.get_mut(id) else {
            return Vec::new();
        };
        if !state.hear(event, now) {
            return Vec::new();
        }
        let notice = state.leaves_at.map_or(Duration::ZERO, |at| at.duration_since(now));
        self.notices(id, notice)
    }

    fn notices(&self, id: &str, notice: Duration) -> Vec<NoticeFor> {
        let mut by_holder: BTreeMap<SocketAddr, Vec<GrantId>> = BTreeMap::new();
        for (grant, holder) in self.grants.on(id) {
            by_holder.entry(holder).or_default().push(grant);
        }
        let notice_for = |(holder, grants)| NoticeFor { holder, grants, notice };
        by_holder.into_iter().map(notice_for).collect()
    }

    /// Gives a slot out, if an upstream that may be used has one.
    pub fn place(&mut self, req: &PlaceRequest, now: Instant) -> PlaceReply {
        self.grants.expire(now);
        self.note_asked(&req.customer, now);
        let usable: Vec<&UpstreamState> =
            self.upstreams.values().filter(|u| self.may_use(u, req, now)).collect();
        if usable.is_empty() {
            return PlaceReply::NoUpstream;
        }
        let busy = PlaceReply::Busy { retry_after_ms: BUSY_RETRY.as_millis() as u64 };
        if self.is_over_share(&req.customer, &usable, now) {
            return busy;
        }
        let candidates: Vec<_> = usable
            .iter()
            .map(|u| u.candidate(self.grants.in_use(&u.host.id), &req.prefix, now))
            .collect();
        self.turn += 1;
        let prefix = req.prefix.first().copied().unwrap_or_default();
        let policy = self.settings.policy;
        let chosen = choose_upstream(policy, &candidates, req.prompt_tokens, self.turn, prefix);
        let patience = req.patience_ms.map(Duration::from_millis);
        let in_time = |c: &&Candidate| patience.is_none_or(|p| begins_within(c, p));
        let Some(chosen) = chosen.filter(in_time) else {
            return busy;
        };
        let (id, cached_tokens) = (chosen.id.clone(), chosen.cached_tokens);
        self.give(&id, cached_tokens, req, now)
    }

    fn note_asked(&mut self, customer: &str, now: Instant) {
        if self.asked.len() >= MAX_CUSTOMERS {
            self.asked.retain(|_, at| now.duration_since(*at) < ACTIVE_FOR);
        }
        self.asked.insert(customer.to_owned(), now);
    }

    /// Returns whether a customer holds its share of the slots: all of them
    /// while no other asks, else an equal part and a quarter more.
    fn is_over_share(&self, customer: &str, usable: &[&UpstreamState], now: Instant) -> bool {
        let is_active = |at: &&Instant| now.duration_since(**at) < ACTIVE_FOR;
        let active = self.asked.values().filter(is_active).count();
        if active <= 1 {
            return false;
        }
        let slots: u32 = usable.iter().map(|u| u.host.slots).sum();
        let share = (f64::from(slots) * SHARE_HEADROOM / active as f64).ceil() as u32;
        let ids: Vec<&UpstreamId> = usable.iter().map(|u| &u.host.id).collect();
        self.grants.held_by(customer, &ids) >= share
    }

    fn give(
        &mut self,
        id: &str,
        cached_tokens: u32,
        req: &PlaceRequest,
        now: Instant,
    ) -> PlaceReply {
        let Some(state) = self.upstreams.get_mut(id) else {
            return PlaceReply::NoUpstream;
        };
        state.sent(req.prompt_tokens.saturating_sub(cached_tokens), now);
        state.sketch.store(&req.prefix);
        let upstream = UpstreamAddr {
            id: id.to_owned(),
            addr: state.host.addr,
            data_centre: state.host.data_centre.clone(),
        };
        let grant = self.grants.give(Grant {
            upstream: id.to_owned(),
            holder: req.holder,
            expires: now + GRANT_TTL,
            customer: req.customer.clone(),
        });
        PlaceReply::Granted { grant, owner: self.own_peer, upstream, cached_tokens }
    }

    fn may_use(&self, upstream: &UpstreamState, req: &PlaceRequest, now: Instant) -> bool {
        let host = &upstream.host;
        upstream.takes_work(now, self.settings.silence)
            && upstream.offers(&req.model)
            && !req.exclude.contains(&host.id)
            && (req.data_centres.is_empty() || req.data_centres.contains(&host.data_centre))
            && !self.drained.contains(&host.id)
            && !self.drained.contains(&host.data_centre)
    }

    /// Takes a slot back.
    pub fn release(&mut self, release: &Release, now: Instant) {
        let Some(grant) = self.grants.take_back(release.grant) else {
            return;
        };
        let Some(state) = self.upstreams.get_mut(&grant.upstream) else {
            return;
        };
        match release.outcome {
            ReleaseOutcome::Finished => state.attempt_ended(false, now),
            ReleaseOutcome::Failed => state.attempt_ended(true, now),
            ReleaseOutcome::Withdrawn => {}
        }
    }

    /// Keeps slots given out.
    pub fn renew(&mut self, grants: &[GrantId], now: Instant) {
        for id in grants {
            self.grants.renew(*id, now);
        }
    }

    /// Returns the slots given out.
    pub fn grants(&self) -> &Grants {
        &self.grants
    }

    /// Returns the free and total slots by model.
    pub fn supply(&self, now: Instant) -> Vec<Supply> {
        let mut by_model: BTreeMap<&str, Supply> = BTreeMap::new();
        let silence = self.settings.silence;
        for upstream in self.upstreams.values().filter(|u| u.takes_work(now, silence)) {
            let candidate = upstream.candidate(self.grants.in_use(&upstream.host.id), &[], now);
            for model in upstream.models() {
                let supply = by_model.entry(model).or_insert_with(|| Supply {
                    model: model.clone(),
                    free: 0,
                    total: 0,
                });
                supply.free += candidate.slots.saturating_sub(candidate.in_flight);
                supply.total += candidate.slots;
            }
        }
        by_model.into_values().collect()
    }
}
