//! Running a call of a plain service.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::placer::{PlaceError, Slot, place_until};
use crate::{
    edge::http_client::{HttpClient, HttpError},
    entry::{context::Context, event::Event},
    record::{CallAnswer, CallWork, Outcome, Record},
    routing::{AttemptEnd, Class, RetryDecision, RetryInput},
    telemetry::count,
    wire::{PlaceRequest, PlaceScope, ReleaseOutcome},
};

/// Time after which a caller may come back where no service is there.
const NO_SERVICE_RETRY: Duration = Duration::from_secs(1);

/// Runs a call to its end.
///
/// A call that may not be repeated is sent again only while no byte of it
/// reached a service, or the service refused it before running it.
pub fn run(cx: &Arc<Context>, record: &Arc<Record>, call: &CallWork) {
    let mut attempts = 0;
    let mut may_have_run = false;
    let mut failed = Vec::new();
    loop {
        let slot = match place(cx, record, failed.clone()) {
            Ok(slot) => slot,
            Err(e) => return give_up(cx, record, may_have_run, e),
        };
        attempts += 1;
        cx.metrics.attempts.inc();
        let upstream = slot.upstream.id.clone();
        record.note(format!("attempt {attempts} at {upstream}"));
        let end = match attempt(record, call, slot) {
            Ok(answer) => return cx.finish(record, Outcome::CallCompleted(answer)),
            Err(end) => end,
        };
        record.note(format!("{upstream}: {end:?}"));
        may_have_run |= end == AttemptEnd::Broken;
        failed.push(upstream);
        let time_left = record.deadline.saturating_duration_since(Instant::now());
        let input =
            RetryInput { end, repeatable: call.repeatable, attempts, time_left, accepted: false };
        match cx.board.ask(|reply| Event::Retry(input, reply)) {
            Ok(RetryDecision::Again(pause)) => {
                count(&cx.metrics.retries, "failure");
                thread::sleep(pause);
            }
            Ok(RetryDecision::NotRun | RetryDecision::Unknown) | Err(_) => {
                return give_up(cx, record, may_have_run, PlaceError::NoUpstream);
            }
        }
    }
}

fn place(cx: &Arc<Context>, record: &Record, exclude: Vec<String>) -> Result<Slot, PlaceError> {
    let req = PlaceRequest {
        scope: PlaceScope::Owned,
        model: record.work.model(),
        class: Class::Call,
        customer: record.customer.clone(),
        prompt_tokens: 0,
        prefix: Vec::new(),
        patience_ms: None,
        exclude,
        data_centres: Vec::new(),
        holder: cx.contact.peer,
    };
    let wait = Duration::from_millis(Class::Call.default_policy().max_wait_ms);
    place_until(cx, record, &req, (Instant::now() + wait).min(record.deadline))
}

fn give_up(cx: &Context, record: &Record, may_have_run: bool, error: PlaceError) {
    let outcome = match error {
        _ if may_have_run => {
            Outcome::Unknown { reason: "the service did not answer in time".to_owned() }
        }
        PlaceError::Busy(retry_after) => {
            Outcome::NotRun { retry_after, reason: "the service is busy".to_owned() }
        }
        PlaceError::NoUpstream => Outcome::NotRun {
            retry_after: NO_SERVICE_RETRY,
            reason: "the service cannot be reached".to_owned(),
        },
    };
    cx.finish(record, outcome);
}

fn attempt(record: &Record, call: &CallWork, mut slot: Slot) -> Result<CallAnswer, AttemptEnd> {
    let result = send(record, call, &slot);
    slot.guard.outcome = match &result {
        Ok(_) => ReleaseOutcome::Finished,
        Err(AttemptEnd::RefusedByUpstream | AttemptEnd::Leaving) => ReleaseOutcome::Withdrawn,
        Err(AttemptEnd::NotSent | AttemptEnd::Broken) => ReleaseOutcome::Failed,
    };
    result
}

fn send(record: &Record, call: &CallWork, slot: &Slot) -> Result<CallAnswer, AttemptEnd> {
    let client = HttpClient::fresh(Duration::from_millis(call.silence_ms));
    let url = format!("http://{}{}", slot.upstream.addr, call.path);
    let headers = [("content-type", call.content_type.as_str()), ("x-request-id", &record.id)];
    let answer = client.call(&call.method, &url, &headers, &call.body).map_err(|e| match e {
        HttpError::NotSent(_) => AttemptEnd::NotSent,
        HttpError::Broken(_) => AttemptEnd::Broken,
    })?;
    if call.refuses_with.contains(&answer.status) {
        return Err(AttemptEnd::RefusedByUpstream);
    }
    let (status, content_type, body) = (answer.status, answer.content_type, answer.body);
    Ok(CallAnswer { status, content_type, body })
}
