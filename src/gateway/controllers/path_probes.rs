//! Probes whether upstreams can be reached from this gateway, while its paths to them are suspect.
//!
//! Callers may not need a new connection for a while, and callers of a gateway that is cut off are
//! sent to others.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use stakker::{CX, timer_max};
use tokio::task::spawn_local;

use crate::gateway::{context::Gateway, model::Lifetime, request::DialTarget};

/// Interval between probes. A longer one keeps callers away from a gateway whose paths are back.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Upstreams that are probed at a time.
const PROBES: usize = 2;

/// Controller of the probes.
#[derive(Debug)]
pub struct PathProbes {
    gateway: Rc<Gateway>,
    timer: stakker::MaxTimerKey,
    is_ticking: bool,
}

impl PathProbes {
    /// Creates the controller, which is idle until a path is suspect.
    pub fn init(_: CX![], gateway: Rc<Gateway>) -> Option<Self> {
        Some(Self { gateway, timer: stakker::MaxTimerKey::default(), is_ticking: false })
    }

    /// Begins to probe, until no path is suspect any more.
    pub fn path_suspected(&mut self, cx: CX![]) {
        if !self.is_ticking {
            self.is_ticking = true;
            self.tick(cx);
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let board = self.gateway.board.borrow();
        if !board.paths.is_suspect(now) {
            self.is_ticking = false;
            return;
        }
        let serving = board.upstreams.values().filter(|v| v.takes_work());
        let targets = serving.map(|v| (v.lifetime, v.upstream.address));
        let chosen = fastrand::choose_multiple(targets, PROBES);
        drop(board);
        timer_max!(&mut self.timer, now + PROBE_PERIOD, [cx], tick());
        for (lifetime, address) in chosen {
            spawn_local(probe(self.gateway.clone(), lifetime, address));
        }
    }
}

/// Opens a connection and closes it. What it shows about the paths is recorded on the way.
async fn probe(gateway: Rc<Gateway>, lifetime: Lifetime, address: SocketAddr) {
    if let Err(e) = gateway.dial(DialTarget { lifetime, address, request: "" }).await {
        log::debug!("probe of the path to {address}: {e}");
    }
}
