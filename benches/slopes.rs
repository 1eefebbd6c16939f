//! Measures what each role's state, messages, processor time and memory grow
//! by, and one data centre at the size of the plan. Prints Markdown tables.
//!
//! Run by `scripts/slopes`; takes a few minutes.

#![allow(missing_docs, reason = "a program, not a library")]

#[path = "slopes/fit.rs"]
mod fit;
#[path = "slopes/gaps.rs"]
mod gaps;
#[path = "slopes/measure.rs"]
mod measure;
#[path = "slopes/plan_size.rs"]
mod plan_size;
#[path = "slopes/roles.rs"]
mod roles;
#[path = "../tests/support/mod.rs"]
mod support;

use std::env;

fn main() {
    // A test runner that lists its targets' tests asks benchmarks, too.
    if env::args().any(|a| a == "--list") {
        return;
    }
    let wanted: Vec<String> = env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let all: [(&str, fn()); 9] = [
        ("engines", roles::per_engine),
        ("peers", roles::per_peer),
        ("data-centres", roles::per_data_centre),
        ("streams", roles::per_stream),
        ("changes", roles::per_change),
        ("keys", roles::per_key),
        ("deployments", roles::per_deployment),
        ("gaps", gaps::gaps),
        ("plan", plan_size::data_centre),
    ];
    for (name, measure) in all {
        if wanted.is_empty() || wanted.iter().any(|w| w == name) {
            measure();
        }
    }
}
