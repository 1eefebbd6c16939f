//! Targets of calls to the platform.

use std::fmt::Display;

use hyper::Uri;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use super::PlatformError;

/// Characters that are escaped in a value: all but the unreserved ones of RFC 3986. A blank is escaped
/// too, as readers differ on the plus sign.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// The path of a call and its parameters, whose values may hold any text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTarget {
    /// Path, and parameters with escaped values.
    text: String,
    /// What comes before the next parameter.
    separator: char,
}

impl CallTarget {
    /// Creates a target without parameters.
    pub fn new(path: &'static str) -> Self {
        Self { text: path.to_owned(), separator: '?' }
    }

    /// Adds a parameter.
    pub fn with(mut self, name: &'static str, value: impl Display) -> Self {
        let value = value.to_string();
        self.text.push(self.separator);
        self.text.push_str(name);
        self.text.push('=');
        self.text.extend(utf8_percent_encode(&value, ESCAPED));
        self.separator = '&';
        self
    }

    /// Returns the target of the request.
    ///
    /// # Errors
    ///
    /// Fails if a value is too long.
    pub fn into_uri(self) -> Result<Uri, PlatformError> {
        Ok(Uri::try_from(self.text)?)
    }
}
