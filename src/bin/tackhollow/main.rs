//! `tackhollow`, the operators' client.

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

/// Exit status if the request was refused or a condition was not met in time.
const REFUSED: u8 = 1;
/// Exit status of an invalid command line.
const USAGE: u8 = 2;
/// Exit status if no entry host or gateway could be reached.
const UNREACHABLE: u8 = 3;
/// Exit status if another change to the item was accepted first.
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
        Some(ApiError::Refused { .. } | ApiError::InvalidBody(_)) | None => REFUSED,
    };
    ExitCode::from(code)
}
