//! Command line.

use std::{env, net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, Result};
use tackhollow::cli::Options;

const NAMES: [&str; 10] = [
    "listen",
    "models",
    "slots",
    "journal",
    "cache-blocks",
    "checks-fencing",
    "speed",
    "report-ms",
    "gap-percent",
    "prefill-rate",
];

const HELP: &str = "\
Stand-in for a model engine.

Usage: tackhollow-fake-engine [--NAME VALUE]...

  --listen ADDR           address (127.0.0.1:0)
  --models LIST           models, by commas (chat-8b)
  --slots N               requests at once (50)
  --journal FILE          file to which every request is appended
  --cache-blocks N        prefix cache, in blocks of 256 bytes (4096)
  --checks-fencing BOOL   refuse orders with an old number (true)
  --speed FACTOR          how much faster than real time (1)
  --report-ms MS          between load reports (1000)
  --gap-percent N         cache events lost, in percent (2)
  --prefill-rate N        prompt tokens a second (8000)
";

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address.
    pub listen: SocketAddr,
    /// Models.
    pub models: Vec<String>,
    /// Requests at once.
    pub slots: usize,
    /// File to which every request is appended.
    pub journal: Option<PathBuf>,
    /// Prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Whether orders with an old number are refused.
    pub checks_fencing: bool,
    /// How much faster than real time.
    pub speed: f64,
    /// Between load reports.
    pub report_every: Duration,
    /// Cache events lost, in percent.
    pub gap_percent: u8,
    /// Prompt tokens a second.
    pub prefill_rate: f64,
}

impl EngineOptions {
    /// Parses the command line; `None` where help or version was printed.
    pub fn from_args() -> Result<Option<Self>> {
        if env::args().any(|a| a == "--help") {
            print!("{HELP}");
            return Ok(None);
        }
        if env::args().any(|a| a == "--version") {
            println!("tackhollow-fake-engine {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let o = Options::parse(env::args_os(), &NAMES)?;
        let models: String = o.get("models")?.unwrap_or_else(|| "chat-8b".to_owned());
        let default_listen = "127.0.0.1:0".parse().context("default address")?;
        Ok(Some(Self {
            listen: o.get("listen")?.unwrap_or(default_listen),
            models: models.split(',').map(str::to_owned).collect(),
            slots: o.get("slots")?.unwrap_or(50),
            journal: o.get::<PathBuf>("journal")?,
            cache_blocks: o.get("cache-blocks")?.unwrap_or(4_096),
            checks_fencing: o.get("checks-fencing")?.unwrap_or(true),
            speed: o.get("speed")?.unwrap_or(1.0),
            report_every: Duration::from_millis(o.get("report-ms")?.unwrap_or(1_000)),
            gap_percent: o.get("gap-percent")?.unwrap_or(2),
            prefill_rate: o.get("prefill-rate")?.unwrap_or(8_000.0),
        }))
    }
}
