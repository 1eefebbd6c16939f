//! Whether a change leaves the configuration whole.

use thiserror::Error;

use super::{Item, ItemKey, ItemKind, Stored};

/// Why a change is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ChangeError {
    /// The deployment names a template that does not exist.
    #[error("deployment {customer} names the template {template}, which does not exist")]
    NoTemplate {
        /// Customer.
        customer: String,
        /// Template.
        template: String,
    },
    /// The template is still used.
    #[error("template {template} is used by the deployment of {customer}")]
    TemplateInUse {
        /// Template.
        template: String,
        /// One of its customers.
        customer: String,
    },
    /// A caller's key would open two customers' requests.
    #[error("a key of {customer} is also a key of {other}")]
    SharedKey {
        /// Customer of the change.
        customer: String,
        /// The other customer.
        other: String,
    },
    /// A deployment would have no data centre left.
    #[error("the deployment of {customer} would have no data centre left")]
    NoDataCentre {
        /// Customer.
        customer: String,
    },
}

/// Checks a change against the items in force.
pub fn check_change(
    items: &[(ItemKey, Stored)],
    key: &ItemKey,
    to: Option<&Item>,
) -> Result<(), ChangeError> {
    match to {
        Some(Item::Deployment(d)) => {
            check_template_exists(items, &d.customer, &d.template)?;
            check_keys(items, &d.customer, &d.key_hashes)
        }
        Some(Item::Drain(d)) => check_drain(items, &d.target),
        Some(Item::Template(_)) => Ok(()),
        None if key.kind == ItemKind::Template => check_unused(items, &key.name),
        None => Ok(()),
    }
}

fn check_template_exists(
    items: &[(ItemKey, Stored)],
    customer: &str,
    template: &str,
) -> Result<(), ChangeError> {
    let is_it = |i: &Item| matches!(i, Item::Template(t) if t.name == template);
    if in_force(items).any(is_it) {
        return Ok(());
    }
    let (customer, template) = (customer.to_owned(), template.to_owned());
    Err(ChangeError::NoTemplate { customer, template })
}

fn check_keys(
    items: &[(ItemKey, Stored)],
    customer: &str,
    hashes: &[String],
) -> Result<(), ChangeError> {
    for item in in_force(items) {
        let Item::Deployment(other) = item else { continue };
        let shared =
            other.key_hashes.iter().any(|h| hashes.iter().any(|g| g.eq_ignore_ascii_case(h)));
        if shared && other.customer != customer {
            let other = other.customer.clone();
            return Err(ChangeError::SharedKey { customer: customer.to_owned(), other });
        }
    }
    Ok(())
}

fn check_unused(items: &[(ItemKey, Stored)], template: &str) -> Result<(), ChangeError> {
    for item in in_force(items) {
        let Item::Deployment(d) = item else { continue };
        if d.template == template {
            let customer = d.customer.clone();
            return Err(ChangeError::TemplateInUse { template: template.to_owned(), customer });
        }
    }
    Ok(())
}

/// Refuses a drain of the last data centre that a deployment may use.
fn check_drain(items: &[(ItemKey, Stored)], target: &str) -> Result<(), ChangeError> {
    let drained = |dc: &String| {
        let is_it = |i: &Item| matches!(i, Item::Drain(d) if d.target == *dc);
        dc == target || in_force(items).any(is_it)
    };
    for item in in_force(items) {
        let Item::Deployment(d) = item else { continue };
        let dcs = d.parameters.data_centres.clone().or_else(|| template_dcs(items, &d.template));
        let dcs = dcs.unwrap_or_default();
        if !dcs.is_empty() && dcs.iter().all(drained) {
            return Err(ChangeError::NoDataCentre { customer: d.customer.clone() });
        }
    }
    Ok(())
}

fn template_dcs(items: &[(ItemKey, Stored)], template: &str) -> Option<Vec<String>> {
    in_force(items).find_map(|item| match item {
        Item::Template(t) if t.name == template => Some(t.data_centres.clone()),
        _ => None,
    })
}

fn in_force(items: &[(ItemKey, Stored)]) -> impl Iterator<Item = &Item> {
    items.iter().filter_map(|(_, s)| s.item.as_ref())
}
