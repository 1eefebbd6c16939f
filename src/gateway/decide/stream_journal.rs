//! The streams that began at a gateway while their service had several software versions, as they are
//! kept in the store: after a loss of all gateways nothing else tells at which version each began.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{STREAM_LIFETIME, StateError, StoreMillis};
use crate::gateway::model::{RequestDigest, ServiceName, UpstreamVersion};

/// Streams that wait to be stored. With more, the oldest are left out, and refused after a loss.
const MAX_UNSTORED: usize = 1 << 14;
/// Streams in a batch; the store refuses rows above 64 KiB.
pub const MAX_BATCH_STREAMS: usize = 2_000;
/// Shortest interval between batches. Streams that began within it before a loss are refused; each
/// write is billed.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the writes that the store bears which all gateways' batches may take up.
const WRITE_SHARE: f64 = 0.25;
/// First byte of an encoded batch, to be changed with its format.
const BATCH_FORMAT: u8 = 1;

/// Returns the interval between the batches of each of `gateways`, of a store that bears this many
/// writes a second.
pub fn batch_interval(gateways: usize, writes_per_second: f64) -> Duration {
    let seconds = gateways as f64 / (writes_per_second * WRITE_SHARE).max(f64::EPSILON);
    let interval = Duration::try_from_secs_f64(seconds).unwrap_or(STREAM_LIFETIME);
    interval.clamp(MIN_BATCH_INTERVAL, STREAM_LIFETIME)
}

/// A stream that began at this gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunStream {
    /// The stream.
    pub stream: RequestDigest,
    /// Its service.
    pub service: ServiceName,
    /// Version at which it began.
    pub version: UpstreamVersion,
    /// When it began.
    pub at: Instant,
}

/// Streams that began at this gateway and are not stored, oldest first.
#[derive(Debug, Default)]
pub struct StreamJournal {
    unstored: VecDeque<BegunStream>,
    /// Notified when one is added.
    noted: Rc<Notify>,
}

impl StreamJournal {
    /// Notes that a stream began.
    pub fn note(&mut self, begun: BegunStream) {
        self.forget_old(begun.at);
        if self.unstored.len() == MAX_UNSTORED {
            self.unstored.pop_front();
        }
        self.unstored.push_back(begun);
        self.noted.notify_one();
    }

    /// Returns the handle that is notified when a stream began.
    pub fn noted(&self) -> Rc<Notify> {
        self.noted.clone()
    }

    /// Takes the oldest streams whose services are to be stored, as many as fit into a batch. Those of
    /// other services stay: a second version may join while they last.
    pub fn take(
        &mut self,
        is_stored: impl Fn(&ServiceName) -> bool,
        now: Instant,
    ) -> Vec<BegunStream> {
        self.forget_old(now);
        let (mut taken, mut left) = (Vec::new(), VecDeque::new());
        for begun in self.unstored.drain(..) {
            match taken.len() < MAX_BATCH_STREAMS && is_stored(&begun.service) {
                true => taken.push(begun),
                false => left.push_back(begun),
            }
        }
        self.unstored = left;
        taken
    }

    /// Puts streams back that could not be stored.
    pub fn put_back(&mut self, streams: Vec<BegunStream>) {
        streams.into_iter().rev().for_each(|begun| self.unstored.push_front(begun));
        self.unstored.truncate(MAX_UNSTORED);
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old =
            |begun: &BegunStream| now.saturating_duration_since(begun.at) >= STREAM_LIFETIME;
        while self.unstored.front().is_some_and(is_old) {
            self.unstored.pop_front();
        }
    }
}

/// Streams that a gateway stored together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// When it was written, by the store's clock.
    pub written: StoreMillis,
    /// The versions, by number.
    versions: Vec<UpstreamVersion>,
    /// Each stream with the number of its version.
    streams: Vec<(RequestDigest, u32)>,
}

impl StreamBatch {
    /// Creates a batch that is written at `now`.
    pub fn new<'a>(
        streams: impl IntoIterator<Item = (RequestDigest, &'a UpstreamVersion)>,
        now: StoreMillis,
    ) -> Self {
        let mut batch = Self { written: now, ..Self::default() };
        let mut numbers: BTreeMap<&UpstreamVersion, u32> = BTreeMap::new();
        for (stream, version) in streams {
            let next = numbers.len() as u32;
            let number = *numbers.entry(version).or_insert_with(|| {
                batch.versions.push(version.clone());
                next
            });
            batch.streams.push((stream, number));
        }
        batch
    }

    /// Returns the streams with the versions at which they began.
    pub fn streams(&self) -> impl Iterator<Item = (RequestDigest, &UpstreamVersion)> {
        let version = |number: u32| self.versions.get(number as usize);
        self.streams.iter().filter_map(move |(stream, number)| Some((*stream, version(*number)?)))
    }

    /// Returns whether its streams may still be taken up at `now`, by the store's clock.
    pub fn is_current(&self, now: StoreMillis) -> bool {
        Duration::from_millis(now.saturating_sub(self.written)) < STREAM_LIFETIME
    }

    /// Encodes the batch.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        Ok(postcard::to_extend(self, vec![BATCH_FORMAT])?)
    }

    /// Decodes a batch.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a batch in this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&BATCH_FORMAT, batch)) => Ok(postcard::from_bytes(batch)?),
            other => Err(StateError::Format(other.map(|(format, _)| *format))),
        }
    }
}
