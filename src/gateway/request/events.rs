//! Splits a server-sent event stream into complete events, so that it can be resumed at another
//! upstream after the last event that was relayed.

use bytes::{Bytes, BytesMut};

use crate::platform::fits_header;

/// Prefix of the line that holds the id of an event.
const ID: &[u8] = b"id:";
/// Start of a line that holds data.
const DATA: &[u8] = b"data";
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
    /// Whether data was returned that has no id which a next run can go on after.
    has_unmarked_data: bool,
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
        let mut mark = EventMark::default();
        for line in lines(&whole) {
            if line.is_empty() {
                self.note_event(std::mem::take(&mut mark));
            } else {
                mark.note_line(line);
            }
        }
        whole
    }

    fn note_event(&mut self, mark: EventMark) {
        match mark.id {
            Some(id) => (self.last_id, self.has_unmarked_data) = (Some(id), false),
            None => self.has_unmarked_data |= mark.has_data,
        }
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

    /// Returns the id of the last complete event that had one that a header can carry.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether a next run can go on where the returned events end: no data came after the event
    /// of [`Self::last_id`].
    pub fn is_resumable(&self) -> bool {
        !self.has_unmarked_data
    }
}

/// Returns the lines of whole events, and an empty one at the end of each event.
fn lines(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = events.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.flat_map(|line| line.split(|byte| *byte == b'\r'))
}

/// What marks the place of an event in its stream.
#[derive(Debug, Default)]
struct EventMark {
    /// Its id, if it has one that a header can carry.
    id: Option<String>,
    /// Whether it has data; others are comments.
    has_data: bool,
}

impl EventMark {
    fn note_line(&mut self, line: &[u8]) {
        match line.strip_prefix(ID) {
            Some(id) => self.id = sendable_id(id),
            None => self.has_data |= line.starts_with(DATA),
        }
    }
}

/// Returns an id as text if a header can carry it.
fn sendable_id(id: &[u8]) -> Option<String> {
    let id = std::str::from_utf8(id.trim_ascii()).ok()?;
    fits_header(id).then(|| id.to_owned())
}
