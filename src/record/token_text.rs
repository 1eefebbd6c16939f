//! Tokens as one text with their ends: few bytes beside the text itself.

use serde::{Deserialize, Serialize};

/// Tokens of an answer, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenText {
    /// All tokens, one after the other.
    text: String,
    /// Where each token ends, in bytes.
    ends: Vec<u32>,
}

impl TokenText {
    /// Appends a token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len() as u32);
    }

    /// Returns the number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns all tokens as one text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the tokens from `offset` on.
    pub fn from(&self, offset: usize) -> Vec<String> {
        let token = |i: usize| {
            let start = i.checked_sub(1).map_or(0, |before| self.ends[before] as usize);
            self.text[start..self.ends[i] as usize].to_owned()
        };
        (offset..self.len()).map(token).collect()
    }

    /// Gives back memory that is not needed, once no token follows.
    pub fn shrink(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }
}
