//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Stack of a thread that serves one connection.
const STACK_BYTES: usize = 256 << 10;

/// A request as received.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header by its name in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query; empty if there is none.
    pub fn param(&self, name: &str) -> &str {
        find(&self.query, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    pairs.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
}

/// Serves the connections of a listener, each on a thread of its own. `serve` returns whether the
/// connection stays open.
pub fn serve(
    listener: TcpListener,
    serve: impl Fn(Request, &TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            let started = builder.spawn(move || {
                let Ok(input) = stream.try_clone() else {
                    return;
                };
                drop(stream.set_nodelay(true));
                let mut input = BufReader::new(input);
                while let Ok(Some(request)) = read_request(&mut input) {
                    if !serve(request, &stream).unwrap_or(false) {
                        return;
                    }
                }
            });
            if let Err(e) = started {
                eprintln!("no thread for a connection: {e}");
            }
        }
    });
}

fn read_head(input: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body that is delimited by a length or by chunks.
fn read_body(input: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        let length: usize = find(headers, "content-length").parse().unwrap_or(0);
        body.resize(length, 0);
        input.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut size = String::new();
        input.read_line(&mut size)?;
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        let at = body.len();
        body.resize(at + size + 2, 0);
        input.read_exact(&mut body[at..])?;
        body.truncate(at + size);
        if size == 0 {
            return Ok(body);
        }
    }
}

fn read_request(input: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(input)? else {
        return Ok(None);
    };
    let body = read_body(input, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let path = path.to_owned();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(n, v)| (n.to_owned(), percent_decode(v))).collect();
    Ok(Some(Request { method, target, path, query, headers, body }))
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        match (first, hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (byte, _) => {
                bytes.push(if *byte == b'+' { b' ' } else { *byte });
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Writes an answer with a length.
pub fn answer(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// A client's channel.
#[derive(Debug)]
pub struct Channel {
    input: BufReader<TcpStream>,
    output: TcpStream,
}

/// An answer that was received whole.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub status: u16,
}

impl Channel {
    /// Opens a channel. `patience` bounds each wait on it.
    pub fn open(to: SocketAddr, patience: Duration) -> io::Result<Self> {
        let output = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        output.set_nodelay(true)?;
        output.set_read_timeout(Some(patience))?;
        output.set_write_timeout(Some(patience))?;
        Ok(Self { input: BufReader::new(output.try_clone()?), output })
    }

    /// Sends a whole request.
    pub fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.output.write_all(request)
    }

    /// Reads a whole answer; `None` if the channel ends before its first byte.
    pub fn receive(&mut self) -> io::Result<Option<Answer>> {
        let Some((first, headers)) = read_head(&mut self.input)? else {
            return Ok(None);
        };
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        read_body(&mut self.input, &headers)?;
        Ok(Some(Answer { status }))
    }
}

/// Sends a GET and returns the status of the answer; 0 if there is none.
pub fn get_status(to: SocketAddr, path: &str) -> u16 {
    let call = || -> io::Result<u16> {
        let mut channel = Channel::open(to, Duration::from_secs(1))?;
        channel.send(format!("GET {path} HTTP/1.1\r\nHost: {to}\r\n\r\n").as_bytes())?;
        Ok(channel.receive()?.map_or(0, |a| a.status))
    };
    call().unwrap_or(0)
}
