//! The control daemon.

use std::{env, process::ExitCode};

use anyhow::Result;
use tackhollow::{
    cli::{DaemonCommand, daemon_help, parse_daemon},
    control,
    settings::ControlSettings,
    telemetry,
};

const NAME: &str = "tackhollow-control";
const ABOUT: &str = "Gives orders to the engines of a data centre, under a lease.";

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
            ControlSettings::load(&path)?;
            println!("{}: no mistakes", path.display());
        }
        DaemonCommand::Run(path) => {
            let settings = ControlSettings::load(&path)?;
            telemetry::init_logs(settings.log_level);
            control::run(settings, |addr| println!("{}", serde_json::json!({ "http": addr })))?;
        }
    }
    Ok(())
}
