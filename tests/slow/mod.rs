//! Callers that read an answer slowly.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use socket2::{Domain, Socket, Type};

use crate::support::gateways::Call;

/// How a caller reads.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Bytes that the caller's system takes in before the caller reads them, about.
    pub receive_buffer: usize,
    /// Bytes that it reads at a time.
    pub bytes: usize,
    /// Pause before each reading.
    pub pause: Duration,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Got {
    pub text: String,
    /// Whether the answer has its last chunk.
    pub is_whole: bool,
    /// Whether the connection ended with an error.
    pub is_reset: bool,
    /// Time from the request to the end.
    pub took: Duration,
}

impl Got {
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self.text.lines().filter_map(|l| l.strip_prefix("id: "));
        lines.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Opens a connection whose receive buffer is set before the window is negotiated.
fn connect(to: SocketAddr, receive_buffer: usize) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(receive_buffer)?;
    socket.connect(&to.into())?;
    Ok(socket.into())
}

/// Sends a call and returns its connection, of which nothing is read.
pub fn send(call: &Call, to: SocketAddr, receive_buffer: usize) -> io::Result<TcpStream> {
    let mut stream = connect(to, receive_buffer)?;
    let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
    for (name, value) in &call.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n{}", call.body.len(), call.body));
    stream.write_all(head.as_bytes())?;
    Ok(stream)
}

/// Sends a call and reads its answer at this pace.
pub fn call(call: &Call, to: SocketAddr, pace: Pace) -> io::Result<Got> {
    let began = Instant::now();
    let mut stream = send(call, to, pace.receive_buffer)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let (mut text, mut buf) = (Vec::new(), vec![0; pace.bytes]);
    let ended = loop {
        thread::sleep(pace.pause);
        match stream.read(&mut buf) {
            Ok(0) => break Ok(()),
            Ok(n) => text.extend_from_slice(&buf[..n]),
            Err(e) => break Err(e),
        }
        if text.ends_with(b"\r\n0\r\n\r\n") {
            break Ok(());
        }
    };
    Ok(Got {
        is_whole: text.ends_with(b"\r\n0\r\n\r\n"),
        is_reset: ended.is_err(),
        text: String::from_utf8_lossy(&text).into_owned(),
        took: began.elapsed(),
    })
}
