//! Settings of the daemons, in TOML. All invalid settings of a file are reported together.

mod control;
mod entry;
mod gateway;
mod reader;
mod system;

pub use control::ControlSettings;
pub use entry::{EntrySettings, Limits};
pub use gateway::{
    Bounds, CandidatePolicy, CapacitySettings, GatewaySettings, HostSettings, ListenSettings,
    LoadSettings, PlacementPolicy,
};
pub use reader::{Mistake, Section, SettingsError, load};
