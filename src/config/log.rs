//! The configuration log in the platform's table.
//!
//! `config/head` holds the version, `config/log/VERSION` each change, and
//! `config/item/KIND/NAME` each item with the version that set it. A change
//! writes all three in one transaction.

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    cloud::{Check, PlatformClient, PlatformError, Put, Row, Txn},
    config::{Change, ItemKey, Stored},
    ids::ConfigVersion,
};

/// Key of the head.
const HEAD: &str = "config/head";
/// Prefix of changes.
const LOG: &str = "config/log/";
/// Prefix of items.
const ITEMS: &str = "config/item/";
/// Changes read at once.
const PAGE: usize = 500;
/// Times that the items are read again because a change came in between.
const MAX_READS: usize = 10;

/// The head of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Version of the row that holds it.
    pub row_version: u64,
}

/// An item's row.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ItemRow {
    key: ItemKey,
    stored: Stored,
}

/// Reads the head.
pub fn read_head(platform: &PlatformClient) -> Result<Head, PlatformError> {
    let Some(row) = platform.get(HEAD)? else {
        return Ok(Head::default());
    };
    let version = row.value.get("version").and_then(serde_json::Value::as_u64).unwrap_or_default();
    Ok(Head { version, row_version: row.version })
}

/// Reads the changes after a version, one page at most.
pub fn read_changes(
    platform: &PlatformClient,
    known: ConfigVersion,
) -> Result<Vec<Change>, PlatformError> {
    let rows = platform.scan(LOG, &log_key(known), PAGE)?.rows;
    rows.into_iter().map(|row| parse(row.value)).collect()
}

/// Reads one change.
pub fn read_change(
    platform: &PlatformClient,
    version: ConfigVersion,
) -> Result<Option<Change>, PlatformError> {
    platform.get(&log_key(version))?.map(|row| parse(row.value)).transpose()
}

/// Reads all items, at one version.
pub fn read_items(
    platform: &PlatformClient,
) -> Result<(ConfigVersion, Vec<(ItemKey, Stored)>), PlatformError> {
    let mut head = read_head(platform)?;
    for _ in 0..MAX_READS {
        let rows = platform.scan_all(ITEMS)?;
        let after = read_head(platform)?;
        if after == head {
            let items = rows.into_iter().map(parse_item).collect::<Result<_, _>>()?;
            return Ok((head.version, items));
        }
        head = after;
    }
    Err(PlatformError::Body("the configuration changes faster than it can be read".to_owned()))
}

/// Reads one item with its row's version; zero where there is none.
pub fn read_item(
    platform: &PlatformClient,
    key: &ItemKey,
) -> Result<(u64, Option<Stored>), PlatformError> {
    match platform.get(&item_key(key))? {
        None => Ok((0, None)),
        Some(row) => {
            let version = row.version;
            Ok((version, Some(parse_item(row)?.1)))
        }
    }
}

/// Returns the transaction that accepts a change, if nothing came in between.
pub fn accept_txn(change: &Change, head: Head, item_row_version: u64) -> Txn {
    let item = item_key(&change.key);
    let stored = Stored { version: change.version, item: change.to.clone() };
    let row = ItemRow { key: change.key.clone(), stored };
    Txn {
        checks: vec![
            Check { key: HEAD.to_owned(), version: head.row_version },
            Check { key: item.clone(), version: item_row_version },
        ],
        puts: vec![
            Put { key: HEAD.to_owned(), value: json!({ "version": change.version }) },
            Put { key: log_key(change.version), value: json!(change) },
            Put { key: item, value: json!(row) },
        ],
    }
}

fn log_key(version: ConfigVersion) -> String {
    format!("{LOG}{version:012}")
}

/// Returns the key of an item's row.
pub fn item_key(key: &ItemKey) -> String {
    format!("{ITEMS}{key}")
}

fn parse<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Result<T, PlatformError> {
    serde_json::from_value(value).map_err(|e| PlatformError::Body(e.to_string()))
}

fn parse_item(row: Row) -> Result<(ItemKey, Stored), PlatformError> {
    let row: ItemRow = parse(row.value)?;
    Ok((row.key, row.stored))
}
