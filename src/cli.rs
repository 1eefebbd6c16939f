//! Command lines of the daemons and stand-ins.

use std::{
    ffi::OsString,
    fmt::Display,
    path::{Path, PathBuf},
    process::ExitCode,
};

use lexopt::{Arg, Parser, ValueExt};
use thiserror::Error;

use crate::settings::SettingsError;

/// Why a command line cannot be used.
#[derive(Debug, Error)]
pub enum CliError {
    /// An option is unknown or lacks its value.
    #[error("{0}")]
    Syntax(#[from] lexopt::Error),
    /// An option that must be there is missing.
    #[error("missing {0}; see --help")]
    Missing(&'static str),
}

/// What a daemon is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and stop.
    Check(PathBuf),
    /// Run with the settings.
    Run(PathBuf),
}

/// Parses the command line of a daemon.
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

/// A daemon's program.
pub struct DaemonProgram<S, E> {
    /// Name of the program.
    pub name: &'static str,
    /// What it does, in one sentence.
    pub about: &'static str,
    /// Reads and checks its settings.
    pub load: fn(&Path) -> Result<S, SettingsError>,
    /// Runs it until it is told to stop.
    pub run: fn(S) -> Result<(), E>,
}

impl<S, E: Display> DaemonProgram<S, E> {
    /// Does what the command line asks for, and says why where that fails.
    pub fn main(&self, args: impl IntoIterator<Item = OsString>) -> ExitCode {
        match self.do_command(args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => {
                eprintln!("{}: {message}", self.name);
                ExitCode::FAILURE
            }
        }
    }

    fn do_command(&self, args: impl IntoIterator<Item = OsString>) -> Result<(), String> {
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

/// Returns the help of a daemon.
fn daemon_help(name: &str, about: &str) -> String {
    format!(
        "{about}\n\nUsage: {name} --settings FILE [--check]\n\nOptions:\n  \
         -s, --settings FILE  settings in TOML (docs/SETTINGS.md)\n      \
         --check          report every mistake in the settings and stop\n  \
         -h, --help           print this help\n  \
         -V, --version        print the version\n"
    )
}

/// Options of a stand-in: `--NAME VALUE` pairs with defaults.
#[derive(Debug)]
pub struct Options {
    values: Vec<(String, OsString)>,
}

impl Options {
    /// Parses `--NAME VALUE` pairs; names not in `known` are errors.
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

    /// Returns a value, or `None` where the option was not given.
    pub fn get<T>(&self, name: &str) -> Result<Option<T>, CliError>
    where
        T: std::str::FromStr,
        T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
    {
        let found = self.values.iter().rev().find(|(n, _)| n == name);
        found.map(|(_, v)| v.parse()).transpose().map_err(CliError::from)
    }
}
