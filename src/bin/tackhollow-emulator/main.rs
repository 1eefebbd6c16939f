//! Emulator of the users' platform: store, API and upstreams on loopback.
//!
//! It implements exactly the published protocol. Tests and the demo control it over
//! HTTP and read which requests its upstreams ran.

mod admin;
mod answer;
mod api;
mod copies;
mod network;
mod platform;
mod process;
mod rollout;
mod room;
mod store;
mod upstream;

use std::{net::SocketAddr, process::ExitCode, rc::Rc};

use anyhow::Result;
use tackhollow::gateway::net::{ServerState, Service, serve};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::mpsc::unbounded_channel,
    task::{LocalSet, spawn_local},
};

use crate::platform::Platform;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("tackhollow-emulator: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let (crashing, crashes) = unbounded_channel();
        let platform = Platform::new(crashing);
        spawn_local(process::crash_and_restart(platform.clone(), crashes));
        let store = listen(Rc::new(store::Store { platform: platform.clone() })).await?;
        let api = listen(Rc::new(api::Api { platform: platform.clone() })).await?;
        let http = listen(Rc::new(admin::Admin { platform })).await?;
        println!("{}", serde_json::json!({ "http": http, "store": store, "api": api }));
        std::future::pending::<()>().await;
        Ok(())
    })
}

/// Starts a service on a free loopback port and returns its address.
async fn listen<S: Service + 'static>(service: Rc<S>) -> Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    spawn_local(serve(listener, service, ServerState::default()));
    Ok(address)
}
