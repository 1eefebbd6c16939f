//! One HTTP/1.1 connection as its client.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

/// Time of silence after which the kernel asks whether the other side is there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two such questions; whole seconds by the socket interface.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer after which the connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest body of an answer that is read whole, in bytes: the platform
/// answers with one megabyte of rows at most, in base64.
const MAX_ANSWER: usize = 4 << 20;

/// Body of a request: always held whole, so that it can be sent again.
pub type RequestBody = Full<Bytes>;

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The socket was refused.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// Nobody answered in time.
    #[error("no answer in time")]
    Timeout,
    /// The HTTP side could not start.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// Why a call brought no whole answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection ended.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The body broke off, or is larger than any that the platform sends.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// An answer that was read whole.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A connection on which requests are sent one after another.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<RequestBody>,
}

impl HttpConnection {
    /// Returns whether the other side has not closed it.
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
    /// Fails if the connection ends first.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut e| SendError {
            unsent: e.take_message().is_some(),
            source: e.into_error(),
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first, or the answer is too large.
    pub async fn call(&mut self, request: Request<RequestBody>) -> Result<Answer, CallError> {
        let response = self.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let read = Limited::new(body, MAX_ANSWER).collect().await;
        let body = read.map_err(CallError::Body)?.to_bytes();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }
}

/// Why no answer came.
#[derive(Debug, Error)]
#[error("{source}")]
pub struct SendError {
    /// Whether no byte of the request was sent.
    pub unsent: bool,
    /// What ended the connection.
    pub source: hyper::Error,
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the address refuses, or does not answer within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<HttpConnection, ConnectError> {
    let opened = timeout(limit, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_elapsed| ConnectError::Timeout)??;
    watch_peer(&stream)?;
    let (sender, connection) = Builder::new().handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        // Whoever uses the connection learns of its end from the sender.
        drop(connection.await);
    });
    Ok(HttpConnection { sender })
}

/// Lets the kernel find out when the other side is gone without a word.
pub(super) fn watch_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// Builds a request with a JSON body, or none for an empty one.
pub fn json_request(method: Method, path: &str, host: &str, body: Bytes) -> Request<RequestBody> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::from_str(host) {
        headers.insert(HOST, host);
    }
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}
