//! Relaying a request to the process that may answer it.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use subtle::ConstantTimeEq;

use super::{problem::Problem, reply::Reply, request::Incoming};
use crate::{
    edge::http_client::{HttpClient, HttpError, HttpStream},
    entry::{context::Context, event::Event},
    ids::Home,
    wire::{Contact, PeerReply, PeerRequest},
};

/// Header that marks a relayed request; carries the shared secret.
const RELAY_HEADER: &str = "x-tackhollow-relayed";
/// Longest silence of the other process; streams carry comments more often.
const SILENCE: Duration = Duration::from_secs(30);
/// Longest wait for a peer's knowledge of who took records over.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Headers of a request that are passed on.
const REQUEST_HEADERS: [&str; 6] = [
    "authorization",
    "content-type",
    "idempotency-key",
    "last-event-id",
    "x-deadline-ms",
    "prefer",
];
/// Headers of an answer that are passed on.
const ANSWER_HEADERS: [&str; 7] = [
    "content-type",
    "retry-after",
    "x-request-id",
    "x-outcome",
    "cache-control",
    "location",
    "preference-applied",
];
/// Status with which a process says that it does not hold the request.
const MISDIRECTED: u16 = 421;

/// What a relay left to do.
#[derive(Debug)]
pub enum Relayed {
    /// The answer was passed on.
    Done,
    /// The answer to send.
    Reply(Reply),
}

/// Returns whether another process relayed this request.
pub fn is_from_peer(cx: &Context, incoming: &Incoming) -> bool {
    let given = incoming.header(RELAY_HEADER).unwrap_or_default();
    bool::from(given.as_bytes().ct_eq(cx.settings.secret.as_bytes()))
}

/// Sends the request to `to` and passes the answer on as it comes.
pub fn relay(
    cx: &Arc<Context>,
    incoming: &mut Incoming,
    body: &[u8],
    to: SocketAddr,
) -> Result<Relayed, Problem> {
    let url = format!("http://{to}{}", incoming.url());
    let headers = request_headers(cx, incoming);
    let headers: Vec<(&str, &str)> =
        headers.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let client = HttpClient::fresh(SILENCE);
    let answer = client.stream(incoming.method().as_str(), &url, &headers, body);
    let answer = answer.map_err(|e| match e {
        HttpError::NotSent(_) => Problem::HomeUnreachable,
        HttpError::Broken(_) => lost_on_the_way(),
    })?;
    if answer.status == MISDIRECTED {
        return Err(Problem::Misdirected);
    }
    let streamed =
        answer.header("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
    if streamed { pass_stream(incoming, answer) } else { pass_whole(answer) }
}

/// The home has the request, so it runs at most once there; its answer is to
/// be had by asking again with the same key.
fn lost_on_the_way() -> Problem {
    Problem::HomeUnreachable
}

fn request_headers(cx: &Context, incoming: &Incoming) -> Vec<(String, String)> {
    let mut headers: Vec<(String, String)> = REQUEST_HEADERS
        .iter()
        .filter_map(|name| incoming.header(name).map(|v| ((*name).to_owned(), v.to_owned())))
        .collect();
    headers.push((RELAY_HEADER.to_owned(), cx.settings.secret.clone()));
    headers
}

fn answer_headers(answer: &HttpStream) -> Vec<(String, String)> {
    ANSWER_HEADERS
        .iter()
        .filter_map(|name| answer.header(name).map(|v| ((*name).to_owned(), v.to_owned())))
        .collect()
}

fn pass_whole(mut answer: HttpStream) -> Result<Relayed, Problem> {
    let headers = answer_headers(&answer);
    let mut body = Vec::new();
    answer.reader.read_to_end(&mut body).or(Err(lost_on_the_way()))?;
    Ok(Relayed::Reply(Reply::Whole { status: answer.status, headers, body }))
}

fn pass_stream(incoming: &mut Incoming, answer: HttpStream) -> Result<Relayed, Problem> {
    let Some((writer, _)) = incoming.take_writer() else {
        return Ok(Relayed::Done);
    };
    if let Err(e) = copy_stream(writer, answer) {
        log::debug!("a relayed stream ended early: {e}");
    }
    Ok(Relayed::Done)
}

/// Copies a stream in chunks. Where the source breaks off, so does the copy:
/// the closing chunk is left out, and the caller knows.
fn copy_stream(mut writer: Box<dyn Write + Send>, mut answer: HttpStream) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {} OK\r\nTransfer-Encoding: chunked\r\n", answer.status);
    for (name, value) in answer_headers(&answer) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    writer.write_all(head.as_bytes())?;
    let mut buf = [0; 4096];
    loop {
        let len = answer.reader.read(&mut buf)?;
        if len == 0 {
            writer.write_all(b"0\r\n\r\n")?;
            return writer.flush();
        }
        writer.write_all(format!("{len:x}\r\n").as_bytes())?;
        writer.write_all(&buf[..len])?;
        writer.write_all(b"\r\n")?;
        writer.flush()?;
    }
}

/// What others know of a home that cannot be reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// This process has its records.
    Adopted(Contact),
    /// It is gone, and nobody is known to have its records.
    Gone,
    /// Nobody knows.
    Unknown,
}

/// Asks a process of each data centre what became of a home.
pub fn fate_of(cx: &Context, home: &Home) -> Fate {
    let mut fate = Fate::Unknown;
    for contact in cx.board.ask(Event::Contacts).unwrap_or_default() {
        let request = PeerRequest::WhoAdopted(home.clone());
        match cx.peer.call(contact.peer, request, ASK_TIMEOUT) {
            Ok(PeerReply::Adopted(Some(adopted))) => return Fate::Adopted(adopted.successor),
            Ok(PeerReply::Gone) => fate = Fate::Gone,
            Ok(_) | Err(_) => {}
        }
    }
    fate
}
