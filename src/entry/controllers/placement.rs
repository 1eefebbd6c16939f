//! Slots on the upstreams that this process owns, and owners to ask.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stakker::{CX, Share, after};

use crate::{
    edge::peer_link::Responder,
    entry::{
        board::Board,
        context::Context,
        event::{Reply, Target, TargetQuery, answer},
    },
    ids::{GrantId, UpstreamId},
    ownership,
    prefix::Fingerprint,
    routing::{OwnerView, rank_owners},
    upstream::{NoticeFor, UpstreamEvent},
    wire::{Contact, DcSummary, PeerReply, PeerRequest, PlaceReply, PlaceRequest, Release, Supply},
};

/// Between renewals of the slots held; a third of their time to live.
const RENEW_EVERY: Duration = Duration::from_secs(5);
/// Owners of this data centre that are asked at most.
const MAX_OWNERS: usize = 4;
/// Other data centres that are asked at most.
const MAX_DATA_CENTRES: usize = 3;

/// Gives out slots, and tells which owners to ask.
pub struct Placement {
    board: Share<Board>,
    cx: Arc<Context>,
}

impl Placement {
    /// Starts the renewal of slots.
    pub fn init(cx: CX![], board: Share<Board>, context: Arc<Context>) -> Option<Self> {
        after!(RENEW_EVERY, [cx], renew_held());
        Some(Self { board, cx: context })
    }

    fn renew_held(&mut self, cx: CX![]) {
        let own = self.cx.held.renew();
        self.renew(cx, own);
        after!(RENEW_EVERY, [cx], renew_held());
    }

    /// Keeps slots of this process given out.
    pub fn renew(&mut self, cx: CX![], grants: Vec<GrantId>) {
        let now = cx.now();
        self.board.rw(cx).owned.renew(&grants, now);
    }

    /// Gives a slot out.
    fn place(&mut self, cx: CX![], req: &PlaceRequest) -> PlaceReply {
        let now = cx.now();
        self.board.rw(cx).owned.place(req, now)
    }

    /// Answers a request of this process for a slot.
    pub fn place_own(&mut self, cx: CX![], req: PlaceRequest, reply: Reply<PlaceReply>) {
        let placed = self.place(cx, &req);
        answer(&reply, placed);
    }

    /// Answers another process's request for a slot.
    pub fn place_for_peer(&mut self, cx: CX![], req: PlaceRequest, responder: Responder) {
        let placed = self.place(cx, &req);
        responder.reply(PeerReply::Place(placed));
    }

    /// Takes a slot back.
    pub fn release(&mut self, cx: CX![], release: Release) {
        let now = cx.now();
        self.board.rw(cx).owned.release(&release, now);
    }

    /// Takes an upstream's event in, and passes notices on to the processes
    /// whose requests run there.
    pub fn upstream_event(&mut self, cx: CX![], id: UpstreamId, event: UpstreamEvent) {
        let now = cx.now();
        let notices = self.board.rw(cx).owned.hear(&id, &event, now);
        for notice in notices {
            log::info!("upstream={id} leaves in {} ms", notice.notice.as_millis());
            self.pass_on(notice);
        }
    }

    fn pass_on(&self, notice: NoticeFor) {
        let own = self.cx.contact.peer;
        if notice.holder == own {
            self.cx.held.notify(own, &notice.grants, notice.notice);
            return;
        }
        let in_ms = notice.notice.as_millis() as u64;
        let request = PeerRequest::Notice { owner: own, grants: notice.grants, in_ms };
        self.cx.peer.cast(notice.holder, request);
    }

    /// Tells which owners to ask for a slot, best first: for a long prompt the
    /// data centre of the region where its prefix is kept together, then the
    /// owners here, then the other data centres.
    pub fn targets(&mut self, cx: CX![], query: TargetQuery, reply: Reply<Vec<Target>>) {
        let TargetQuery { model, prefix, long, data_centres } = query;
        let allowed = |dc: &String| data_centres.is_empty() || data_centres.contains(dc);
        let mut targets = Vec::new();
        if let Some(prefix) = prefix.filter(|_| long) {
            targets.extend(self.prefix_data_centre(cx, &model, prefix, allowed));
        }
        if allowed(&self.cx.settings.data_centre) {
            targets.extend(self.owners(cx, &model, prefix));
        }
        targets.extend(self.other_data_centres(cx, &model, allowed));
        answer(&reply, targets);
    }

    /// Returns the data centre of the region where a prefix is kept together,
    /// unless it is this one.
    fn prefix_data_centre(
        &self,
        cx: CX![],
        model: &str,
        prefix: Fingerprint,
        allowed: impl Fn(&String) -> bool,
    ) -> Option<Target> {
        let now = cx.now();
        let view = &self.board.ro(cx).view;
        let own = &self.cx.settings.data_centre;
        let near = view.summaries(now).filter(|s| s.region == self.cx.settings.region);
        let near: Vec<&DcSummary> =
            near.filter(|s| allowed(&s.data_centre) && slots(&s.supply, model).0 > 0).collect();
        let names = near.iter().map(|s| &s.data_centre).chain(allowed(own).then_some(own));
        let home = ownership::owner(names, &format!("{prefix:x}"))?;
        let summary = near.iter().find(|s| s.data_centre == *home)?;
        fastrand::choice(&summary.contacts).map(|c| Target::DataCentre(c.peer))
    }

    fn owners(&self, cx: CX![], model: &str, prefix: Option<Fingerprint>) -> Vec<Target> {
        let now = cx.now();
        let board = self.board.ro(cx);
        let mut views: Vec<OwnerView> = board
            .view
            .members()
            .values()
            .filter(|m| m.is_working())
            .map(|m| {
                let (free, total) = slots(&m.supply, model);
                let id = m.state.contact.id.clone();
                // What a member told may be older than its owning an upstream.
                let untold = total == 0 && board.directory.owns(&id, model);
                let age = m.supply_at.filter(|_| !untold).map(|at| now.duration_since(at));
                OwnerView { id, free, total, age }
            })
            .collect();
        let own = board.view.own_contact().id.clone();
        let (free, total) = slots(&board.owned.supply(now), model);
        views.push(OwnerView { id: own.clone(), free, total, age: Some(Duration::ZERO) });
        let ranked = rank_owners(&views, prefix, MAX_OWNERS);
        let target = |id: &str| {
            if id == own {
                return Some(Target::Own);
            }
            board.view.contact(id).map(|c| Target::Owner(c.peer))
        };
        ranked.iter().filter_map(|choice| target(&choice.id)).collect()
    }

    fn other_data_centres(
        &self,
        cx: CX![],
        model: &str,
        allowed: impl Fn(&String) -> bool,
    ) -> Vec<Target> {
        let now = cx.now();
        let board = self.board.ro(cx);
        let summaries = board.view.summaries(now);
        let usable = summaries.filter(|s| allowed(&s.data_centre) && slots(&s.supply, model).1 > 0);
        let mut usable: Vec<_> = usable.collect();
        usable.sort_by_key(|s| std::cmp::Reverse(slots(&s.supply, model).0));
        let pick = |contacts: &[Contact]| fastrand::choice(contacts).map(|c| c.peer);
        let peers = usable.into_iter().filter_map(|s| pick(&s.contacts));
        peers.take(MAX_DATA_CENTRES).map(Target::DataCentre).collect()
    }

    /// Takes a notice of another owner in.
    pub fn noticed(&mut self, _: CX![], owner: SocketAddr, grants: Vec<GrantId>, in_ms: u64) {
        self.cx.held.notify(owner, &grants, Duration::from_millis(in_ms));
    }
}

/// Returns the free and total slots for a model.
fn slots(supply: &[Supply], model: &str) -> (u32, u32) {
    supply.iter().find(|s| s.model == model).map_or((0, 0), |s| (s.free, s.total))
}
