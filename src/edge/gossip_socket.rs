//! Datagrams of membership.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use crate::{
    prefix::{fnv1a, hash},
    telemetry::Traffic,
    wire::{Gossip, decode, encode},
};

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 8 << 10;
/// Bytes of IP and UDP headers of a datagram.
pub const HEADER_BYTES: u64 = 28;

/// Sends datagrams.
#[derive(Clone, Debug)]
pub struct GossipSocket {
    socket: Arc<UdpSocket>,
    traffic: Arc<Traffic>,
    tag: u64,
}

impl GossipSocket {
    /// Binds the socket and hands each datagram to `receive`, on a thread of
    /// its own. Datagrams of processes without the shared secret are dropped
    /// and counted.
    pub fn bind(
        addr: SocketAddr,
        secret: &str,
        traffic: Arc<Traffic>,
        receive: impl Fn(SocketAddr, Gossip) + Send + 'static,
    ) -> io::Result<(Self, SocketAddr)> {
        let socket = Arc::new(UdpSocket::bind(addr)?);
        socket.set_write_timeout(Some(Duration::from_millis(50)))?;
        let local = socket.local_addr()?;
        let this = Self { socket, traffic, tag: tag_key(secret) };
        let reader = this.clone();
        super::http_server::spawn("gossip", move || reader.read_loop(&receive));
        Ok((this, local))
    }

    /// Sends a datagram; a failure is counted, since the protocol repeats.
    pub fn send(&self, to: SocketAddr, gossip: &Gossip) {
        let Ok(mut buf) = encode(gossip) else {
            return;
        };
        buf.extend(self.tag_of(&buf));
        match self.socket.send_to(&buf, to) {
            Ok(sent) => self.traffic.sent(sent as u64 + HEADER_BYTES),
            Err(e) => log::debug!("no datagram to {to}: {e}"),
        }
    }

    fn read_loop(&self, receive: &dyn Fn(SocketAddr, Gossip)) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buf) else {
                continue;
            };
            self.traffic.received(len as u64 + HEADER_BYTES);
            match self.open(&buf[..len]) {
                Some(gossip) => receive(from, gossip),
                None => self.traffic.refused(),
            }
        }
    }

    fn open(&self, buf: &[u8]) -> Option<Gossip> {
        let (body, tag) = buf.split_last_chunk::<8>()?;
        if *tag != self.tag_of(body) {
            return None;
        }
        decode(body).ok()
    }

    /// Returns a keyed checksum, which keeps stray processes apart. It is no
    /// defence against a forger on the network.
    fn tag_of(&self, body: &[u8]) -> [u8; 8] {
        fnv1a(self.tag, body).to_be_bytes()
    }
}

fn tag_key(secret: &str) -> u64 {
    hash(secret.as_bytes())
}
