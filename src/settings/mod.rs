//! Settings of the daemons, in TOML. Every mistake is reported at once.

mod control;
mod entry;
mod gateway;
mod reader;

pub use control::ControlSettings;
pub use entry::{EntrySettings, Limits};
pub use gateway::{Bounds, CapacitySettings, GatewaySettings, ListenSettings};
pub use reader::{Mistake, Section, SettingsError, load};
