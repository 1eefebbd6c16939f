//! Bounds what a peer may send without a part of a body, such as a chunk whose size never ends: the
//! library reads on as long as bytes come, and nobody else is served meanwhile.

use std::{
    cell::{Cell, RefCell},
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connect::MAX_READ_BUFFER_BYTES;

/// Bytes in which the reader of a body may find no part of it. The library takes 16 KiB of extensions of
/// chunks, and of trailers; a larger bound costs time for each faulty peer.
const MAX_OVERHEAD_BYTES: usize = 32 << 10;
/// Bytes that may be received while the reader of a body is busy. Up to two read buffers hold parts that it
/// has not taken, so a smaller bound would break its answer off.
const MAX_UNDELIVERED_BYTES: usize = 3 * MAX_READ_BUFFER_BYTES;

/// What was received on a connection since the latest part of a body.
#[derive(Clone, Debug, Default)]
pub(super) struct InputMeter(Rc<Input>);

#[derive(Debug, Default)]
struct Input {
    undelivered_bytes: Cell<usize>,
    /// Bytes of those that were received when the reader last found no part.
    fruitless_bytes: Cell<usize>,
    /// The reader, while it waits for the next part and was not woken to look again.
    reader: RefCell<Option<Waker>>,
}

/// Whether more may be received now.
enum Admission {
    Now,
    /// The reader was woken, and looks first whether it has received a part.
    AfterReader,
    Never,
}

impl InputMeter {
    /// Notes that the head or a part of the body of an answer was delivered.
    pub(super) fn note_delivered(&self) {
        self.0.undelivered_bytes.set(0);
        self.0.fruitless_bytes.set(0);
        self.0.reader.take();
    }

    /// Notes that the reader found no part of the body, and waits.
    fn note_awaited(&self, cx: &Context<'_>) {
        self.0.fruitless_bytes.set(self.0.undelivered_bytes.get());
        self.0.reader.replace(Some(cx.waker().clone()));
    }

    fn admission(&self) -> Admission {
        let undelivered = self.0.undelivered_bytes.get();
        if undelivered > MAX_UNDELIVERED_BYTES || self.0.fruitless_bytes.get() > MAX_OVERHEAD_BYTES
        {
            return Admission::Never;
        }
        if undelivered <= MAX_OVERHEAD_BYTES {
            return Admission::Now;
        }
        match self.0.reader.take() {
            Some(reader) => {
                reader.wake();
                Admission::AfterReader
            }
            None => Admission::Now,
        }
    }

    fn note_received(&self, bytes: usize) {
        self.0.undelivered_bytes.set(self.0.undelivered_bytes.get() + bytes);
    }
}

/// A stream whose received bytes are counted.
#[derive(Debug)]
pub(super) struct MeteredStream<T> {
    stream: T,
    meter: InputMeter,
}

impl<T> MeteredStream<T> {
    pub(super) fn new(stream: T, meter: InputMeter) -> Self {
        Self { stream, meter }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.meter.admission() {
            Admission::Now => {}
            Admission::AfterReader => {
                // Behind the reader, which was woken first.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Admission::Never => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.meter.note_received(buf.filled().len() - before);
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Body of a received answer.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    meter: InputMeter,
}

impl ReceivedBody {
    pub(super) fn new(body: Incoming, meter: InputMeter) -> Self {
        Self { body, meter }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(_) => self.meter.note_delivered(),
            Poll::Pending => self.meter.note_awaited(cx),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
