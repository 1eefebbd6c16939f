//! Command-line parsing for the daemons and test programs.

use std::{
    ffi::OsString,
    fmt::Display,
    path::{Path, PathBuf},
    process::ExitCode,
};

use lexopt::{Arg, Parser, ValueExt};
use thiserror::Error;

use crate::settings::SettingsError;

/// Reason why a command line is rejected.
#[derive(Debug, Error)]
pub enum CliError {
    /// An option is unknown or lacks its value.
    #[error("{0}")]
    Syntax(#[from] lexopt::Error),
    /// A required option is missing.
    #[error("missing {0}; see --help")]
    Missing(&'static str),
}

/// Command of a daemon, given by its options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Validate the settings file and exit.
    Check(PathBuf),
    /// Run with the settings file.
    Run(PathBuf),
}

/// Parses the command line of a daemon; `args` starts with the program name.
///
/// # Errors
///
/// Fails on unknown options, a missing value or a missing `--settings`.
pub fn parse_daemon(args: impl IntoIterator<Item = OsString>) -> Result<DaemonCommand, CliError> {
    let mut parser = Parser::from_iter(args);
    let (mut settings, mut check) = (None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(DaemonCommand::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(DaemonCommand::Version),
            Arg::Long("check") => check = true,
            Arg::Long("settings") | Arg::Short('s') => {
                settings = Some(PathBuf::from(parser.value()?));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let settings = settings.ok_or(CliError::Missing("--settings FILE"))?;
    Ok(if check { DaemonCommand::Check(settings) } else { DaemonCommand::Run(settings) })
}

/// Entry point of a daemon, shared by all of them.
pub struct DaemonProgram<S, E> {
    /// Name of the executable, for help and error messages.
    pub name: &'static str,
    /// One-sentence description for the help.
    pub about: &'static str,
    /// Reads and validates the settings file.
    pub load: fn(&Path) -> Result<S, SettingsError>,
    /// Runs the daemon until it is asked to stop.
    pub run: fn(S) -> Result<(), E>,
}

impl<S, E: Display> DaemonProgram<S, E> {
    /// Executes the command line and prints an error to standard error if that fails.
    pub fn main(&self, args: impl IntoIterator<Item = OsString>) -> ExitCode {
        match self.execute(args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => {
                eprintln!("{}: {message}", self.name);
                ExitCode::FAILURE
            }
        }
    }

    fn execute(&self, args: impl IntoIterator<Item = OsString>) -> Result<(), String> {
        match parse_daemon(args).map_err(|e| e.to_string())? {
            DaemonCommand::Help => print!("{}", daemon_help(self.name, self.about)),
            DaemonCommand::Version => println!("{} {}", self.name, env!("CARGO_PKG_VERSION")),
            DaemonCommand::Check(path) => {
                (self.load)(&path).map_err(|e| e.to_string())?;
                println!("{}: no mistakes", path.display());
            }
            DaemonCommand::Run(path) => {
                let settings = (self.load)(&path).map_err(|e| e.to_string())?;
                (self.run)(settings).map_err(|e| format!("{e:#}"))?;
            }
        }
        Ok(())
    }
}

/// Returns the help text of a daemon.
fn daemon_help(name: &str, about: &str) -> String {
    format!(
        "{about}\n\nUsage: {name} --settings FILE [--check]\n\nOptions:\n  \
         -s, --settings FILE  settings in TOML (docs/SETTINGS.md)\n      \
         --check          report all invalid settings and exit\n  \
         -h, --help           print this help\n  \
         -V, --version        print the version\n"
    )
}

/// Options of a test program, given as `--NAME VALUE` pairs.
#[derive(Debug)]
pub struct Options {
    values: Vec<(String, OsString)>,
}

impl Options {
    /// Parses `--NAME VALUE` pairs.
    ///
    /// # Errors
    ///
    /// Fails on names that are not in `known` and on missing values.
    pub fn parse(
        args: impl IntoIterator<Item = OsString>,
        known: &[&str],
    ) -> Result<Self, CliError> {
        let mut parser = Parser::from_iter(args);
        let mut values = Vec::new();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long(name) if known.contains(&name) => {
                    let name = name.to_owned();
                    values.push((name, parser.value()?));
                }
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(Self { values })
    }

    /// Returns the value of an option, the last one if it was given several times, or
    /// `None` if it was not given.
    ///
    /// # Errors
    ///
    /// Fails if the value does not parse as `T`.
    pub fn get<T>(&self, name: &str) -> Result<Option<T>, CliError>
    where
        T: std::str::FromStr,
        T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
    {
        let found = self.values.iter().rev().find(|(n, _)| n == name);
        found.map(|(_, v)| v.parse()).transpose().map_err(CliError::from)
    }
}
