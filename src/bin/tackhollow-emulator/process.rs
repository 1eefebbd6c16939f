//! Emulated processes of upstreams. Each can crash, which closes all its connections, and
//! restart.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Result;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::json;
use tackhollow::time::unix_millis;
use tokio::{
    net::TcpListener,
    sync::mpsc::UnboundedReceiver,
    task::{AbortHandle, LocalSet, spawn_local},
    time::sleep,
};

use crate::{platform::Platform, upstream::UpstreamService};

/// Time from the request or control call that triggers a crash to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Returns a loopback address that only this emulator uses, so that no other process binds
/// the port of an upstream while it is down.
pub fn own_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 200, high, low)
}

/// Starts the process of an upstream on an open socket. Its requests run in a task set of
/// their own, which is dropped when the process is aborted.
pub fn start(platform: &Rc<Platform>, id: &str, listener: TcpListener) -> AbortHandle {
    let service = Rc::new(UpstreamService { platform: platform.clone(), id: id.to_owned() });
    let network = platform.network.clone();
    let process = async move {
        LocalSet::new().run_until(network.serve(listener, service)).await;
    };
    spawn_local(process).abort_handle()
}

/// Opens a listening socket for an upstream.
pub async fn open(address: SocketAddr) -> Result<TcpListener> {
    Ok(TcpListener::bind(address).await?)
}

/// Crashes the upstreams whose ids arrive on `crashing`, and restarts each under the same
/// id after the down time.
pub async fn crash_and_restart(platform: Rc<Platform>, mut crashing: UnboundedReceiver<String>) {
    while let Some(id) = crashing.recv().await {
        spawn_local(crash(platform.clone(), id));
    }
}

async fn crash(platform: Rc<Platform>, id: String) {
    sleep(CRASH_DELAY).await;
    let Some(address) = platform.end_process(&id) else {
        return;
    };
    let down_time = platform.state.borrow().down_time;
    sleep(down_time).await;
    let listener = match open(address).await {
        Ok(listener) => listener,
        Err(e) => {
            eprintln!("upstream {id} cannot restart after a crash: {e:#}");
            return;
        }
    };
    let process = start(&platform, &id, listener);
    let row = {
        let mut state = platform.state.borrow_mut();
        let Some(upstream) = state.upstreams.get_mut(&id) else {
            return;
        };
        let now_ms = unix_millis();
        upstream.process = Some(process);
        upstream.row["born"] = json!(now_ms);
        upstream.row["sequence"] = json!(0);
        upstream.reading_until = Instant::now();
        upstream.cache.clear();
        upstream.starts += 1;
        if let Some(room) = &mut upstream.room {
            room.restart();
        }
        let row = upstream.row.to_string();
        if let Some(down) = state.downtimes.iter_mut().rfind(|d| d.upstream == id) {
            down.until_ms = now_ms;
        }
        row
    };
    platform.put("servers", &id, Some(STANDARD.encode(row)));
}
