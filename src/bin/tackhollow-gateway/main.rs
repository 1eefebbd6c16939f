//! The gateway daemon.

use std::{env, process::ExitCode};

use tackhollow::{
    cli::DaemonProgram,
    gateway::{self, StartError},
    memory,
    settings::GatewaySettings,
    telemetry,
};

const PROGRAM: DaemonProgram<GatewaySettings, StartError> = DaemonProgram {
    name: "tackhollow-gateway",
    about: "Serves callers on the users' platform: admission, routing, streaming, lease duties.",
    load: GatewaySettings::load,
    run,
};

fn main() -> ExitCode {
    PROGRAM.main(env::args_os())
}

fn run(settings: GatewaySettings) -> Result<(), StartError> {
    telemetry::init_logs(settings.log_level);
    memory::give_back_large_buffers();
    gateway::run(settings)
}
