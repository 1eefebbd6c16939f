//! A loopback TCP proxy whose connections can be delayed, stalled in one or both directions,
//! or reset.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// How the proxy forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Forwards them at once.
    Pass,
    /// Forwards each read after a delay.
    Delay(Duration),
    /// Forwards nothing in either direction.
    Silent,
    /// Forwards nothing from the target to the caller.
    OneWay,
}

/// Interval at which connections check for a reset or a change of the link.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    link: Mutex<Link>,
    /// Connections of earlier generations are reset.
    generation: AtomicU64,
}

/// A proxy in front of one target address.
#[derive(Clone, Debug)]
pub struct Proxy {
    state: Arc<State>,
    /// The address that the proxy listens on.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy without a target: connections are closed until [`Proxy::set_target`] is
    /// called.
    pub fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            target: Mutex::new(None),
            link: Mutex::new(Link::Pass),
            generation: AtomicU64::new(0),
        });
        let accepting = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.open_connection(stream);
            }
        });
        Self { state, address }
    }

    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().expect("no panic") = Some(target);
    }

    pub fn set_link(&self, link: Link) {
        *self.state.link.lock().expect("no panic") = link;
    }

    /// Closes all connections that are open now.
    pub fn reset(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }
}

impl State {
    fn open_connection(self: &Arc<Self>, caller: TcpStream) {
        let target = *self.target.lock().expect("no panic");
        let Some(target_stream) = target.and_then(|t| TcpStream::connect(t).ok()) else {
            // Returning drops the stream, which closes the caller's connection.
            return;
        };
        let generation = self.generation.load(Ordering::SeqCst);
        for (from, to, to_caller) in
            [(&caller, &target_stream, false), (&target_stream, &caller, true)]
        {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let state = self.clone();
            thread::spawn(move || state.copy(from, to, to_caller, generation));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, to_caller: bool, generation: u64) {
        let limit = from.set_read_timeout(Some(POLL_INTERVAL)).and(to.set_nodelay(true));
        let mut buf = [0; 16 << 10];
        while limit.is_ok() && self.generation.load(Ordering::SeqCst) == generation {
            match from.read(&mut buf) {
                Ok(0) => break,
                Ok(n) => {
                    if !self.wait_to_forward(to_caller, generation)
                        || to.write_all(&buf[..n]).is_err()
                    {
                        break;
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        // Closes both sides, whichever one ended first.
        for stream in [&from, &to] {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Waits until bytes may be forwarded; returns `false` if the connection was reset.
    fn wait_to_forward(&self, to_caller: bool, generation: u64) -> bool {
        loop {
            if self.generation.load(Ordering::SeqCst) != generation {
                return false;
            }
            let link = *self.link.lock().expect("no panic");
            match link {
                Link::Pass => return true,
                Link::OneWay if !to_caller => return true,
                Link::Delay(time) => {
                    thread::sleep(time);
                    return true;
                }
                Link::Silent | Link::OneWay => thread::sleep(POLL_INTERVAL),
            }
        }
    }
}
