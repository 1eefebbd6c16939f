//! Controllers: `stakker` actors that keep the board.

mod ages;
mod asking;
mod capacity;
mod catching_up;
mod configuration;
mod crashes;
mod directory;
mod duties;
mod joining;
mod kept;
mod leaving;
mod missing_rows;
mod peers;
mod reading;
mod rollouts;
mod source;
mod telling;
mod usage_report;

use std::rc::Rc;

use stakker::{ActorOwn, Stakker, actor, ret_nop};
use tokio::net::UdpSocket;

use super::context::Gateway;

pub use capacity::Capacity;
pub use configuration::ConfigurationController;
pub use crashes::Crashes;
pub use directory::Directory;
pub use duties::Duties;
pub use joining::{announce, recall};
pub use leaving::Leaving;
pub use peers::Peers;
pub use reading::follow;
pub use rollouts::Rollouts;
pub use source::Source;

/// The controllers, to which messages are handed.
pub struct Controllers {
    /// Configuration in force.
    pub configuration: ActorOwn<ConfigurationController>,
    /// Upstreams.
    pub directory: ActorOwn<Directory>,
    /// Other gateways.
    pub peers: ActorOwn<Peers>,
    /// Requests that crash upstreams.
    pub crashes: ActorOwn<Crashes>,
    /// Lease and usage reports.
    pub duties: ActorOwn<Duties>,
    /// Orders of engines.
    pub capacity: ActorOwn<Capacity>,
    /// Roll-outs of versions.
    pub rollouts: ActorOwn<Rollouts>,
    /// Leaving.
    pub leaving: ActorOwn<Leaving>,
}

impl std::fmt::Debug for Controllers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Controllers").finish_non_exhaustive()
    }
}

impl Controllers {
    /// Starts the controllers.
    pub fn start(s: &mut Stakker, gateway: &Rc<Gateway>, heartbeats: Rc<UdpSocket>) -> Self {
        let cx = || gateway.clone();
        Self {
            configuration: actor!(s, ConfigurationController::init(cx()), ret_nop!()),
            directory: actor!(s, Directory::init(cx()), ret_nop!()),
            peers: actor!(s, Peers::init(cx(), heartbeats.clone()), ret_nop!()),
            crashes: actor!(s, Crashes::init(cx(), heartbeats), ret_nop!()),
            duties: actor!(s, Duties::init(cx()), ret_nop!()),
            capacity: actor!(s, Capacity::init(cx()), ret_nop!()),
            rollouts: actor!(s, Rollouts::init(cx()), ret_nop!()),
            leaving: actor!(s, Leaving::init(cx()), ret_nop!()),
        }
    }
}
