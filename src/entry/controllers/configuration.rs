//! Configuration: read from the platform's log, pushed to and fetched from
//! peers, never lowered.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use stakker::{CX, Share, after};

use crate::{
    cloud::{PlatformClient, PlatformError},
    config::{Change, ItemKey, Stored, log as config_log},
    edge::{http_server::spawn, peer_link::Responder},
    entry::{
        board::{Board, Phase},
        context::Context,
        event::{Event, Reply, answer},
    },
    ids::ConfigVersion,
    telemetry::count,
    time::unix_millis,
    wire::{PeerReply, PeerRequest},
};

/// Peers to which a change that is new here is pushed on.
const PUSH_FANOUT: usize = 2;
/// Between reads of the platform's log by a process that hears no peer.
const ALONE_POLL: Duration = Duration::from_secs(1);
/// Longest wait for a peer's changes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps the configuration of this process up to date.
pub struct Configuration {
    board: Share<Board>,
    cx: Arc<Context>,
    fetching: bool,
}

impl Configuration {
    /// Starts the reading of the platform's log.
    pub fn init(cx: CX![], board: Share<Board>, context: Arc<Context>) -> Option<Self> {
        let mut this = Self { board, cx: context, fetching: false };
        this.poll(cx);
        Some(this)
    }

    fn poll(&mut self, cx: CX![]) {
        let known = self.board.ro(cx).config.version();
        let context = self.cx.clone();
        count(&context.metrics.platform_calls, "config_poll");
        spawn("config-poll", move || {
            let answered = match read_log(&context.platform, known) {
                Ok(Some(event)) => {
                    context.board.send(event);
                    true
                }
                Ok(None) => true,
                Err(e) => {
                    log::warn!("the configuration log cannot be read: {e}");
                    false
                }
            };
            context.board.send(Event::ConfigPolled { answered });
        });
    }

    /// Takes note of the end of a poll and plans the next.
    pub fn polled(&mut self, cx: CX![], answered: bool) {
        if answered {
            let now = cx.now();
            let board = self.board.rw(cx);
            board.platform_answered = Some(now);
            become_ready(board);
        }
        let now = cx.now();
        let poll = self.cx.settings.limits.config_poll;
        // A process that hears no peer has nobody to learn a change from sooner.
        let alone = self.board.ro(cx).view.is_alone(now);
        let wait = if alone { poll.min(ALONE_POLL) } else { poll };
        let jitter = wait.mul_f64(fastrand::f64() * 0.2);
        after!(wait + jitter, [cx], poll());
    }

    /// Applies changes, and pushes on those that are new here.
    pub fn apply(&mut self, cx: CX![], changes: Vec<Change>) {
        let board = self.board.rw(cx);
        let mut fresh = Vec::new();
        for change in changes {
            let at = change.at_ms;
            match board.config.apply(change.clone()) {
                Ok(true) => {
                    let delay = unix_millis().saturating_sub(at) as f64 / 1000.0;
                    self.cx.metrics.config_delay.observe(delay);
                    log::info!("config version={} key={} in force", change.version, change.key);
                    fresh.push(change);
                }
                Ok(false) => {}
                Err(e) => log::debug!("{e}"),
            }
        }
        if !fresh.is_empty() {
            self.took_hold(cx);
            self.push(cx, fresh);
        }
    }

    /// Takes a whole configuration.
    pub fn take_snapshot(
        &mut self,
        cx: CX![],
        version: ConfigVersion,
        items: Vec<(ItemKey, Stored)>,
    ) {
        if self.board.rw(cx).config.take_snapshot(version, items) {
            log::info!("config version={version} in force, from a snapshot");
            self.took_hold(cx);
        }
    }

    fn took_hold(&mut self, cx: CX![]) {
        let board = self.board.rw(cx);
        let drained = board.drained();
        board.owned.set_drained(drained);
        become_ready(board);
        self.cx.metrics.config_version.set(board.config.version() as i64);
    }

    /// Pushes changes to a few members, and, where they were accepted here, to
    /// the contacts in each other data centre. Each process does this once for a change, so the changes reach
    /// nearly all within a few steps; heartbeats carry versions for the rest.
    fn push(&mut self, cx: CX![], mut fresh: Vec<Change>) {
        let now = cx.now();
        let accepted_here = fresh.iter().any(|c| c.via == self.cx.settings.id);
        // Who wants to know the old value reads it from the platform's log.
        fresh.iter_mut().for_each(|change| change.from = None);
        let view = &mut self.board.rw(cx).view;
        let mut targets: Vec<SocketAddr> =
            view.random_peers(PUSH_FANOUT).iter().map(|c| c.peer).collect();
        if accepted_here {
            targets.extend(view.summaries(now).flat_map(|s| &s.contacts).map(|c| c.peer));
        }
        for to in targets {
            self.cx.peer.cast(to, PeerRequest::ConfigPush(fresh.clone()));
        }
    }

    /// Fetches from a peer that has a newer configuration.
    pub fn fetch(&mut self, cx: CX![], peer: SocketAddr) {
        if self.fetching {
            return;
        }
        self.fetching = true;
        let known = self.board.ro(cx).config.version();
        let context = self.cx.clone();
        spawn("config-fetch", move || {
            let reply = context.peer.call(peer, PeerRequest::ConfigAfter(known), FETCH_TIMEOUT);
            match reply {
                Ok(PeerReply::Changes(changes)) => context.board.send(Event::Changes(changes)),
                Ok(PeerReply::Snapshot { version, items }) => {
                    context.board.send(Event::Snapshot(version, items));
                }
                Ok(_) => log::warn!("peer {peer} gave no configuration"),
                Err(e) => log::debug!("no configuration from {peer}: {e}"),
            }
            context.board.send(Event::PeerFetchEnded);
        });
    }

    /// Takes note of the end of a fetch.
    pub fn fetched(&mut self, _: CX![]) {
        self.fetching = false;
    }

    /// Answers a peer that asks for the changes after a version.
    pub fn changes_after(&mut self, cx: CX![], known: ConfigVersion, responder: Responder) {
        let config = &self.board.ro(cx).config;
        let reply = match config.changes_after(known) {
            Some(changes) => PeerReply::Changes(changes),
            None => {
                let items = config.items().iter().map(|(k, s)| (k.clone(), s.clone())).collect();
                PeerReply::Snapshot { version: config.version(), items }
            }
        };
        responder.reply(reply);
    }

    /// Tells the configuration in force.
    pub fn tell(&mut self, cx: CX![], reply: Reply<(ConfigVersion, Vec<(ItemKey, Stored)>)>) {
        let config = &self.board.ro(cx).config;
        let items = config.items().iter().map(|(k, s)| (k.clone(), s.clone())).collect();
        answer(&reply, (config.version(), items));
    }
}

fn become_ready(board: &mut Board) {
    if board.phase == Phase::Starting {
        board.phase = Phase::Serving;
    }
}

/// Reads what follows `known` in the platform's log; from nothing, or after a
/// long time, the items themselves.
fn read_log(
    platform: &PlatformClient,
    known: ConfigVersion,
) -> Result<Option<Event>, PlatformError> {
    let head = config_log::read_head(platform)?;
    if head.version <= known {
        return Ok(None);
    }
    if known == 0 {
        let (version, items) = config_log::read_items(platform)?;
        return Ok(Some(Event::Snapshot(version, items)));
    }
    let changes = config_log::read_changes(platform, known)?;
    Ok(Some(Event::Changes(changes)))
}
