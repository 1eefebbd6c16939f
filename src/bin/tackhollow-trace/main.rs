//! Prints the timeline of one request, and the cause of its outcome, from the logs of gateways.

mod cli;
mod line;
mod timeline;

use std::{
    env, fs,
    io::{self, Read},
    process::ExitCode,
};

use anyhow::{Context, Result, bail};

use crate::{
    cli::{Args, HELP},
    line::Line,
    timeline::Timeline,
};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("tackhollow-trace: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let args = match cli::parse(env::args_os())? {
        Args::Help => {
            print!("{HELP}");
            return Ok(());
        }
        Args::Version => {
            println!("tackhollow-trace {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Args::Trace(args) => args,
    };
    let mut text = String::new();
    if args.files.is_empty() {
        io::stdin().read_to_string(&mut text).context("standard input")?;
    }
    for file in &args.files {
        text += &fs::read_to_string(file).with_context(|| file.display().to_string())?;
    }
    let lines: Vec<Line> = text.lines().filter_map(Line::parse).collect();
    let Some(timeline) = Timeline::new(&args.request, &lines, args.around) else {
        bail!("{}: no line of {} tells of it", args.request, lines.len());
    };
    print!("{timeline}");
    Ok(())
}
