//! The operators' client.

mod api;
mod cli;
mod commands;
mod gateways;
mod output;

use std::{env, process::ExitCode};

use self::{
    api::ApiError,
    cli::{Command, HELP},
};

/// Exit status where the system refused or a condition did not come to hold.
const REFUSED: u8 = 1;
/// Exit status of a command line that cannot be used.
const USAGE: u8 = 2;
/// Exit status where no entry host could be reached.
const UNREACHABLE: u8 = 3;
/// Exit status of a lost race.
const CONFLICT: u8 = 4;

fn main() -> ExitCode {
    let args = match cli::parse(env::args_os()) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("tackhollow: {e}");
            return ExitCode::from(USAGE);
        }
    };
    match &args.command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("tackhollow {}", env!("CARGO_PKG_VERSION")),
        command => {
            if let Err(e) = commands::run(&args, command) {
                eprintln!("tackhollow: {e:#}");
                return exit_code(&e);
            }
        }
    }
    ExitCode::SUCCESS
}

fn exit_code(error: &anyhow::Error) -> ExitCode {
    let code = match error.downcast_ref::<ApiError>() {
        Some(ApiError::Unreachable(_)) => UNREACHABLE,
        Some(ApiError::Conflict { .. }) => CONFLICT,
        Some(ApiError::Refused { .. } | ApiError::Body(_)) | None => REFUSED,
    };
    ExitCode::from(code)
}
