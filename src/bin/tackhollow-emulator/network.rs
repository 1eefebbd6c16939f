//! Network between callers of upstreams and the upstreams: cuts off callers by their IP address.
//!
//! Packets from a cut-off address are dropped by socket filters, so that the kernel of the caller
//! sees what it would see in a real partition.

use std::{
    borrow::Cow,
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    os::fd::{AsFd, BorrowedFd},
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, Waker},
    time::Duration,
};

use serde::Deserialize;
use socket2::{SockFilter, SockRef, Socket};
use tackhollow::gateway::net::{ServerState, Service, serve_connection};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// What a cut does to connections between an address and all upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Drops all packets: open connections hang, and new ones are not accepted.
    Hang,
    /// Resets open connections, and drops the packets of new ones.
    Reset,
    /// Resets open connections, and new ones as soon as they are accepted.
    ResetAccepted,
    /// Drops the packets of new connections only.
    HangNew,
}

/// Open connections and listeners of all upstreams, and the addresses that are cut off.
#[derive(Debug, Default)]
pub struct Network {
    cuts: RefCell<BTreeMap<Ipv4Addr, Cut>>,
    listeners: RefCell<Vec<Weak<TcpListener>>>,
    connections: RefCell<BTreeMap<u64, Connection>>,
    last_connection: Cell<u64>,
}

/// An open connection to an upstream.
#[derive(Debug)]
struct Connection {
    source: Ipv4Addr,
    /// Second handle of the connection's socket.
    socket: Socket,
    gate: Rc<Gate>,
}

/// Lets the task of a connection know of a cut.
#[derive(Debug, Default)]
struct Gate {
    cut: Cell<Option<Cut>>,
    /// The task that serves the connection.
    waker: RefCell<Option<Waker>>,
}

impl Gate {
    fn set(&self, cut: Option<Cut>) {
        self.cut.set(cut);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Returns the cut and wakes the calling task when it changes.
    fn poll(&self, cx: &Context<'_>) -> Option<Cut> {
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        self.cut.get()
    }
}

impl Network {
    /// Replaces the cuts by a cut of these addresses.
    ///
    /// # Errors
    ///
    /// Fails if a socket filter cannot be changed.
    pub fn set_cuts(&self, cuts: BTreeMap<Ipv4Addr, Cut>) -> io::Result<()> {
        *self.cuts.borrow_mut() = cuts;
        self.listeners.borrow_mut().retain(|l| l.strong_count() > 0);
        for listener in self.listeners.borrow().iter().filter_map(Weak::upgrade) {
            self.filter_listener(&listener)?;
        }
        for connection in self.connections.borrow().values() {
            let cut = self.cut_of(connection.source);
            match cut {
                Some(Cut::Hang) => drop_packets(&connection.socket, [connection.source])?,
                Some(Cut::Reset | Cut::ResetAccepted) => reset_on_close(&connection.socket)?,
                // New connections inherit the filter of the listener, so it is removed here too.
                Some(Cut::HangNew) | None => drop_packets(&connection.socket, [])?,
            }
            connection.gate.set(cut);
        }
        Ok(())
    }

    /// Makes the connections to an upstream close without a reset, as when its process ends, also
    /// in the middle of an answer.
    pub fn close_quietly(&self, upstream: SocketAddr) {
        for connection in self.connections.borrow().values() {
            let to = connection.socket.local_addr().ok().and_then(|a| a.as_socket());
            if to == Some(upstream)
                && let Err(e) = connection.socket.set_linger(None)
            {
                eprintln!("a connection to {upstream} may be reset: {e}");
            }
        }
    }

    fn cut_of(&self, source: Ipv4Addr) -> Option<Cut> {
        self.cuts.borrow().get(&source).copied()
    }

    fn filter_listener(&self, listener: &TcpListener) -> io::Result<()> {
        let cuts = self.cuts.borrow();
        let accepts = |cut: &Cut| *cut == Cut::ResetAccepted;
        let dropped = cuts.iter().filter(|(_, cut)| !accepts(cut)).map(|(source, _)| *source);
        drop_packets(&SockRef::from(listener), dropped)
    }

    /// Accepts and serves the connections of an upstream.
    pub async fn serve<S: Service + 'static>(
        self: &Rc<Self>,
        listener: TcpListener,
        service: Rc<S>,
    ) {
        let listener = Rc::new(listener);
        self.listeners.borrow_mut().push(Rc::downgrade(&listener));
        if let Err(e) = self.filter_listener(&listener) {
            eprintln!("the cuts do not apply to a new upstream: {e}");
        }
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => match self.open(stream, peer.ip()) {
                    Ok(None) => {}
                    Ok(Some(stream)) => {
                        let state = ServerState::default();
                        if let Some(connection) = state.intake.open(state.kind) {
                            let service = service.clone();
                            spawn_local(serve_connection(stream, peer, connection, service, state));
                        }
                    }
                    Err(e) => eprintln!("a connection from {peer} is not served: {e}"),
                },
                Err(e) => {
                    eprintln!("accept failed: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Registers an accepted connection; `None` if it is reset at once.
    fn open(self: &Rc<Self>, stream: TcpStream, source: IpAddr) -> io::Result<Option<CutStream>> {
        stream.set_nodelay(true)?;
        let IpAddr::V4(source) = source else {
            return Err(io::Error::from(io::ErrorKind::Unsupported));
        };
        if self.cut_of(source) == Some(Cut::ResetAccepted) {
            reset_on_close(&SockRef::from(&stream))?;
            return Ok(None);
        }
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        let (socket, gate) = (SockRef::from(&stream).try_clone()?, Rc::<Gate>::default());
        let connection = Connection { source, socket, gate: gate.clone() };
        self.connections.borrow_mut().insert(number, connection);
        let open = OpenConnection { network: self.clone(), number };
        Ok(Some(CutStream { open, gate, stream }))
    }
}

/// Closes the second handle of a connection when the connection ends.
#[derive(Debug)]
struct OpenConnection {
    network: Rc<Network>,
    number: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.network.connections.borrow_mut().remove(&self.number);
    }
}

/// A connection that can be cut.
#[derive(Debug)]
pub struct CutStream {
    // Dropped before the stream: a reset is sent when the last handle is closed.
    #[expect(dead_code, reason = "held for its `Drop`")]
    open: OpenConnection,
    gate: Rc<Gate>,
    stream: TcpStream,
}

impl AsFd for CutStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.gate.poll(cx) {
            Some(Cut::Reset | Cut::ResetAccepted) => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            Some(Cut::Hang) => Poll::Pending,
            Some(Cut::HangNew) | None => Pin::new(&mut self.stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.gate.poll(cx) {
            Some(Cut::Reset | Cut::ResetAccepted) => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            Some(Cut::Hang) => Poll::Pending,
            Some(Cut::HangNew) | None => {
                Pin::new(&mut self.stream).poll_write(cx, &with_newest_version(buf))
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Replaces the version of an answer by HTTP/1.1. The HTTP library sends answers without framing as
/// HTTP/1.0 only, and upstreams send them as HTTP/1.1 too.
fn with_newest_version(buf: &[u8]) -> Cow<'_, [u8]> {
    const VERSION: &[u8] = b"HTTP/1.0 ";
    match buf.strip_prefix(VERSION) {
        Some(rest) => Cow::Owned([b"HTTP/1.1 ", rest].concat()),
        None => Cow::Borrowed(buf),
    }
}

fn reset_on_close(socket: &Socket) -> io::Result<()> {
    socket.set_linger(Some(Duration::ZERO))
}

/// Makes a socket drop all packets from these addresses.
fn drop_packets(socket: &Socket, sources: impl IntoIterator<Item = Ipv4Addr>) -> io::Result<()> {
    /// Offset from which a filter reads the IP header (`SKF_NET_OFF`).
    const IP_HEADER: u32 = 0xfff0_0000;
    /// Offset of the source address in the IP header.
    const SOURCE: u32 = 12;
    const LOAD_WORD: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const DROP: SockFilter = SockFilter::new(RETURN, 0, 0, 0);
    const ACCEPT: SockFilter = SockFilter::new(RETURN, 0, 0, u32::MAX);
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, IP_HEADER + SOURCE)];
    for source in sources {
        filter.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, source.to_bits()));
        filter.push(DROP);
    }
    filter.push(ACCEPT);
    socket.attach_filter(&filter)
}
