//! Connections on which answers are sent.

use std::{
    io,
    os::fd::AsFd,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Response, Version,
    body::{Body, Frame},
    header::CONTENT_LENGTH,
};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{
    AnswerBody, BodyError, IntakeConnection,
    unread::{ReadTime, UnreadAnswers, UnreadGuard},
    window::{Output, WindowWatch},
};

/// Whether an answer that ends with its connection has begun on it and is not complete.
#[derive(Clone, Debug, Default)]
pub(super) struct UnfinishedAnswer(Arc<AtomicBool>);

impl UnfinishedAnswer {
    /// Follows an answer to a request of version `requested` until its body is complete, if the end
    /// of its connection is its only end.
    pub(super) fn follow(
        &self,
        response: Response<AnswerBody>,
        requested: Version,
    ) -> Response<AnswerBody> {
        let has_no_chunks = [requested, response.version()].contains(&Version::HTTP_10);
        let has_length = response.body().size_hint().exact().is_some()
            || response.headers().contains_key(CONTENT_LENGTH);
        if !has_no_chunks || has_length {
            return response;
        }
        self.set(true);
        response
            .map(|body| -> AnswerBody { Box::pin(FollowedBody { body, unfinished: self.clone() }) })
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, unfinished: bool) {
        self.0.store(unfinished, Ordering::Relaxed);
    }
}

struct FollowedBody {
    body: AnswerBody,
    unfinished: UnfinishedAnswer,
}

impl Body for FollowedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.unfinished.set(false);
        }
        polled
    }
}

/// A connection on which answers are sent.
///
/// It ends with a reset if an answer on it has no other end and is incomplete: a usual close would tell
/// the caller that the answer is complete. The socket is prepared as soon as such an answer begins, so
/// that the reset is also sent if the process is killed.
///
/// A caller that reads slowly keeps its connection until its deadline, as long as its host answers the
/// kernel's probes.
#[derive(Debug)]
pub(super) struct AnswerStream<T: AsFd> {
    stream: T,
    unfinished: UnfinishedAnswer,
    resets: bool,
    watch: WindowWatch,
    read_time: Rc<ReadTime>,
    unread: UnreadAnswers,
    /// Set while the kernel takes no more, so that the rest is held here.
    blocked: Option<UnreadGuard>,
    connection: Rc<IntakeConnection>,
}

impl<T: AsFd> AnswerStream<T> {
    pub(super) fn new(
        stream: T,
        unfinished: UnfinishedAnswer,
        unread: UnreadAnswers,
        connection: Rc<IntakeConnection>,
    ) -> Self {
        let watch = WindowWatch::default();
        let read_time = Rc::new(ReadTime::new(watch.output.clone()));
        Self {
            stream,
            unfinished,
            resets: false,
            watch,
            read_time,
            unread,
            blocked: None,
            connection,
        }
    }

    /// Returns what was written on the stream.
    pub(super) fn output(&self) -> Rc<Output> {
        self.watch.output.clone()
    }

    /// Returns until when its answers may stay unread.
    pub(super) fn read_time(&self) -> Rc<ReadTime> {
        self.read_time.clone()
    }

    fn reset_on_close(&mut self, resets: bool) -> io::Result<()> {
        if self.resets != resets {
            self.resets = resets;
            SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))?;
        }
        Ok(())
    }

    /// Checks whether the peer reads what was written, if that is due.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone or has had its time.
    fn check_output(&mut self) -> io::Result<()> {
        let is_over = match self.watch.check(&self.stream) {
            Ok(None) => false,
            Ok(Some(stalled)) => self.read_time.is_over(stalled),
            Err(e) => {
                self.reset_on_close(true)?;
                return Err(e);
            }
        };
        if is_over {
            self.reset_on_close(true)?;
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}

impl<T: AsFd + AsyncRead + Unpin> AsyncRead for AnswerStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0 {
            self.connection.receive(received);
        }
        read
    }
}

impl<T: AsFd + AsyncWrite + Unpin> AsyncWrite for AnswerStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.unfinished.get() {
            self.reset_on_close(true)?;
        }
        self.check_output()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch.output.note_written(buf.len());
        match written {
            Poll::Ready(_) => {
                if self.blocked.take().is_some() {
                    self.connection.set_unread(false);
                }
            }
            Poll::Pending if self.blocked.is_none() => {
                self.blocked = Some(self.unread.add(&self.read_time));
                self.connection.set_unread(true);
            }
            Poll::Pending => {}
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_output()?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.unfinished.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        self.reset_on_close(false)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
