//! The control daemon.

use std::{env, process::ExitCode};

use anyhow::Result;
use tackhollow::{cli::DaemonProgram, control, settings::ControlSettings, telemetry};

const PROGRAM: DaemonProgram<ControlSettings, anyhow::Error> = DaemonProgram {
    name: "tackhollow-control",
    about: "Gives orders to the engines of a data centre, under a lease.",
    load: ControlSettings::load,
    run,
};

fn main() -> ExitCode {
    PROGRAM.main(env::args_os())
}

fn run(settings: ControlSettings) -> Result<()> {
    telemetry::init_logs(settings.log_level);
    control::run(settings, |addr| println!("{}", serde_json::json!({ "http": addr })))?;
    Ok(())
}
