//! The report of a run.

use std::{collections::BTreeMap, time::Duration};

use serde_json::{Value, json};
use tackhollow::caller::Verdict;

use super::{check::Faults, cli::LoadOptions, run::Outcome};

/// Target for the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(600);
/// Wrong answers that are named at most.
const MOST_NAMED: usize = 10;

/// Figures of one kind of request.
#[derive(Default)]
struct Figures {
    sent: usize,
    completed: usize,
    not_run: usize,
    unknown: usize,
    first_tokens: Vec<Duration>,
    gaps: Vec<Duration>,
    took: Vec<Duration>,
}

/// Prints counts and times by kind, then what was wrong.
pub fn print(options: &LoadOptions, outcomes: &[Outcome], faults: &Faults) {
    let mut kinds: BTreeMap<&str, Figures> = BTreeMap::new();
    for outcome in outcomes {
        take(kinds.entry(outcome.arrival.kind).or_default(), outcome);
    }
    println!("mix {:?}, {} requests a second in the mean, times in ms", options.mix, options.rate);
    println!(
        "{:<10}{:>7}{:>11}{:>9}{:>9}{:>24}{:>24}{:>24}",
        "kind",
        "sent",
        "completed",
        "not run",
        "unknown",
        "first token 50/95/99",
        "between tokens 50/95/99",
        "whole 50/95/99"
    );
    for (kind, f) in &mut kinds {
        println!(
            "{kind:<10}{:>7}{:>11}{:>9}{:>9}{:>24}{:>24}{:>24}",
            f.sent,
            f.completed,
            f.not_run,
            f.unknown,
            percentiles(&mut f.first_tokens),
            percentiles(&mut f.gaps),
            percentiles(&mut f.took)
        );
    }
    print_faults(faults);
}

/// Prints the figures as one line of JSON, for scripts.
pub fn print_summary(outcomes: &[Outcome], faults: &Faults, computed: Option<u64>) {
    let mut kinds: BTreeMap<&str, Figures> = BTreeMap::new();
    for outcome in outcomes {
        take(kinds.entry(outcome.arrival.kind).or_default(), outcome);
    }
    let kinds: BTreeMap<&str, Value> = kinds.into_iter().map(|(k, f)| (k, f.summary())).collect();
    let wrong = faults.count();
    println!("summary {}", json!({ "kinds": kinds, "wrong": wrong, "computed_tokens": computed }));
}

impl Figures {
    fn summary(mut self) -> Value {
        let late = |t: &&Duration| **t > FIRST_TOKEN_TARGET;
        let in_time = self.first_tokens.len() - self.first_tokens.iter().filter(late).count();
        json!({
            "sent": self.sent,
            "completed": self.completed,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "in_time": in_time,
            "first_token_ms": percentile(&mut self.first_tokens, 0.95),
            "between_tokens_ms": percentile(&mut self.gaps, 0.95),
            "whole_ms": percentile(&mut self.took, 0.95),
        })
    }
}

fn percentile(times: &mut [Duration], share: f64) -> f64 {
    times.sort_unstable();
    let index = ((times.len() as f64 * share).ceil() as usize).max(1) - 1;
    times.get(index).map_or(f64::NAN, |t| t.as_secs_f64() * 1000.0)
}

fn take(figures: &mut Figures, outcome: &Outcome) {
    figures.sent += 1;
    let Ok(answer) = &outcome.answer else {
        return;
    };
    match answer.verdict {
        Verdict::Completed => {
            figures.completed += 1;
            figures.first_tokens.extend(answer.first_token);
            figures.gaps.extend(&answer.gaps);
            figures.took.push(outcome.took);
        }
        Verdict::NotRun => figures.not_run += 1,
        Verdict::Unknown => figures.unknown += 1,
    }
}

fn percentiles(times: &mut [Duration]) -> String {
    if times.is_empty() {
        return "-".to_owned();
    }
    let mut at = |share| percentile(times, share);
    format!("{:.1}/{:.1}/{:.1}", at(0.5), at(0.95), at(0.99))
}

fn print_faults(faults: &Faults) {
    let kinds = [
        ("lost", &faults.lost),
        ("crossed", &faults.crossed),
        ("doubled", &faults.doubled),
        ("falsely reported", &faults.false_reports),
    ];
    for (kind, found) in kinds {
        println!("{kind}: {}", found.len());
        for name in found.iter().take(MOST_NAMED) {
            println!("  {name}");
        }
    }
}
