//! Stand-in of the platform: the metadata store, and the API for duties.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{Json, quote},
};

/// Place of a row: table, part and key.
type Place = (String, String, String);

#[derive(Debug)]
struct Change {
    version: u64,
    place: Place,
    /// New value; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Place, (String, u64)>,
    history: Vec<Change>,
}

/// The metadata store.
#[derive(Debug)]
pub struct Store {
    started: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Store {
    /// Starts the store on a free port of `ip`.
    pub fn start(ip: &str) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store =
            Self { started: Instant::now(), rows: Mutex::default(), changed: Condvar::new() };
        let store = Arc::new(store);
        let serving = store.clone();
        http::serve(listener, move |request, stream| serving.answer(&request, stream));
        Ok((store, address))
    }

    /// Writes a row with an empty part in place of the operator or of an engine.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_in(table, "", key, value);
    }

    /// Writes a row of a part in place of the operator.
    pub fn put_in(&self, table: &str, part: &str, key: &str, value: &str) {
        let place = (table.to_owned(), part.to_owned(), key.to_owned());
        self.apply(vec![(place, Some(base64(value.as_bytes())))]);
    }

    fn apply(&self, changes: Vec<(Place, Option<String>)>) {
        let mut rows = self.rows.lock().expect("the rows");
        rows.version += 1;
        let version = rows.version;
        for (place, value) in changes {
            match &value {
                Some(text) => drop(rows.rows.insert(place.clone(), (text.clone(), version))),
                None if rows.rows.remove(&place).is_none() => continue,
                None => {}
            }
            rows.history.push(Change { version, place, value });
        }
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, stream: &TcpStream) -> io::Result<bool> {
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.list(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, String::new()),
        };
        let body = match body.is_empty() {
            true => body,
            false => {
                let version = self.rows.lock().expect("the rows").version;
                let now = self.started.elapsed().as_millis();
                format!("{{{body},\"rowVersion\":{version},\"nowMs\":{now}}}")
            }
        };
        http::answer(stream, status, &[("content-type", "application/json")], body.as_bytes())?;
        Ok(true)
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(txn) = std::str::from_utf8(&request.body).ok().and_then(Json::parse) else {
            return (400, String::new());
        };
        let place = |e: &Json| {
            (e.text("table").to_owned(), e.text("part").to_owned(), e.text("key").to_owned())
        };
        let changed = txn.list("writes").iter().chain(txn.list("remove"));
        if changed.into_iter().any(|e| ["op", "servers"].contains(&e.text("table"))) {
            return (403, String::new());
        }
        let expected = txn.list("expectedRevision");
        let current = {
            let rows = self.rows.lock().expect("the rows");
            let version = |e: &Json| rows.rows.get(&place(e)).map_or(0, |(_, version)| *version);
            let met = expected.iter().all(|e| e.number("rowVersion") == version(e));
            let rows = expected.iter().filter_map(|e| Some((place(e), rows.rows.get(&place(e))?)));
            let rows: Vec<String> = rows.map(|(p, (value, v))| row(&p, Some(value), *v)).collect();
            (!met).then(|| rows.join(","))
        };
        if let Some(rows) = current {
            return (412, format!("\"rows\":[{rows}]"));
        }
        let writes = txn.list("writes").iter();
        let writes = writes.map(|w| (place(w), Some(w.text("value").to_owned())));
        let removals = txn.list("remove").iter().map(|r| (place(r), None));
        self.apply(writes.chain(removals).collect());
        (200, "\"rows\":[]".to_owned())
    }

    fn list(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.param("table"), request.param("part"));
        let limit = request.param("limit").parse().unwrap_or(500).min(500);
        let first = (table.to_owned(), part.to_owned(), request.param("from").to_owned());
        let rows = self.rows.lock().expect("the rows");
        let of_part = rows.rows.range(first..).take_while(|(p, _)| p.0 == table && p.1 == part);
        let all: Vec<String> = of_part.map(|(p, (v, version))| row(p, Some(v), *version)).collect();
        let more = all.len() > limit;
        let page: Vec<String> = all.into_iter().take(limit).collect();
        (200, format!("\"rows\":[{}],\"morePages\":{more}", page.join(",")))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let after: u64 = request.param("afterRevision").parse().unwrap_or(0);
        let wait: u64 = request.param("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let table = request.param("table");
        let mut rows = self.rows.lock().expect("the rows");
        loop {
            let new = rows.history.iter().filter(|c| c.version > after && c.place.0 == table);
            let new: Vec<String> =
                new.map(|c| row(&c.place, c.value.as_ref(), c.version)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return (200, format!("\"rows\":[{}]", new.join(",")));
            }
            rows = self.changed.wait_timeout(rows, left).expect("the rows").0;
        }
    }
}

fn row((table, part, key): &Place, value: Option<&String>, version: u64) -> String {
    let place =
        format!("\"table\":{},\"part\":{},\"key\":{}", quote(table), quote(part), quote(key));
    match value {
        Some(value) => format!("{{{place},\"value\":\"{value}\",\"rowVersion\":{version}}}"),
        None => format!("{{{place},\"tombstone\":true,\"rowVersion\":{version}}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, b| sum << 8 | u32::from(*b));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit <= chunk.len() { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}

/// Starts the API for duties on a free port of `ip`. It accepts every call.
pub fn start_api(ip: &str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    http::serve(listener, |_, stream| http::answer(stream, 200, &[], b"").map(|()| true));
    Ok(address)
}
