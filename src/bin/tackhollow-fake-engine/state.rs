//! State of the engine.

use std::{
    collections::{HashMap, VecDeque},
    io,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
        mpsc::Sender,
    },
    time::{Duration, Instant},
};

use tackhollow::{prefix::Fingerprint, upstream::UpstreamEvent};

use super::{
    cache::{CacheChange, PrefixCache},
    faults::Faults,
    journal::Journal,
    options::EngineOptions,
};

/// Cache events come this much late.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(700);
/// Cache events kept for connections that lag.
const KEPT_EVENTS: usize = 1_024;

/// A token on its way to a client.
#[derive(Clone, Debug)]
pub struct Token {
    /// Number of the token in the whole answer.
    pub offset: u32,
    /// Text.
    pub text: String,
    /// Whether it is the last.
    pub last: bool,
}

/// A request in the batch, or waiting for it.
#[derive(Debug)]
pub struct Sequence {
    /// Attempt.
    pub request_id: String,
    /// Hash of the prompt, which decides the answer.
    pub prompt: u64,
    /// Fingerprints of the prompt's prefixes.
    pub prefixes: Vec<Fingerprint>,
    /// Priority; higher runs first.
    pub priority: u8,
    /// Tokens still to prefill.
    pub to_prefill: u32,
    /// Next token's number.
    pub next: u32,
    /// Tokens of the whole answer.
    pub end: u32,
    /// Tokens of prompt and answer so far.
    pub context_tokens: u32,
    /// Not before this time.
    pub not_before: Instant,
    /// Where tokens go; a closed channel cancels the request.
    pub tokens: Sender<Token>,
}

/// What the batch works on.
#[derive(Debug)]
pub struct Batch {
    /// Requests running.
    pub running: Vec<Sequence>,
    /// Requests waiting.
    pub waiting: Vec<Sequence>,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Cache events with the time from which they are published.
    pub events: VecDeque<(Instant, UpstreamEvent)>,
    /// Number of the last cache event.
    pub event_seq: u64,
    /// Exported caches: prompt and tokens.
    pub exported: HashMap<String, (u64, u32)>,
    /// Models loaded.
    pub models: Vec<String>,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Orders carried out, with their fencing numbers.
    pub orders: Vec<(u64, String)>,
    /// Role, as the last order set it.
    pub role: String,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    /// Options.
    pub options: EngineOptions,
    /// Journal.
    pub journal: Journal,
    /// Number of this start.
    pub boot: u64,
    batch: Mutex<Batch>,
    faults: Mutex<Faults>,
    leaves_at: Mutex<Option<Instant>>,
    gone: AtomicBool,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(options: EngineOptions) -> io::Result<Self> {
        let batch = Batch {
            running: Vec::new(),
            waiting: Vec::new(),
            cache: PrefixCache::new(options.cache_blocks),
            events: VecDeque::new(),
            event_seq: 0,
            exported: HashMap::new(),
            models: options.models.clone(),
            adapters: Vec::new(),
            fence: 0,
            orders: Vec::new(),
            role: "both".to_owned(),
        };
        Ok(Self {
            journal: Journal::open(options.journal.as_deref())?,
            boot: fastrand::u64(..),
            options,
            batch: Mutex::new(batch),
            faults: Mutex::default(),
            leaves_at: Mutex::default(),
            gone: AtomicBool::new(false),
        })
    }

    /// Returns the batch.
    pub fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the faults.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the time at which the engine goes.
    pub fn reclaim(&self, notice: Duration) {
        let mut leaves_at = self.leaves_at.lock().unwrap_or_else(PoisonError::into_inner);
        *leaves_at = Some(Instant::now() + notice);
    }

    /// Returns the time left until the engine goes, once that is known.
    pub fn time_left(&self) -> Option<Duration> {
        let leaves_at = *self.leaves_at.lock().unwrap_or_else(PoisonError::into_inner);
        leaves_at.map(|at| at.saturating_duration_since(Instant::now()))
    }

    /// Ends the process soon.
    pub fn stop(&self) {
        self.gone.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is to end.
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed) || self.time_left() == Some(Duration::ZERO)
    }
}

impl Batch {
    /// Publishes a change of the cache, late; some are lost.
    pub fn publish(&mut self, change: CacheChange, gap_percent: u8) {
        if change.stored.is_empty() && change.evicted.is_empty() {
            return;
        }
        self.event_seq += 1;
        if fastrand::u8(0..100) < gap_percent {
            return;
        }
        let CacheChange { stored, evicted } = change;
        let event = UpstreamEvent::Cache { seq: self.event_seq, stored, evicted };
        self.events.push_back((Instant::now() + CACHE_EVENT_DELAY, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
