//! HTTP/1.1 server.

use std::{
    future::Future,
    net::SocketAddr,
    os::fd::AsFd,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, Version,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
    server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
    sync::mpsc::Receiver,
    task::{spawn_local, yield_now},
    time::sleep,
};

use super::{
    BufferLease, Intake, IntakeConnection, Reader, Shutdown, UnreadAnswers,
    answer_stream::{AnswerStream, UnfinishedAnswer},
    connect::detect_dead_peer,
};
use crate::gateway::model::EndpointKind;

/// Timeout for idle connections and incomplete request heads. The operator's limit is 15 s,
/// and callers reuse connections that have been idle for up to four fifths of it, so a
/// longer timeout does no harm.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a request head; the limit in the configuration is 16,384.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why the body of an answer is incomplete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The upstream broke off and no other upstream could resume the stream.
    #[error("the upstream broke off")]
    BrokenOff,
    /// The deadline of the request has passed.
    #[error("the time for the answer is over")]
    TimeOver,
}

/// Body of an answer to a caller, buffered or streamed.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// Creates a body from a buffer.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Creates a body from an answer that was buffered whole. Its memory is accounted for until the body
/// has been handed on.
pub fn buffered_body(bytes: Bytes, lease: BufferLease) -> AnswerBody {
    guarded_body(full_body(bytes), lease)
}

/// A body that keeps a guard until it is dropped, as the library does after its end.
struct GuardedBody<G> {
    body: AnswerBody,
    _guard: G,
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn guarded_body<G: Unpin + 'static>(body: AnswerBody, guard: G) -> AnswerBody {
    Box::pin(GuardedBody { body, _guard: guard })
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

/// Returns a body that streams the data received from a channel. An error closes the
/// connection, so that the caller cannot mistake the answer for a complete one.
pub fn channel_body(rx: Receiver<Result<Bytes, BodyError>>) -> AnswerBody {
    Box::pin(ChannelBody { rx })
}

/// A body that states no length, whatever is known of it.
struct UnknownLengthBody(AnswerBody);

impl Body for UnknownLengthBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.0).poll_frame(cx)
    }
}

/// Makes an answer end with its connection, with neither a length nor chunks. An answer of HTTP/1.1
/// would be sent in chunks.
pub fn frame_until_close(response: Response<AnswerBody>) -> Response<AnswerBody> {
    let (mut parts, body) = response.into_parts();
    parts.version = Version::HTTP_10;
    parts.headers.remove(CONTENT_LENGTH);
    parts.headers.insert(CONNECTION, HeaderValue::from_static("close"));
    let body: AnswerBody = Box::pin(UnknownLengthBody(body));
    Response::from_parts(parts, body)
}

/// Handler of the requests that a server receives.
pub trait Service {
    /// Handles a request that came on `connection` and returns the answer.
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<IntakeConnection>,
    ) -> impl Future<Output = Response<AnswerBody>>;
}

/// What the connections of a server share.
#[derive(Clone, Debug, Default)]
pub struct ServerState {
    /// Phase of the shutdown. Connections are shut down gracefully once it reaches
    /// [`super::Phase::Closing`].
    pub shutdown: Shutdown,
    /// Answers that their callers have not read.
    pub unread: UnreadAnswers,
    /// The connections of all servers of the process.
    pub intake: Intake,
    /// Kind of the address that this server listens on.
    pub kind: EndpointKind,
}

/// Accepts and serves connections until the process ends.
pub async fn serve<S: Service + 'static>(
    listener: TcpListener,
    service: Rc<S>,
    state: ServerState,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Err(e) = detect_dead_peer(&stream) {
                    log::debug!("{peer}: {e}");
                }
                let Some(connection) = state.intake.open(state.kind) else {
                    log::debug!("{peer}: closed at once, no connection can give way");
                    continue;
                };
                let (service, state) = (service.clone(), state.clone());
                spawn_local(serve_connection(stream, peer, connection, service, state));
                // Connections that give way are closed before more are accepted.
                yield_now().await;
            }
            Err(e) => {
                log::warn!("accept failed: {e}");
                state.intake.free_descriptor();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends, or has to give way to others.
pub async fn serve_connection<T, S>(
    stream: T,
    peer: SocketAddr,
    connection: Rc<IntakeConnection>,
    service: Rc<S>,
    state: ServerState,
) where
    T: AsFd + AsyncRead + AsyncWrite + Unpin,
    S: Service,
{
    let unfinished = UnfinishedAnswer::default();
    let stream = AnswerStream::new(stream, unfinished.clone(), state.unread, connection.clone());
    let (output, read_time) = (stream.output(), stream.read_time());
    let answer = service_fn(|request: Request<Incoming>| {
        let (service, unfinished) = (service.clone(), unfinished.clone());
        let (connection, read_time) = (connection.clone(), read_time.clone());
        async move {
            let version = request.version();
            let guard = connection.begin_request();
            let response = service.answer(request, connection).await;
            read_time.begin(response.extensions().get::<Reader>().cloned());
            let response = unfinished.follow(response, version);
            Ok::<_, std::convert::Infallible>(response.map(|body| guarded_body(body, guard)))
        }
    });
    let mut http = Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
    let serving = http.serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(serving);
    let evicted = connection.evicted();
    tokio::pin!(evicted);
    let (mut is_closing, mut is_evicted) = (false, false);
    let ended = loop {
        tokio::select! {
            ended = serving.as_mut() => break ended,
            () = state.shutdown.closing(), if !is_closing => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
            () = evicted.as_mut(), if !is_evicted => {
                is_evicted = true;
                if !connection.has_request() {
                    break Ok(());
                }
                // The request is answered first.
                serving.as_mut().graceful_shutdown();
            }
            // The next poll of the connection checks its output.
            () = output.check_due() => {}
        }
    };
    if let Err(e) = ended {
        log::debug!("{peer}: {e}");
    }
}
