//! The log: one JSON line an event on standard output.
//!
//! Each class of lines has a budget a second; what is over it is counted and
//! told in a summary. Lines are written by a thread of their own, so that a
//! reader that stalls holds up nobody; when its queue is full, lines are
//! dropped and counted, too.

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

/// Lines that wait for the writer at most.
const QUEUE: usize = 4_096;
/// Lines of a class in a second at most: two lines for each request of a busy process
/// fit twice over.
const LINES_PER_SECOND: [(EventClass, u32); 3] =
    [(EventClass::Failure, 200), (EventClass::Request, 120), (EventClass::Belief, 200)];
/// Length of the span in which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    process: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

#[derive(Debug)]
struct Span {
    began: Instant,
    lines: HashMap<EventClass, u32>,
    left_out: HashMap<EventClass, u64>,
}

/// Writes events to the log.
#[derive(Debug)]
pub struct Journal {
    process: String,
    tx: SyncSender<Vec<u8>>,
    span: RefCell<Span>,
}

impl Journal {
    /// Creates the log of a process, written to `out`.
    pub fn new(process: String, out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(QUEUE);
        thread::spawn(move || write_lines(&rx, out));
        let span = Span { began: clock::now(), lines: HashMap::new(), left_out: HashMap::new() };
        Self { process, tx, span: RefCell::new(span) }
    }

    /// Writes an event, or counts it if its class is over its budget.
    pub fn write(&self, event: &Event<'_>) {
        self.turn_span(clock::now());
        let class = event.class();
        if !self.span.borrow_mut().admits(class) {
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
            *self.span.borrow_mut().left_out.entry(event.class()).or_default() += 1;
        }
    }

    fn turn_span(&self, now: Instant) {
        let left_out = {
            let mut span = self.span.borrow_mut();
            if now.saturating_duration_since(span.began) < SPAN {
                return;
            }
            span.began = now;
            span.lines.clear();
            std::mem::take(&mut span.left_out)
        };
        for (class, lines) in left_out {
            self.send(&Event::LeftOut { class, lines });
        }
    }
}

impl Span {
    fn admits(&mut self, class: EventClass) -> bool {
        let most = LINES_PER_SECOND.iter().find(|(c, _)| *c == class).map_or(0, |(_, most)| *most);
        let lines = self.lines.entry(class).or_default();
        if *lines >= most {
            *self.left_out.entry(class).or_default() += 1;
            return false;
        }
        *lines += 1;
        true
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(line) = rx.recv() {
        let mut lines = line;
        // Lines that came meanwhile go out with the same write.
        lines.extend(rx.try_iter().take(QUEUE).flatten());
        if let Err(e) = out.write_all(&lines).and_then(|()| out.flush()) {
            log::error!("the log cannot be written: {e}");
            return;
        }
    }
}
