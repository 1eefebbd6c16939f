//! Requests at a gateway that is stopped while nothing else is wrong. One that was sent to an upstream is
//! answered; one that cannot be is refused, and has not run.

mod support;

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use support::{
    gateways::{Call, Site, configuration},
    http::read_request,
};

/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(900);
/// Time from the stop signal until the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);
/// Time without a byte after which a caller gives up, longer than the grace.
const SILENCE: Duration = Duration::from_secs(10);

/// A request whose last byte is sent some time after the stop signal.
struct Case {
    name: &'static str,
    route: &'static str,
    /// Events of a stream, 20 ms each; 0 for a plain request.
    events: u64,
    /// When the head is sent.
    head: Duration,
    /// When the last byte of the body is sent.
    body: Duration,
    /// What may become of it.
    ends: &'static [End],
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// A complete answer of the upstream.
    Served,
    /// A refusal, which says that it has not run.
    Refused,
    /// The connection ended, and nothing had been read.
    Closed,
    /// The connection ended without a complete answer.
    Cut,
}

fn site() -> Site {
    let mut site = Site::bare();
    let mut described = configuration(7);
    for route in described["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 15_000.into();
    }
    site.configure(&described);
    site.add_upstream("llm");
    (0..2).for_each(|_| drop(site.add_upstream_of("app", "v1", WORK)));
    (0..2).for_each(|_| site.add_gateway());
    site.wait_ready();
    site
}

fn head(call: &Call) -> String {
    let mut head = format!("{} {} HTTP/1.1\r\n", call.method, call.path);
    for (name, value) in &call.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head + &format!("content-length: {}\r\n\r\n", call.body.len())
}

fn open(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("the gateway accepts");
    stream.set_read_timeout(Some(SILENCE)).expect("a socket option");
    stream
}

/// Reads an answer; chunked ones up to the last chunk, others by their length.
fn read_end(stream: &mut TcpStream) -> End {
    let (mut text, mut buf) = (String::new(), [0; 16 << 10]);
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
            let is_whole = match length.and_then(|l| l.parse::<usize>().ok()) {
                Some(length) => body.len() >= length,
                None => body.ends_with("0\r\n\r\n"),
            };
            match (is_whole, head.starts_with("HTTP/1.1 200"), head.starts_with("HTTP/1.1 503")) {
                (true, true, _) => return End::Served,
                (true, _, true) => return End::Refused,
                (true, false, false) => panic!("an answer that promises nothing: {head}"),
                (false, ..) => {}
            }
        }
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&buf[..n])),
            _ if text.is_empty() => return End::Closed,
            _ => return End::Cut,
        }
    }
}

/// Guards against requests whose body comes late in the grace: they are sent to an upstream and cut when
/// the process ends.
#[test]
fn requests_that_come_late_in_the_grace_are_answered_or_do_not_run() {
    let ms = Duration::from_millis;
    let case = |name, route, events, head, body, ends| Case {
        name,
        route,
        events,
        head: ms(head),
        body: ms(body),
        ends,
    };
    let (served, refused) = (&[End::Served], &[End::Refused]);
    let unread = &[End::Refused, End::Closed];
    let cases = [
        case("body soon, plain", "confirm", 0, 1_000, 2_600, served),
        case("body soon, stream", "plan", 100, 2_000, 2_400, served),
        case("body late, unsafe", "confirm", 0, 2_000, 7_200, refused),
        case("body late, safe", "check", 0, 2_000, 7_200, refused),
        case("body late, stream", "plan", 200, 2_000, 5_500, refused),
        case("body late, resumable", "digest", 200, 2_500, 5_500, refused),
        case("all late, unsafe", "confirm", 0, 6_000, 6_000, unread),
        case("all late, stream", "plan", 200, 3_500, 3_500, unread),
    ];
    let site = site();
    let to = site.gateways[0].callers;
    let connections: Vec<_> = cases.iter().map(|_| open(to)).collect();
    site.gateways[0].signal(Signal::SIGTERM);
    let stopped = Instant::now();
    let ends: Vec<_> = thread::scope(|s| {
        let callers: Vec<_> = cases
            .iter()
            .zip(connections)
            .map(|(case, mut stream)| {
                s.spawn(move || {
                    let path = format!("/{}/a", case.route);
                    let mut call = match case.events {
                        0 => Call::new("POST", &path, case.name),
                        events => Call::stream(&path, case.name, events),
                    };
                    call.body = "body".to_owned();
                    let call = call.header("x-deadline-ms", "14000");
                    thread::sleep((stopped + case.head).saturating_duration_since(Instant::now()));
                    // Fails if the gateway has closed the connection.
                    drop(stream.write_all(head(&call).as_bytes()));
                    thread::sleep((stopped + case.body).saturating_duration_since(Instant::now()));
                    drop(stream.write_all(call.body.as_bytes()));
                    read_end(&mut stream)
                })
            })
            .collect();
        callers.into_iter().map(|c| c.join().expect("a caller")).collect()
    });
    assert!(stopped.elapsed() < GRACE + SILENCE);
    let mut wrong = Vec::new();
    for (case, end) in cases.iter().zip(ends) {
        let runs = site.runs(case.name).len();
        if !case.ends.contains(&end) || runs != usize::from(end == End::Served) {
            wrong.push(format!("{}: {end:?}, {runs} runs", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against requests on connections that callers keep: each is answered, or its connection is closed
/// and it has not run.
#[test]
fn requests_on_kept_connections_are_answered_through_the_whole_grace() {
    const CALLERS: usize = 8;
    let site = site();
    let to = site.gateways[0].callers;
    let mut connections: Vec<_> = (0..CALLERS).map(|_| open(to)).collect();
    site.gateways[0].signal(Signal::SIGTERM);
    let stopped = Instant::now();
    let mut ends = Vec::new();
    let mut round = 0;
    while stopped.elapsed() < GRACE {
        let sent: Vec<_> = connections
            .iter_mut()
            .enumerate()
            .map(|(n, stream)| {
                let id = format!("kept-{n}-{round}");
                let call = Call::new("POST", "/confirm/a", &id);
                (id, stream.write_all(head(&call).as_bytes()).is_ok())
            })
            .collect();
        for (stream, (id, is_sent)) in connections.iter_mut().zip(sent) {
            let end = if is_sent { read_end(stream) } else { End::Closed };
            ends.push((id, end));
            if let Ok(renewed) = TcpStream::connect(to) {
                renewed.set_read_timeout(Some(SILENCE)).expect("a socket option");
                *stream = renewed;
            }
        }
        round += 1;
        thread::sleep(Duration::from_millis(100));
    }
    let count = |end: End| ends.iter().filter(|(_, e)| *e == end).count();
    println!("{:?}", [End::Served, End::Refused, End::Closed, End::Cut].map(|e| (e, count(e))));
    assert!(count(End::Served) > 0 && count(End::Refused) > 0);
    for (id, end) in &ends {
        assert_ne!(*end, End::Cut, "{id}");
        assert_eq!(site.runs(id).len(), usize::from(*end == End::Served), "{id}: {end:?}");
    }
}

/// Starts an upstream that rejects each request, which has not run, only after some time.
fn start_slow_rejecter(after: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Some(request) = read_request(&mut reader) {
                    thread::sleep(after);
                    let id = request.id;
                    let head = format!("x-request-id: {id}\r\nx-not-executed: 1\r\n");
                    // Fails if the gateway is gone.
                    drop(write!(
                        &stream,
                        "HTTP/1.1 503 Service Unavailable\r\n{head}content-length: 0\r\n\r\n"
                    ));
                }
            });
        }
    });
    address
}

/// Guards against requests that are sent to another upstream late in the grace and cut there.
#[test]
fn requests_that_are_rejected_late_in_the_grace_are_not_sent_again() {
    const REQUESTS: usize = 24;
    const REJECTED_AFTER: Duration = Duration::from_millis(5_000);
    const SENT_AT: Duration = Duration::from_millis(2_200);
    let site = site();
    let rejecter = start_slow_rejecter(REJECTED_AFTER);
    let (id, _) = site.add_upstream_behind("app", rejecter);
    site.wait_known(&id);
    let to = site.gateways[0].callers;
    let connections: Vec<_> = (0..REQUESTS).map(|_| open(to)).collect();
    site.gateways[0].signal(Signal::SIGTERM);
    thread::sleep(SENT_AT);
    let ends: Vec<_> = thread::scope(|s| {
        let callers: Vec<_> = connections
            .into_iter()
            .enumerate()
            .map(|(n, mut stream)| {
                s.spawn(move || {
                    let call = Call::new("POST", "/confirm/a", &format!("rejected-{n}"));
                    stream.write_all(head(&call).as_bytes()).expect("an open connection");
                    read_end(&mut stream)
                })
            })
            .collect();
        callers.into_iter().map(|c| c.join().expect("a caller")).collect()
    });
    println!("{ends:?}");
    assert!(ends.contains(&End::Refused), "no request was rejected: {ends:?}");
    for (n, end) in ends.iter().enumerate() {
        let runs = site.runs(&format!("rejected-{n}")).len();
        assert!(matches!(end, End::Served | End::Refused), "{n}: {end:?}, {runs} runs");
        assert_eq!(runs, usize::from(*end == End::Served), "{n}: {end:?}");
    }
}
