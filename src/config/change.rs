//! A change of configuration, as the log and the audit trail keep it.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Item;
use crate::{ids::ConfigVersion, time::UnixMillis};

/// Kind of a configuration item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKind {
    /// A template.
    Template,
    /// A deployment.
    Deployment,
    /// A drain.
    Drain,
}

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Template => "template",
            Self::Deployment => "deployment",
            Self::Drain => "drain",
        })
    }
}

/// Kind and name of a configuration item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ItemKey {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item within its kind.
    pub name: String,
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl Item {
    /// Returns the kind and name of the item.
    pub fn key(&self) -> ItemKey {
        let (kind, name) = match self {
            Self::Template(t) => (ItemKind::Template, &t.name),
            Self::Deployment(d) => (ItemKind::Deployment, &d.customer),
            Self::Drain(d) => (ItemKind::Drain, &d.target),
        };
        ItemKey { kind, name: name.clone() }
    }
}

/// An accepted change: the entry of the log and of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the configuration has from this change on.
    pub version: ConfigVersion,
    /// Random id, to recognise the change when its answer was lost.
    pub change_id: String,
    /// The item that changed.
    pub key: ItemKey,
    /// Value before; `None` where the item is new.
    pub from: Option<Item>,
    /// Value after; `None` where the item was removed.
    pub to: Option<Item>,
    /// The operator.
    pub by: String,
    /// The entry host that accepted the change.
    pub via: String,
    /// When it was accepted.
    pub at_ms: UnixMillis,
}
