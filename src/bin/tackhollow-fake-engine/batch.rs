//! Steps of continuous batching: prefill in chunks, then a token for each
//! request that decodes. A step takes longer the more requests it holds.

use std::{
    thread,
    time::{Duration, Instant},
};

use tackhollow::prefix::fnv1a;

use super::state::{Batch, Engine, Sequence, Token};

/// Time of a step, however small.
const STEP: Duration = Duration::from_millis(12);
/// Time that each decoding request adds to a step.
const STEP_PER_REQUEST: Duration = Duration::from_micros(300);
/// Tokens prefilled in one step at most.
const PREFILL_CHUNK: u32 = 2_048;
/// Pause while there is nothing to do.
const IDLE: Duration = Duration::from_millis(2);

/// Runs steps until the engine goes.
pub fn run(engine: &Engine) {
    while !engine.is_gone() {
        let freeze = std::mem::take(&mut engine.faults().freeze_ms);
        thread::sleep(Duration::from_millis(freeze));
        let took = step(engine);
        let took = took.map_or(IDLE, |t| t.div_f64(engine.options.speed));
        thread::sleep(took);
    }
}

/// Does one step. Returns how long it takes, or `None` where nothing runs.
fn step(engine: &Engine) -> Option<Duration> {
    let mut batch = engine.batch();
    admit(&mut batch, engine.options.slots);
    if batch.running.is_empty() {
        return None;
    }
    let decoding = batch.running.iter().filter(|s| s.to_prefill == 0).count() as u32;
    let prefilled = prefill(engine, &mut batch);
    decode(&mut batch);
    let prefill_time = f64::from(prefilled) / engine.options.prefill_rate;
    Some(STEP + STEP_PER_REQUEST * decoding + Duration::from_secs_f64(prefill_time))
}

/// Fills the batch, the highest priority first, then the longest waiting.
fn admit(batch: &mut Batch, slots: usize) {
    let now = Instant::now();
    while batch.running.len() < slots {
        let ready = batch.waiting.iter().enumerate().filter(|(_, s)| s.not_before <= now);
        let next = ready.max_by_key(|(i, s)| (s.priority, std::cmp::Reverse(*i)));
        let Some(index) = next.map(|(i, _)| i) else { return };
        let sequence = batch.waiting.remove(index);
        batch.running.push(sequence);
    }
}

fn prefill(engine: &Engine, batch: &mut Batch) -> u32 {
    let mut budget = PREFILL_CHUNK;
    let mut done = Vec::new();
    for sequence in &mut batch.running {
        if sequence.to_prefill == 0 {
            continue;
        }
        let part = sequence.to_prefill.min(budget);
        sequence.to_prefill -= part;
        budget -= part;
        if sequence.to_prefill == 0 {
            done.push(sequence.prefixes.clone());
        }
    }
    for prefixes in done {
        let change = batch.cache.store(&prefixes);
        batch.publish(change, engine.options.gap_percent);
    }
    PREFILL_CHUNK - budget
}

fn decode(batch: &mut Batch) {
    batch.running.retain_mut(|sequence| sequence.to_prefill > 0 || decode_one(sequence));
}

/// Sends the next token. Returns whether more follow.
fn decode_one(sequence: &mut Sequence) -> bool {
    let offset = sequence.next;
    sequence.next += 1;
    sequence.context_tokens += 1;
    let last = sequence.next >= sequence.end;
    let token = Token { offset, text: token_text(sequence.prompt, offset), last };
    sequence.tokens.send(token).is_ok() && !last
}

/// Returns a token of the answer to a prompt: always the same one.
pub fn token_text(prompt: u64, offset: u32) -> String {
    let hash = fnv1a(prompt, &offset.to_be_bytes());
    format!("t{:04x} ", hash & 0xffff)
}
