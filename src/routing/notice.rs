//! What to do with a running request when its engine gets a reclaim notice.

use std::time::Duration;

/// Part of the notice that may be used up before the engine goes.
const USABLE_SHARE: f64 = 0.8;

/// What the decision rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoticeInput {
    /// Time until the engine goes.
    pub notice: Duration,
    /// Output tokens still to come at most.
    pub remaining_tokens: u32,
    /// Time between tokens, lately.
    pub per_token: Duration,
    /// Tokens whose cache would have to be moved.
    pub cache_tokens: u32,
    /// Speed at which cache moves between engines, in tokens a second; zero
    /// where the engines cannot move it.
    pub move_rate: f64,
    /// Prefill speed, in tokens a second.
    pub prefill_rate: f64,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeAction {
    /// Let it finish: the cheapest.
    Finish,
    /// Move its cache to another engine and go on there.
    MoveCache,
    /// Go on elsewhere from the text so far: recomputes every token.
    Resume,
}

/// Picks the cheapest action that fits into the notice.
pub fn on_notice(input: &NoticeInput) -> NoticeAction {
    let usable = input.notice.mul_f64(USABLE_SHARE);
    let finish = input.per_token * input.remaining_tokens;
    if finish <= usable {
        return NoticeAction::Finish;
    }
    if input.move_rate > 0.0 {
        let moving = f64::from(input.cache_tokens) / input.move_rate;
        let recompute = f64::from(input.cache_tokens) / input.prefill_rate.max(1.0);
        if moving <= usable.as_secs_f64() && moving < recompute {
            return NoticeAction::MoveCache;
        }
    }
    NoticeAction::Resume
}
