//! The entry daemon.

use std::{env, process::ExitCode};

use anyhow::Result;
use tackhollow::{cli::DaemonProgram, entry, settings::EntrySettings, telemetry};

const PROGRAM: DaemonProgram<EntrySettings, anyhow::Error> = DaemonProgram {
    name: "tackhollow-entry",
    about: "Serves callers: admission, routing to upstreams, streams and hand-over.",
    load: EntrySettings::load,
    run,
};

fn main() -> ExitCode {
    PROGRAM.main(env::args_os())
}

fn run(settings: EntrySettings) -> Result<()> {
    telemetry::init_logs(settings.log_level);
    entry::run(settings, |addresses| println!("{}", serde_json::json!(addresses)))?;
    Ok(())
}
