//! Controllers: `stakker` actors that read and write the blackboard.

mod admission;
mod configuration;
mod directory;
mod membership;
mod peers;
mod placement;
mod shutdown;

pub use admission::Admission;
pub use configuration::Configuration;
pub use directory::DirectoryController;
pub use membership::Membership;
pub use peers::Peers;
pub use placement::Placement;
pub use shutdown::Shutdown;
