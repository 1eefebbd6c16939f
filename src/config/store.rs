//! The configuration that a process has in force. Versions only rise.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::{
    Change, ClassPolicy, Deployment, DeploymentParameters, Item, ItemKey, ItemKind, ServicePolicy,
    Targets, Template,
};
use crate::{
    ids::{ConfigVersion, Customer, DataCentre, Model},
    routing::Class,
};

/// Changes kept for peers that lag.
const KEPT_CHANGES: usize = 256;

/// An item and the version of the change that set it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Version of the change that set the item.
    pub version: ConfigVersion,
    /// The item; `None` where it was removed.
    pub item: Option<Item>,
}

/// Why a change was not applied.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// A change between the current version and this one is missing.
    #[error("change {got} does not follow version {have}")]
    Gap {
        /// Version in force.
        have: ConfigVersion,
        /// Version of the change.
        got: ConfigVersion,
    },
}

/// The resolved policy of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerPolicy {
    /// Name of the customer.
    pub customer: Customer,
    /// Models that the customer may ask for.
    pub models: Vec<Model>,
    /// Data centres in which its requests may run; empty for all.
    pub data_centres: Vec<DataCentre>,
    /// Latency targets.
    pub targets: Targets,
    /// Requests in progress at most on one entry host.
    pub max_in_progress: u32,
    /// Policies by class.
    pub classes: BTreeMap<Class, ClassPolicy>,
    /// Plain services.
    pub services: Vec<ServicePolicy>,
    /// Whether the engines refuse an order with an old fencing number.
    pub checks_fencing: bool,
}

impl CustomerPolicy {
    /// Requests in progress at most where the deployment does not say.
    pub const DEFAULT_MAX_IN_PROGRESS: u32 = 256;

    fn resolve(deployment: &Deployment, template: &Template) -> Self {
        let DeploymentParameters { models, data_centres, targets, max_in_progress, .. } =
            deployment.parameters.clone();
        Self {
            customer: deployment.customer.clone(),
            models: models.unwrap_or_else(|| template.models.clone()),
            data_centres: data_centres.unwrap_or_else(|| template.data_centres.clone()),
            targets: targets.unwrap_or(template.targets),
            max_in_progress: max_in_progress.unwrap_or(Self::DEFAULT_MAX_IN_PROGRESS),
            classes: template.classes.clone(),
            services: template.services.clone(),
            checks_fencing: template.checks_fencing,
        }
    }

    /// Returns the policy of a class, or the default of that class.
    pub fn class(&self, class: Class) -> ClassPolicy {
        self.classes.get(&class).copied().unwrap_or_else(|| class.default_policy())
    }

    /// Returns the policy of a service.
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        self.services.iter().find(|s| s.name == name)
    }
}

/// The configuration in force, with the latest changes for peers that lag.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    version: ConfigVersion,
    items: BTreeMap<ItemKey, Stored>,
    recent: VecDeque<Change>,
    by_key_hash: HashMap<String, Customer>,
}

impl ConfigStore {
    /// Returns the version in force; zero before the first.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the items with the versions that set them.
    pub fn items(&self) -> &BTreeMap<ItemKey, Stored> {
        &self.items
    }

    /// Returns one item as stored.
    pub fn get(&self, key: &ItemKey) -> Option<&Stored> {
        self.items.get(key)
    }

    /// Applies the change that follows the version in force; older ones are
    /// ignored. Returns whether the version rose.
    pub fn apply(&mut self, change: Change) -> Result<bool, StoreError> {
        if change.version <= self.version {
            return Ok(false);
        }
        if change.version != self.version + 1 {
            return Err(StoreError::Gap { have: self.version, got: change.version });
        }
        self.version = change.version;
        self.put(change.key.clone(), Stored { version: change.version, item: change.to.clone() });
        self.recent.push_back(change);
        if self.recent.len() > KEPT_CHANGES {
            self.recent.pop_front();
        }
        Ok(true)
    }

    /// Takes a snapshot if it is newer than the version in force. Returns
    /// whether it was.
    pub fn take_snapshot(&mut self, version: ConfigVersion, items: Vec<(ItemKey, Stored)>) -> bool {
        if version <= self.version {
            return false;
        }
        self.items.clear();
        self.by_key_hash.clear();
        self.recent.clear();
        self.version = version;
        for (key, stored) in items {
            self.put(key, stored);
        }
        true
    }

    /// Returns the changes after `version`, or `None` where they are no
    /// longer kept and a snapshot is needed.
    pub fn changes_after(&self, version: ConfigVersion) -> Option<Vec<Change>> {
        if version >= self.version {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.version;
        if version + 1 < first {
            return None;
        }
        Some(self.recent.iter().filter(|c| c.version > version).cloned().collect())
    }

    /// Returns the policy of the customer whose deployment lists the hash of
    /// this caller's key.
    ///
    /// The look-up is by SHA-256, so its timing tells nothing about the key.
    pub fn customer_of_key(&self, key: &str) -> Option<CustomerPolicy> {
        self.policy(self.by_key_hash.get(&key_hash(key))?)
    }

    /// Returns the resolved policy of a customer.
    pub fn policy(&self, customer: &str) -> Option<CustomerPolicy> {
        let deployment = match self.item(ItemKind::Deployment, customer)? {
            Item::Deployment(d) => d,
            Item::Template(_) | Item::Drain(_) => return None,
        };
        let template = match self.item(ItemKind::Template, &deployment.template)? {
            Item::Template(t) => t,
            Item::Deployment(_) | Item::Drain(_) => return None,
        };
        Some(CustomerPolicy::resolve(deployment, template))
    }

    /// Returns whether an operator drains this upstream or data centre.
    pub fn is_drained(&self, target: &str) -> bool {
        self.item(ItemKind::Drain, target).is_some()
    }

    /// Returns the templates.
    pub fn templates(&self) -> impl Iterator<Item = &Template> {
        self.items.values().filter_map(|s| match &s.item {
            Some(Item::Template(t)) => Some(t),
            Some(Item::Deployment(_) | Item::Drain(_)) | None => None,
        })
    }

    fn item(&self, kind: ItemKind, name: &str) -> Option<&Item> {
        let key = ItemKey { kind, name: name.to_owned() };
        self.items.get(&key)?.item.as_ref()
    }

    fn put(&mut self, key: ItemKey, stored: Stored) {
        if key.kind == ItemKind::Deployment {
            self.by_key_hash.retain(|_, customer| *customer != key.name);
        }
        if let Some(Item::Deployment(d)) = &stored.item {
            for hash in &d.key_hashes {
                self.by_key_hash.insert(hash.to_lowercase(), d.customer.clone());
            }
        }
        self.items.insert(key, stored);
    }
}

/// Returns the SHA-256 hash of a key in lower-case hexadecimal.
pub fn key_hash(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}
