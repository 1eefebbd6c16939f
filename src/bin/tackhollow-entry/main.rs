//! The entry daemon.

use std::{env, process::ExitCode};

use anyhow::Result;
use tackhollow::{
    cli::{DaemonCommand, daemon_help, parse_daemon},
    entry,
    settings::EntrySettings,
    telemetry,
};

const NAME: &str = "tackhollow-entry";
const ABOUT: &str = "Serves callers: admission, routing to upstreams, streams and hand-over.";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{NAME}: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    match parse_daemon(env::args_os())? {
        DaemonCommand::Help => print!("{}", daemon_help(NAME, ABOUT)),
        DaemonCommand::Version => println!("{NAME} {}", env!("CARGO_PKG_VERSION")),
        DaemonCommand::Check(path) => {
            EntrySettings::load(&path)?;
            println!("{}: no mistakes", path.display());
        }
        DaemonCommand::Run(path) => {
            let settings = EntrySettings::load(&path)?;
            telemetry::init_logs(settings.log_level);
            entry::run(settings, |addresses| {
                println!("{}", serde_json::json!(addresses));
            })?;
        }
    }
    Ok(())
}
