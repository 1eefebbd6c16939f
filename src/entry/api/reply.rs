//! Answers that are sent whole.

use serde::Serialize;

/// An answer that is sent whole, or the note that one was streamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer was streamed already.
    Sent,
    /// An answer to send.
    Whole {
        /// Status.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
        /// Body.
        body: Vec<u8>,
    },
}

impl Reply {
    /// Creates an answer with a content type.
    pub fn new(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        let headers = vec![("Content-Type".to_owned(), content_type.to_owned())];
        Self::Whole { status, headers, body }
    }

    /// Creates a plain-text answer.
    pub fn text(status: u16, text: &str) -> Self {
        Self::new(status, "text/plain", text.as_bytes().to_vec())
    }

    /// Creates an answer in JSON.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(status, "application/json", body)
    }

    /// Creates an answer with metrics.
    pub fn metrics(text: String) -> Self {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        Self::new(200, content_type, text.into_bytes())
    }

    /// Sets a header.
    pub fn set_header(&mut self, name: &str, value: &str) {
        if let Self::Whole { headers, .. } = self {
            headers.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
            headers.push((name.to_owned(), value.to_owned()));
        }
    }

    /// Sets the content type.
    pub fn set_content_type(&mut self, content_type: &str) {
        self.set_header("Content-Type", content_type);
    }
}
