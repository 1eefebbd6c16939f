//! Running a request to a model: one attempt after another, each going on
//! from the text so far.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::placer::{PlaceError, Slot, place_until};
use crate::{
    config::CustomerPolicy,
    edge::{
        http_client::{HttpClient, HttpError},
        sse::SseReader,
    },
    entry::{context::Context, event::Event},
    record::{ChatWork, Outcome, Record},
    routing::{
        AttemptEnd, Class, DEFAULT_PREFILL_RATE, NoticeAction, NoticeInput, Policy, RetryDecision,
        RetryInput, on_notice,
    },
    telemetry::{count, count_by},
    wire::{PlaceRequest, PlaceScope, ReleaseOutcome},
};

use super::engine_protocol::{self as engine, Chunk, KvHandle, Resume};

/// Silence of an engine's control call after which it counts as failed.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// How an attempt ended.
enum AttemptResult {
    /// The answer is whole.
    Finished(String),
    /// Another process goes on with the request.
    Moved,
    /// It ended early.
    Ended(AttemptEnd, Option<KvHandle>),
}

/// State of a request across its attempts.
struct ChatRun<'a> {
    cx: &'a Arc<Context>,
    record: &'a Arc<Record>,
    chat: &'a ChatWork,
    attempts: u32,
    accepted: bool,
    may_have_run: bool,
    failed_upstreams: Vec<String>,
    kv: Option<KvHandle>,
    resume_cause: Option<&'static str>,
}

/// Runs a request to its end; `taken_over` where another process began it.
pub fn run(cx: &Arc<Context>, record: &Arc<Record>, chat: &ChatWork, taken_over: bool) {
    let mut run = ChatRun {
        cx,
        record,
        chat,
        attempts: 0,
        accepted: taken_over,
        may_have_run: taken_over,
        failed_upstreams: Vec::new(),
        kv: None,
        resume_cause: taken_over.then_some("entry_reclaim"),
    };
    if taken_over && !chat.repeatable {
        run.give_up("the host was reclaimed while it ran", Duration::ZERO);
        return;
    }
    while run.attempt_once() {}
}

impl ChatRun<'_> {
    /// Makes one attempt. Returns whether another has to follow.
    fn attempt_once(&mut self) -> bool {
        let slot = match self.place() {
            Ok(slot) => slot,
            Err(_) if self.record.is_moved() => return false,
            Err(e) => return self.not_placed(e),
        };
        self.attempts += 1;
        self.cx.metrics.attempts.inc();
        let upstream = slot.upstream.id.clone();
        let step =
            format!("attempt {} at {} from token {}", self.attempts, upstream, self.record.len());
        self.record.note(step);
        match self.attempt(slot) {
            AttemptResult::Finished(finish_reason) => {
                self.cx.finish(self.record, Outcome::ChatCompleted { finish_reason });
                false
            }
            AttemptResult::Moved => false,
            AttemptResult::Ended(end, kv) => {
                self.record.note(format!("{upstream}: {end:?}"));
                self.kv = kv;
                self.after_failure(end, upstream)
            }
        }
    }

    fn place(&self) -> Result<Slot, PlaceError> {
        let policy =
            self.cx.board.ask(|reply| Event::PolicyOf(self.record.customer.clone(), reply));
        let policy = policy.ok().flatten();
        let wait = policy
            .as_ref()
            .map_or_else(|| self.chat.class.default_policy(), |p| p.class(self.chat.class));
        let limit = Instant::now() + Duration::from_millis(wait.max_wait_ms);
        let until =
            if self.accepted { self.record.deadline } else { limit.min(self.record.deadline) };
        let req = PlaceRequest {
            scope: PlaceScope::Owned,
            model: self.chat.model.clone(),
            class: self.chat.class,
            customer: self.record.customer.clone(),
            prompt_tokens: self.chat.prompt_tokens() + self.record.len() as u32,
            prefix: self.chat.fingerprints(),
            patience_ms: self.patience(policy.as_ref()),
            exclude: self.failed_upstreams.clone(),
            data_centres: policy.map(|p| p.data_centres).unwrap_or_default(),
            holder: self.cx.contact.peer,
        };
        place_until(self.cx, self.record, &req, until)
    }

    /// Returns the longest backlog that keeping prefixes together is worth:
    /// half the target for first tokens, and twice the target for a draft.
    fn patience(&self, policy: Option<&CustomerPolicy>) -> Option<u64> {
        if self.cx.settings.policy != Policy::Cost {
            return None;
        }
        let target = policy.map(|p| p.targets).unwrap_or_default().first_token_ms;
        Some(if self.chat.class == Class::Draft { target * 2 } else { target / 2 })
    }

    fn not_placed(&self, error: PlaceError) -> bool {
        match error {
            PlaceError::Busy(wait) => self.give_up("every engine is busy", wait),
            PlaceError::NoUpstream => {
                self.give_up("no engine offers the model now", Duration::from_secs(2));
            }
        }
        false
    }

    /// Gives the final answer, which says whether the request may have run.
    fn give_up(&self, reason: &str, retry_after: Duration) {
        let reason = reason.to_owned();
        let outcome = if self.may_have_run {
            Outcome::Unknown { reason }
        } else {
            Outcome::NotRun { retry_after, reason }
        };
        self.cx.finish(self.record, outcome);
    }

    fn after_failure(&mut self, end: AttemptEnd, upstream: String) -> bool {
        self.may_have_run |= matches!(end, AttemptEnd::Broken | AttemptEnd::Leaving);
        self.failed_upstreams.push(upstream);
        let input = RetryInput {
            end,
            repeatable: self.chat.repeatable,
            attempts: self.attempts,
            time_left: self.record.deadline.saturating_duration_since(Instant::now()),
            accepted: self.accepted,
        };
        let decision = self.cx.board.ask(|reply| Event::Retry(input, reply));
        match decision {
            Ok(RetryDecision::Again(pause)) => {
                let cause = if end == AttemptEnd::Leaving { "reclaim" } else { "failure" };
                count(&self.cx.metrics.retries, cause);
                self.resume_cause = Some(cause);
                thread::sleep(pause);
                true
            }
            Ok(RetryDecision::NotRun | RetryDecision::Unknown) | Err(_) => {
                self.give_up("the engine did not answer", Duration::from_secs(1));
                false
            }
        }
    }

    fn attempt(&mut self, mut slot: Slot) -> AttemptResult {
        let result = self.stream_from(&slot);
        slot.guard.outcome = match &result {
            AttemptResult::Finished(_) => ReleaseOutcome::Finished,
            AttemptResult::Ended(AttemptEnd::Broken | AttemptEnd::NotSent, _) => {
                ReleaseOutcome::Failed
            }
            AttemptResult::Ended(AttemptEnd::RefusedByUpstream | AttemptEnd::Leaving, _)
            | AttemptResult::Moved => ReleaseOutcome::Withdrawn,
        };
        result
    }

    fn stream_from(&mut self, slot: &Slot) -> AttemptResult {
        let addr = slot.upstream.addr;
        if let Some(kv) = self.kv.take() {
            engine::import_kv(addr, &kv, CONTROL_TIMEOUT);
        }
        let attempt_id =
            format!("{}/{}/{}", self.record.id, self.cx.home().incarnation, self.attempts);
        let resume = Resume { text: self.record.text(), tokens: self.record.len() as u32 };
        let body = engine::request_body(self.chat, &attempt_id, &resume);
        let client = HttpClient::fresh(self.cx.settings.limits.engine_silence);
        let url = format!("http://{addr}/v1/chat/completions");
        let headers = [("content-type", "application/json")];
        let answer = match client.stream("POST", &url, &headers, &body) {
            Ok(answer) => answer,
            Err(HttpError::NotSent(_)) => {
                return AttemptResult::Ended(AttemptEnd::NotSent, None);
            }
            Err(HttpError::Broken(_)) => {
                return AttemptResult::Ended(AttemptEnd::Broken, None);
            }
        };
        if engine::is_refusal(answer.status) {
            return AttemptResult::Ended(AttemptEnd::RefusedByUpstream, None);
        }
        if answer.status != 200 {
            return AttemptResult::Ended(AttemptEnd::Broken, None);
        }
        self.accepted = true;
        self.may_have_run = true;
        self.read_stream(slot, &attempt_id, SseReader::new(answer.reader))
    }

    fn read_stream(
        &mut self,
        slot: &Slot,
        attempt_id: &str,
        mut events: SseReader<Box<dyn std::io::Read + Send>>,
    ) -> AttemptResult {
        let began = Instant::now();
        let first_offset = self.record.len();
        let mut noticed = false;
        loop {
            let Ok(Some(event)) = events.next_event() else {
                return AttemptResult::Ended(AttemptEnd::Broken, None);
            };
            let Some(chunk) = engine::parse_chunk(&event.data) else {
                continue;
            };
            if let Some(result) = self.take_chunk(attempt_id, chunk) {
                return result;
            }
            if self.record.is_moved() {
                return AttemptResult::Moved;
            }
            if Context::is_over(self.record) {
                return AttemptResult::Ended(AttemptEnd::Broken, None);
            }
            let leaves_at = slot.guard.control.leaves_at();
            if let Some(at) = leaves_at.filter(|_| !noticed) {
                noticed = true;
                let made = self.record.len() - first_offset;
                let per_token = began.elapsed() / made.max(1) as u32;
                if let Some(result) = self.on_notice(slot, attempt_id, at, per_token) {
                    return result;
                }
            }
        }
    }

    /// Takes a piece of the answer in. Returns a result where it ends the attempt.
    fn take_chunk(&mut self, attempt_id: &str, chunk: Chunk) -> Option<AttemptResult> {
        if chunk.request_id != attempt_id {
            count(&self.cx.metrics.mismatched, "request_id");
            return None;
        }
        if let Some(usage) = chunk.usage {
            self.count_recomputed(usage);
        }
        if let Some(token) = &chunk.token {
            let have = self.record.len();
            if chunk.offset > have {
                count(&self.cx.metrics.mismatched, "gap");
                return Some(AttemptResult::Ended(AttemptEnd::Broken, None));
            }
            if chunk.offset < have {
                count(&self.cx.metrics.mismatched, "duplicate");
            } else if !self.record.push(chunk.offset, token) {
                return Some(AttemptResult::Moved);
            }
        }
        let reason = chunk.finish_reason?;
        if chunk.offset != self.record.len() {
            count(&self.cx.metrics.mismatched, "gap");
            return Some(AttemptResult::Ended(AttemptEnd::Broken, None));
        }
        Some(AttemptResult::Finished(reason))
    }

    fn count_recomputed(&mut self, usage: engine::Usage) {
        let Some(cause) = self.resume_cause.take() else {
            return;
        };
        let again = usage.prefill_tokens.saturating_sub(usage.cached_tokens);
        count_by(&self.cx.metrics.recomputed_tokens, cause, again.into());
    }

    /// Decides what to do on a reclaim notice. Returns a result where the
    /// attempt ends here.
    fn on_notice(
        &self,
        slot: &Slot,
        attempt_id: &str,
        leaves_at: Instant,
        per_token: Duration,
    ) -> Option<AttemptResult> {
        if !self.chat.repeatable {
            return None;
        }
        let made = self.record.len() as u32;
        let input = NoticeInput {
            notice: leaves_at.saturating_duration_since(Instant::now()),
            remaining_tokens: self.chat.max_tokens.saturating_sub(made),
            per_token,
            cache_tokens: self.chat.prompt_tokens() + made,
            move_rate: engine::KV_MOVE_RATE,
            prefill_rate: DEFAULT_PREFILL_RATE,
        };
        let action = on_notice(&input);
        self.record.note(format!("{}: leaves, {action:?}", slot.upstream.id));
        match action {
            NoticeAction::Finish => None,
            NoticeAction::Resume => Some(AttemptResult::Ended(AttemptEnd::Leaving, None)),
            NoticeAction::MoveCache => {
                let kv = engine::export_kv(slot.upstream.addr, attempt_id, CONTROL_TIMEOUT);
                Some(AttemptResult::Ended(AttemptEnd::Leaving, kv))
            }
        }
    }
}
