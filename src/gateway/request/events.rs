//! Splits a server-sent event stream into complete events, so that it can be resumed at another
//! upstream after the last event that was relayed.

use bytes::{Bytes, BytesMut};

/// Terminator of an event.
const END: &[u8] = b"\n\n";
/// Prefix of the line that holds the id of an event.
const ID: &str = "id:";

/// Buffers the bytes of a stream and returns them in complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are complete now; empty if none is.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buf.extend_from_slice(bytes);
        let end = self.buf.windows(END.len()).rposition(|w| w == END);
        let Some(end) = end else {
            return Bytes::new();
        };
        let whole = self.buf.split_to(end + END.len()).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Takes the bytes after the last complete event, at the end of the stream.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Returns whether the stream stands inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards the incomplete event, which the next run sends from its start.
    pub fn restart(&mut self) {
        self.buf.clear();
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let mut ids = text.lines().rev().filter_map(|line| line.strip_prefix(ID));
    ids.next().map(|id| id.trim().to_owned())
}
