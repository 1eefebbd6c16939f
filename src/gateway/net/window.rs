//! Peers whose window stays closed, since they read slowly.
//!
//! The kernel ends a connection whose sent data stays unacknowledged
//! ([`UNACKNOWLEDGED_TIMEOUT`]), and also one whose window stays closed for as long, although its peer
//! acknowledges every probe. That timeout is lifted while the peer answers.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    mem,
    os::fd::AsFd,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use nix::sys::socket::getsockopt;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
};

use super::{connect::UNACKNOWLEDGED_TIMEOUT, tcp_info::TcpInfo};
use crate::clock;

/// Interval between checks of the output of a connection, shorter than [`UNACKNOWLEDGED_TIMEOUT`].
const CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Bytes that every peer's system takes in, whether or not the peer reads: less is not checked.
const MIN_WATCHED_BYTES: usize = 2 << 10;
/// Unanswered probes of a closed window after which the peer counts as gone.
const MAX_UNANSWERED_PROBES: u8 = 2;

/// What was written on a connection since its peer had acknowledged all. The stream notes it, and the
/// task that drives the connection waits for the next check.
#[derive(Debug, Default)]
pub(super) struct Output {
    written_bytes: Cell<usize>,
    is_check_due: Cell<bool>,
    is_urgent: Cell<bool>,
    changed: Notify,
}

impl Output {
    pub(super) fn note_written(&self, bytes: usize) {
        let before = self.written_bytes.replace(self.written_bytes.get().saturating_add(bytes));
        if before <= MIN_WATCHED_BYTES && self.is_watched() {
            self.changed.notify_one();
        }
    }

    /// Has the output checked at once.
    pub(super) fn check_now(&self) {
        self.is_urgent.set(true);
        self.changed.notify_one();
    }

    fn is_watched(&self) -> bool {
        self.written_bytes.get() > MIN_WATCHED_BYTES
    }

    /// Waits until the output is to be checked, and has the next use of the stream check it.
    pub(super) async fn check_due(&self) {
        while !self.is_watched() && !self.is_urgent.get() {
            self.changed.notified().await;
        }
        if !self.is_urgent.get() {
            tokio::select! {
                () = clock::sleep_until(clock::now() + CHECK_PERIOD) => {}
                () = self.changed.notified() => {}
            }
        }
        self.is_urgent.set(false);
        self.is_check_due.set(true);
    }
}

/// Lets the window of a peer that answers stay closed.
#[derive(Debug, Default)]
pub(super) struct WindowWatch {
    pub(super) output: Rc<Output>,
    is_lifted: bool,
    bytes_acked: u64,
    /// Since when the peer has acknowledged nothing more, while something was left.
    stalled_since: Option<Instant>,
}

impl WindowWatch {
    /// Checks whether the peer takes in what was written, if that is due. If some of it is left,
    /// returns for how long the peer has acknowledged nothing more.
    ///
    /// # Errors
    ///
    /// Fails if the peer leaves probes unanswered, or the socket cannot be configured.
    pub(super) fn check<T: AsFd>(&mut self, stream: &T) -> io::Result<Option<Duration>> {
        if !self.output.is_check_due.take() {
            return Ok(None);
        }
        // Fails on sockets other than TCP, which have no such window.
        let Ok(info) = getsockopt(stream, TcpInfo) else {
            self.output.written_bytes.set(0);
            return Ok(None);
        };
        if info.unanswered_probes() >= MAX_UNANSWERED_PROBES {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.lift_timeout(stream, info.is_window_closed())?;
        let progressed = info.bytes_acked != mem::replace(&mut self.bytes_acked, info.bytes_acked);
        if progressed {
            self.stalled_since = None;
        }
        if info.is_drained() {
            self.output.written_bytes.set(0);
            self.stalled_since = None;
            return Ok(None);
        }
        let now = clock::now();
        let since = *self.stalled_since.get_or_insert(now);
        Ok(Some(now.saturating_duration_since(since)))
    }

    fn lift_timeout<T: AsFd>(&mut self, stream: &T, is_lifted: bool) -> io::Result<()> {
        if self.is_lifted != is_lifted {
            self.is_lifted = is_lifted;
            let timeout = (!is_lifted).then_some(UNACKNOWLEDGED_TIMEOUT);
            SockRef::from(stream).set_tcp_user_timeout(timeout)?;
        }
        Ok(())
    }
}

/// A connection on which requests are sent to a peer that may read them slowly.
#[derive(Debug)]
pub(super) struct RequestStream<T> {
    stream: T,
    watch: WindowWatch,
}

impl<T> RequestStream<T> {
    pub(super) fn new(stream: T) -> Self {
        Self { stream, watch: WindowWatch::default() }
    }

    /// Returns what was written on the stream.
    pub(super) fn output(&self) -> Rc<Output> {
        self.watch.output.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for RequestStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<T: AsFd + AsyncWrite + Unpin> AsyncWrite for RequestStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.watch.check(&this.stream)?;
        this.watch.output.note_written(buf.len());
        Pin::new(&mut this.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.watch.check(&this.stream)?;
        this.watch.output.note_written(bufs.iter().map(|buf| buf.len()).sum());
        Pin::new(&mut this.stream).poll_write_vectored(cx, bufs)
    }

    /// Without it, the library copies the body of a request behind its head before it sends them.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.watch.check(&this.stream)?;
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
