//! All gateways are killed at the same moment and start again. Clients take up the streams that broke off,
//! as the users' pages say, and none goes on, though engines of their version serve.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::site::{HOST, Played, Record, Site};

/// Model engines, plain engines, gateways and memory of a machine.
const MODELS: usize = 6;
const PLAIN: usize = 1;
const GATEWAYS: usize = 2;
const MEMORY_MB: u64 = 260;
/// Streams that are begun, taken up and newly asked for at each gateway.
const STREAMS: usize = 10;
/// Events of a stream.
const EVENTS: usize = 400;
/// Time after which the streams break off.
const BROKEN_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which the gateways' processes are down.
const DOWN: Duration = Duration::from_secs(1);
/// Time after which a gateway's machine is in touch again: contactMs, and a little.
const IN_TOUCH: Duration = Duration::from_millis(3_100);
/// Time for which a client looks whether a stream goes on.
const LOOK: Duration = Duration::from_secs(2);
/// Streams taken up from which the rule applies.
const MIN_TAKEN_UP: usize = 12;

/// What a client has received of a stream.
#[derive(Debug, Default)]
struct Stream {
    id: String,
    status: u16,
    events: Vec<usize>,
    /// Version of the engine that wrote the events.
    version: String,
}

/// Plays the case.
pub fn play(record: &str, trouble: bool) -> Played {
    let record = Record::begin(record)?;
    let mut site = Site::start((MODELS, PLAIN, GATEWAYS), MEMORY_MB)?;
    record.line(format!("{GATEWAYS} gateways are ready"));
    thread::sleep(IN_TOUCH);
    let callers = site.callers();
    let begun = ask_all(&callers, "begun", &[], BROKEN_AFTER + Duration::from_millis(300), || {
        thread::sleep(BROKEN_AFTER);
        if trouble {
            site.gateways.iter_mut().for_each(|gateway| gateway.kill());
            record.line("all gateways are killed (SIGKILL)");
        }
        Ok(())
    })?;
    let broken: Vec<Stream> = begun.into_iter().filter(|s| !s.events.is_empty()).collect();
    record.line(format!("{} streams broke off after some events", broken.len()));
    if trouble {
        thread::sleep(DOWN);
        for gateway in &mut site.gateways {
            gateway.restart()?;
        }
        if !site.gateways.iter().all(|gateway| gateway.wait_ready()) {
            return Err("a gateway is not ready again".into());
        }
        record.line("all gateways have started again and are ready");
        thread::sleep(IN_TOUCH);
    }
    let taken_up = ask_all(&callers, "taken-up", &broken, LOOK, || Ok(()))?;
    let mut gone_on = 0;
    for (stream, before) in taken_up.iter().zip(&broken) {
        let last = before.events.last().copied().unwrap_or(0);
        let goes_on =
            stream.events.first() == Some(&(last + 1)) && stream.version == before.version;
        gone_on += usize::from(goes_on);
        record.line(format!(
            "{}: {} events of {} until {}; taken up as {}: status {}, next event {:?} of {:?}",
            before.id,
            before.events.len(),
            before.version,
            last,
            stream.id,
            stream.status,
            stream.events.first(),
            stream.version
        ));
    }
    let new = ask_all(&callers, "new", &[], LOOK, || Ok(()))?;
    let began = new.iter().filter(|s| !s.events.is_empty()).count();
    record.line(format!(
        "{gone_on} of {} streams that were taken up go on; {began} of {} new ones begin",
        broken.len(),
        new.len()
    ));
    if broken.len() < MIN_TAKEN_UP || new.is_empty() {
        return Err("too few streams".into());
    }
    let share = gone_on as f64 / broken.len() as f64;
    let is_broken = share < began as f64 / new.len() as f64 / 2.0;
    record.line(if is_broken { "LOST: broken" } else { "LOST: held" });
    Ok(is_broken)
}

/// Asks for streams at all gateways, or takes up `earlier` ones, and reads each for a time. Calls
/// `meanwhile` once they were asked for.
fn ask_all(
    callers: &[SocketAddr],
    name: &str,
    earlier: &[Stream],
    time: Duration,
    meanwhile: impl FnOnce() -> io::Result<()>,
) -> io::Result<Vec<Stream>> {
    let count = if earlier.is_empty() { STREAMS * callers.len() } else { earlier.len() };
    let clients: Vec<_> = (0..count)
        .map(|number| {
            let to = callers[number % callers.len()];
            let id = format!("{name}-{number}");
            let resumed = earlier.get(number).map(|stream| {
                let last = stream.events.last().copied().unwrap_or(0);
                format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", stream.id)
            });
            thread::spawn(move || ask(to, id, &resumed.unwrap_or_default(), time))
        })
        .collect();
    meanwhile()?;
    Ok(clients.into_iter().map(|client| client.join().expect("a client")).collect())
}

/// Asks for a stream and reads it for a time; an error ends it as the end of its channel does.
fn ask(to: SocketAddr, id: String, resumed: &str, time: Duration) -> Stream {
    let mut stream = Stream { id, ..Stream::default() };
    let bytes = read(to, &stream.id, resumed, time);
    let text = String::from_utf8_lossy(&bytes);
    stream.status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    // An event that broke off in its middle doesn't count.
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    stream.events = ids.filter_map(|id| id.parse().ok()).collect();
    let version =
        whole.lines().find_map(|line| line.strip_prefix("data: ")?.split(' ').next_back());
    stream.version = version.unwrap_or_default().to_owned();
    stream
}

fn read(to: SocketAddr, id: &str, resumed: &str, time: Duration) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut receive = || -> io::Result<()> {
        let part: String = id.bytes().map(|b| format!("{b:02x}")).collect();
        let mut channel = TcpStream::connect(to)?;
        let request = format!(
            "POST /digest/week HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 15000\r\nX-Model: m\r\nX-Token-Usage: 1110,{}\r\n\
             X-Prompt-Prefix: {part}:1110\r\n{resumed}Content-Length: 6\r\n\r\nprompt",
            EVENTS * 3
        );
        channel.write_all(request.as_bytes())?;
        let (until, mut buf) = (Instant::now() + time, [0; 4096]);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            channel.set_read_timeout(Some(left))?;
            match channel.read(&mut buf)? {
                0 => return Ok(()),
                len => bytes.extend_from_slice(&buf[..len]),
            }
        }
    };
    // The end of the channel and the end of the time are the same to the caller of this.
    drop(receive());
    bytes
}
