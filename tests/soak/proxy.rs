//! A loopback proxy whose links can be delayed, silenced, cut one way or reset.

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

/// How the proxy treats bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Passes them on.
    Pass,
    /// Passes them on late.
    Delay(Duration),
    /// Holds them in both directions.
    Silent,
    /// Holds what comes back.
    OneWay,
}

/// Between looks at a link that holds bytes.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    link: Mutex<Link>,
    /// Connections of earlier generations are reset.
    generation: AtomicU64,
}

/// A proxy before one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    state: Arc<State>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy; connections wait until its target is known.
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
                accepting.join(stream);
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

    /// Ends all connections of now.
    pub fn reset(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }
}

impl State {
    fn join(self: &Arc<Self>, near: TcpStream) {
        let target = *self.target.lock().expect("no panic");
        let Some(far) = target.and_then(|t| TcpStream::connect(t).ok()) else {
            // Dropping it resets the caller's connection.
            return;
        };
        let generation = self.generation.load(Ordering::SeqCst);
        for (from, to, back) in [(&near, &far, false), (&far, &near, true)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let state = self.clone();
            thread::spawn(move || state.copy(from, to, back, generation));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, back: bool, generation: u64) {
        let limit = from.set_read_timeout(Some(LOOK)).and(to.set_nodelay(true));
        let mut buf = [0; 16 << 10];
        while limit.is_ok() && self.generation.load(Ordering::SeqCst) == generation {
            match from.read(&mut buf) {
                Ok(0) => break,
                Ok(n) => {
                    if !self.may_pass(back, generation) || to.write_all(&buf[..n]).is_err() {
                        break;
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        // Whichever side ended, the other learns of it.
        for stream in [&from, &to] {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Waits until bytes may pass; `false` if the connection was reset.
    fn may_pass(&self, back: bool, generation: u64) -> bool {
        loop {
            if self.generation.load(Ordering::SeqCst) != generation {
                return false;
            }
            let link = *self.link.lock().expect("no panic");
            match link {
                Link::Pass => return true,
                Link::OneWay if !back => return true,
                Link::Delay(time) => {
                    thread::sleep(time);
                    return true;
                }
                Link::Silent | Link::OneWay => thread::sleep(LOOK),
            }
        }
    }
}
