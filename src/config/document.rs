//! Parsing and checking of the TOML documents that operators apply.

use serde::Deserialize;
use thiserror::Error;

use super::{Deployment, Drain, Item, Template};

/// Length of a SHA-256 hash in hexadecimal.
const HASH_CHARS: usize = 64;

/// A document with any number of templates, deployments and drains.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Templates.
    #[serde(default)]
    pub template: Vec<Template>,
    /// Deployments.
    #[serde(default)]
    pub deployment: Vec<Deployment>,
    /// Drains.
    #[serde(default)]
    pub drain: Vec<Drain>,
}

/// A mistake in a document.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DocumentError {
    /// The text is not TOML of the expected shape.
    #[error("{0}")]
    Toml(String),
    /// A name is empty or holds characters other than letters, digits, `-`, `_` and `.`.
    #[error("{place}: the name {name:?} may hold letters, digits, '-', '_' and '.' only")]
    Name {
        /// Item in which the name stands.
        place: String,
        /// The name.
        name: String,
    },
    /// A key hash is not 64 hexadecimal digits.
    #[error("{place}: key_hashes: expected 64 hexadecimal digits (a SHA-256 hash)")]
    KeyHash {
        /// Item in which the hash stands.
        place: String,
    },
    /// A target or limit is zero.
    #[error("{place}: {field}: expected a number above zero")]
    Zero {
        /// Item in which the number stands.
        place: String,
        /// Name of the field.
        field: &'static str,
    },
    /// A template offers neither a model nor a service.
    #[error("{place}: expected at least one of models and services")]
    Empty {
        /// The template.
        place: String,
    },
}

/// Parses a document and returns its items, templates first, or every mistake.
pub fn parse_document(text: &str) -> Result<Vec<Item>, Vec<DocumentError>> {
    let document: Document =
        toml::from_str(text).map_err(|e| vec![DocumentError::Toml(e.to_string())])?;
    let templates = document.template.into_iter().map(Item::Template);
    let deployments = document.deployment.into_iter().map(Item::Deployment);
    let drains = document.drain.into_iter().map(Item::Drain);
    let items: Vec<Item> = templates.chain(deployments).chain(drains).collect();
    let mistakes: Vec<DocumentError> = items.iter().flat_map(check_item).collect();
    if mistakes.is_empty() { Ok(items) } else { Err(mistakes) }
}

/// Returns every mistake in one item.
pub fn check_item(item: &Item) -> Vec<DocumentError> {
    let place = item.key().to_string();
    let mut mistakes = check_name(&place, &item.key().name);
    match item {
        Item::Template(t) => mistakes.extend(check_template(&place, t)),
        Item::Deployment(d) => mistakes.extend(check_deployment(&place, d)),
        Item::Drain(_) => {}
    }
    mistakes
}

fn check_name(place: &str, name: &str) -> Vec<DocumentError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !name.is_empty() && name.chars().all(allowed) {
        return Vec::new();
    }
    vec![DocumentError::Name { place: place.to_owned(), name: name.to_owned() }]
}

fn check_template(place: &str, t: &Template) -> Vec<DocumentError> {
    let mut mistakes = Vec::new();
    if t.models.is_empty() && t.services.is_empty() {
        mistakes.push(DocumentError::Empty { place: place.to_owned() });
    }
    if t.targets.first_token_ms == 0 {
        mistakes.push(zero(place, "targets.first_token_ms"));
    }
    for s in &t.services {
        mistakes.extend(check_name(&format!("{place}/service"), &s.name));
    }
    mistakes
}

fn check_deployment(place: &str, d: &Deployment) -> Vec<DocumentError> {
    let mut mistakes = check_name(place, &d.template);
    let is_hash = |h: &String| h.len() == HASH_CHARS && h.chars().all(|c| c.is_ascii_hexdigit());
    if !d.key_hashes.iter().all(is_hash) {
        mistakes.push(DocumentError::KeyHash { place: place.to_owned() });
    }
    if d.parameters.max_in_progress == Some(0) {
        mistakes.push(zero(place, "parameters.max_in_progress"));
    }
    if d.parameters.budget_per_hour.is_some_and(|b| b <= 0.0) {
        mistakes.push(zero(place, "parameters.budget_per_hour"));
    }
    mistakes
}

fn zero(place: &str, field: &'static str) -> DocumentError {
    DocumentError::Zero { place: place.to_owned(), field }
}
