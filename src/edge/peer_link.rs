//! Requests between processes: CBOR frames over WebSocket, on a runtime of
//! their own. Blocking callers get their answers through channels.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc as std_mpsc},
    thread,
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use subtle::ConstantTimeEq;
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::timeout,
};
use tokio_tungstenite::{
    WebSocketStream, accept_hdr_async_with_config, client_async_with_config,
    tungstenite::{
        self, ClientRequestBuilder, Message,
        handshake::server::{ErrorResponse, Request, Response},
        http::StatusCode,
        protocol::WebSocketConfig,
    },
};

use crate::{
    telemetry::Traffic,
    wire::{PeerFrame, PeerReply, PeerRequest, decode, encode},
};

/// Header of the handshake that carries the shared secret.
const SECRET_HEADER: &str = "x-tackhollow-secret";
/// Longest wait for a connection and its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Read buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 4 << 10;
/// Largest message, in bytes: the records of a process that leaves.
const MAX_MESSAGE: usize = 256 << 20;
/// Silence after which a connection is closed.
const IDLE: Duration = Duration::from_secs(60);

/// Why a request to a peer failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PeerError {
    /// The connection failed, or ended before the answer.
    #[error("the peer cannot be reached, or broke off")]
    Lost,
    /// No answer came in time.
    #[error("the peer did not answer in time")]
    Timeout,
}

/// Sends the answer to a peer's request, where it expects one.
#[derive(Clone, Debug)]
pub struct Responder {
    reply_to: Option<(u64, UnboundedSender<PeerFrame>)>,
}

impl Responder {
    /// Sends the answer; it is dropped where the connection is gone.
    pub fn reply(&self, reply: PeerReply) {
        if let Some((id, frames)) = &self.reply_to {
            drop(frames.send(PeerFrame::Reply(*id, reply)));
        }
    }
}

/// What is done with a peer's request.
pub type PeerHandler = Arc<dyn Fn(PeerRequest, Responder) + Send + Sync>;

type ReplySender = std_mpsc::SyncSender<PeerReply>;

/// A request on its way to a connection.
struct Outgoing {
    to: SocketAddr,
    request: PeerRequest,
    reply: Option<ReplySender>,
}

/// Client of other processes.
#[derive(Clone, Debug)]
pub struct PeerClient {
    outgoing: UnboundedSender<Outgoing>,
}

impl PeerClient {
    /// Sends a request and waits for its answer.
    pub fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        within: Duration,
    ) -> Result<PeerReply, PeerError> {
        let (tx, rx) = std_mpsc::sync_channel(1);
        let outgoing = Outgoing { to, request, reply: Some(tx) };
        self.outgoing.send(outgoing).or(Err(PeerError::Lost))?;
        rx.recv_timeout(within).map_err(|e| match e {
            std_mpsc::RecvTimeoutError::Timeout => PeerError::Timeout,
            std_mpsc::RecvTimeoutError::Disconnected => PeerError::Lost,
        })
    }

    /// Sends a request whose answer does not matter.
    pub fn cast(&self, to: SocketAddr, request: PeerRequest) {
        drop(self.outgoing.send(Outgoing { to, request, reply: None }));
    }
}

/// Starts the link: serves peers on `listener` and returns the client.
pub fn start(
    listener: std::net::TcpListener,
    secret: String,
    traffic: Arc<Traffic>,
    handler: PeerHandler,
) -> io::Result<PeerClient> {
    listener.set_nonblocking(true)?;
    let (tx, rx) = mpsc::unbounded_channel();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let link = Arc::new(Link { secret, traffic, handler });
    thread::Builder::new().name("peers".to_owned()).spawn(move || {
        runtime.block_on(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => drop(tokio::spawn(accept_loop(listener, link.clone()))),
                Err(e) => log::error!("peers cannot connect: {e}"),
            }
            dispatch(rx, link).await;
        });
    })?;
    Ok(PeerClient { outgoing: tx })
}

struct Link {
    secret: String,
    traffic: Arc<Traffic>,
    handler: PeerHandler,
}

async fn accept_loop(listener: TcpListener, link: Arc<Link>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => drop(tokio::spawn(serve(stream, from, link.clone()))),
            Err(e) => {
                log::warn!("a peer could not connect: {e}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, from: SocketAddr, link: Arc<Link>) {
    drop(stream.set_nodelay(true));
    #[expect(clippy::result_large_err, reason = "the type is the library's")]
    let check = |request: &Request, response: Response| check_secret(&link, request, response);
    let Ok(Ok(socket)) =
        timeout(CONNECT_TIMEOUT, accept_hdr_async_with_config(stream, check, Some(config()))).await
    else {
        log::debug!("refused a peer connection from {from}");
        return;
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let on_frame = |frame| match frame {
        PeerFrame::Request(id, request) => {
            (link.handler)(request, Responder { reply_to: Some((id, tx.clone())) });
        }
        PeerFrame::Cast(request) => (link.handler)(request, Responder { reply_to: None }),
        PeerFrame::Reply(..) => {}
    };
    pump(socket, rx, &link.traffic, on_frame).await;
}

#[expect(clippy::result_large_err, reason = "the type is the library's")]
fn check_secret(
    link: &Link,
    request: &Request,
    response: Response,
) -> Result<Response, ErrorResponse> {
    let given = request.headers().get(SECRET_HEADER).map(|v| v.as_bytes()).unwrap_or_default();
    if bool::from(given.ct_eq(link.secret.as_bytes())) {
        return Ok(response);
    }
    link.traffic.refused();
    let mut refusal = ErrorResponse::new(None);
    *refusal.status_mut() = StatusCode::UNAUTHORIZED;
    Err(refusal)
}

/// Hands requests to connections, which are made on demand.
async fn dispatch(mut rx: UnboundedReceiver<Outgoing>, link: Arc<Link>) {
    let mut connections: HashMap<SocketAddr, UnboundedSender<Outgoing>> = HashMap::new();
    while let Some(outgoing) = rx.recv().await {
        let to = outgoing.to;
        let unsent = match connections.get(&to) {
            Some(connection) => connection.send(outgoing).err().map(|e| e.0),
            None => Some(outgoing),
        };
        let Some(outgoing) = unsent else {
            continue;
        };
        connections.retain(|_, c| !c.is_closed());
        let (tx, rx) = mpsc::unbounded_channel();
        drop(tx.send(outgoing));
        tokio::spawn(connect(to, rx, link.clone()));
        connections.insert(to, tx);
    }
}

/// Connects and carries requests until the connection ends. Requests without
/// an answer then fail, because their reply channels are dropped.
async fn connect(to: SocketAddr, mut rx: UnboundedReceiver<Outgoing>, link: Arc<Link>) {
    let socket = match timeout(CONNECT_TIMEOUT, handshake(to, &link.secret)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(e)) => {
            log::debug!("no connection to peer {to}: {e}");
            return;
        }
        Err(_) => return,
    };
    let (frames, frames_rx) = mpsc::unbounded_channel();
    let pending = Mutex::new(HashMap::<u64, ReplySender>::new());
    let feed = async {
        let mut next = 0;
        while let Some(outgoing) = rx.recv().await {
            let frame = match outgoing.reply {
                None => PeerFrame::Cast(outgoing.request),
                Some(reply) => {
                    next += 1;
                    lock(&pending).insert(next, reply);
                    PeerFrame::Request(next, outgoing.request)
                }
            };
            if frames.send(frame).is_err() {
                return;
            }
        }
    };
    let on_frame = |frame| {
        if let PeerFrame::Reply(id, reply) = frame
            && let Some(tx) = lock(&pending).remove(&id)
        {
            drop(tx.try_send(reply));
        }
    };
    tokio::select! {
        () = feed => {}
        () = pump(socket, frames_rx, &link.traffic, on_frame) => {}
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the settings of a connection: small buffers, since a process may
/// have one to each of its peers.
fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
}

async fn handshake(
    to: SocketAddr,
    secret: &str,
) -> Result<WebSocketStream<TcpStream>, tungstenite::Error> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let uri = format!("ws://{to}/peer").parse().map_err(tungstenite::http::Error::from)?;
    let request = ClientRequestBuilder::new(uri).with_header(SECRET_HEADER, secret);
    let (socket, _) = client_async_with_config(request, stream, Some(config())).await?;
    Ok(socket)
}

/// Sends frames from `rx` and hands received ones to `on_frame`, until either
/// side closes or falls silent.
async fn pump(
    socket: WebSocketStream<TcpStream>,
    mut rx: UnboundedReceiver<PeerFrame>,
    traffic: &Traffic,
    mut on_frame: impl FnMut(PeerFrame),
) {
    let (mut sink, mut source) = socket.split();
    loop {
        tokio::select! {
            frame = rx.recv() => {
                let Some(frame) = frame else { return };
                let Ok(buf) = encode(&frame) else { continue };
                traffic.sent(buf.len() as u64 + WS_HEADER_BYTES);
                if sink.send(Message::binary(buf)).await.is_err() {
                    return;
                }
            }
            received = timeout(IDLE, source.next()) => {
                let Ok(Some(Ok(message))) = received else { return };
                let Message::Binary(buf) = message else { continue };
                traffic.received(buf.len() as u64 + WS_HEADER_BYTES);
                match decode(&buf) {
                    Ok(frame) => on_frame(frame),
                    Err(e) => log::warn!("{e}"),
                }
            }
        }
    }
}

/// Bytes of WebSocket, TCP and IP headers of a short frame.
const WS_HEADER_BYTES: u64 = 6 + 52;
