//! A link between the gateways and an engine, which can be cut. What is on its way while it is cut arrives
//! when it is whole again, as the system of either side sends it again.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
};

/// A link to an engine.
#[derive(Debug)]
pub struct Link {
    is_cut: Mutex<bool>,
    changed: Condvar,
}

impl Link {
    /// Starts a link to `engine` on a free port of `ip`; returns it with its address.
    pub fn start(ip: &str, engine: SocketAddr) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let link = Arc::new(Self { is_cut: Mutex::new(false), changed: Condvar::new() });
        let accepting = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = accepting.clone();
                thread::spawn(move || drop(link.carry(near, engine)));
            }
        });
        Ok((link, address))
    }

    /// Cuts the link, or makes it whole.
    pub fn set_cut(&self, is_cut: bool) {
        *self.is_cut.lock().expect("the link") = is_cut;
        self.changed.notify_all();
    }

    fn wait_whole(&self) {
        let mut is_cut = self.is_cut.lock().expect("the link");
        while *is_cut {
            is_cut = self.changed.wait(is_cut).expect("the link");
        }
    }

    fn carry(self: Arc<Self>, near: TcpStream, engine: SocketAddr) -> io::Result<()> {
        self.wait_whole();
        let far = TcpStream::connect(engine)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (back_from, back_to) = (far.try_clone()?, near.try_clone()?);
        let link = self.clone();
        thread::spawn(move || link.pass(back_from, back_to));
        self.pass(near, far);
        Ok(())
    }

    /// Passes the bytes of one direction on, and their end.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 4096];
        loop {
            let received = from.read(&mut buf);
            self.wait_whole();
            match received {
                Ok(len) if len > 0 => {
                    if to.write_all(&buf[..len]).is_err() {
                        break;
                    }
                }
                Ok(_) | Err(_) => break,
            }
        }
        drop(to.shutdown(Shutdown::Write));
    }
}
