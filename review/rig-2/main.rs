//! Plays cases of the review: stand-ins of the platform, of engines and of clients, around the project's
//! gateways. Usage: `rig CASE RECORD`, at the repository's root. Exits with 1 if the rule was broken, with
//! 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` it leaves out the disruption.

mod draft;
mod engine;
mod gateway;
mod http;
mod json;
mod link;
mod parts;
mod platform;
mod reborn;
mod site;
mod takeup;
mod target;
mod timeout;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    if case == "engine" {
        return match reborn::run_engine(record) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let trouble = env::var("TROUBLE").map_or(true, |v| v != "0");
    let played = match case.as_str() {
        "draft" => draft::play(record, trouble),
        "parts" => parts::play(record, trouble),
        "reborn" => reborn::play(record, trouble),
        "takeup" => takeup::play(record, trouble),
        "target" => target::play(record, trouble),
        "timeout" => timeout::play(record, trouble),
        _ => Err(format!("no case {case:?}").into()),
    };
    match played {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
