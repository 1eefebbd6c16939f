//! Rows of a table, collected from the pages that the store gives.

use super::{
    PlatformError, Snapshot,
    store_wire::{RowPage, decode_row},
};
use crate::gateway::model::era_of;

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Maximum number of pages of a table. With fewer, the list of a large fleet cannot be read.
const MAX_PAGES: usize = 64;
/// Maximum size of all pages of a table, as received. A larger one does not fit into the smallest hosts.
const MAX_TABLE_BYTES: usize = 32 << 20;

/// The pages of a table that were read so far.
#[derive(Debug, Default)]
pub(super) struct PagedRows {
    /// Rows of all pages; `None` before the first one.
    snapshot: Option<Snapshot>,
    /// Greatest key of the pages; `None` if there is none yet.
    last_key: Option<String>,
    /// Number of pages.
    pages: usize,
    /// Size of the pages, as received.
    bytes: usize,
}

impl PagedRows {
    /// Adds a page that was received in `bytes` bytes; returns the key at which the next one begins, or
    /// `None` after the last page.
    ///
    /// # Errors
    ///
    /// Fails if the store has returned from a copy since the first page, if more pages are announced but
    /// this one does not go beyond the ones before, or if the table is too large.
    pub(super) fn add(
        &mut self,
        page: RowPage,
        bytes: usize,
    ) -> Result<Option<String>, PlatformError> {
        // A page may begin at the last key again.
        let last = self.last_key.take();
        let is_new = |key: &str| last.as_deref().is_none_or(|last| key > last);
        let rows: Vec<_> = page.rows.into_iter().filter(|row| is_new(&row.key)).collect();
        let newest = rows.iter().map(|row| &row.key).max().cloned();
        if page.more_pages && newest.is_none() {
            return Err(PlatformError::PagesRepeat { after: last.unwrap_or_default() });
        }
        self.last_key = newest.or(last);
        let snapshot = self.snapshot.get_or_insert(Snapshot {
            rows: Vec::new(),
            revision: page.revision,
            as_of: page.now,
        });
        if era_of(page.revision) != era_of(snapshot.revision) {
            return Err(PlatformError::EraChanged);
        }
        // The lowest revision of all pages, so that a feed from there misses no change.
        snapshot.revision = snapshot.revision.min(page.revision);
        snapshot.rows.extend(rows.into_iter().map(decode_row));
        self.pages += 1;
        self.bytes += bytes;
        if self.bytes > MAX_TABLE_BYTES || (page.more_pages && self.pages == MAX_PAGES) {
            return Err(PlatformError::TableTooLarge { pages: self.pages, bytes: self.bytes });
        }
        Ok(self.last_key.as_deref().filter(|_| page.more_pages).map(start_after))
    }

    /// Returns the rows of all pages.
    pub(super) fn into_snapshot(self) -> Snapshot {
        self.snapshot.unwrap_or_default()
    }
}

/// Returns where a page begins that follows a key: at the smallest greater key, or at the key itself if
/// it is as long as a key may be.
fn start_after(key: &str) -> String {
    let end = if key.len() < MAX_KEY_BYTES { "\0" } else { "" };
    format!("{key}{end}")
}
