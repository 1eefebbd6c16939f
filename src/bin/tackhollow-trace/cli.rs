//! Command line of the trace tool.

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

/// How long around a request is told of unless the command line says otherwise.
const AROUND: f64 = 5.0;

/// Why a command line cannot be used.
#[derive(Debug, Error)]
pub enum CliError {
    /// An option is unknown or lacks its value.
    #[error("{0}; see --help")]
    Syntax(#[from] lexopt::Error),
    /// No request was named.
    #[error("missing REQUEST-ID; see --help")]
    NoRequest,
    /// The time cannot be used.
    #[error("--around: expected seconds from 0 up")]
    Around,
}

/// What to do.
#[derive(Debug)]
pub enum Args {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Tell the story of a request.
    Trace(Trace),
}

/// Which request, and where to look.
#[derive(Debug)]
pub struct Trace {
    /// Identifier of the request.
    pub request: String,
    /// Logs.
    pub files: Vec<PathBuf>,
    /// How long around the request is told of.
    pub around: Duration,
}

/// Parses the command line.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Args, CliError> {
    let mut parser = Parser::from_iter(args);
    let (mut request, mut files, mut around) = (None, Vec::new(), AROUND);
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
    let around = Duration::try_from_secs_f64(around).or(Err(CliError::Around))?;
    Ok(Args::Trace(Trace { request, files, around }))
}
