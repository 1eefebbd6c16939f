//! Pool of connections to upstreams, each used by one request at a time.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use thiserror::Error;

use super::{ConnectError, HttpConnection, Path};
use crate::clock;
use crate::gateway::model::Lifetime;

/// Idle timeout of a connection if the upstream states none. Upstreams state whole seconds,
/// so one that states none keeps connections for less than a second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before the idle timeout of the upstream at which a connection is no longer used, so
/// that no request is sent while the upstream closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(300);

/// Why no connection could be acquired.
#[derive(Debug, Error)]
pub enum PoolError {
    /// The limit on connections from this process to the upstream is reached.
    #[error("all connections to the upstream are in use")]
    Full,
    /// The connection could not be opened; nothing was sent.
    #[error(transparent)]
    Connect(#[from] ConnectError),
}

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    until: Instant,
}

#[derive(Debug, Default)]
struct Connections {
    idle: Vec<IdleConnection>,
    open: usize,
}

type Shared = Rc<RefCell<HashMap<Lifetime, Connections>>>;

/// Connection pool, keyed by upstream lifetime. Connections to an earlier lifetime of an
/// upstream are never reused: they may look open although nobody answers on them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    shared: Shared,
}

impl Pool {
    /// Returns the most recently used idle connection, or the one that `open` opens.
    ///
    /// # Errors
    ///
    /// Fails if `max_open` connections are open or the upstream cannot be reached.
    pub async fn acquire(
        &self,
        upstream: Lifetime,
        max_open: usize,
        open: impl Future<Output = Result<HttpConnection, ConnectError>>,
    ) -> Result<PooledConnection, PoolError> {
        let idle = self.reserve(upstream, max_open)?;
        let mut pooled =
            PooledConnection { upstream, shared: self.shared.clone(), connection: idle };
        if pooled.connection.is_none() {
            pooled.connection = Some(open.await?);
        }
        Ok(pooled)
    }

    /// Returns the connection that `open` opens, even if one is idle, which tests whether the
    /// upstream still accepts connections. An idle one makes room for it if need be.
    ///
    /// # Errors
    ///
    /// Fails if `max_open` connections are open or the upstream cannot be reached.
    pub async fn open_new(
        &self,
        upstream: Lifetime,
        max_open: usize,
        open: impl Future<Output = Result<HttpConnection, ConnectError>>,
    ) -> Result<PooledConnection, PoolError> {
        {
            let mut shared = self.shared.borrow_mut();
            let connections = shared.entry(upstream).or_default();
            if connections.open >= max_open && connections.idle.pop().is_some() {
                connections.open -= 1;
            }
            connections.reserve_new(max_open)?;
        }
        let mut pooled =
            PooledConnection { upstream, shared: self.shared.clone(), connection: None };
        pooled.connection = Some(open.await?);
        Ok(pooled)
    }

    /// Returns whether there is an idle connection to the upstream.
    pub fn has_idle(&self, upstream: Lifetime, now: Instant) -> bool {
        let shared = self.shared.borrow();
        shared.get(&upstream).is_some_and(|c| c.idle.iter().any(|idle| idle.until > now))
    }

    /// Takes an idle connection if there is one; otherwise counts a new one as open and
    /// returns `None`.
    fn reserve(
        &self,
        upstream: Lifetime,
        max_open: usize,
    ) -> Result<Option<HttpConnection>, PoolError> {
        let mut shared = self.shared.borrow_mut();
        let connections = shared.entry(upstream).or_default();
        connections.close_expired(clock::now());
        if let Some(idle) = connections.idle.pop() {
            return Ok(Some(idle.connection));
        }
        connections.reserve_new(max_open)?;
        Ok(None)
    }

    /// Closes connections that have been idle for too long, and idle ones to lifetimes that
    /// are not `known`.
    pub fn sweep(&self, now: Instant, known: impl Fn(Lifetime) -> bool) {
        let mut shared = self.shared.borrow_mut();
        for (upstream, connections) in shared.iter_mut() {
            connections.close_expired(if known(*upstream) {
                now
            } else {
                now + Duration::from_secs(3_600)
            });
        }
        shared.retain(|_, connections| connections.open > 0);
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: Lifetime) {
        if let Some(connections) = self.shared.borrow_mut().get_mut(&upstream) {
            connections.close_idle();
        }
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.shared.borrow_mut().values_mut().for_each(Connections::close_idle);
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open(&self) -> usize {
        self.shared.borrow().values().map(|c| c.open).sum()
    }
}

impl Connections {
    fn reserve_new(&mut self, max_open: usize) -> Result<(), PoolError> {
        if self.open >= max_open {
            return Err(PoolError::Full);
        }
        self.open += 1;
        Ok(())
    }

    fn close_idle(&mut self) {
        self.open -= self.idle.len();
        self.idle.clear();
    }

    fn close_expired(&mut self, now: Instant) {
        let before = self.idle.len();
        self.idle.retain(|idle| idle.until > now && idle.connection.is_open());
        self.open -= before - self.idle.len();
    }
}

/// A connection in use by one request. It is closed when dropped, unless it was given back.
#[derive(Debug)]
pub struct PooledConnection {
    upstream: Lifetime,
    shared: Shared,
    connection: Option<HttpConnection>,
}

impl PooledConnection {
    /// Returns the underlying connection.
    pub fn connection(&mut self) -> &mut HttpConnection {
        self.connection.as_mut().expect("the connection is present until it is given back")
    }

    /// Returns which way the connection takes to the upstream.
    pub fn path(&self) -> Path {
        self.connection.as_ref().map_or(Path::Direct, HttpConnection::path)
    }

    /// Returns the connection to the pool if it is still open; `keep_alive` is the idle
    /// timeout that the upstream stated. A tunnel is closed: kept open, it would hold up the
    /// shutdown of the gateway in between.
    pub fn give_back(mut self, keep_alive: Option<Duration>) {
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_MARGIN));
        let until = clock::now() + idle_time;
        let reusable = |c: &HttpConnection| c.is_open() && c.path() == Path::Direct;
        let Some(connection) = self.connection.take().filter(reusable) else {
            return;
        };
        let mut shared = self.shared.borrow_mut();
        let connections = shared.entry(self.upstream).or_default();
        connections.idle.push(IdleConnection { connection, until });
        // Dropping `self` decrements the count, but the idle connection is still open.
        connections.open += 1;
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(connections) = self.shared.borrow_mut().get_mut(&self.upstream) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}
