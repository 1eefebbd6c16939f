//! Compares the policies by which owners choose engines, on the same arrivals,
//! against real processes. Prints Markdown tables.
//!
//! Run by `scripts/compare`; takes some minutes.

#![allow(missing_docs, reason = "a program, not a library")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::{collections::BTreeMap, process::Command, sync::Mutex, thread, time::Duration};

use serde_json::{Value, json};
use support::cluster::{CUSTOMER_KEY, Cluster, OTHER_KEY, Plan};

/// Policies, the own one first.
const POLICIES: [&str; 4] = ["cost", "round_robin", "least_in_flight", "prefix_bounded"];
/// Length of the arrivals, in seconds.
const SECONDS: u32 = 20;
/// Requests a second that the small system can just serve.
const FULL_RATE: f64 = 12.0;
/// Seeds of the arrivals.
const SEEDS: [u64; 2] = [1, 2];
/// Cells that run at once, so that the machine stays below half its cores.
const AT_ONCE: usize = 4;
/// Engines of the small system.
const ENGINES: usize = 6;

/// One condition under which the policies are compared.
#[derive(Clone, Copy)]
struct Cell {
    name: &'static str,
    mix: &'static str,
    load: f64,
    wave: bool,
}

const CELLS: [Cell; 5] = [
    Cell { name: "Kaira, half load", mix: "kaira", load: 0.5, wave: false },
    Cell { name: "Kaira, full load", mix: "kaira", load: 1.0, wave: false },
    Cell { name: "Kaira, one and a half", mix: "kaira", load: 1.5, wave: false },
    Cell { name: "Kaira, full load, a data centre reclaimed", mix: "kaira", load: 1.0, wave: true },
    Cell { name: "Saengdao, full load", mix: "saengdao", load: 2.5, wave: false },
];

fn main() {
    // A test runner that lists its targets' tests asks benchmarks, too.
    if std::env::args().any(|a| a == "--list") {
        return;
    }
    let runs: Vec<(Cell, &str, u64)> = CELLS
        .iter()
        .flat_map(|cell| POLICIES.iter().map(move |policy| (*cell, *policy)))
        .flat_map(|(cell, policy)| SEEDS.iter().map(move |seed| (cell, policy, *seed)))
        .collect();
    let next = Mutex::new(runs.iter());
    let results: Mutex<BTreeMap<(&str, &str), Vec<Value>>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                loop {
                    let Some((cell, policy, seed)) = next.lock().expect("the list").next() else {
                        return;
                    };
                    let summary = run(cell, policy, *seed);
                    eprintln!("{} {policy} seed {seed}: {summary}", cell.name);
                    let mut results = results.lock().expect("the results");
                    results.entry((cell.name, *policy)).or_default().push(summary);
                }
            });
        }
    });
    let results = results.into_inner().expect("the results");
    for cell in CELLS {
        print_cell(&cell, &results);
    }
}

fn run(cell: &Cell, policy: &'static str, seed: u64) -> Value {
    let engine_args = ["--slots", "10", "--cache-blocks", "900"].map(str::to_owned).to_vec();
    let plan = Plan {
        data_centres: 2,
        entries_each: 2,
        engines_each: ENGINES / 2,
        engine_args,
        engine_slots: 10,
        prices: vec![1.0, 1.0, 2.5],
        policy,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan);
    let addresses: Vec<String> = cluster.addresses().iter().map(ToString::to_string).collect();
    let rate = format!("{}", cell.load * FULL_RATE);
    let load = Command::new(env!("CARGO_BIN_EXE_tackhollow-load"))
        .args(["--entry", &addresses.join(",")])
        .args(["--keys", &format!("{CUSTOMER_KEY},{OTHER_KEY}")])
        .args(["--mix", cell.mix, "--rate", &rate])
        .args(["--seconds", &SECONDS.to_string(), "--seed", &seed.to_string()])
        .arg("--journals")
        .arg(cluster.dir.path())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the load client starts");
    if cell.wave {
        thread::sleep(Duration::from_secs(u64::from(SECONDS) / 2));
        cluster.platform_faults(json!({ "refuse_starts": true }));
        cluster.control("/control/reclaim?target=bkk-lakr&in_ms=3000", &Value::Null);
    }
    let output = load.wait_with_output().expect("the load client ends");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let line = text.lines().find_map(|l| l.strip_prefix("summary ")).expect("a summary");
    serde_json::from_str(line).expect("JSON")
}

/// A figure of a run.
type Figure = fn(&Value) -> f64;

const FIGURES: [(&str, Figure); 7] = [
    ("first token in time, in 100 sent", |s| 100.0 * sum(s, "in_time") / model_requests(s)),
    ("first token, 95th (ms)", |s| largest(s, "first_token_ms")),
    ("between tokens, 95th (ms)", |s| largest(s, "between_tokens_ms")),
    ("refused, in 100 sent", |s| 100.0 * sum(s, "not_run") / sum(s, "sent")),
    ("prompt tokens computed, thousands", |s| {
        s["computed_tokens"].as_f64().unwrap_or_default() / 1000.0
    }),
    ("engine seconds a request in time", |s| {
        f64::from(SECONDS) * ENGINES as f64 / sum(s, "in_time").max(1.0)
    }),
    ("wrong answers", |s| s["wrong"].as_f64().unwrap_or(f64::NAN)),
];

fn kinds(summary: &Value) -> impl Iterator<Item = (&String, &Value)> {
    summary["kinds"].as_object().into_iter().flatten()
}

fn sum(summary: &Value, key: &str) -> f64 {
    kinds(summary).filter_map(|(_, k)| k[key].as_f64()).sum()
}

fn model_requests(summary: &Value) -> f64 {
    kinds(summary)
        .filter(|(name, _)| *name != "confirm")
        .filter_map(|(_, k)| k["sent"].as_f64())
        .sum()
}

fn largest(summary: &Value, key: &str) -> f64 {
    kinds(summary).filter_map(|(_, k)| k[key].as_f64()).fold(0.0, f64::max)
}

/// Prints the mean of each figure, with the least and the most over the seeds.
fn print_cell(cell: &Cell, results: &BTreeMap<(&str, &str), Vec<Value>>) {
    println!("\n### {}\n", cell.name);
    println!("| figure | {} |", POLICIES.join(" | "));
    println!("| --- |{}", " ---: |".repeat(POLICIES.len()));
    for (name, figure) in FIGURES {
        let column = |policy: &&str| {
            let values: Vec<f64> = results[&(cell.name, *policy)].iter().map(figure).collect();
            let mean = values.iter().sum::<f64>() / values.len() as f64;
            let least = values.iter().copied().fold(f64::INFINITY, f64::min);
            let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            format!("{mean:.1} ({least:.1}–{most:.1})")
        };
        let columns: Vec<String> = POLICIES.iter().map(column).collect();
        println!("| {name} | {} |", columns.join(" | "));
    }
}
