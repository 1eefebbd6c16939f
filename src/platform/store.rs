//! Client of the platform's metadata store: versioned rows and feeds of their changes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};

use super::{
    CallTarget, PlatformError,
    paged_rows::PagedRows,
    store_wire::{decode_row, removal, rows, transaction},
};
use crate::{
    clock,
    gateway::{
        decide::StoreMillis,
        model::{Era, Revision, era_of, number_in_era},
        net::{Answer, HttpConnection, connect, json_request},
    },
    prefix,
};

/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for the answer to a read or write. The store normally answers within about
/// 10 ms, but can be sixty times slower.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that the answer to a feed call may take beyond the requested wait.
const FEED_GRACE: Duration = Duration::from_millis(1_500);
/// Rows per page; the maximum that the store allows.
const PAGE_ROWS: usize = 500;
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// Time after its last answer for which a connection is reused. A call on a connection that
/// has died since then would take [`CALL_TIMEOUT`] to fail; opening a new one is fast.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Path of transactions.
const TRANSACTION: &str = "/rows-tx";
/// Header in which the store names its era.
const ERA_HEADER: &str = "store-era";

/// Parts of tables that are spread over several.
const PARTS: [&str; 16] =
    ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f"];

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// The configuration and roll-out orders, written by the operator.
    Operator,
    /// Descriptions of upstreams, written by the upstreams.
    Upstreams,
    /// Progress of roll-outs, written by the gateways for the operator.
    Status,
    /// Addresses of the gateways, written by themselves.
    Members,
    /// Leases and the durable state of their holders, written by the gateways.
    Duties,
    /// Versions at which streams began, written by the gateways to rows named after them.
    Streams,
}

impl Table {
    pub(super) fn wire_name(self) -> &'static str {
        match self {
            Self::Operator => "op",
            Self::Upstreams => "servers",
            Self::Status => "status",
            Self::Members => "members",
            Self::Duties => "duties",
            Self::Streams => "streams",
        }
    }

    /// Returns the part that holds a row. A part bears only some writes a second, so the rows that all
    /// gateways write are spread by their owners.
    pub(super) fn part(self, key: &str) -> &'static str {
        match self {
            Self::Streams => {
                let owner = key.split('/').next().unwrap_or_default();
                let hash = prefix::mix(prefix::hash(owner.as_bytes()));
                PARTS[hash as usize % PARTS.len()]
            }
            Self::Operator | Self::Upstreams | Self::Status | Self::Members | Self::Duties => "",
        }
    }
}

/// A row with its decoded value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRow {
    /// Key, unique within its table.
    pub key: String,
    /// Value; empty if it was not valid base64.
    pub value: Vec<u8>,
    /// Revision of the store at which the row was written.
    pub revision: Revision,
}

/// Rows of a table at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Rows in ascending order of their keys.
    pub rows: Vec<StoreRow>,
    /// Newest revision of the store when the rows were read.
    pub revision: Revision,
    /// Time of the read by the store's clock.
    pub as_of: StoreMillis,
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The row was written.
    Written(StoreRow),
    /// The row with this key was removed, at this revision.
    Removed(String, Revision),
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Feed {
    /// Changes in order of their revisions.
    pub changes: Vec<Change>,
    /// Revision to pass to the next call as `after`.
    pub revision: Revision,
    /// Time by the store's clock up to which the changes are complete.
    pub as_of: StoreMillis,
}

/// A write of a row, optionally conditional on its revision.
#[derive(Clone, Debug)]
pub struct RowWrite {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Vec<u8>,
    /// Revision that the row must have, or 0 if it must not exist; `None` writes
    /// unconditionally.
    pub expected: Option<Revision>,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied at this revision.
    Done(Revision),
    /// A row did not have the expected revision and nothing was written; the current rows.
    Conflict(Vec<StoreRow>),
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    last_answer: Instant,
}

/// Client of the store.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    /// Highest era in which the store has answered.
    era: Cell<Option<Era>>,
    /// Whether all answers count as of one era.
    ignores_eras: bool,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::default(), era: Cell::default(), ignores_eras: false }
    }

    /// Takes all answers for those of one era.
    pub fn ignoring_eras(self) -> Self {
        Self { ignores_eras: true, ..self }
    }

    /// Returns the highest era in which the store has answered; `None` before its first answer, or
    /// if no answer has named one.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Reads all rows of a table. A late answer may show an older state: compare
    /// [`Snapshot::revision`] with the last known revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, refuses a call or returns a malformed answer, if its pages
    /// repeat, and if the table is too large.
    pub async fn snapshot(&self, table: Table) -> Result<Snapshot, PlatformError> {
        self.range(table, "", None, None).await
    }

    /// Reads the rows of an owner, whose keys begin with its name and a slash.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::snapshot`].
    pub async fn rows_of(&self, table: Table, owner: &str) -> Result<Snapshot, PlatformError> {
        // The character after the slash.
        let (from, until) = (format!("{owner}/"), format!("{owner}0"));
        let part = table.part(&from);
        let mut snapshot = self.range(table, part, Some(from.clone()), Some(&until)).await?;
        snapshot.rows.retain(|row| row.key.starts_with(&from));
        Ok(snapshot)
    }

    /// Reads the rows of a part of a table, from a key on and up to another one, which is left out.
    async fn range(
        &self,
        table: Table,
        part: &str,
        mut from: Option<String>,
        until: Option<&str>,
    ) -> Result<Snapshot, PlatformError> {
        let mut pages = PagedRows::default();
        loop {
            let mut target = CallTarget::new("/rows-get")
                .with("table", table.wire_name())
                .with("part", part)
                .with("limit", PAGE_ROWS);
            if let Some(from) = from {
                target = target.with("from", from);
            }
            if let Some(until) = until {
                target = target.with("destination", until);
            }
            let answer = self.call(Method::GET, target, Bytes::new(), CALL_TIMEOUT).await?;
            let page = rows(&answer, self.era_of_answer(&answer))?;
            from = pages.add(page, answer.body.len())?;
            if from.is_none() {
                return Ok(pages.into_snapshot());
            }
        }
    }

    /// Reads one row; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, refuses the call or returns a malformed answer.
    pub async fn row(&self, table: Table, key: &str) -> Result<Option<StoreRow>, PlatformError> {
        let target = CallTarget::new("/rows-get")
            .with("table", table.wire_name())
            .with("part", table.part(key))
            .with("from", key)
            .with("limit", 1);
        let answer = self.call(Method::GET, target, Bytes::new(), CALL_TIMEOUT).await?;
        let page = rows(&answer, self.era_of_answer(&answer))?;
        let first = page.rows.into_iter().next().map(decode_row);
        Ok(first.filter(|row| row.key == key))
    }

    /// Waits for changes of a table after a revision, for at most `wait`. Always opens a new
    /// connection: an idle one may be dead, which cannot be told from a feed without changes.
    ///
    /// # Errors
    ///
    /// [`PlatformError::HistoryLost`] if the store no longer keeps the changes, and
    /// [`PlatformError::EraChanged`] if `after` belongs to another era; other errors if it does
    /// not answer, refuses the call or returns a malformed answer.
    pub async fn feed(
        &self,
        table: Table,
        after: Revision,
        wait: Duration,
    ) -> Result<Feed, PlatformError> {
        if self.era_is_over(after) {
            return Err(PlatformError::EraChanged);
        }
        let target = CallTarget::new("/rows-feed")
            .with("table", table.wire_name())
            .with("afterRevision", number_in_era(after))
            .with("waitMs", wait.as_millis());
        let connection = connect(self.address, CONNECT_TIMEOUT).await?;
        let limit = wait + FEED_GRACE;
        let answer = self.call_on(connection, Method::GET, target, Bytes::new(), limit).await?;
        let era = self.era_of_answer(&answer);
        // The number of `after` may have been given out again.
        if era != era_of(after) {
            return Err(PlatformError::EraChanged);
        }
        let page = rows(&answer, era)?;
        let revision = page.revision.max(after);
        let mut feed = Feed { changes: Vec::new(), revision, as_of: page.now };
        for row in page.rows {
            let change = match row.is_removed() {
                true => Change::Removed(row.key, row.row_version),
                false => Change::Written(decode_row(row)),
            };
            feed.changes.push(change);
        }
        Ok(feed)
    }

    /// Writes all the rows in one transaction, or none.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Http`] and [`PlatformError::Timeout`] the write may have been
    /// applied or may still be, after [`PlatformError::EraChanged`] it may have been applied to the
    /// returned store; after any other error it was not.
    pub async fn write(&self, writes: &[RowWrite]) -> Result<WriteOutcome, PlatformError> {
        let expected = writes.iter().filter_map(|w| w.expected).filter(|revision| *revision > 0);
        let newest = expected.max();
        if newest.is_some_and(|revision| self.era_is_over(revision)) {
            return Err(PlatformError::EraChanged);
        }
        let body = transaction(writes)?;
        let answer =
            self.call(Method::POST, CallTarget::new(TRANSACTION), body, CALL_TIMEOUT).await?;
        let era = self.era_of_answer(&answer);
        if newest.is_some_and(|revision| era != era_of(revision)) {
            return Err(PlatformError::EraChanged);
        }
        let page = rows(&answer, era)?;
        if answer.status != StatusCode::PRECONDITION_FAILED {
            return Ok(WriteOutcome::Done(page.revision));
        }
        let current = page.rows.into_iter().filter(|r| !r.is_removed()).map(decode_row);
        Ok(WriteOutcome::Conflict(current.collect()))
    }

    /// Removes those of the rows with these keys that are there.
    ///
    /// # Errors
    ///
    /// Fails if the store did not confirm it; the rows may be gone all the same.
    pub async fn remove(&self, table: Table, keys: &[String]) -> Result<(), PlatformError> {
        let body = removal(table, keys)?;
        self.call(Method::POST, CallTarget::new(TRANSACTION), body, CALL_TIMEOUT).await.map(drop)
    }

    /// Returns whether the store has answered in a later era than that of `revision`.
    fn era_is_over(&self, revision: Revision) -> bool {
        self.era().is_some_and(|era| era > era_of(revision))
    }

    /// Returns the era of an answer; 0 if it names none.
    fn era_of_answer(&self, answer: &Answer) -> Era {
        match self.ignores_eras {
            true => 0,
            false => named_era(&answer.headers).unwrap_or_default(),
        }
    }

    async fn call(
        &self,
        method: Method,
        target: CallTarget,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, PlatformError> {
        let connection = match self.take_idle() {
            Some(connection) => connection,
            None => connect(self.address, CONNECT_TIMEOUT).await?,
        };
        self.call_on(connection, method, target, body, limit).await
    }

    async fn call_on(
        &self,
        mut connection: HttpConnection,
        method: Method,
        target: CallTarget,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, PlatformError> {
        let request = json_request(method, target.into_uri()?, &self.address.to_string(), body);
        let called = tokio::time::timeout(limit, connection.call(request)).await;
        let answer = called.map_err(|_elapsed| PlatformError::Timeout)??;
        self.put_idle(connection);
        if !self.ignores_eras {
            self.era.set(self.era.get().max(named_era(&answer.headers)));
        }
        match answer.status.as_u16() {
            200 | 412 => Ok(answer),
            410 => Err(PlatformError::HistoryLost),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Returns the most recently used idle connection, if it is still fresh enough to reuse.
    fn take_idle(&self) -> Option<HttpConnection> {
        let now = clock::now();
        let is_recent =
            |k: &IdleConnection| now.saturating_duration_since(k.last_answer) < IDLE_TIMEOUT;
        let mut idle = self.idle.borrow_mut();
        idle.retain(|entry| entry.connection.is_open() && is_recent(entry));
        idle.pop().map(|entry| entry.connection)
    }

    fn put_idle(&self, connection: HttpConnection) {
        let mut idle = self.idle.borrow_mut();
        idle.push(IdleConnection { connection, last_answer: clock::now() });
        if idle.len() > MAX_IDLE_CONNECTIONS {
            idle.remove(0);
        }
    }
}

/// Returns the era that an answer of the store names.
fn named_era(headers: &HeaderMap) -> Option<Era> {
    let value = headers.get(ERA_HEADER)?;
    let era = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    if era.is_none() {
        log::warn!("the store names an era that is not a number: {value:?}");
    }
    era
}
