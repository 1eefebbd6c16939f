//! Splits a server-sent event stream into complete events, so that it can be resumed at another
//! upstream after the last event that was relayed.

use bytes::{Bytes, BytesMut};

/// Prefix of the line that holds the id of an event.
const ID: &str = "id:";
/// Maximum size of an event. All bytes of an incomplete event are held, for each stream; a smaller
/// limit breaks off streams with large events.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Finds the ends of events in a stream that arrives in parts. An event ends with an empty line;
/// lines end with CR, LF or both.
#[derive(Debug, Default)]
struct EventScanner {
    /// Whether the current line has content.
    in_line: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    after_cr: bool,
    /// Whether bytes have arrived since the end of the last complete event.
    inside_event: bool,
    /// Bytes since the end of the last complete event.
    event_bytes: usize,
    /// Whether an event was larger than [`MAX_EVENT_BYTES`].
    is_oversized: bool,
    /// Number of events that have become complete.
    completed: u32,
}

impl EventScanner {
    /// Reads the next bytes, and returns how many of them belong to events that are complete now.
    fn read(&mut self, bytes: &[u8]) -> usize {
        let mut complete = 0;
        for (i, byte) in bytes.iter().enumerate() {
            let continues_line_end = *byte == b'\n' && self.after_cr;
            self.after_cr = *byte == b'\r';
            match byte {
                b'\n' if continues_line_end => {}
                b'\n' | b'\r' => self.end_line(),
                _ => (self.in_line, self.inside_event) = (true, true),
            }
            self.event_bytes += 1;
            self.is_oversized |= self.event_bytes > MAX_EVENT_BYTES;
            if !self.inside_event {
                (complete, self.event_bytes) = (i + 1, 0);
            }
        }
        complete
    }

    /// Notes the end of a line; an empty one ends the event.
    fn end_line(&mut self) {
        let was_inside = std::mem::replace(&mut self.inside_event, self.in_line);
        self.in_line = false;
        if was_inside && !self.inside_event {
            self.completed = self.completed.saturating_add(1);
        }
    }
}

/// Buffers the bytes of a stream and returns them in complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    buf: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are complete now; empty if none is.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let earlier = self.buf.len();
        let complete = self.scanner.read(bytes);
        self.buf.extend_from_slice(bytes);
        if complete == 0 {
            return Bytes::new();
        }
        let whole = self.buf.split_to(earlier + complete).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Returns the number of events that have become complete since the start of this run.
    pub fn completed(&self) -> u32 {
        self.scanner.completed
    }

    /// Returns whether the stream stands inside an event, which a complete stream never ends with.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.inside_event
    }

    /// Returns whether an event of this run is larger than any that a sound upstream sends.
    pub fn is_oversized(&self) -> bool {
        self.scanner.is_oversized
    }

    /// Discards the incomplete event, which the next run sends from its start.
    pub fn restart(&mut self) {
        self.buf.clear();
        self.scanner = EventScanner::default();
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let mut ids = text.split(['\n', '\r']).rev().filter_map(|line| line.strip_prefix(ID));
    ids.next().map(|id| id.trim().to_owned())
}
