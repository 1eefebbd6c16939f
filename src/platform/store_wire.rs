//! Wire format of the platform's metadata store.

use base64::{DecodeError, Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

use super::{PlatformError, RowWrite, StoreRow, Table};
use crate::gateway::{
    decide::StoreMillis,
    model::{Era, Revision, number_in_era, revision_in_era},
    net::Answer,
};

/// Maximum number of characters of an unreadable row that the log quotes.
const MAX_QUOTED_CHARS: usize = 200;

/// Largest time of the store's clock. Durations can be added to it without overflow.
const MAX_TIME: StoreMillis = 1 << 53;

/// A row, or the tombstone of a removed one.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireRow {
    pub(super) key: String,
    /// The value as it stands: text in base64, unless another writer found a way to store something else.
    #[serde(default)]
    value: Option<Box<RawValue>>,
    pub(super) row_version: Revision,
    #[serde(default)]
    tombstone: Option<bool>,
}

impl WireRow {
    /// Returns whether this is the tombstone of a removed row.
    pub(super) fn is_removed(&self) -> bool {
        self.tombstone.unwrap_or_default()
    }
}

/// Why the value of a row cannot be decoded.
#[derive(Debug, Error)]
enum ValueError {
    /// It is not text.
    #[error("{0}")]
    Text(#[from] serde_json::Error),
    /// It is not base64.
    #[error("{0}")]
    Base64(#[from] DecodeError),
}

/// A page with its rows as they stand, so that one that cannot be read costs itself only.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePage {
    #[serde(default)]
    rows: Vec<Box<RawValue>>,
    #[serde(default)]
    more_pages: bool,
    #[serde(default)]
    row_version: Revision,
    now_ms: StoreMillis,
}

/// A page of rows with the newest revision of the store and the time of its clock.
pub(super) struct RowPage {
    /// Rows that could be read.
    pub(super) rows: Vec<WireRow>,
    /// Whether more rows follow.
    pub(super) more_pages: bool,
    /// Newest revision of the store.
    pub(super) revision: Revision,
    /// Time of the store's clock.
    pub(super) now: StoreMillis,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireExpected<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    row_version: Revision,
}

#[derive(Serialize)]
struct WireWrite<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireTxn<'a> {
    expected_revision: Vec<WireExpected<'a>>,
    writes: Vec<WireWrite<'a>>,
    remove: Vec<WireKey<'a>>,
}

#[derive(Serialize)]
struct WireKey<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

/// Encodes a transaction that writes all the rows or none.
pub(super) fn transaction(writes: &[RowWrite]) -> Result<Bytes, PlatformError> {
    let txn = WireTxn {
        expected_revision: writes.iter().filter_map(expected).collect(),
        writes: writes.iter().map(write).collect(),
        remove: Vec::new(),
    };
    encode(&txn)
}

/// Encodes a transaction that removes all the rows that are there.
pub(super) fn removal(table: Table, keys: &[String]) -> Result<Bytes, PlatformError> {
    let name = table.wire_name();
    let remove = keys.iter().map(|key| WireKey { table: name, part: table.part(key), key });
    let remove = remove.collect();
    encode(&WireTxn { expected_revision: Vec::new(), writes: Vec::new(), remove })
}

fn encode(txn: &WireTxn<'_>) -> Result<Bytes, PlatformError> {
    let body = serde_json::to_vec(txn).map_err(PlatformError::malformed("transaction"))?;
    Ok(body.into())
}

fn expected(write: &RowWrite) -> Option<WireExpected<'_>> {
    let row_version = number_in_era(write.expected?);
    let (table, part) = (write.table.wire_name(), write.table.part(&write.key));
    Some(WireExpected { table, part, key: &write.key, row_version })
}

fn write(write: &RowWrite) -> WireWrite<'_> {
    let value = STANDARD.encode(&write.value);
    let (table, part) = (write.table.wire_name(), write.table.part(&write.key));
    WireWrite { table, part, key: &write.key, value }
}

/// Decodes an answer that carries rows, and leaves out rows that cannot be read. The wire names
/// revisions by their numbers in `era`.
pub(super) fn rows(answer: &Answer, era: Era) -> Result<RowPage, PlatformError> {
    let page: WirePage =
        serde_json::from_slice(&answer.body).map_err(PlatformError::malformed("rows"))?;
    if page.now_ms > MAX_TIME {
        return Err(PlatformError::TimeOutOfRange(page.now_ms));
    }
    Ok(RowPage {
        rows: page.rows.iter().filter_map(|row| readable_row(row, era)).collect(),
        more_pages: page.more_pages,
        revision: revision(era, page.row_version)?,
        now: page.now_ms,
    })
}

fn revision(era: Era, number: Revision) -> Result<Revision, PlatformError> {
    revision_in_era(era, number).ok_or(PlatformError::RevisionOutOfRange(era, number))
}

/// Decodes a row; logs one that cannot be read.
fn readable_row(row: &RawValue, era: Era) -> Option<WireRow> {
    let decoded = decode_wire_row(row, era);
    if let Err(e) = &decoded {
        let quoted: String = row.get().chars().take(MAX_QUOTED_CHARS).collect();
        log::warn!("a row of the store is left out, {e}: {quoted:?}");
    }
    decoded.ok()
}

fn decode_wire_row(row: &RawValue, era: Era) -> Result<WireRow, PlatformError> {
    let row: WireRow = serde_json::from_str(row.get()).map_err(PlatformError::malformed("row"))?;
    Ok(WireRow { row_version: revision(era, row.row_version)?, ..row })
}

/// Decodes a row. If its value is not base64, the row gets an empty value, which every
/// decoder rejects: one malformed row must not make the other rows of the page unusable.
pub(super) fn decode_row(row: WireRow) -> StoreRow {
    let value = decode_value(row.value.as_deref()).unwrap_or_else(|e| {
        log::warn!("the value of row {:?} cannot be decoded: {e}", row.key);
        Vec::new()
    });
    StoreRow { key: row.key, value, revision: row.row_version }
}

fn decode_value(value: Option<&RawValue>) -> Result<Vec<u8>, ValueError> {
    let text: String =
        value.map_or(Ok(String::new()), |value| serde_json::from_str(value.get()))?;
    Ok(STANDARD.decode(text)?)
}
