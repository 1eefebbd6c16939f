//! Heartbeats and news between the processes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use stakker::{CX, Share, after};

use crate::{
    edge::gossip_socket::GossipSocket,
    entry::{
        board::Board,
        context::Context,
        event::{Event, Located, Reply, answer},
        jobs::HolderState,
    },
    ids::Home,
    membership::Effect,
    wire::{Adopted, Contact, Gossip},
};

/// Carries heartbeats and news between the blackboard's view and the socket.
pub struct Membership {
    board: Share<Board>,
    cx: Arc<Context>,
    socket: GossipSocket,
}

impl Membership {
    /// Starts the heartbeats.
    pub fn init(
        cx: CX![],
        board: Share<Board>,
        context: Arc<Context>,
        socket: GossipSocket,
    ) -> Option<Self> {
        let mut this = Self { board, cx: context, socket };
        this.tick(cx);
        Some(this)
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let board = self.board.rw(cx);
        let supply = board.owned.supply(now);
        let version = board.config.version();
        board.view.publish(supply, version);
        let effects = board.view.tick(now);
        let wait = board.view.next_tick().saturating_duration_since(now);
        let owners = board.view.owners().len();
        self.cx.metrics.members.set(owners as i64);
        self.carry_out(effects);
        after!(wait.max(MIN_WAIT), [cx], tick());
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, cx: CX![], from: SocketAddr, gossip: Box<Gossip>) {
        let now = cx.now();
        let effects = self.board.rw(cx).view.receive(from, *gossip, now);
        self.carry_out(effects);
    }

    /// Announces that this process leaves.
    pub fn leave(&mut self, cx: CX![]) {
        let now = cx.now();
        self.board.rw(cx).view.leave(now);
        self.cx.board.send(Event::MembersChanged);
    }

    /// Tells every member that this process is gone.
    pub fn farewell(&mut self, cx: CX![]) {
        let effects = self.board.rw(cx).view.farewell();
        self.carry_out(effects);
    }

    /// Records that a process holds another's records.
    pub fn adopted(&mut self, cx: CX![], adopted: Adopted) {
        self.board.rw(cx).view.adopt(adopted);
    }

    /// Tells where the records of a home are.
    pub fn locate(&mut self, cx: CX![], home: Home, reply: Reply<Located>) {
        let view = &self.board.ro(cx).view;
        let located = match view.adopter(&home) {
            Some(adopted) => Located::Adopted(adopted.successor),
            None if view.is_known_dead(&home) => Located::Gone,
            None => Located::Home,
        };
        answer(&reply, located);
    }

    /// Tells a contact in each other data centre, and some in this one.
    pub fn contacts(&mut self, cx: CX![], reply: Reply<Vec<Contact>>) {
        const OWN: usize = 2;
        let now = cx.now();
        let view = &mut self.board.rw(cx).view;
        let firsts = view.summaries(now).filter_map(|s| s.contacts.first());
        let mut contacts: Vec<Contact> = firsts.cloned().collect();
        contacts.extend(view.random_peers(OWN));
        answer(&reply, contacts);
    }

    /// Tells whether this process speaks for its data centre.
    pub fn is_delegate(&mut self, cx: CX![], reply: Reply<bool>) {
        answer(&reply, self.board.ro(cx).view.is_delegate());
    }

    /// Tells what is known of holders of jobs.
    pub fn holders(
        &mut self,
        cx: CX![],
        holders: Vec<(String, String)>,
        reply: Reply<Vec<HolderState>>,
    ) {
        let now = cx.now();
        let view = &self.board.ro(cx).view;
        let state = |(dc, holder): &(String, String)| {
            let Ok(home) = holder.parse::<Home>() else {
                return HolderState::Gone;
            };
            if dc != view.data_centre() {
                let heard = view.summaries(now).any(|s| s.data_centre == *dc);
                return if heard { HolderState::Alive } else { HolderState::FarGone };
            }
            let own = home == *self.cx.home();
            if own || view.is_known_alive(&home) { HolderState::Alive } else { HolderState::Gone }
        };
        answer(&reply, holders.iter().map(state).collect());
    }

    fn carry_out(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, gossip) => self.socket.send(to, &gossip),
                Effect::NewerConfig { peer, .. } => self.cx.board.send(Event::NewerConfig(peer)),
                Effect::MembersChanged => self.cx.board.send(Event::MembersChanged),
            }
        }
    }
}

/// Shortest time between two ticks.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Returns the time since `at` in whole seconds.
pub fn seconds_since(at: Option<Instant>, now: Instant) -> Option<u64> {
    at.map(|at| now.duration_since(at).as_secs())
}
