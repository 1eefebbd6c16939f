//! Kept connections to upstreams, each used by one request at a time.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use thiserror::Error;

use super::{ConnectError, HttpConnection, connect};
use crate::clock;
use crate::gateway::model::Lifetime;

/// Longest time to open a connection to an upstream. Upstreams accept within
/// some milliseconds; a longer silence is that of a host that is gone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an idle connection is kept if the upstream names no time. The
/// upstream names whole seconds, so no name means less than one.
const UNNAMED_IDLE: Duration = Duration::from_millis(500);
/// Time before the named end at which an idle connection is given up, so that
/// no request crosses the upstream's close.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

/// Why no connection is to be had.
#[derive(Debug, Error)]
pub enum PoolError {
    /// The upstream accepts no more connections from this process.
    #[error("all connections to the upstream are in use")]
    Full,
    /// The upstream cannot be reached; nothing was sent.
    #[error(transparent)]
    Connect(#[from] ConnectError),
}

#[derive(Debug)]
struct Idle {
    connection: HttpConnection,
    until: Instant,
}

#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Idle>,
    open: usize,
}

type Shared = Rc<RefCell<HashMap<Lifetime, Connections>>>;

/// Kept connections by upstream. Those to an earlier lifetime, which may stay open
/// in silence, are never used again.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    shared: Shared,
}

impl Pool {
    /// Takes a kept connection, the most recently used first, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if `most` are in use, or the upstream cannot be reached.
    pub async fn acquire(
        &self,
        upstream: Lifetime,
        address: SocketAddr,
        most: usize,
    ) -> Result<Lease, PoolError> {
        let kept = self.reserve(upstream, most)?;
        let mut lease = Lease { upstream, shared: self.shared.clone(), connection: kept };
        if lease.connection.is_none() {
            lease.connection = Some(connect(address, CONNECT_TIMEOUT).await?);
        }
        Ok(lease)
    }

    /// Opens a connection, also where one is kept: it shows whether the upstream accepts.
    ///
    /// # Errors
    ///
    /// Fails if `most` are in use, or the upstream cannot be reached.
    pub async fn open_new(
        &self,
        upstream: Lifetime,
        address: SocketAddr,
        most: usize,
    ) -> Result<Lease, PoolError> {
        {
            let mut shared = self.shared.borrow_mut();
            let of_upstream = shared.entry(upstream).or_default();
            of_upstream.count_new(most)?;
        }
        let mut lease = Lease { upstream, shared: self.shared.clone(), connection: None };
        lease.connection = Some(connect(address, CONNECT_TIMEOUT).await?);
        Ok(lease)
    }

    /// Returns whether a connection is kept that is free.
    pub fn has_kept(&self, upstream: Lifetime, now: Instant) -> bool {
        let shared = self.shared.borrow();
        shared.get(&upstream).is_some_and(|c| c.idle.iter().any(|idle| idle.until > now))
    }

    /// Counts a connection as in use and returns it if one is kept.
    fn reserve(
        &self,
        upstream: Lifetime,
        most: usize,
    ) -> Result<Option<HttpConnection>, PoolError> {
        let mut shared = self.shared.borrow_mut();
        let of_upstream = shared.entry(upstream).or_default();
        of_upstream.prune(clock::now());
        if let Some(idle) = of_upstream.idle.pop() {
            return Ok(Some(idle.connection));
        }
        of_upstream.count_new(most)?;
        Ok(None)
    }

    /// Closes connections that have been idle for too long, and those of
    /// upstreams that are not `known`.
    pub fn sweep(&self, now: Instant, known: impl Fn(Lifetime) -> bool) {
        let mut shared = self.shared.borrow_mut();
        for (upstream, of_upstream) in shared.iter_mut() {
            of_upstream.prune(if known(*upstream) {
                now
            } else {
                now + Duration::from_secs(3_600)
            });
        }
        shared.retain(|_, of_upstream| of_upstream.open > 0);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.shared.borrow().values().map(|c| c.open).sum()
    }
}

impl Connections {
    fn count_new(&mut self, most: usize) -> Result<(), PoolError> {
        if self.open >= most {
            return Err(PoolError::Full);
        }
        self.open += 1;
        Ok(())
    }

    fn prune(&mut self, now: Instant) {
        let before = self.idle.len();
        self.idle.retain(|idle| idle.until > now && idle.connection.is_open());
        self.open -= before - self.idle.len();
    }
}

/// A connection that one request uses. It is closed when dropped.
#[derive(Debug)]
pub struct Lease {
    upstream: Lifetime,
    shared: Shared,
    connection: Option<HttpConnection>,
}

impl Lease {
    /// Returns the connection.
    pub fn connection(&mut self) -> &mut HttpConnection {
        self.connection.as_mut().expect("a lease holds its connection until it is given back")
    }

    /// Gives the connection back for other requests; `keep_alive` is the idle
    /// time that the upstream named.
    pub fn give_back(mut self, keep_alive: Option<Duration>) {
        let keep = keep_alive.map_or(UNNAMED_IDLE, |t| t.saturating_sub(IDLE_MARGIN));
        let until = clock::now() + keep;
        let Some(connection) = self.connection.take().filter(HttpConnection::is_open) else {
            return;
        };
        let mut shared = self.shared.borrow_mut();
        let of_upstream = shared.entry(self.upstream).or_default();
        of_upstream.idle.push(Idle { connection, until });
        // `drop` takes one off for the lease; the kept connection stays counted.
        of_upstream.open += 1;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(of_upstream) = self.shared.borrow_mut().get_mut(&self.upstream) {
            of_upstream.open = of_upstream.open.saturating_sub(1);
        }
    }
}
