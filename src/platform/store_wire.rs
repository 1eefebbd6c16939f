//! Wire format of the platform's metadata store.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{PlatformError, RowWrite, StoreRow, Table};
use crate::gateway::{
    decide::StoreMillis,
    model::{Era, Revision, number_in_era, revision_in_era},
    net::Answer,
};

/// A row, or the tombstone of a removed one.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireRow {
    pub(super) key: String,
    #[serde(default)]
    value: Option<String>,
    pub(super) row_version: Revision,
    #[serde(default)]
    pub(super) tombstone: bool,
}

/// A page of rows with the newest revision of the store and the time of its clock.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireRows {
    #[serde(default)]
    pub(super) rows: Vec<WireRow>,
    #[serde(default)]
    pub(super) more_pages: bool,
    #[serde(default)]
    pub(super) row_version: Revision,
    pub(super) now_ms: StoreMillis,
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
    let table = table.wire_name();
    let remove = keys.iter().map(|key| WireKey { table, part: "", key }).collect();
    encode(&WireTxn { expected_revision: Vec::new(), writes: Vec::new(), remove })
}

fn encode(txn: &WireTxn<'_>) -> Result<Bytes, PlatformError> {
    let body = serde_json::to_vec(txn).map_err(PlatformError::malformed("transaction"))?;
    Ok(body.into())
}

fn expected(write: &RowWrite) -> Option<WireExpected<'_>> {
    let row_version = number_in_era(write.expected?);
    Some(WireExpected { table: write.table.wire_name(), part: "", key: &write.key, row_version })
}

fn write(write: &RowWrite) -> WireWrite<'_> {
    let value = STANDARD.encode(&write.value);
    WireWrite { table: write.table.wire_name(), part: "", key: &write.key, value }
}

/// Decodes an answer that carries rows. The wire names revisions by their numbers in `era`.
pub(super) fn rows(answer: &Answer, era: Era) -> Result<WireRows, PlatformError> {
    let mut page: WireRows =
        serde_json::from_slice(&answer.body).map_err(PlatformError::malformed("rows"))?;
    let revisions = page.rows.iter_mut().map(|row| &mut row.row_version);
    for revision in revisions.chain([&mut page.row_version]) {
        let out_of_range = PlatformError::RevisionOutOfRange(era, *revision);
        *revision = revision_in_era(era, *revision).ok_or(out_of_range)?;
    }
    Ok(page)
}

/// Decodes a row. If its value is not base64, the row gets an empty value, which every
/// decoder rejects: one malformed row must not make the other rows of the page unusable.
pub(super) fn decode_row(row: WireRow) -> StoreRow {
    let value = STANDARD.decode(row.value.unwrap_or_default()).unwrap_or_else(|e| {
        log::warn!("the value of row {} is not base64: {e}", row.key);
        Vec::new()
    });
    StoreRow { key: row.key, value, revision: row.row_version }
}
