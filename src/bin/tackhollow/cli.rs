//! Command line of `tackhollow`, the operators' client.

use std::{env, ffi::OsString, fs, net::SocketAddr, path::PathBuf, time::Duration};

use lexopt::{Arg, Parser, ValueExt};
use thiserror::Error;

pub const HELP: &str = "\
Operators' client of tackhollow.

Usage: tackhollow [OPTIONS] COMMAND

Commands:
  apply FILE            set every template, deployment and drain of a TOML file
    --dry-run           check only
    --expect VERSION    only if the item is still at this version (one item)
  diff FILE             show what apply would change
  get [KIND/NAME]       show items in force
  remove KIND/NAME      remove an item
  history               accepted changes, oldest first
    --after VERSION     only later ones
    --name KIND/NAME    only this item's
    --by OPERATOR       only this operator's
  audit                 accepted and refused changes (same filters)
  status                data centres, entry hosts, upstreams; what is not well first
  explain REQUEST-ID    where a request went, and why
  drain TARGET          give an upstream or a data centre no new work
    --reason TEXT       why, for the audit trail
  undrain TARGET        end a drain
  wait --in-force N     until version N is in force on every entry host known
    --timeout SECONDS   give up after this long (30)
  entries               addresses that callers are given
  gateways ADDR[,ADDR]  gateways and what they hear of the others, what is not well
                        first; ADDR: listen.peers of their settings

Options:
  --entry ADDR[,ADDR]   entry hosts to ask (or TACKHOLLOW_ENTRY)
  --key-file FILE       file with the operator's key (or TACKHOLLOW_KEY)
  --output table|json   form of the output (table)
  -h, --help            print this help
  -V, --version         print the version

Exit status: 0 done, 1 refused, 2 usage, 3 no entry host reached, 4 lost a race.
";

/// Errors in the command line.
#[derive(Debug, Error)]
pub enum CliError {
    /// An option is unknown, lacks its value or has one that cannot be parsed.
    #[error("{0}; see --help")]
    Syntax(#[from] lexopt::Error),
    /// A required argument, option or environment variable is missing.
    #[error("missing {0}; see --help")]
    Missing(&'static str),
    /// The value of an option is not in the expected form.
    #[error("{option}: expected {expected}")]
    InvalidValue { option: &'static str, expected: &'static str },
    /// The file with the operator's key cannot be read.
    #[error("--key-file: {0}")]
    KeyFile(std::io::Error),
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Help,
    Version,
    Apply {
        file: PathBuf,
        dry_run: bool,
        expect: Option<u64>,
    },
    Diff {
        file: PathBuf,
    },
    Get {
        key: Option<String>,
    },
    Remove {
        key: String,
    },
    History(Filter),
    Audit(Filter),
    Status,
    Explain {
        id: String,
    },
    Drain {
        target: String,
        reason: String,
    },
    Undrain {
        target: String,
    },
    Wait {
        version: u64,
        timeout: Duration,
    },
    Entries,
    /// Show the gateways at these addresses; needs neither an entry host nor a key.
    Gateways {
        addresses: Vec<SocketAddr>,
    },
}

/// Selects changes in `history` and `audit`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Version after which accepted changes are shown; 0 for all.
    pub after: u64,
    /// Item as `KIND/NAME`; `None` for all items.
    pub name: Option<String>,
    /// Name of the operator; `None` for all operators.
    pub by: Option<String>,
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    #[default]
    Table,
    Json,
}

/// A parsed command line.
#[derive(Clone, Debug)]
pub struct Args {
    /// Entry hosts to ask, in order; empty if the command needs none.
    pub entries: Vec<SocketAddr>,
    /// The operator's key; empty if the command needs none.
    pub key: String,
    pub output: Output,
    pub command: Command,
}

/// Options and positional arguments before validation.
#[derive(Default)]
struct Raw {
    entry: Option<String>,
    key_file: Option<PathBuf>,
    output: Option<String>,
    positional: Vec<String>,
    dry_run: bool,
    expect: Option<u64>,
    filter: Filter,
    reason: Option<String>,
    in_force: Option<u64>,
    timeout: Option<u64>,
    help: bool,
    version: bool,
}

/// Parses the command line, program name included; environment variables stand in for `--entry` and
/// `--key-file`.
///
/// # Errors
///
/// Returns an error if an option is unknown, a value is not in the expected form or a required
/// argument is missing.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Args, CliError> {
    let raw = parse_options(args)?;
    let command = command(&raw)?;
    let needs_entry =
        !matches!(command, Command::Help | Command::Version | Command::Gateways { .. });
    let entries = if needs_entry { entries(&raw)? } else { Vec::new() };
    let key = if needs_entry { key(&raw)? } else { String::new() };
    let output = match raw.output.as_deref() {
        None | Some("table") => Output::Table,
        Some("json") => Output::Json,
        Some(_) => {
            return Err(CliError::InvalidValue { option: "--output", expected: "table or json" });
        }
    };
    Ok(Args { entries, key, output, command })
}

fn parse_options(args: impl IntoIterator<Item = OsString>) -> Result<Raw, CliError> {
    let mut parser = Parser::from_iter(args);
    let mut raw = Raw::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => raw.help = true,
            Arg::Long("version") | Arg::Short('V') => raw.version = true,
            Arg::Long("entry") => raw.entry = Some(parser.value()?.string()?),
            Arg::Long("key-file") => raw.key_file = Some(parser.value()?.into()),
            Arg::Long("output") => raw.output = Some(parser.value()?.string()?),
            Arg::Long("dry-run") => raw.dry_run = true,
            Arg::Long("expect") => raw.expect = Some(parser.value()?.parse()?),
            Arg::Long("after") => raw.filter.after = parser.value()?.parse()?,
            Arg::Long("name") => raw.filter.name = Some(parser.value()?.string()?),
            Arg::Long("by") => raw.filter.by = Some(parser.value()?.string()?),
            Arg::Long("reason") => raw.reason = Some(parser.value()?.string()?),
            Arg::Long("in-force") => raw.in_force = Some(parser.value()?.parse()?),
            Arg::Long("timeout") => raw.timeout = Some(parser.value()?.parse()?),
            Arg::Value(value) => raw.positional.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(raw)
}

fn command(raw: &Raw) -> Result<Command, CliError> {
    if raw.help {
        return Ok(Command::Help);
    }
    if raw.version {
        return Ok(Command::Version);
    }
    let name = raw.positional.first().ok_or(CliError::Missing("a command"))?;
    let argument = |what| raw.positional.get(1).cloned().ok_or(CliError::Missing(what));
    Ok(match name.as_str() {
        "apply" => Command::Apply {
            file: argument("FILE")?.into(),
            dry_run: raw.dry_run,
            expect: raw.expect,
        },
        "diff" => Command::Diff { file: argument("FILE")?.into() },
        "get" => Command::Get { key: raw.positional.get(1).cloned() },
        "remove" => Command::Remove { key: argument("KIND/NAME")? },
        "history" => Command::History(raw.filter.clone()),
        "audit" => Command::Audit(raw.filter.clone()),
        "status" => Command::Status,
        "explain" => Command::Explain { id: argument("REQUEST-ID")? },
        "drain" => Command::Drain {
            target: argument("TARGET")?,
            reason: raw.reason.clone().unwrap_or_default(),
        },
        "undrain" => Command::Undrain { target: argument("TARGET")? },
        "wait" => Command::Wait {
            version: raw.in_force.ok_or(CliError::Missing("--in-force VERSION"))?,
            timeout: Duration::from_secs(raw.timeout.unwrap_or(30)),
        },
        "entries" => Command::Entries,
        "gateways" => {
            Command::Gateways { addresses: parse_addresses(&argument("ADDR")?, "gateways ADDR")? }
        }
        _ => return Err(CliError::Missing("a known command")),
    })
}

fn entries(raw: &Raw) -> Result<Vec<SocketAddr>, CliError> {
    let text = raw.entry.clone().or_else(|| env::var("TACKHOLLOW_ENTRY").ok());
    let text = text.ok_or(CliError::Missing("--entry ADDR, or TACKHOLLOW_ENTRY"))?;
    parse_addresses(&text, "--entry")
}

fn parse_addresses(text: &str, option: &'static str) -> Result<Vec<SocketAddr>, CliError> {
    let parsed: Result<Vec<SocketAddr>, _> = text.split(',').map(|a| a.trim().parse()).collect();
    parsed.or(Err(CliError::InvalidValue { option, expected: "IP numbers with ports" }))
}

fn key(raw: &Raw) -> Result<String, CliError> {
    let key = match &raw.key_file {
        Some(path) => fs::read_to_string(path).map_err(CliError::KeyFile)?,
        None => env::var("TACKHOLLOW_KEY")
            .or(Err(CliError::Missing("--key-file FILE, or TACKHOLLOW_KEY")))?,
    };
    Ok(key.trim().to_owned())
}
