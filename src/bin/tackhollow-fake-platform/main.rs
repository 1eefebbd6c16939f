//! Stand-in for the platform: table, object store, weight store, cloud.

mod api;
mod cloud;
mod faults;
mod table;

use std::{
    env,
    io::{self, Write},
    net::SocketAddr,
    sync::Arc,
    thread,
    time::Duration,
};

use anyhow::{Context, Result};
use tackhollow::{cli::Options, edge::http_server};

use self::api::Platform;

const HELP: &str = "\
Stand-in for the platform's service.

Usage: tackhollow-fake-platform [--NAME VALUE]...

  --listen ADDR       address (127.0.0.1:0)
  --lag-ms MS         age of the cloud's list of hosts (1000)
  --weights-per-s N   reads of the weight store a second (20)
";
/// Longest silence of a client while it sends a request.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> Result<()> {
    if env::args().any(|a| a == "--help") {
        print!("{HELP}");
        return Ok(());
    }
    if env::args().any(|a| a == "--version") {
        println!("tackhollow-fake-platform {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let o = Options::parse(env::args_os(), &["listen", "lag-ms", "weights-per-s"])?;
    let listen = o.get("listen")?.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let lag = Duration::from_millis(o.get("lag-ms")?.unwrap_or(1_000));
    let weights = o.get("weights-per-s")?.unwrap_or(20);
    let listener = http_server::bind(listen, READ_TIMEOUT).context("--listen")?;
    let addr = listener.local_addr()?;
    let platform = Arc::new(Platform::new(lag, weights));
    let handler = Arc::new(move |request| platform.handle(request));
    http_server::serve(listener, READ_TIMEOUT, handler)?;
    println!("{}", serde_json::json!({ "http": addr }));
    io::stdout().flush()?;
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}
