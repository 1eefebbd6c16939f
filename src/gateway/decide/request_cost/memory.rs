//! Memory of engines as a limit of what is sent to them.
//!
//! Load addressed: engines that are sent more tokens than their memory holds have to preempt
//! requests, which then wait for their next token much longer than callers do.

/// Whether a request fits into the memory of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryFit {
    /// It fits beside the requests that are there, or the size of the memory is not known.
    Fits,
    /// It fits into an empty engine, but not beside the requests that are there.
    Full,
    /// It does not fit into an empty engine.
    TooLarge,
}

/// Returns whether a request that occupies `tokens` at its end fits into an engine that holds
/// `held` tokens, of all gateways, and has memory for `cache_tokens`; 0 means unknown.
pub fn memory_fit(held: f64, tokens: f64, cache_tokens: u64) -> MemoryFit {
    let capacity = cache_tokens as f64;
    if cache_tokens == 0 {
        MemoryFit::Fits
    } else if tokens > capacity {
        MemoryFit::TooLarge
    } else if held + tokens > capacity {
        MemoryFit::Full
    } else {
        MemoryFit::Fits
    }
}
