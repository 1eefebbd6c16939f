//! Server-sent events: writing them in chunks, and reading them.

use std::io::{self, BufRead, BufReader, Read, Write};

use tiny_http::HTTPVersion;

/// Longest line of an event that is read, in bytes.
const MAX_LINE: u64 = 4 << 20;

/// Writes server-sent events, each in a chunk of its own and flushed at once.
pub struct SseWriter {
    writer: Box<dyn Write + Send>,
    chunked: bool,
}

impl std::fmt::Debug for SseWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SseWriter").field("chunked", &self.chunked).finish_non_exhaustive()
    }
}

impl SseWriter {
    /// Writes the head of the answer and returns the writer of its events.
    pub fn begin(
        mut writer: Box<dyn Write + Send>,
        version: &HTTPVersion,
        headers: &[(&str, &str)],
    ) -> io::Result<Self> {
        let chunked = *version >= HTTPVersion(1, 1);
        let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        head.push_str("Cache-Control: no-store\r\n");
        let framing = if chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
        head.push_str(framing);
        head.push_str("\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer, chunked })
    }

    /// Writes an event; `id` and `name` are left out where they are `None`.
    pub fn event(&mut self, id: Option<usize>, name: Option<&str>, data: &str) -> io::Result<()> {
        let mut text = String::with_capacity(data.len() + 32);
        if let Some(id) = id {
            text.push_str(&format!("id: {id}\n"));
        }
        if let Some(name) = name {
            text.push_str(&format!("event: {name}\n"));
        }
        text.push_str(&format!("data: {data}\n\n"));
        self.raw(&text)
    }

    /// Writes a comment, which clients pass over: it keeps the connection open
    /// and shows whether the caller is still there.
    pub fn comment(&mut self) -> io::Result<()> {
        self.raw(":\n\n")
    }

    /// Ends the answer. Without it the caller knows that it was cut off.
    pub fn end(mut self) -> io::Result<()> {
        if self.chunked {
            self.writer.write_all(b"0\r\n\r\n")?;
        }
        self.writer.flush()
    }

    /// Breaks the answer off so that no client takes it for whole.
    pub fn cut(mut self) -> io::Result<()> {
        self.writer.write_all(b"\0cut\r\n")?;
        self.writer.flush()
    }

    fn raw(&mut self, text: &str) -> io::Result<()> {
        if self.chunked {
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            self.writer.write_all(chunk.as_bytes())?;
        } else {
            self.writer.write_all(text.as_bytes())?;
        }
        self.writer.flush()
    }
}

/// An event as read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// `id` field.
    pub id: Option<String>,
    /// `event` field.
    pub name: Option<String>,
    /// `data` fields, joined by line feeds.
    pub data: String,
}

/// Reads server-sent events.
#[derive(Debug)]
pub struct SseReader<R> {
    reader: BufReader<R>,
}

impl<R: Read> SseReader<R> {
    /// Creates a reader of events.
    pub fn new(reader: R) -> Self {
        Self { reader: BufReader::new(reader) }
    }

    /// Reads the next event; `None` at the end of the stream. An event that
    /// the end cuts off is dropped.
    pub fn next_event(&mut self) -> io::Result<Option<SseEvent>> {
        let mut event = SseEvent::default();
        let mut seen = false;
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                if seen {
                    return Ok(Some(event));
                }
                continue;
            }
            seen |= take_field(&mut event, &line);
        }
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        let mut buf = Vec::new();
        let read = (&mut self.reader).take(MAX_LINE).read_until(b'\n', &mut buf)?;
        if read == 0 || buf.last() != Some(&b'\n') {
            return Ok(None);
        }
        buf.pop();
        if buf.last() == Some(&b'\r') {
            buf.pop();
        }
        Ok(Some(String::from_utf8_lossy(&buf).into_owned()))
    }
}

/// Takes one line into the event. Returns whether it was a field.
fn take_field(event: &mut SseEvent, line: &str) -> bool {
    let (field, value) = line.split_once(':').unwrap_or((line, ""));
    let value = value.strip_prefix(' ').unwrap_or(value);
    match field {
        "id" => event.id = Some(value.to_owned()),
        "event" => event.name = Some(value.to_owned()),
        "data" if event.data.is_empty() => value.clone_into(&mut event.data),
        "data" => event.data.push_str(&format!("\n{value}")),
        _ => return false,
    }
    true
}
