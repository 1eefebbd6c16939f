//! Processes of upstreams: each can crash, with all its connections, and start again.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Result;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::json;
use tackhollow::{
    gateway::net::{Shutdown, serve},
    time::unix_millis,
};
use tokio::{
    net::TcpListener,
    sync::mpsc::UnboundedReceiver,
    task::{AbortHandle, LocalSet, spawn_local},
    time::sleep,
};

use crate::{engine::EngineDoor, world::World};

/// Time from the begin of a run that crashes its upstream to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(30);

/// Returns an IP number of this emulator's own, so that no other process takes an
/// upstream's port while it is down.
pub fn own_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 200, high, low)
}

/// Starts the process of an upstream on a socket that is open. What it is asked runs
/// in a set of tasks of its own, which ends with it.
pub fn start(world: &Rc<World>, id: &str, listener: TcpListener) -> AbortHandle {
    let door = Rc::new(EngineDoor { world: world.clone(), id: id.to_owned() });
    let process = async move {
        LocalSet::new().run_until(serve(listener, door, Shutdown::default())).await;
    };
    spawn_local(process).abort_handle()
}

/// Opens a socket for an upstream.
pub async fn open(address: SocketAddr) -> Result<TcpListener> {
    Ok(TcpListener::bind(address).await?)
}

/// Crashes upstreams that began to run a request which does that, and starts each
/// again under its id after a while.
pub async fn crash_and_restart(world: Rc<World>, mut crashing: UnboundedReceiver<String>) {
    while let Some(id) = crashing.recv().await {
        spawn_local(crash(world.clone(), id));
    }
}

async fn crash(world: Rc<World>, id: String) {
    sleep(CRASH_AFTER).await;
    let Some(address) = world.end_process(&id) else {
        return;
    };
    let down = world.state.borrow().down;
    sleep(down).await;
    let listener = match open(address).await {
        Ok(listener) => listener,
        Err(e) => {
            eprintln!("upstream {id} cannot start again: {e:#}");
            return;
        }
    };
    let process = start(&world, &id, listener);
    let row = {
        let mut state = world.state.borrow_mut();
        let Some(engine) = state.engines.get_mut(&id) else {
            return;
        };
        engine.process = Some(process);
        engine.row["born"] = json!(unix_millis());
        engine.row["sequence"] = json!(0);
        engine.reading_until = Instant::now();
        engine.cache.clear();
        engine.starts += 1;
        engine.row.to_string()
    };
    world.put("servers", &id, Some(STANDARD.encode(row)));
}
