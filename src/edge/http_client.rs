//! HTTP towards upstreams and the platform, by `ureq` over a transport that
//! knows whether any byte was sent and that bounds silence, not length.

use std::{
    fmt,
    io::{self, Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use thiserror::Error;
use ureq::{
    Agent, Body, Timeout,
    config::Config,
    http::Request,
    unversioned::{
        resolver::DefaultResolver,
        transport::{
            Buffers, ConnectionDetails, Connector, Either, LazyBuffers, NextTimeout, Transport,
        },
    },
};

use crate::gateway::net::{HeadFault, check_head};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Buffers of a connection, in bytes each.
const BUFFER_BYTES: usize = 16 << 10;
/// Largest answer that is read whole, in bytes.
const MAX_ANSWER: u64 = 64 << 20;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part; it may have run.
    #[error("sent, then failed: {0}")]
    Broken(String),
}

/// An answer that was read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// Status.
    pub status: u16,
    /// Content type; empty where the answer names none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// An answer whose body is read as it comes.
pub struct HttpStream {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub reader: Box<dyn Read + Send>,
}

impl HttpStream {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

impl fmt::Debug for HttpStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpStream").field("status", &self.status).finish_non_exhaustive()
    }
}

/// HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    silence: Duration,
    pooled: Option<Agent>,
}

impl HttpClient {
    /// Creates a client that keeps connections, for calls that may be repeated.
    pub fn pooled(silence: Duration) -> Self {
        let sent = Arc::new(AtomicBool::new(false));
        Self { silence, pooled: Some(agent(silence, sent, true)) }
    }

    /// Creates a client with a fresh connection for each call, so that a call
    /// never goes out on a connection that the other side already closed.
    pub fn fresh(silence: Duration) -> Self {
        Self { silence, pooled: None }
    }

    /// Makes a call and reads the answer whole.
    pub fn call(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<HttpAnswer, HttpError> {
        let mut stream = self.stream(method, url, headers, body)?;
        let content_type = stream.header("content-type").unwrap_or_default().to_owned();
        let mut body = Vec::new();
        let mut reader = (&mut stream.reader).take(MAX_ANSWER);
        reader.read_to_end(&mut body).map_err(|e| HttpError::Broken(e.to_string()))?;
        Ok(HttpAnswer { status: stream.status, content_type, body })
    }

    /// Makes a call and returns the answer once its headers are here.
    ///
    /// No call is sent twice, redirected or retried by this client.
    pub fn stream(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<HttpStream, HttpError> {
        let sent = Arc::new(AtomicBool::new(self.pooled.is_some()));
        let agent = match &self.pooled {
            Some(agent) => agent.clone(),
            None => agent(self.silence, sent.clone(), false),
        };
        let mut builder = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(body.to_vec()).map_err(|e| HttpError::NotSent(e.to_string()))?;
        let answer = agent.run(request).map_err(|e| failure(&sent, &e))?;
        let broken = |fault: HeadFault| HttpError::Broken(fault.name().to_owned());
        check_head(answer.status(), answer.headers()).map_err(broken)?;
        Ok(into_stream(answer))
    }
}

fn into_stream(answer: ureq::http::Response<Body>) -> HttpStream {
    let text = |v: &ureq::http::HeaderValue| v.to_str().unwrap_or_default().to_owned();
    let headers = answer.headers().iter().map(|(n, v)| (n.as_str().to_owned(), text(v)));
    HttpStream {
        status: answer.status().as_u16(),
        headers: headers.collect(),
        reader: Box::new(answer.into_body().into_reader()),
    }
}

fn failure(sent: &AtomicBool, error: &ureq::Error) -> HttpError {
    if sent.load(Ordering::SeqCst) {
        HttpError::Broken(error.to_string())
    } else {
        HttpError::NotSent(error.to_string())
    }
}

fn agent(silence: Duration, sent: Arc<AtomicBool>, keep: bool) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(if keep { 16 } else { 0 })
        .max_idle_connections_per_host(if keep { 4 } else { 0 })
        .build();
    Agent::with_parts(config, TrackedConnector { silence, sent }, DefaultResolver::default())
}

/// Opens connections that note whether a byte was sent.
#[derive(Debug)]
struct TrackedConnector {
    silence: Duration,
    sent: Arc<AtomicBool>,
}

impl<In: Transport> Connector<In> for TrackedConnector {
    type Out = Either<In, TrackedTransport>;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        if let Some(chained) = chained {
            return Ok(Some(Either::A(chained)));
        }
        let addr = details.addrs.first().ok_or(ureq::Error::HostNotFound)?;
        let stream = TcpStream::connect_timeout(addr, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        let (silence, sent) = (self.silence, self.sent.clone());
        Ok(Some(Either::B(TrackedTransport { stream, buffers, silence, sent })))
    }
}

/// A TCP connection that notes whether a byte was sent and bounds silence.
struct TrackedTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
    silence: Duration,
    sent: Arc<AtomicBool>,
}

impl fmt::Debug for TrackedTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TrackedTransport").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl Transport for TrackedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _: NextTimeout) -> Result<(), ureq::Error> {
        self.stream.set_write_timeout(Some(self.silence))?;
        let output = &self.buffers.output()[..amount];
        self.sent.store(true, Ordering::SeqCst);
        self.stream.write_all(output)?;
        Ok(())
    }

    fn await_input(&mut self, _: NextTimeout) -> Result<bool, ureq::Error> {
        self.stream.set_read_timeout(Some(self.silence))?;
        let input = self.buffers.input_append_buf();
        let amount = match read_uninterrupted(&mut self.stream, input) {
            Ok(amount) => amount,
            Err(e) if is_timeout(&e) => return Err(ureq::Error::Timeout(Timeout::RecvBody)),
            Err(e) => return Err(e.into()),
        };
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        let probe = || -> io::Result<bool> {
            self.stream.set_nonblocking(true)?;
            let peeked = self.stream.peek(&mut [0]);
            self.stream.set_nonblocking(false)?;
            Ok(matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock))
        };
        probe().unwrap_or(false)
    }
}

fn read_uninterrupted(stream: &mut TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buf) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
