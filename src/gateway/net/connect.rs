//! HTTP/1.1 client connections.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    client::conn::http1::{Builder, Connection, SendRequest},
    header::{CONTENT_TYPE, HOST, HeaderValue},
    http::uri::PathAndQuery,
};
use hyper_util::rt::TokioIo;
use nix::errno::Errno;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream},
    sync::Notify,
    task::spawn_local,
    time::timeout,
};

use super::{
    HeadFault, ReceivedBody, check_head,
    input::{InputMeter, MeteredStream},
    state_length_once,
    window::RequestStream,
};

/// Idle time after which the kernel sends TCP keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two keepalive probes; the socket option takes whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel drops the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent data may stay unacknowledged before the kernel drops the connection
/// (`TCP_USER_TIMEOUT`).
pub(super) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum size of a buffered answer body. The platform sends at most one megabyte of
/// base64-encoded rows.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum size of the read buffer of a connection, and thereby of the head of an answer.
pub(super) const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of interim answers (status 1xx) before an answer. Sound upstreams send one or two.
const MAX_INTERIM_ANSWERS: u32 = 16;

/// Body of a request; always buffered so that the request can be retried.
pub type RequestBody = Full<Bytes>;

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The socket could not be connected or configured.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// The peer did not accept the connection in time.
    #[error("no answer in time")]
    Timeout,
    /// The HTTP handshake failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Returns whether the peer's host refused the connection.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Socket(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether this process lacks a descriptor or memory for the connection, which says nothing
    /// about the peer.
    pub fn is_own_shortage(&self) -> bool {
        let shortages = [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM];
        let Self::Socket(e) = self else {
            return false;
        };
        e.raw_os_error().is_some_and(|code| shortages.contains(&Errno::from_raw(code)))
    }

    /// Returns the name of the failure in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Socket(_) if self.is_refused() => "refused",
            Self::Socket(e) if e.kind() == io::ErrorKind::ConnectionReset => "reset",
            Self::Socket(_) => "socket",
            Self::Timeout => "timeout",
            Self::Http(_) => "http",
        }
    }
}

/// Why a call returned no complete answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No head of an answer arrived.
    #[error("{0}")]
    Send(#[from] SendError),
    /// The body was cut off or exceeds the maximum size.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// An answer with its buffered body.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Which way a connection takes to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// From this process to the upstream.
    Direct,
    /// Through another gateway.
    Tunnel,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<RequestBody>,
    path: Path,
    meter: InputMeter,
}

impl HttpConnection {
    /// Begins to speak HTTP on an open stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends at once.
    pub async fn over<T>(stream: T, path: Path) -> Result<Self, ConnectError>
    where
        T: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let meter = InputMeter::default();
        let (sender, connection) = handshake(MeteredStream::new(stream, meter.clone())).await?;
        spawn_local(async move {
            // The error is dropped: users of the connection get it from `sender`.
            drop(connection.await);
        });
        Ok(Self { sender, path, meter })
    }

    /// Begins to speak HTTP on a TCP connection, whose peer may read slowly.
    async fn over_tcp(stream: TcpStream) -> Result<Self, ConnectError> {
        let stream = RequestStream::new(stream);
        let output = stream.output();
        let meter = InputMeter::default();
        let (sender, connection) = handshake(MeteredStream::new(stream, meter.clone())).await?;
        spawn_local(async move {
            tokio::pin!(connection);
            loop {
                tokio::select! {
                    // The error is dropped as above.
                    _ended = connection.as_mut() => return,
                    // The next poll of the connection checks its output.
                    () = output.check_due() => {}
                }
            }
        });
        Ok(Self { sender, path: Path::Direct, meter })
    }

    /// Returns which way the connection takes.
    pub fn path(&self) -> Path {
        self.path
    }

    /// Returns whether the connection has not been closed.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Waits until the next request can be sent.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first, too many interim answers come, or the head is broken. The
    /// connection is of no use then.
    pub async fn send(
        &mut self,
        mut request: Request<RequestBody>,
    ) -> Result<Response<ReceivedBody>, SendError> {
        self.meter.note_delivered();
        let too_many = limit_interim_answers(&mut request);
        let mut response = tokio::select! {
            biased;
            sent = self.sender.try_send_request(request) => sent.map_err(|mut e| {
                match e.take_message() {
                    Some(_) => SendError::Unsent(e.into_error()),
                    None => SendError::Http(e.into_error()),
                }
            })?,
            () = too_many.notified() => return Err(SendError::InterimAnswers),
        };
        check_head(response.status(), response.headers()).map_err(SendError::Head)?;
        state_length_once(response.headers_mut());
        self.meter.note_delivered();
        Ok(response.map(|body| ReceivedBody::new(body, self.meter.clone())))
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first or the body is too large.
    pub async fn call(&mut self, request: Request<RequestBody>) -> Result<Answer, CallError> {
        let response = self.send(request).await?;
        let (parts, body) = response.into_parts();
        let read = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = read.map_err(CallError::Body)?.to_bytes();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }
}

async fn handshake<T>(
    stream: T,
) -> Result<(SendRequest<RequestBody>, Connection<TokioIo<T>, RequestBody>), hyper::Error>
where
    T: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut http = Builder::new();
    http.max_buf_size(MAX_READ_BUFFER_BYTES);
    http.handshake(TokioIo::new(stream)).await
}

/// A request failed before the head of its answer arrived.
#[derive(Debug, Error)]
pub enum SendError {
    /// No part of the request was sent, so that it is safe to retry.
    #[error("{0}")]
    Unsent(#[source] hyper::Error),
    /// The connection ended.
    #[error("{0}")]
    Http(#[source] hyper::Error),
    /// The peer sent interim answers (status 1xx) and no answer.
    #[error("too many interim answers")]
    InterimAnswers,
    /// The head of the answer is broken.
    #[error("the head of the answer is broken: {}", .0.name())]
    Head(HeadFault),
}

/// Has the interim answers to a request counted. Returns what is notified if there are too many.
fn limit_interim_answers(request: &mut Request<RequestBody>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (seen, notify) = (AtomicU32::new(0), too_many.clone());
    hyper::ext::on_informational(request, move |_| {
        if seen.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_ANSWERS {
            notify.notify_one();
        }
    });
    too_many
}

/// Opens a connection to `address`.
///
/// # Errors
///
/// Fails if the peer refuses the connection or does not accept it within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<HttpConnection, ConnectError> {
    connect_from(None, address, limit).await
}

/// Opens a connection to `address` from the IP address `source`, or from one that the system
/// chooses.
///
/// # Errors
///
/// Fails if the peer refuses the connection or does not accept it within `limit`.
pub async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    limit: Duration,
) -> Result<HttpConnection, ConnectError> {
    let stream = connect_stream(source, address, limit).await?;
    HttpConnection::over_tcp(stream).await
}

/// Opens a TCP connection to `address` from the IP address `source`, or from one that the system
/// chooses.
///
/// # Errors
///
/// Fails if the peer refuses the connection or does not accept it within `limit`.
pub async fn connect_stream(
    source: Option<IpAddr>,
    address: SocketAddr,
    limit: Duration,
) -> Result<TcpStream, ConnectError> {
    let opened = timeout(limit, open_stream(source, address)).await;
    let stream = opened.map_err(|_elapsed| ConnectError::Timeout)??;
    detect_dead_peer(&stream)?;
    // Without a linger time of zero, the kernel goes on sending a request that was given up.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

async fn open_stream(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Configures the socket so that the kernel detects a peer that vanished without closing it.
pub(super) fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Builds a GET request without a body.
pub fn get_request(path: PathAndQuery, host: &str) -> Request<RequestBody> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.into();
    if let Ok(host) = HeaderValue::from_str(host) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Builds a request with a JSON body, which may be empty.
pub fn json_request(method: Method, target: Uri, host: &str, body: Bytes) -> Request<RequestBody> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = target;
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::from_str(host) {
        headers.insert(HOST, host);
    }
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}
