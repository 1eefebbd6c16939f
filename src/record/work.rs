//! What a caller asked for.

use serde::{Deserialize, Serialize};

use crate::{
    ids::Model,
    prefix::{self, Fingerprint},
    routing::Class,
};

/// Bytes of prompt text for one token, on average.
const BYTES_PER_TOKEN: usize = 4;

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// A request to a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatWork {
    /// Model.
    pub model: Model,
    /// Conversation.
    pub messages: Vec<Message>,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Class.
    pub class: Class,
    /// Whether it may run twice.
    pub repeatable: bool,
}

impl ChatWork {
    /// Returns the prompt as one text, as prefix caches see it.
    pub fn prompt(&self) -> String {
        self.messages.iter().map(|m| format!("{}\n{}\n", m.role, m.content)).collect()
    }

    /// Returns the approximate length of the prompt in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|m| m.role.len() + m.content.len() + 2).sum();
        (bytes / BYTES_PER_TOKEN) as u32
    }

    /// Returns the fingerprints of the prompt's prefixes.
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        prefix::fingerprints(&self.prompt())
    }
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallWork {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query after `/v1/services/NAME`.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Statuses with which the service refuses a call before running it.
    pub refuses_with: Vec<u16>,
    /// Longest silence before the call counts as lost, in milliseconds.
    pub silence_ms: u64,
}

/// What a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A request to a model.
    Chat(ChatWork),
    /// A call of a plain service.
    Call(CallWork),
}

impl Work {
    /// Returns the class.
    pub fn class(&self) -> Class {
        match self {
            Self::Chat(chat) => chat.class,
            Self::Call(_) => Class::Call,
        }
    }

    /// Returns the model to place it by.
    pub fn model(&self) -> Model {
        match self {
            Self::Chat(chat) => chat.model.clone(),
            Self::Call(call) => format!("service:{}", call.service),
        }
    }

    /// Returns whether two callers' requests ask for the same thing; how the
    /// customer's policy has them served makes no difference.
    pub fn asks_the_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Chat(a), Self::Chat(b)) => a == b,
            (Self::Call(a), Self::Call(b)) => {
                let asked = |c: &CallWork| (c.service.clone(), c.method.clone(), c.path.clone());
                asked(a) == asked(b) && a.body == b.body
            }
            (Self::Chat(_), Self::Call(_)) | (Self::Call(_), Self::Chat(_)) => false,
        }
    }

    /// Returns whether it may run twice.
    pub fn is_repeatable(&self) -> bool {
        match self {
            Self::Chat(chat) => chat.repeatable,
            Self::Call(call) => call.repeatable,
        }
    }
}
