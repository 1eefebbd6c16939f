//! Controllers: `stakker` actors, each of which maintains part of the board.

mod capacity;
mod configuration;
mod crashes;
mod directory;
mod duties;
mod graceful_shutdown;
mod heartbeat_sender;
mod knowledge_age;
mod missing_rows;
mod path_probes;
mod peer_requests;
mod peer_sync;
mod peers;
mod persisted_state;
mod rollout_rows;
mod rollouts;
mod row_checks;
mod source;
mod startup;
mod stream_rows;
mod table_reader;
mod usage_report;
mod verdict_rows;
mod version_rows;

use std::rc::Rc;

use stakker::{ActorOwn, Stakker, actor, ret_nop};
use tokio::net::UdpSocket;

use super::context::Gateway;

pub use capacity::Capacity;
pub use configuration::ConfigurationController;
pub use crashes::Crashes;
pub use directory::Directory;
pub use duties::Duties;
pub use graceful_shutdown::GracefulShutdown;
pub use path_probes::PathProbes;
pub use peers::Peers;
pub use rollouts::Rollouts;
pub use row_checks::RowChecks;
pub use source::Source;
pub use startup::{register_member, restore_state};
pub use stream_rows::keep_stream_rows;
pub use table_reader::{follow_table, read_once};
pub use verdict_rows::VerdictKind;
pub use version_rows::{REREAD_PERIOD, keep_version_record, read_version_record};

/// Owning handles of all controllers, through which they are sent messages.
pub struct Controllers {
    /// Keeps the newest configuration in force.
    pub configuration: ActorOwn<ConfigurationController>,
    /// Maintains the list of upstreams.
    pub directory: ActorOwn<Directory>,
    /// Exchanges heartbeats with the other gateways.
    pub peers: ActorOwn<Peers>,
    /// Exchanges reports of requests that crash upstreams, and their quarantine verdicts.
    pub crashes: ActorOwn<Crashes>,
    /// Renews the lease on the duties and sends usage reports while it is held.
    pub duties: ActorOwn<Duties>,
    /// Orders engines while this process holds the lease.
    pub capacity: ActorOwn<Capacity>,
    /// Checks the health of upstreams whose rows lapsed.
    pub row_checks: ActorOwn<RowChecks>,
    /// Probes the paths to upstreams while they are suspect.
    pub path_probes: ActorOwn<PathProbes>,
    /// Follows roll-outs of versions.
    pub rollouts: ActorOwn<Rollouts>,
    /// Shuts the process down without interrupting requests.
    pub graceful_shutdown: ActorOwn<GracefulShutdown>,
}

impl std::fmt::Debug for Controllers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Controllers").finish_non_exhaustive()
    }
}

impl Controllers {
    /// Starts all controllers on `s`; `heartbeats` is the socket for messages between gateways.
    pub fn start(s: &mut Stakker, gateway: &Rc<Gateway>, heartbeats: Rc<UdpSocket>) -> Self {
        let cx = || gateway.clone();
        Self {
            configuration: actor!(s, ConfigurationController::init(cx()), ret_nop!()),
            directory: actor!(s, Directory::init(cx()), ret_nop!()),
            peers: actor!(s, Peers::init(cx(), heartbeats.clone()), ret_nop!()),
            crashes: actor!(s, Crashes::init(cx(), heartbeats), ret_nop!()),
            duties: actor!(s, Duties::init(cx()), ret_nop!()),
            capacity: actor!(s, Capacity::init(cx()), ret_nop!()),
            row_checks: actor!(s, RowChecks::init(cx()), ret_nop!()),
            path_probes: actor!(s, PathProbes::init(cx()), ret_nop!()),
            rollouts: actor!(s, Rollouts::init(cx()), ret_nop!()),
            graceful_shutdown: actor!(s, GracefulShutdown::init(cx()), ret_nop!()),
        }
    }
}
