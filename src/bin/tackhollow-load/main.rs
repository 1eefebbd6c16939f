//! The load client: sends a mix of requests, and checks every answer against
//! what it must be and against the upstreams' journals.

mod check;
mod cli;
mod mix;
mod report;
mod run;

use std::{env, process::ExitCode};

use anyhow::Result;

use self::cli::LoadOptions;

fn main() -> ExitCode {
    match load() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("tackhollow-load: {e:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs the load. Returns whether nothing was lost, crossed, doubled or
/// falsely reported.
fn load() -> Result<bool> {
    let Some(options) = LoadOptions::parse(env::args_os())? else {
        return Ok(true);
    };
    println!("seed {}", options.seed);
    let arrivals = mix::arrivals(&options);
    let results = run::run(&options, &arrivals);
    let faults = check::check(&results, options.journals.as_deref())?;
    report::print(&options, &results, &faults);
    let computed = options.journals.as_deref().map(check::computed_tokens).transpose()?;
    report::print_summary(&results, &faults, computed);
    Ok(faults.is_clean())
}
