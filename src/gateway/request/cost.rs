//! Predicts the costs of requests, and learns from those that have ended.

use std::time::{Duration, Instant};

use super::{Admitted, Refusal, forward::Forwarding, select::Selected};
use crate::{
    gateway::{
        context::Gateway,
        decide::{
            CostPrediction, FinishedStream, Mechanism, MemoryFit, PromptSize, RequestFacts,
            memory_fit,
        },
        telemetry::Event,
    },
    platform::{Prompt, RequestHead},
    telemetry::Labels,
};

/// Shortest time between the first and the last event of a stream from which the time of a token
/// is learnt. In a shorter one the events may have arrived in one packet.
const MIN_WRITING_TIME: Duration = Duration::from_millis(2);

fn facts<'a>(admitted: &'a Admitted, prompt: Option<&Prompt>) -> RequestFacts<'a> {
    RequestFacts {
        service: &admitted.service,
        route: &admitted.route.name,
        customer: admitted.customer.as_deref(),
        prompt: prompt.map(|p| PromptSize {
            tokens: p.tokens,
            max_output: p.max_output,
            hint: p.length_hint,
        }),
    }
}

/// Predicts the cost of a request; `None` if nothing uses the prediction.
pub(super) fn predict(
    gateway: &Gateway,
    admitted: &Admitted,
    prompt: Option<&Prompt>,
    now: Instant,
) -> Option<CostPrediction> {
    let is_used = gateway.uses(Mechanism::RequestCosts) || gateway.uses(Mechanism::EngineMemory);
    is_used.then(|| {
        let off = gateway.settings.borrow().off.clone();
        gateway.board.borrow().predict_work(&facts(admitted, prompt), &off, now)
    })
}

/// Checks that a request fits into an engine that runs nothing else.
///
/// # Errors
///
/// Returns the refusal if it fits into no engine of its service.
pub(super) fn check_memory(
    gateway: &Gateway,
    head: &RequestHead,
    admitted: &Admitted,
    now: Instant,
) -> Result<(), Refusal> {
    let prompt = head.prompt.as_ref().filter(|_| gateway.uses(Mechanism::EngineMemory));
    let service = admitted.configuration.services.get(&admitted.service);
    let (Some(prompt), Some(engine)) = (prompt, service.and_then(|s| s.engine)) else {
        return Ok(());
    };
    let Some(prediction) = predict(gateway, admitted, Some(prompt), now) else {
        return Ok(());
    };
    let work = prediction.work;
    match memory_fit(0.0, work.memory_tokens, engine.cache_tokens) {
        MemoryFit::Fits | MemoryFit::Full => Ok(()),
        MemoryFit::TooLarge => {
            gateway.log(&Event::TooLarge {
                request: &head.id,
                route: &admitted.route.name,
                prompt_tokens: prompt.tokens,
                output_tokens: work.output_tokens,
                basis: prediction.basis.name(),
                cache_tokens: engine.cache_tokens,
            });
            Err(Refusal::TooLargeForEngines)
        }
    }
}

/// Returns the output tokens in one event of a stream of the request's service.
pub(super) fn event_tokens(admitted: &Admitted) -> f64 {
    let service = admitted.configuration.services.get(&admitted.service);
    f64::from(service.and_then(|s| s.engine).map_or(1, |e| e.event_tokens))
}

impl Forwarding {
    /// Learns from a stream that ended completely, with this number of events.
    pub(super) fn note_stream_cost(&self, selected: &Selected, events: u32, now: Instant) {
        let event_tokens = event_tokens(&self.admitted);
        let output_tokens = f64::from(events) * event_tokens;
        // The first event ends the prefill; the others follow from it.
        let written = output_tokens - event_tokens;
        let writing = selected.in_flight.writing_time().filter(|t| *t >= MIN_WRITING_TIME);
        let token_seconds = writing.filter(|_| written > 0.0).map(|t| t.as_secs_f64() / written);
        if self.learns_cost(selected) {
            let seen = FinishedStream { output_tokens, token_seconds };
            let facts = facts(&self.admitted, self.outgoing.head.prompt.as_ref());
            self.gateway.board.borrow_mut().costs_learnt.note_stream(&facts, seen, now);
        }
        self.report_cost(selected, Some(output_tokens), now);
    }

    /// Learns from a buffered answer. Its time is that of its route if it has no prompt.
    pub(super) fn note_plain_cost(&self, selected: &Selected, now: Instant) {
        let took = now.saturating_duration_since(selected.at);
        if self.learns_cost(selected) && self.outgoing.head.prompt.is_none() {
            let facts = facts(&self.admitted, None);
            self.gateway.board.borrow_mut().costs_learnt.note_plain(&facts, took, now);
        }
        self.report_cost(selected, None, now);
    }

    /// Returns whether an answer is typical of its group: it is whole, and not from a canary.
    fn learns_cost(&self, selected: &Selected) -> bool {
        self.gateway.uses(Mechanism::RequestCosts)
            && self.outgoing.head.resumed.is_none()
            && !self.is_canary(selected)
    }

    /// Logs and counts what a request was predicted to cost, and what it did cost.
    fn report_cost(&self, selected: &Selected, output_tokens: Option<f64>, now: Instant) {
        let Some(prediction) = selected.in_flight.prediction() else {
            return;
        };
        let work = prediction.work;
        let slot_seconds = now.saturating_duration_since(selected.at).as_secs_f64();
        self.gateway.log(&Event::Cost {
            request: &self.outgoing.head.id,
            route: &self.admitted.route.name,
            basis: prediction.basis.name(),
            spread: prediction.spread,
            hint: self.outgoing.head.prompt.as_ref().and_then(|p| p.length_hint),
            predicted_output: work.output_tokens,
            output: output_tokens,
            predicted_slot_ms: work.slot_seconds * 1_000.0,
            slot_ms: slot_seconds * 1_000.0,
        });
        let labels = Labels { cause: super::report::class(&self.admitted) };
        let metrics = &self.gateway.metrics;
        if let Some(ratio) = output_tokens.map(|o| o / work.output_tokens).filter(|r| r.is_finite())
        {
            metrics.output_ratio.get_or_create(&labels).observe(ratio);
        }
        if work.slot_seconds > 0.0 {
            metrics
                .slot_time_ratio
                .get_or_create(&labels)
                .observe(slot_seconds / work.slot_seconds);
        }
    }
}
