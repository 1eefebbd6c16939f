//! Callers of the soak: each keeps its connection until the process is gone.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tackhollow::gateway::net::{HttpConnection, connect};
use tokio::{runtime::Builder, task::LocalSet, time::timeout};

use crate::support::gateways::{Answer, Call};

/// Patience of a caller: beyond it, the answer counts as missing.
const PATIENCE: Duration = Duration::from_secs(4);
/// For how long callers use the addresses that they were told.
const KEEP_ADDRESS: Duration = Duration::from_secs(2);

/// What kind of request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may not be resumed.
    Plan,
    /// A stream that may be resumed.
    Digest,
    /// A call that may run once.
    Confirm,
    /// A call that may be repeated.
    Check,
}

const KINDS: [Kind; 4] = [Kind::Plan, Kind::Digest, Kind::Confirm, Kind::Check];

impl Kind {
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Digest | Self::Check)
    }

    pub fn path(self) -> &'static str {
        match self {
            Self::Plan => "/plan/x",
            Self::Digest => "/digest/x",
            Self::Confirm => "/confirm/x",
            Self::Check => "/check/x",
        }
    }

    pub fn call(self, id: &str, events: u64) -> Call {
        match self {
            Self::Plan | Self::Digest => Call::stream(self.path(), id, events),
            Self::Confirm => Call::new("POST", self.path(), id),
            Self::Check => Call::new("GET", self.path(), id),
        }
    }
}

/// A request and what came of it.
#[derive(Debug)]
pub struct Sent {
    pub id: String,
    /// The gateway that it was sent to.
    pub to: SocketAddr,
    pub kind: Kind,
    pub events: u64,
    /// `None` if no answer came, or none in time.
    pub answer: Option<Answer>,
}

/// Callers at work.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sent>>>,
}

impl Callers {
    /// Starts `count` callers, who use the listed addresses.
    pub fn start(seed: u64, count: u64, addresses: &Arc<Mutex<Vec<SocketAddr>>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count)
            .map(|n| {
                let (stop, addresses) = (stop.clone(), addresses.clone());
                let rng = fastrand::Rng::with_seed(seed ^ (n + 1).wrapping_mul(0x9e37_79b9));
                thread::spawn(move || work(n, rng, &stop, &addresses))
            })
            .collect();
        Self { stop, threads }
    }

    /// Stops them and returns all that they sent.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|t| t.join().expect("a caller")).collect()
    }
}

fn work(
    n: u64,
    mut rng: fastrand::Rng,
    stop: &AtomicBool,
    addresses: &Mutex<Vec<SocketAddr>>,
) -> Vec<Sent> {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let mut sent = Vec::new();
    LocalSet::new().block_on(&runtime, async {
        let mut kept: Option<(HttpConnection, SocketAddr, Instant)> = None;
        while !stop.load(Ordering::SeqCst) {
            let known = addresses.lock().expect("no panic").clone();
            let to = known[rng.usize(..known.len())];
            let kind = KINDS[rng.usize(..KINDS.len())];
            let events = rng.u64(1..40);
            let id = format!("c{n}-{}", sent.len());
            let usable =
                kept.take().filter(|(c, _, at)| c.is_open() && at.elapsed() < KEEP_ADDRESS);
            let opened = match usable {
                Some(usable) => Some(usable),
                None => connect(to, PATIENCE).await.ok().map(|c| (c, to, Instant::now())),
            };
            let Some((mut connection, to, since)) = opened else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let call = kind.call(&id, events);
            let answer = timeout(PATIENCE, call.exchange_on(&mut connection)).await.ok().flatten();
            let reusable =
                answer.as_ref().is_some_and(|a| a.complete && a.header("connection") != "close");
            kept = reusable.then_some((connection, to, since));
            sent.push(Sent { id, to, kind, events, answer });
            tokio::time::sleep(Duration::from_millis(rng.u64(..30))).await;
        }
    });
    sent
}

impl Sent {
    /// Returns whether the system said that the request did not run.
    pub fn is_said_not_run(&self) -> bool {
        let refused = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        self.answer.as_ref().is_some_and(|a| refused.contains(&a.status))
    }
}

/// Start of the ids of requests that crash upstreams.
pub const HOSTILE: &str = "hostile-";
/// Start of the last part of their paths.
pub const CRASHING: &str = "crash-";
/// For how long the same is asked for before something new that crashes upstreams is.
const SAME_FOR: Duration = Duration::from_secs(4);

/// A caller whose requests crash the upstreams that run them. It sends the same again and
/// again, at all gateways, and something new now and then.
pub struct HostileCaller {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl HostileCaller {
    pub fn start(seed: u64, addresses: &Arc<Mutex<Vec<SocketAddr>>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, addresses) = (stop.clone(), addresses.clone());
        let mut rng = fastrand::Rng::with_seed(seed);
        let thread = thread::spawn(move || {
            let began = Instant::now();
            for n in 0_u64.. {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let known = addresses.lock().expect("no panic").clone();
                let what = began.elapsed().as_secs() / SAME_FOR.as_secs();
                let path = format!("/{}/{CRASHING}{what}", ["digest", "check"][what as usize % 2]);
                let id = format!("{HOSTILE}{n}");
                let mut call = match what % 2 {
                    0 => Call::stream(&path, &id, 40),
                    _ => Call::new("GET", &path, &id),
                };
                call.body = "crash".to_owned();
                call.leaving_after(PATIENCE).send(known[rng.usize(..known.len())]);
                thread::sleep(Duration::from_millis(rng.u64(50..200)));
            }
        });
        Self { stop, thread }
    }

    pub fn finish(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("the hostile caller");
    }
}
