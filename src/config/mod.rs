//! Configuration that operators edit: templates, deployments and drains.

mod change;
mod document;
mod item;
pub mod log;
mod store;
mod validate;

pub use change::{Change, ItemKey, ItemKind};
pub use document::{Document, DocumentError, check_item, parse_document};
pub use item::{
    ClassPolicy, Deployment, DeploymentParameters, Drain, Item, ServicePolicy, Targets, Template,
};
pub use store::{ConfigStore, CustomerPolicy, StoreError, Stored, key_hash};
pub use validate::{ChangeError, check_change};
