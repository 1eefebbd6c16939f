//! Stand-in for a model engine: continuous batching, prefix cache, streams,
//! orders, reclaim notices, and faults by a control call.

mod api;
mod batch;
mod cache;
mod faults;
mod journal;
mod options;
mod state;

use std::{io::Write, sync::Arc, thread, time::Duration};

use anyhow::{Context, Result};
use tackhollow::edge::http_server;

use self::{options::EngineOptions, state::Engine};

/// Longest silence of a client while it sends a request.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> Result<()> {
    let Some(options) = EngineOptions::from_args()? else {
        return Ok(());
    };
    let listener = http_server::bind(options.listen, READ_TIMEOUT).context("--listen")?;
    let addr = listener.local_addr()?;
    let engine = Arc::new(Engine::new(options).context("--journal")?);
    let served = engine.clone();
    let handler = Arc::new(move |request| api::handle(&served, request));
    http_server::serve(listener, READ_TIMEOUT, handler)?;
    println!("{}", serde_json::json!({ "http": addr }));
    std::io::stdout().flush()?;
    let steps = engine.clone();
    http_server::spawn("steps", move || batch::run(&steps));
    loop {
        thread::sleep(Duration::from_millis(50));
        if engine.is_gone() {
            return Ok(());
        }
    }
}
