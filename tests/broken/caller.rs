//! A caller that takes nothing for granted in the head of an answer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crate::support::gateways::Call;

/// Time without a byte after which the caller gives up.
const SILENCE: Duration = Duration::from_secs(12);

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A complete answer of the upstream, with this body.
    Complete(String),
    /// An answer of the upstream with this body, which ends with its connection.
    Unframed(String),
    /// An answer of the upstream that breaks off.
    BrokenOff,
    /// The gateway's own answer with this status.
    Own(u16),
    /// The connection ended without an answer.
    NoAnswer,
    /// Bytes that are no proper answer.
    Spoilt(String),
}

/// Sends a call on a connection of its own, and reads all that comes until its end.
pub fn send(to: SocketAddr, call: &Call) -> Seen {
    let mut stream = TcpStream::connect(to).expect("the gateway accepts");
    stream.set_read_timeout(Some(SILENCE)).expect("a socket option");
    let mut head = format!("{} {} HTTP/1.1\r\nconnection: close\r\n", call.method, call.path);
    for (name, value) in &call.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", call.body.len()));
    let (mut writer, body) = (stream.try_clone().expect("a descriptor"), call.body.clone());
    let writing = thread::spawn(move || {
        // Fails if the gateway answers early and closes.
        drop(writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(body.as_bytes())));
    });
    let (mut received, mut buf) = (Vec::new(), vec![0; 64 << 10]);
    let is_reset = loop {
        match stream.read(&mut buf) {
            Ok(0) => break false,
            Ok(n) => received.extend_from_slice(&buf[..n]),
            Err(_) => break true,
        }
    };
    writing.join().expect("the writer");
    seen(&received, is_reset)
}

fn seen(received: &[u8], is_reset: bool) -> Seen {
    let text = String::from_utf8_lossy(received);
    if text.is_empty() {
        return Seen::NoAnswer;
    }
    let spoilt = || Seen::Spoilt(text.chars().take(400).collect());
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return spoilt();
    };
    let (status_line, fields) = head.split_once("\r\n").unwrap_or((head, ""));
    let Some(status) = status(status_line) else {
        return spoilt();
    };
    let Some(fields) = fields.split("\r\n").map(field).collect::<Option<Vec<_>>>() else {
        return spoilt();
    };
    let values = |name: &str| {
        let named = fields.iter().filter(|(n, _)| n == name);
        named.map(|(_, value)| value.as_str()).collect::<Vec<_>>()
    };
    if values("x-response-seal").is_empty() {
        return Seen::Own(status);
    }
    if status != 200 {
        return spoilt();
    }
    match (values("transfer-encoding").as_slice(), values("content-length").as_slice()) {
        (["chunked"], []) => unchunk(body).map_or(Seen::BrokenOff, Seen::Complete),
        ([], [length]) => match length.parse() {
            Ok(length) if body.len() == length => Seen::Complete(body.to_owned()),
            Ok(length) if body.len() < length => Seen::BrokenOff,
            _ => spoilt(),
        },
        ([], []) if is_reset => Seen::BrokenOff,
        ([], []) => Seen::Unframed(body.to_owned()),
        _ => spoilt(),
    }
}

fn status(line: &str) -> Option<u16> {
    let rest = line.strip_prefix("HTTP/1.1 ").or(line.strip_prefix("HTTP/1.0 "))?;
    let (code, _) = rest.split_once(' ')?;
    let is_code = code.len() == 3 && code.bytes().all(|b| b.is_ascii_digit());
    code.parse().ok().filter(|code| is_code && (200..600).contains(code))
}

fn field(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    let is_token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    let is_name = !name.is_empty() && name.bytes().all(is_token);
    let has_control = value.chars().any(|c| c.is_control() && c != '\t');
    (is_name && !has_control).then(|| (name.to_ascii_lowercase(), value.trim().to_owned()))
}

/// Returns the body whose chunks these are; `None` without the last chunk.
fn unchunk(mut text: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, rest) = text.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return (rest == "\r\n").then_some(body);
        }
        body.push_str(rest.get(..size)?);
        text = rest.get(size..)?.strip_prefix("\r\n")?;
    }
}
