//! Command line of `tackhollow-trace`.

use std::{ffi::OsString, path::PathBuf, time::Duration};

use lexopt::{Arg, Parser, ValueExt};
use thiserror::Error;

pub const HELP: &str = "\
Tells the story of one request from the logs of gateways: what was decided, on
what grounds, and why it ended as it did.

Usage: tackhollow-trace [--around SECONDS] REQUEST-ID [FILE...]

Reads standard input where no file is named. Lines that are no log lines are
passed over.

Options:
  --around SECONDS  how long before and after the request changes of what the
                    gateways believed are told (5)
  -h, --help        print this help
  -V, --version     print the version
";

/// Default of `--around`.
const DEFAULT_AROUND_SECONDS: f64 = 5.0;

/// Errors in the command line.
#[derive(Debug, Error)]
pub enum CliError {
    /// An option is unknown, lacks its value or has one that cannot be parsed.
    #[error("{0}; see --help")]
    Syntax(#[from] lexopt::Error),
    /// The request ID is missing.
    #[error("missing REQUEST-ID; see --help")]
    NoRequest,
    /// The value of `--around` is negative or not a usable duration.
    #[error("--around: expected seconds from 0 up")]
    InvalidAround,
}

/// The action that the command line asks for.
#[derive(Debug)]
pub enum Args {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Print the timeline and the cause of a request.
    Trace(Trace),
}

/// The request to trace and the logs to read.
#[derive(Debug)]
pub struct Trace {
    /// Request ID as it stands in the `request` field of log lines.
    pub request: String,
    /// Log files; standard input is read if there are none.
    pub files: Vec<PathBuf>,
    /// Time before the first and after the last line of the request in which other events are
    /// shown.
    pub around: Duration,
}

/// Parses the command line, program name included.
///
/// # Errors
///
/// Returns an error if an option is unknown, a value cannot be parsed or the request ID is missing.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Args, CliError> {
    let mut parser = Parser::from_iter(args);
    let (mut request, mut files, mut around) = (None, Vec::new(), DEFAULT_AROUND_SECONDS);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Args::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(Args::Version),
            Arg::Long("around") => around = parser.value()?.parse()?,
            Arg::Value(word) if request.is_none() => request = Some(word.string()?),
            Arg::Value(file) => files.push(PathBuf::from(file)),
            other => return Err(other.unexpected().into()),
        }
    }
    let request = request.ok_or(CliError::NoRequest)?;
    let around = Duration::try_from_secs_f64(around).or(Err(CliError::InvalidAround))?;
    Ok(Args::Trace(Trace { request, files, around }))
}
