//! Bodies of upstreams' answers.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming, http::response::Parts};

use super::Framing;

/// What is known of the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is complete by its framing.
    Complete,
    /// The connection ended. The body may be complete, or its upstream has broken it off.
    Unknown,
    /// The body was broken off.
    Broken,
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
    body: Incoming,
    framing: Framing,
}

impl UpstreamBody {
    /// Separates an answer into its head and its body.
    pub fn split(response: Response<Incoming>) -> (Parts, Self) {
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

    /// Reads the whole body. A body of more than `max_bytes` counts as broken.
    pub async fn collect(mut self, max_bytes: usize) -> (Bytes, BodyEnd) {
        let mut buf = BytesMut::new();
        loop {
            match self.next().await {
                BodyPart::Data(data) if buf.len() + data.len() > max_bytes => {
                    return (buf.freeze(), BodyEnd::Broken);
                }
                BodyPart::Data(data) => buf.extend_from_slice(&data),
                BodyPart::End(end) => return (buf.freeze(), end),
            }
        }
    }
}
