//! Arrivals: which requests, and when. The same seed gives the same arrivals.

use std::time::Duration;

use fastrand::Rng;
use tackhollow::{caller::ChatAsk, routing::Class};

use super::cli::{LoadOptions, MixName};

/// Dossiers that Kaira's requests share.
const DOSSIERS: usize = 12;
/// Words of a dossier.
const DOSSIER_WORDS: usize = 3_000;
/// Words that the prompts of one customer's chats share.
const SHARED_WORDS: usize = 120;

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A request to a model.
    Chat(ChatAsk),
    /// A confirm, which may run once only; the body names it.
    Confirm(String),
}

/// A request, and when it is sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time from the start.
    pub at: Duration,
    /// Customer, by number of its key.
    pub customer: usize,
    /// Kind, for the report.
    pub kind: &'static str,
    /// What is asked for.
    pub ask: Ask,
}

/// Returns the arrivals of a run, in order. The rate swings once over the
/// run, as a day does, between half and one and a half times the mean.
pub fn arrivals(options: &LoadOptions) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(options.seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let day = at / options.length.as_secs_f64() * std::f64::consts::TAU;
        let rate = options.rate * (1.0 - 0.5 * day.cos());
        at += -(1.0 - rng.f64()).ln() / rate;
        if at >= options.length.as_secs_f64() {
            return arrivals;
        }
        let number = arrivals.len();
        let customer = rng.usize(..options.keys.len());
        let (kind, ask) = match options.mix {
            MixName::Saengdao => saengdao(&mut rng, customer, number, options.seed),
            MixName::Kaira => kaira(&mut rng, customer, number, options.seed),
        };
        arrivals.push(Arrival { at: Duration::from_secs_f64(at), customer, kind, ask });
    }
}

fn saengdao(rng: &mut Rng, customer: usize, number: usize, seed: u64) -> (&'static str, Ask) {
    match rng.u8(0..100) {
        0..50 => ("confirm", Ask::Confirm(format!("shift {seed} {number}"))),
        50..90 => {
            let prompt = format!("{}question {number}", words(customer, SHARED_WORDS));
            ("chat", chat("chat-8b", prompt, rng.u32(20..120), Class::Chat, true))
        }
        _ => {
            let prompt = format!("{}season {number}", words(customer, SHARED_WORDS * 4));
            ("draft", chat("draft-70b", prompt, rng.u32(200..800), Class::Draft, true))
        }
    }
}

fn kaira(rng: &mut Rng, customer: usize, number: usize, seed: u64) -> (&'static str, Ask) {
    let dossier = words(customer * DOSSIERS + rng.usize(..DOSSIERS), DOSSIER_WORDS);
    match rng.u8(0..100) {
        0..15 => ("confirm", Ask::Confirm(format!("view {seed} {number}"))),
        15..60 => {
            let prompt = format!("{dossier}caption {number}");
            ("caption", chat("chat-8b", prompt, rng.u32(15..60), Class::Chat, true))
        }
        60..85 => {
            let prompt = format!("{dossier}check {number}");
            ("check", chat("chat-8b", prompt, rng.u32(30..100), Class::Chat, false))
        }
        _ => {
            let prompt = format!("{dossier}review {number}");
            ("review", chat("draft-70b", prompt, rng.u32(300..900), Class::Draft, true))
        }
    }
}

fn chat(model: &str, prompt: String, max_tokens: u32, class: Class, repeatable: bool) -> Ask {
    Ask::Chat(ChatAsk { model: model.to_owned(), prompt, max_tokens, class, repeatable })
}

/// Returns a text of its own for each number, the same each time.
fn words(number: usize, count: usize) -> String {
    let mut rng = Rng::with_seed(number as u64 + 1);
    (0..count).map(|_| format!("w{:x} ", rng.u16(..))).collect()
}
