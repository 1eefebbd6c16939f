//! HTTP towards callers, by `tiny_http`: a thread for each request.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use socket2::{Domain, Socket, Type};
use tiny_http::{Request, Server};

/// Stack of a request's thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Connections that wait to be accepted at most.
const BACKLOG: i32 = 1_024;

/// What is done with a request.
pub type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// Binds a listener whose connections give up after `read_timeout` of silence
/// while a request is read.
///
/// `tiny_http` has no such limit of its own. On Linux an accepted socket takes
/// over the receive timeout of its listener.
pub fn bind(addr: SocketAddr, read_timeout: Duration) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.set_read_timeout(Some(read_timeout))?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Serves requests on threads of their own, for as long as the process runs.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub fn serve(listener: TcpListener, read_timeout: Duration, handler: Handler) -> io::Result<()> {
    let addr = listener.local_addr()?;
    let first = listener.try_clone()?;
    spawn("http-accept", move || accept_loop(first, &handler));
    spawn("http-wake", move || wake_loop(addr, read_timeout));
    drop(listener);
    Ok(())
}

/// Takes requests in. `accept` shares the receive timeout, so that it fails
/// after a silence (or a freeze of the process); a fresh server then goes on
/// with the same listener while the old one's connections are still served.
fn accept_loop(listener: TcpListener, handler: &Handler) {
    loop {
        let Ok(copy) = listener.try_clone() else {
            log::error!("the listener cannot be copied; no more requests are taken");
            return;
        };
        let server = match Server::from_listener(copy, None) {
            Ok(server) => server,
            Err(e) => {
                log::error!("the HTTP server cannot start: {e}");
                return;
            }
        };
        receive_until_error(&server, handler);
        let handler = handler.clone();
        spawn("http-old", move || receive_rest(&server, &handler));
    }
}

fn receive_until_error(server: &Server, handler: &Handler) {
    while let Ok(request) = server.recv() {
        handle(request, handler.clone());
    }
}

fn receive_rest(server: &Server, handler: &Handler) {
    loop {
        if let Ok(request) = server.recv() {
            handle(request, handler.clone());
        }
    }
}

fn handle(request: Request, handler: Handler) {
    spawn("request", move || handler(request));
}

/// Connects now and then, so that `accept` does not run into its timeout.
fn wake_loop(addr: SocketAddr, read_timeout: Duration) {
    loop {
        thread::sleep(read_timeout / 3);
        drop(TcpStream::connect_timeout(&addr, read_timeout));
    }
}

/// Starts a named thread with a small stack.
pub fn spawn(name: &str, f: impl FnOnce() + Send + 'static) {
    let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
    if let Err(e) = builder.spawn(f) {
        log::error!("no thread for {name}: {e}");
    }
}
