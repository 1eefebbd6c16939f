//! HTTP/1.1 server on a listener.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming},
    server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::Receiver,
    task::spawn_local,
    time::sleep,
};

use super::{Shutdown, connect::watch_peer};

/// Longest time that a connection may be idle, or a head incomplete. The
/// operator's limit is fifteen seconds; callers reuse connections that have
/// been idle for up to four fifths of it, so a longer wait harms nobody.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Largest head of a request, in bytes; the operator allows 16,384.
const HEAD_LIMIT: usize = 64 << 10;
/// Pause after a failed accept, for example when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why a body ended before its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The upstream broke off and nobody could go on.
    #[error("the upstream broke off")]
    BrokenOff,
    /// The time for the answer is over.
    #[error("the time for the answer is over")]
    TimeOver,
}

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// Wraps bytes as the body of an answer.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

struct ChannelBody {
    rx: Receiver<Result<Bytes, BodyError>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.rx.poll_recv(cx).map(|next| next.map(|bytes| bytes.map(Frame::data)))
    }
}

/// Returns a body that passes on what is sent to a channel. An error ends the
/// connection, so that the answer cannot look complete.
pub fn channel_body(rx: Receiver<Result<Bytes, BodyError>>) -> AnswerBody {
    ChannelBody { rx }.boxed_unsync()
}

/// Answers requests.
pub trait Service {
    /// Answers a request.
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>>;
}

/// Serves connections until the process ends.
pub async fn serve<S: Service + 'static>(listener: TcpListener, service: Rc<S>, end: Shutdown) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn_local(connection(stream, peer, service.clone(), end.clone()));
            }
            Err(e) => {
                log::warn!("accept failed: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<S: Service>(
    stream: TcpStream,
    peer: SocketAddr,
    service: Rc<S>,
    end: Shutdown,
) {
    if let Err(e) = watch_peer(&stream) {
        log::debug!("{peer}: {e}");
    }
    let answer = service_fn(|request| {
        let service = service.clone();
        async move { Ok::<_, std::convert::Infallible>(service.answer(request).await) }
    });
    let mut http = Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(IDLE_LIMIT).max_buf_size(HEAD_LIMIT);
    let serving = http.serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = end.closing() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = ended {
        log::debug!("{peer}: {e}");
    }
}
