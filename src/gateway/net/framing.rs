//! How an answer shows where it ends.

use hyper::{Response, body::Body, header::TRANSFER_ENCODING};

/// How an answer shows where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length, by chunks, or by having no body.
    Delimited,
    /// By the end of its connection, which an answer that is broken off may share.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a received answer.
    pub fn of<B: Body>(response: &Response<B>) -> Self {
        let has_length = response.body().size_hint().exact().is_some();
        let encodings = response.headers().get_all(TRANSFER_ENCODING);
        let last = encodings.iter().next_back().and_then(|v| v.to_str().ok());
        let last = last.and_then(|v| v.rsplit(',').next()).unwrap_or_default();
        match has_length || last.trim().eq_ignore_ascii_case("chunked") {
            true => Self::Delimited,
            false => Self::UntilClose,
        }
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Delimited => "delimited",
            Self::UntilClose => "until_close",
        }
    }
}
