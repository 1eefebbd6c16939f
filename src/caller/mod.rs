//! A caller's side of the protocol: which address to use, keys, following a
//! stream across hand-overs and cut connections. Used by the load client and
//! the tests; an example for callers in other languages.

mod answer;
mod chat;
mod client;

pub use answer::{Answer, CallerError, Verdict};
pub use chat::ChatAsk;
pub use client::{Caller, EntryAddress};
