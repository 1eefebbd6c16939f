//! Command line.

use std::{env, ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, Result, bail};
use tackhollow::cli::Options;

const HELP: &str = "\
Load client of tackhollow.

Usage: tackhollow-load --entry ADDR[,ADDR] --keys KEY[,KEY] [--NAME VALUE]...

  --entry LIST       entry hosts to ask for addresses
  --keys LIST        customers' keys; requests are spread over them
  --mix NAME         saengdao or kaira (saengdao)
  --rate N           requests a second in the mean (20)
  --seconds N        length of the arrivals (30)
  --seed N           seed of the arrivals (1)
  --patience N       seconds until a caller without a verdict gives up (60)
  --journals DIR     folder with the upstreams' journals, to check against

Exit status: 0 all answers right, 1 some wrong or lost, 2 usage.
";

const NAMES: [&str; 8] =
    ["entry", "keys", "mix", "rate", "seconds", "seed", "patience", "journals"];

/// Which users' mix to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MixName {
    /// Chats, drafts and confirms.
    Saengdao,
    /// Long dossiers shared over many calls, captions and checks.
    Kaira,
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    pub entries: Vec<SocketAddr>,
    pub keys: Vec<String>,
    pub mix: MixName,
    pub rate: f64,
    pub length: Duration,
    pub seed: u64,
    pub patience: Duration,
    pub journals: Option<PathBuf>,
}

impl LoadOptions {
    /// Parses the command line; `None` where help or version was printed.
    pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Option<Self>> {
        if env::args().any(|a| a == "--help" || a == "-h") {
            print!("{HELP}");
            return Ok(None);
        }
        if env::args().any(|a| a == "--version" || a == "-V") {
            println!("tackhollow-load {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let o = Options::parse(args, &NAMES)?;
        let entries: String = o.get("entry")?.context("missing --entry; see --help")?;
        let keys: String = o.get("keys")?.context("missing --keys; see --help")?;
        let entries: Result<Vec<SocketAddr>, _> = entries.split(',').map(str::parse).collect();
        let mix = match o.get::<String>("mix")?.as_deref() {
            None | Some("saengdao") => MixName::Saengdao,
            Some("kaira") => MixName::Kaira,
            Some(other) => bail!("--mix: expected saengdao or kaira, found {other}"),
        };
        let rate = o.get("rate")?.unwrap_or(20.0);
        if !(rate > 0.0 && rate <= 5_000.0) {
            bail!("--rate: expected a number above 0, up to 5000");
        }
        Ok(Some(Self {
            entries: entries.context("--entry: expected IP numbers with ports")?,
            keys: keys.split(',').map(str::to_owned).collect(),
            mix,
            rate,
            length: Duration::from_secs(o.get("seconds")?.unwrap_or(30).min(3_600)),
            seed: o.get("seed")?.unwrap_or(1),
            patience: Duration::from_secs(o.get("patience")?.unwrap_or(60)),
            journals: o.get("journals")?,
        }))
    }
}
