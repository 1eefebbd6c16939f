//! Tunnels: connections to an upstream through another gateway, for a gateway that has no path of
//! its own to the upstream.
//!
//! A tunnel is one request between gateways: its body and its answer carry the bytes of the two
//! directions. Both are chunked, so that a tunnel that breaks is not mistaken for an upstream that
//! closed its connection, which may end an answer of unknown length.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    client::conn::http1::Builder,
    header::{HOST, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc::{Sender, channel},
    task::spawn_local,
    time::timeout,
};
use tokio_util::sync::PollSender;

use super::{
    AnswerBody, BodyError, ConnectError, Framing, HeadFault, HttpConnection, Path, channel_body,
    check_head, connect_stream, full_body,
};

/// Path of requests for a tunnel, followed by the upstream's address.
pub const TUNNEL_PATH: &str = "/peer/tunnel/";
/// Names the request for which a tunnel is opened, for the log.
const REQUEST: HeaderName = HeaderName::from_static("tunnel-request");
/// Says why the other gateway opened no tunnel.
const REFUSAL: HeaderName = HeaderName::from_static("tunnel-refusal");
/// Frames buffered in each direction. A full queue applies back-pressure to the sender.
const QUEUE_FRAMES: usize = 4;
/// Size of the buffer for bytes of the upstream.
const READ_BUFFER_BYTES: usize = 8 << 10;

type TunnelFrame = Result<Bytes, BodyError>;

/// Why a gateway opens no tunnel to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelRefusal {
    /// The upstream's host refuses connections.
    UpstreamRefused,
    /// The upstream could not be reached for another reason.
    UpstreamUnreachable,
    /// The gateway does not know the upstream, or takes no tunnels now.
    NotServed,
}

impl TunnelRefusal {
    /// All refusals with their names between gateways.
    const NAMES: [(&'static str, Self); 3] = [
        ("upstream-refused", Self::UpstreamRefused),
        ("upstream-unreachable", Self::UpstreamUnreachable),
        ("not-served", Self::NotServed),
    ];

    /// Returns the name of the refusal.
    pub fn name(self) -> &'static str {
        Self::NAMES.iter().find(|(_, r)| *r == self).map_or("", |(name, _)| name)
    }

    /// Returns the answer to a request for a tunnel.
    pub fn response(self) -> Response<AnswerBody> {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response.headers_mut().insert(REFUSAL, HeaderValue::from_static(self.name()));
        response
    }
}

/// Why no tunnel could be opened.
#[derive(Debug, Error)]
pub enum TunnelError {
    /// The other gateway cannot be reached.
    #[error("no connection to the other gateway: {0}")]
    Connect(#[from] ConnectError),
    /// The connection to the other gateway ended.
    #[error("the other gateway broke off: {0}")]
    Http(#[from] hyper::Error),
    /// The head of the other gateway's answer is broken.
    #[error("the other gateway's answer is broken: {}", .0.name())]
    Head(HeadFault),
    /// The tunnel's bytes would end with its connection, so that its break could not be told from its end.
    #[error("the other gateway's answer has no framing")]
    Unframed,
    /// The other gateway refused.
    #[error("the other gateway refused: {}", .0.name())]
    Refused(TunnelRefusal),
    /// The other gateway did not answer in time.
    #[error("the other gateway did not answer in time")]
    Timeout,
}

impl TunnelError {
    /// Returns the other gateway's refusal, if it answered.
    pub fn refusal(&self) -> Option<TunnelRefusal> {
        match self {
            Self::Refused(refusal) => Some(*refusal),
            Self::Connect(_) | Self::Http(_) | Self::Head(_) | Self::Unframed | Self::Timeout => {
                None
            }
        }
    }
}

/// Opens a connection to the upstream at `upstream` through the gateway at `peer`. `request` is
/// the id of the request that needs it, for the log.
///
/// # Errors
///
/// Fails if the gateway or the upstream cannot be reached within `limit`.
pub async fn open_tunnel(
    peer: SocketAddr,
    upstream: SocketAddr,
    request: &str,
    limit: Duration,
) -> Result<HttpConnection, TunnelError> {
    let opening = async {
        let stream = connect_stream(None, peer, limit).await?;
        let (mut sender, connection) = Builder::new().handshake(TokioIo::new(stream)).await?;
        spawn_local(async move {
            // The error is dropped: it ends both directions of the tunnel.
            drop(connection.await);
        });
        let (tx, rx) = channel(QUEUE_FRAMES);
        let response = sender.send_request(tunnel_request(peer, upstream, request, rx)).await?;
        check_head(response.status(), response.headers()).map_err(TunnelError::Head)?;
        if response.status() != StatusCode::OK {
            return Err(TunnelError::Refused(decode_refusal(&response)));
        }
        if Framing::of(&response) == Framing::UntilClose {
            return Err(TunnelError::Unframed);
        }
        let body = response.into_body();
        let stream = TunnelStream { body, unread: Bytes::new(), tx: PollSender::new(tx) };
        Ok(HttpConnection::over(stream, Path::Tunnel).await?)
    };
    timeout(limit, opening).await.map_err(|_elapsed| TunnelError::Timeout)?
}

fn tunnel_request(
    peer: SocketAddr,
    upstream: SocketAddr,
    request: &str,
    rx: tokio::sync::mpsc::Receiver<TunnelFrame>,
) -> Request<AnswerBody> {
    let mut tunnel = Request::new(channel_body(rx));
    *tunnel.method_mut() = Method::POST;
    *tunnel.uri_mut() = format!("{TUNNEL_PATH}{upstream}").parse().unwrap_or_default();
    for (name, value) in [(HOST, peer.to_string()), (REQUEST, request.to_owned())] {
        if let Ok(value) = HeaderValue::from_str(&value) {
            tunnel.headers_mut().insert(name, value);
        }
    }
    tunnel
}

fn decode_refusal(response: &Response<Incoming>) -> TunnelRefusal {
    let name = response.headers().get(REFUSAL).and_then(|v| v.to_str().ok());
    let known = TunnelRefusal::NAMES.iter().find(|(n, _)| Some(*n) == name);
    known.map_or(TunnelRefusal::NotServed, |(_, refusal)| *refusal)
}

/// Returns the id of the request for which a tunnel is asked for; empty if none is stated.
pub fn tunnelled_request<B>(request: &Request<B>) -> &str {
    request.headers().get(REQUEST).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// The near end of a tunnel.
#[derive(Debug)]
struct TunnelStream {
    body: Incoming,
    /// Received bytes that were not read yet.
    unread: Bytes,
    tx: PollSender<TunnelFrame>,
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Poll::Ready(Ok(())),
                Some(Err(e)) => {
                    return Poll::Ready(Err(io::Error::new(ErrorKind::ConnectionAborted, e)));
                }
                Some(Ok(frame)) => self.unread = frame.into_data().unwrap_or_default(),
            }
        }
        let len = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread.split_to(len));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let broken = |_closed| io::Error::from(ErrorKind::BrokenPipe);
        ready!(self.tx.poll_reserve(cx)).map_err(broken)?;
        self.tx.send_item(Ok(Bytes::copy_from_slice(buf))).map_err(broken)?;
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tx.close();
        Poll::Ready(Ok(()))
    }
}

/// Returns the answer to a request for a tunnel, which carries the bytes of `upstream` and passes
/// on those of `body`. `guard` is dropped when the tunnel ends.
pub fn tunnel_response<G: 'static>(
    upstream: TcpStream,
    body: Incoming,
    guard: G,
) -> Response<AnswerBody> {
    let (read, write) = upstream.into_split();
    let (tx, rx) = channel(QUEUE_FRAMES);
    spawn_local(async move {
        let _guard = guard;
        // Whichever direction ends first ends the other one.
        tokio::select! {
            () = pass_to_caller(read, &tx) => {}
            () = pass_to_upstream(body, write) => {
                // Fails if the other gateway is gone.
                drop(tx.send(Err(BodyError::BrokenOff)).await);
            }
        }
    });
    Response::new(channel_body(rx))
}

async fn pass_to_upstream(mut body: Incoming, mut write: OwnedWriteHalf) {
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.into_data().unwrap_or_default();
        if let Err(e) = write.write_all(&data).await {
            log::debug!("a tunnel's upstream takes no more: {e}");
            return;
        }
    }
}

async fn pass_to_caller(mut read: OwnedReadHalf, tx: &Sender<TunnelFrame>) {
    let mut buf = vec![0; READ_BUFFER_BYTES];
    loop {
        let received = tokio::select! {
            received = read.read(&mut buf) => received,
            () = tx.closed() => return,
        };
        let frame = match received {
            Ok(0) => return,
            Ok(len) => Ok(Bytes::copy_from_slice(&buf[..len])),
            Err(e) => {
                log::debug!("a tunnel's upstream broke off: {e}");
                Err(BodyError::BrokenOff)
            }
        };
        let ends = frame.is_err();
        if tx.send(frame).await.is_err() || ends {
            return;
        }
    }
}
