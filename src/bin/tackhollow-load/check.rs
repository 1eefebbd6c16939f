//! Checking of answers: against what the stand-ins must have said, and against
//! their journals.

use std::{collections::HashMap, fs, path::Path};

use anyhow::{Context, Result};
use serde_json::Value;
use tackhollow::{
    caller::{ChatAsk, Verdict},
    prefix::{fnv1a, hash},
};

use super::{mix::Ask, run::Outcome};

/// Wrong answers, by kind. All must be zero.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Requests without a verdict, and repeatable ones said to be unknown.
    pub lost: Vec<String>,
    /// Answers that are not whole, or not the caller's own.
    pub crossed: Vec<String>,
    /// Requests that may run once only, and ran more often.
    pub doubled: Vec<String>,
    /// Requests said not to have run that ran, or completed that did not run.
    pub false_reports: Vec<String>,
}

impl Faults {
    /// Returns whether there are none.
    pub fn is_clean(&self) -> bool {
        self.count() == 0
    }

    /// Returns how many there are.
    pub fn count(&self) -> usize {
        self.lost.len() + self.crossed.len() + self.doubled.len() + self.false_reports.len()
    }
}

/// How often each request ran, by what names it in the journals.
type Runs = HashMap<String, usize>;

/// Checks every answer.
pub fn check(outcomes: &[Outcome], journals: Option<&Path>) -> Result<Faults> {
    let runs = journals.map(read_journals).transpose()?;
    let mut faults = Faults::default();
    for outcome in outcomes {
        check_one(outcome, runs.as_ref(), &mut faults);
    }
    Ok(faults)
}

fn check_one(outcome: &Outcome, runs: Option<&Runs>, faults: &mut Faults) {
    let name = name(outcome);
    let Ok(answer) = &outcome.answer else {
        faults.lost.push(name);
        return;
    };
    let ran = |key: &str| runs.map(|r| r.get(key).copied().unwrap_or_default());
    match &outcome.arrival.ask {
        Ask::Chat(chat) => {
            if answer.verdict == Verdict::Unknown && chat.repeatable {
                faults.lost.push(name.clone());
            }
            if answer.verdict == Verdict::Completed && answer.text != expected(chat) {
                faults.crossed.push(name.clone());
            }
            if !chat.repeatable && ran(&answer.request_id).is_some_and(|n| n > 1) {
                faults.doubled.push(name);
            }
        }
        Ask::Confirm(body) => {
            if answer.verdict == Verdict::Completed && !answer.text.contains(body.as_str()) {
                faults.crossed.push(name.clone());
            }
            let Some(n) = ran(body) else { return };
            if n > 1 {
                faults.doubled.push(name.clone());
            }
            let untrue = match answer.verdict {
                Verdict::Completed => n == 0,
                Verdict::NotRun => n > 0,
                Verdict::Unknown => false,
            };
            if untrue {
                faults.false_reports.push(name);
            }
        }
    }
}

fn name(outcome: &Outcome) -> String {
    let answer = match &outcome.answer {
        Ok(answer) => format!("{:?} {}", answer.verdict, answer.request_id),
        Err(e) => e.to_string(),
    };
    format!("{} at {:.2} s: {answer}", outcome.arrival.kind, outcome.arrival.at.as_secs_f64())
}

/// Returns the text with which the stand-in answers.
fn expected(chat: &ChatAsk) -> String {
    let prompt = hash(format!("user\n{}\n", chat.prompt).as_bytes());
    let token = |i: u32| format!("t{:04x} ", fnv1a(prompt, &i.to_be_bytes()) & 0xffff);
    (0..chat.max_tokens).map(token).collect()
}

fn read_journals(dir: &Path) -> Result<Runs> {
    let mut runs = Runs::new();
    for file in fs::read_dir(dir).with_context(|| dir.display().to_string())? {
        let path = file?.path();
        if path.extension().is_some_and(|e| e == "journal") {
            let text = fs::read_to_string(&path).with_context(|| path.display().to_string())?;
            text.lines().filter_map(run_name).for_each(|name| *runs.entry(name).or_default() += 1);
        }
    }
    Ok(runs)
}

/// Returns how many prompt tokens the engines computed, by their journals.
pub fn computed_tokens(dir: &Path) -> Result<u64> {
    let mut sum = 0;
    for file in fs::read_dir(dir).with_context(|| dir.display().to_string())? {
        let path = file?.path();
        let text = fs::read_to_string(&path).unwrap_or_default();
        sum += text.lines().filter_map(computed_by).sum::<u64>();
    }
    Ok(sum)
}

fn computed_by(line: &str) -> Option<u64> {
    let entry: Value = serde_json::from_str(line).ok()?;
    let number = |key: &str| entry["usage"][key].as_u64();
    Some(number("prefill_tokens")?.saturating_sub(number("cached_tokens")?))
}

/// Returns what names the request of a journal's line, if it tells of a run:
/// the body of a call, or the id of a request to a model.
fn run_name(line: &str) -> Option<String> {
    let entry: Value = serde_json::from_str(line).ok()?;
    if entry["event"] != "run" {
        return None;
    }
    if let Some(body) = entry["body"].as_str() {
        return Some(body.to_owned());
    }
    entry["request_id"].as_str()?.split('/').next().map(str::to_owned)
}
