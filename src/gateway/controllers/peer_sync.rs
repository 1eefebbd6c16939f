//! Fetches the configuration or the list of upstreams from another gateway that has a newer
//! version than this one.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use stakker::call;
use tokio::task::spawn_local;

use super::{Source, peer_requests::get_from_peer, table_reader::read_once};
use crate::gateway::{
    board::{Board, PeerView},
    context::Gateway,
    model::WatchedData,
    peering::UpstreamSnapshot,
};

/// How long another gateway may have newer upstreams before they are fetched: heartbeats usually
/// deliver single changes sooner. A configuration is not in heartbeats and is fetched at once.
const UPSTREAMS_FETCH_DELAY: Duration = Duration::from_millis(300);
/// Shortest interval between two fetches.
const FETCH_INTERVAL: Duration = Duration::from_millis(400);

/// Brings one followed table up to date from the other gateways.
#[derive(Debug)]
pub(super) struct PeerSync {
    gateway: Rc<Gateway>,
    followed: WatchedData,
    behind_since: Option<Instant>,
    last_fetch: Option<Instant>,
    /// Whether a fetch is in flight: a second one at the same time would only compete with it
    /// for the link.
    fetching: Rc<Cell<bool>>,
}

impl PeerSync {
    pub(super) fn new(gateway: Rc<Gateway>, followed: WatchedData) -> Self {
        let fetching = Rc::default();
        Self { gateway, followed, behind_since: None, last_fetch: None, fetching }
    }

    /// Starts a fetch if another gateway has been ahead for long enough.
    pub(super) fn check(&mut self, now: Instant) {
        let Some(from) = self.source(now) else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        let is_due = now.saturating_duration_since(since) >= self.fetch_delay();
        let is_recent =
            self.last_fetch.is_some_and(|t| now.saturating_duration_since(t) < FETCH_INTERVAL);
        if !is_due || is_recent || self.fetching.get() {
            return;
        }
        self.last_fetch = Some(now);
        self.fetching.set(true);
        spawn_local(fetch(self.gateway.clone(), self.followed, from, self.fetching.clone()));
    }

    fn fetch_delay(&self) -> Duration {
        let has_any = self.gateway.board.borrow().knowledge(self.followed).is_some();
        match self.followed {
            WatchedData::Upstreams if has_any => UPSTREAMS_FETCH_DELAY,
            WatchedData::Configuration | WatchedData::Upstreams => Duration::ZERO,
        }
    }

    /// Returns the address of a random gateway that has the newest version, in this data centre
    /// if possible; `None` if none is ahead of this one. The choice is random because a single
    /// gateway could not serve all others at once, and may be partitioned.
    fn source(&self, now: Instant) -> Option<SocketAddr> {
        let board = self.gateway.board.borrow();
        let newest = board.recently_heard(now).map(|p| self.known_by(p)).max()?;
        if newest <= self.known(&board) {
            return None;
        }
        let own = &self.gateway.settings.borrow().data_centre;
        let have_newest = board.recently_heard(now).filter(|p| self.known_by(p) == newest);
        let (near, far): (Vec<&PeerView>, Vec<&PeerView>) =
            have_newest.partition(|p| p.last.data_centre == *own);
        let sources = if near.is_empty() { far } else { near };
        fastrand::choice(sources).map(|p| p.last.peers)
    }

    /// Returns the configuration version, or the revision of the newest upstream change, that
    /// another gateway announces.
    fn known_by(&self, peer: &PeerView) -> u64 {
        match self.followed {
            WatchedData::Configuration => peer.last.configuration,
            WatchedData::Upstreams => peer.last.upstreams,
        }
    }

    fn known(&self, board: &Board) -> u64 {
        match self.followed {
            WatchedData::Configuration => board.configuration_version(),
            WatchedData::Upstreams => board.upstreams_position(),
        }
    }
}

async fn fetch(
    gateway: Rc<Gateway>,
    followed: WatchedData,
    from: SocketAddr,
    fetching: Rc<Cell<bool>>,
) {
    let fetched = match followed {
        WatchedData::Configuration => fetch_configuration(&gateway, from).await,
        WatchedData::Upstreams => fetch_upstreams(&gateway, from).await,
    };
    // Cleared before the read of the store: another gateway may have the data by now, so the next
    // fetch need not wait for the store.
    fetching.set(false);
    if !fetched {
        read_once(gateway, followed).await;
    }
}

/// Fetches the configuration; returns whether the gateway answered in time. On a slow link a large
/// document takes long, so the first gateways to have a new one cannot serve all others.
async fn fetch_configuration(gateway: &Gateway, from: SocketAddr) -> bool {
    let Some(document) = get_from_peer(from, "/peer/configuration").await else {
        return false;
    };
    gateway.send_to_controllers(|c| call!([c.configuration], apply(document, Source::Peer)));
    true
}

/// Fetches the list of upstreams, or its changes since the revision known here; returns whether
/// the gateway answered in time and its answer could be decoded.
async fn fetch_upstreams(gateway: &Gateway, from: SocketAddr) -> bool {
    let known = gateway.board.borrow().upstreams_position();
    let Some(bytes) = get_from_peer(from, &format!("/peer/upstreams/{known}")).await else {
        return false;
    };
    let decoded = UpstreamSnapshot::decode(&bytes);
    if let Err(e) = &decoded {
        log::error!("list of upstreams from gateway {from} cannot be decoded: {e}");
    }
    decoded.is_ok_and(|snapshot| {
        gateway.send_to_controllers(|c| call!([c.directory], apply_peer_snapshot(snapshot)));
        true
    })
}
