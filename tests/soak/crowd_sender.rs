//! Crowds of clients that hold on to memory and connections, beside the soak's callers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{crowds::Crowd, support::gateways::ProcessLimits};

/// What gateways may use in runs with crowds: the memory of the smallest host, and so few descriptors
/// that some hundred connections are a crowd.
pub const PROCESS_LIMITS: ProcessLimits = ProcessLimits { memory_kib: 120 << 10, descriptors: 512 };
/// Crowds whose requests never reach an upstream.
const CROWDS: [Crowd; 9] = [
    Crowd::Chunks(64 << 10),
    Crowd::Chunks(100),
    Crowd::Length,
    Crowd::Head(60 << 10),
    Crowd::Trailers(14 << 10),
    Crowd::Silent,
    Crowd::Pipelined,
    Crowd::EmptyLines,
    Crowd::Reset,
];

/// A thread that sends crowds to gateways, one after the other.
pub struct CrowdSender {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<usize>,
}

impl CrowdSender {
    /// Starts to send crowds to randomly chosen `addresses`.
    pub fn start(seed: u64, addresses: &Arc<Mutex<Vec<SocketAddr>>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, addresses) = (stop.clone(), addresses.clone());
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x63_726f_7764);
        let thread = thread::spawn(move || {
            let mut crowds = 0;
            while !stopped.load(Ordering::SeqCst) {
                let targets = addresses.lock().expect("no panic").clone();
                let to = targets[rng.usize(..targets.len())];
                let crowd = CROWDS[rng.usize(..CROWDS.len())];
                let clients = crowd.start(to, rng.usize(20..300));
                thread::sleep(Duration::from_millis(rng.u64(..300)));
                drop(clients);
                crowds += 1;
            }
            crowds
        });
        Self { stop, thread }
    }

    /// Stops, and returns the number of crowds that were sent.
    pub fn finish(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("no panic")
    }
}
