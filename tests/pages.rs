//! The pages: alerts use metrics that exist and are explained, and every
//! program says what it is for.

mod support;

use std::{collections::BTreeSet, fs, process::Command};

use serde_json::Value;
use support::{
    cluster::{Cluster, Plan},
    drafts::{all_whole, start_drafts},
    http,
};

/// Returns the metrics' names in a text.
fn metric_names(text: &str) -> BTreeSet<String> {
    let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let words = text.split(|c| !is_name(c));
    words.filter(|w| w.starts_with("tackhollow_")).map(str::to_owned).collect()
}

#[test]
fn alerts_use_metrics_that_exist_and_are_explained() {
    let cluster = Cluster::start(Plan { data_centres: 1, entries_each: 1, ..Plan::default() });
    let caller = std::sync::Arc::new(cluster.caller());
    all_whole("for the metrics", start_drafts(&caller, "metrics", 1, 3));
    let metrics = http::call("GET", cluster.entries[0].proc.http(), "/metrics", &Value::Null).body;
    let declared: BTreeSet<String> = String::from_utf8_lossy(&metrics)
        .lines()
        .filter_map(|l| l.strip_prefix("# TYPE ")?.split(' ').next().map(str::to_owned))
        .collect();
    let rules = fs::read_to_string("docs/alerts.rules.yml").expect("the rules");
    let page = fs::read_to_string("docs/OPERATING.md").expect("the page");
    for name in metric_names(&rules).into_iter().chain(metric_names(&page)) {
        let base = name.trim_end_matches("_total").trim_end_matches("_bucket");
        assert!(declared.contains(base), "{name} is not a metric: {declared:?}");
    }
    for alert in rules.lines().filter_map(|l| l.trim().strip_prefix("- alert: ")) {
        assert!(page.contains(&format!("| {alert} |")), "{alert} is not explained");
    }
}

#[test]
fn every_program_has_help_and_a_version() {
    let programs = [
        env!("CARGO_BIN_EXE_tackhollow"),
        env!("CARGO_BIN_EXE_tackhollow-entry"),
        env!("CARGO_BIN_EXE_tackhollow-control"),
        env!("CARGO_BIN_EXE_tackhollow-load"),
        env!("CARGO_BIN_EXE_tackhollow-fake-engine"),
        env!("CARGO_BIN_EXE_tackhollow-fake-service"),
        env!("CARGO_BIN_EXE_tackhollow-fake-platform"),
    ];
    for program in programs {
        for (option, expected) in [("--help", "Usage: "), ("--version", "0.1.0")] {
            let output = Command::new(program).arg(option).output().expect("the program runs");
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            assert!(output.status.success(), "{program} {option}");
            assert!(text.contains(expected), "{program} {option}: {text}");
        }
    }
}
