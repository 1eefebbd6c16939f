//! Bodies of upstreams' answers.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, http::response::Parts};

use super::{BufferLease, Framing, ReceivedBody};

/// Least growth of the memory for a body that is buffered.
const MIN_GROWTH_BYTES: usize = 4 << 10;

/// What is known of the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is complete by its framing.
    Complete,
    /// The connection ended. The body may be complete, or its upstream has broken it off.
    Unknown,
    /// The body was broken off.
    Broken,
    /// The body is larger than what is buffered.
    TooLarge,
}

/// A part of a body.
#[derive(Debug)]
pub enum BodyPart {
    /// Bytes of the body; may be empty.
    Data(Bytes),
    /// The end of the body.
    End(BodyEnd),
}

/// Body of an upstream's answer.
#[derive(Debug)]
pub struct UpstreamBody {
    body: ReceivedBody,
    framing: Framing,
}

impl UpstreamBody {
    /// Separates an answer into its head and its body.
    pub fn split(response: Response<ReceivedBody>) -> (Parts, Self) {
        let framing = Framing::of(&response);
        let (parts, body) = response.into_parts();
        (parts, Self { body, framing })
    }

    /// Returns how the answer shows where it ends.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Waits for the next part. Cancelling loses no data.
    pub async fn next(&mut self) -> BodyPart {
        match self.body.frame().await {
            Some(Ok(frame)) => BodyPart::Data(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => BodyPart::End(BodyEnd::Broken),
            None => BodyPart::End(match self.framing {
                Framing::Delimited => BodyEnd::Complete,
                Framing::UntilClose => BodyEnd::Unknown,
            }),
        }
    }

    /// Reads the whole body into memory, which `lease` accounts for. A body of more than `max_bytes`,
    /// or one for which no memory is left, is too large.
    pub async fn collect(mut self, max_bytes: usize, lease: &mut BufferLease) -> (Bytes, BodyEnd) {
        let mut buf = Vec::new();
        loop {
            let data = match self.next().await {
                BodyPart::Data(data) => data,
                BodyPart::End(end) => return (buf.into(), end),
            };
            let bytes = buf.len() + data.len();
            if bytes > max_bytes {
                return (Bytes::new(), BodyEnd::TooLarge);
            }
            if bytes > buf.capacity() {
                // Grows by a quarter: a double capacity would have to be accounted for.
                let capacity = bytes + (bytes / 4).max(MIN_GROWTH_BYTES);
                if !lease.grow_to(capacity) {
                    return (Bytes::new(), BodyEnd::TooLarge);
                }
                buf.reserve_exact(capacity - buf.len());
            }
            buf.extend_from_slice(&data);
        }
    }

    /// Reads and discards the rest of a body of at most `max_bytes`.
    pub async fn discard(mut self, max_bytes: usize) -> BodyEnd {
        let mut bytes = 0;
        loop {
            match self.next().await {
                BodyPart::Data(data) => bytes += data.len(),
                BodyPart::End(end) => return end,
            }
            if bytes > max_bytes {
                return BodyEnd::TooLarge;
            }
        }
    }
}
