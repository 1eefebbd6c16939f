//! Drafts that run while something fails, and what their answers must be.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
};

use tackhollow::{
    caller::{Answer, Caller, CallerError, ChatAsk, Verdict},
    prefix::{fnv1a, hash},
    routing::Class,
};

pub fn draft(prompt: &str, max_tokens: u32) -> ChatAsk {
    ChatAsk {
        model: "draft-70b".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        class: Class::Draft,
        repeatable: true,
    }
}

/// Returns the text with which the stand-in answers a prompt.
pub fn expected(prompt: &str, tokens: u32) -> String {
    let prompt = hash(format!("user\n{prompt}\n").as_bytes());
    (0..tokens).map(|i| format!("t{:04x} ", fnv1a(prompt, &i.to_be_bytes()) & 0xffff)).collect()
}

/// A draft that is being asked for.
pub struct Running {
    pub ask: ChatAsk,
    handle: JoinHandle<Result<Answer, CallerError>>,
}

/// Asks for drafts, each on a thread of its own, at each entry host in turn.
pub fn start_drafts(caller: &Arc<Caller>, name: &str, count: usize, tokens: u32) -> Vec<Running> {
    let entries = caller.entries();
    assert!(!entries.is_empty(), "no entry host");
    let start = |i: usize| {
        let key = format!("{}{:016x}", entries[i % entries.len()].key_prefix, fastrand::u64(..));
        let ask = draft(&format!("{name} {i} {}", "plan ".repeat(60)), tokens);
        let (caller, asked) = (caller.clone(), ask.clone());
        let handle = thread::spawn(move || caller.chat(&asked, &key));
        Running { ask, handle }
    };
    (0..count).map(start).collect()
}

/// Waits for the drafts; each must be completed, and be its own, to the byte.
pub fn all_whole(case: &str, drafts: Vec<Running>) -> Vec<Answer> {
    let check = |draft: Running| {
        let answer = draft.handle.join().expect("the caller's thread");
        let answer = answer.unwrap_or_else(|e| panic!("{case}: no verdict: {e}"));
        assert_eq!(answer.verdict, Verdict::Completed, "{case}: {}", answer.text);
        let text = expected(&draft.ask.prompt, draft.ask.max_tokens);
        assert!(answer.text == text, "{case}: the answer is not whole, or not its own");
        answer
    };
    drafts.into_iter().map(check).collect()
}
