//! Splits a stream into whole events, so that it can go on elsewhere after the
//! last one that was passed on.

use bytes::{Bytes, BytesMut};

/// End of an event.
const END: &[u8] = b"\n\n";
/// Start of the line that names an event.
const ID: &str = "id:";

/// Collects the bytes of a stream and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes and returns those of the events that are whole by now.
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

    /// Returns what follows the last whole event, at the end of the stream.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Drops the incomplete event: another run begins it anew.
    pub fn restart(&mut self) {
        self.buf.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let mut ids = text.lines().rev().filter_map(|line| line.strip_prefix(ID));
    ids.next().map(|id| id.trim().to_owned())
}
