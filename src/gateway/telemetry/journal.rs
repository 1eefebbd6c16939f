//! Structured event log: one JSON object per line, written to standard output.
//!
//! Each event class has a budget of lines per second. Lines beyond it are dropped, and a
//! summary reports how many. A separate thread writes the lines, so that a stalled reader
//! does not block the gateway; when its queue is full, lines are dropped and counted as well.

use std::{
    cell::RefCell,
    collections::HashMap,
    io::Write,
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::{Duration, Instant},
};

use serde::Serialize;

use super::{Event, EventClass};
use crate::clock;
use crate::time::unix_millis;

/// Maximum number of lines queued for the writer thread.
const QUEUE_LINES: usize = 4_096;
/// Maximum number of lines per second by class; twice what a busy process needs, which writes
/// two lines for each request.
const LINES_PER_SECOND: [(EventClass, u32); 3] =
    [(EventClass::Failure, 200), (EventClass::Request, 120), (EventClass::Belief, 200)];
/// Time window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    process: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

#[derive(Debug)]
struct Window {
    began: Instant,
    lines: HashMap<EventClass, u32>,
    dropped: HashMap<EventClass, u64>,
}

/// Rate-limited writer of events to the log.
#[derive(Debug)]
pub struct Journal {
    process: String,
    tx: SyncSender<Vec<u8>>,
    window: RefCell<Window>,
}

impl Journal {
    /// Creates the log of the gateway `process` and starts a thread that writes it to `out`.
    pub fn new(process: String, out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        thread::spawn(move || write_lines(&rx, out));
        let window = Window { began: clock::now(), lines: HashMap::new(), dropped: HashMap::new() };
        Self { process, tx, window: RefCell::new(window) }
    }

    /// Writes an event, or drops and counts it if the budget of its class is used up.
    pub fn write(&self, event: &Event<'_>) {
        self.start_new_window(clock::now());
        let class = event.class();
        if !self.window.borrow_mut().admits(class) {
            return;
        }
        self.send(event);
    }

    fn send(&self, event: &Event<'_>) {
        let line = Line { time_ms: unix_millis(), process: &self.process, event };
        let Ok(mut buf) = serde_json::to_vec(&line) else {
            log::error!("an event cannot be written as JSON: {event:?}");
            return;
        };
        buf.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.tx.try_send(buf) {
            *self.window.borrow_mut().dropped.entry(event.class()).or_default() += 1;
        }
    }

    fn start_new_window(&self, now: Instant) {
        let dropped = {
            let mut window = self.window.borrow_mut();
            if now.saturating_duration_since(window.began) < WINDOW {
                return;
            }
            window.began = now;
            window.lines.clear();
            std::mem::take(&mut window.dropped)
        };
        for (class, lines) in dropped {
            self.send(&Event::LeftOut { class, lines });
        }
    }
}

impl Window {
    fn admits(&mut self, class: EventClass) -> bool {
        let max_lines = LINES_PER_SECOND
            .iter()
            .find(|(c, _)| *c == class)
            .map_or(0, |(_, max_lines)| *max_lines);
        let lines = self.lines.entry(class).or_default();
        if *lines >= max_lines {
            *self.dropped.entry(class).or_default() += 1;
            return false;
        }
        *lines += 1;
        true
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(line) = rx.recv() {
        let mut lines = line;
        // Batches the lines that were queued meanwhile into the same write.
        lines.extend(rx.try_iter().take(QUEUE_LINES).flatten());
        if let Err(e) = out.write_all(&lines).and_then(|()| out.flush()) {
            log::error!("the log cannot be written: {e}");
            return;
        }
    }
}
