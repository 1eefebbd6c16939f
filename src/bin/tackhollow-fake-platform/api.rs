//! HTTP of the platform.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tackhollow::{
    cloud::{HostEntry, HostRole, Rows},
    edge::http_client::HttpClient,
};
use tiny_http::{Method, Request, Response};

use super::{
    cloud::Cloud,
    faults::{Down, Faults},
    table::Table,
};

/// Time after which a hanging call is dropped.
const HANG: Duration = Duration::from_secs(20);
/// Rows read at once where the caller does not say.
const DEFAULT_LIMIT: usize = 500;

/// Calls so far.
#[derive(Debug, Default)]
struct Counters {
    table_reads: AtomicU64,
    table_writes: AtomicU64,
    object_reads: AtomicU64,
    object_writes: AtomicU64,
    cloud_reads: AtomicU64,
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    table: Mutex<Table>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    cloud: Mutex<Cloud>,
    faults: Mutex<Faults>,
    counters: Counters,
    weights_per_second: u32,
    weights: Mutex<(Instant, u32)>,
}

impl Platform {
    /// Creates an empty platform.
    pub fn new(lag: Duration, weights_per_second: u32) -> Self {
        Self {
            table: Mutex::default(),
            objects: Mutex::default(),
            cloud: Mutex::new(Cloud::new(lag)),
            faults: Mutex::default(),
            counters: Counters::default(),
            weights_per_second,
            weights: Mutex::new((Instant::now(), 0)),
        }
    }

    /// Serves one request.
    pub fn handle(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let call = Call { method: request.method().clone(), path, query, body: &body };
        if path.starts_with("/control/") {
            return answer(request, self.control(&call));
        }
        let faults = lock(&self.faults).clone();
        thread::sleep(Duration::from_millis(faults.slow_ms));
        let is_cloud = path.starts_with("/cloud/");
        let down = if is_cloud && faults.cloud_down { Down::Refuse } else { faults.down };
        match down {
            Down::No => {}
            Down::Refuse if is_cloud && !faults.cloud_down => {}
            Down::Refuse => return answer(request, status(503)),
            Down::Hang if is_cloud => {}
            Down::Hang => {
                thread::sleep(HANG);
                return cut(request);
            }
        }
        let reply = if is_cloud { self.cloud(&call) } else { self.store(&call) };
        let is_write = call.method != Method::Get;
        if is_write && !is_cloud && self.loses_answer() {
            return cut(request);
        }
        answer(request, reply);
    }

    fn loses_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }

    fn store(&self, call: &Call<'_>) -> Answer {
        match (&call.method, call.path) {
            (Method::Get, "/table") => self.read_table(call),
            (Method::Post, "/table/txn") => self.run_txn(call),
            (Method::Get, "/objects") => {
                count(&self.counters.object_reads);
                let prefix = call.query("prefix");
                let objects = lock(&self.objects);
                let names: Vec<&String> =
                    objects.keys().filter(|k| k.starts_with(&prefix)).collect();
                json_answer(200, &names)
            }
            (_, path) if path.starts_with("/objects/") => self.object(call),
            (Method::Get, path) if path.starts_with("/weights/") => self.read_weights(),
            _ => status(404),
        }
    }

    fn read_table(&self, call: &Call<'_>) -> Answer {
        count(&self.counters.table_reads);
        let table = lock(&self.table);
        let key = call.query("key");
        let rows = if key.is_empty() {
            let limit = call.query("limit").parse().unwrap_or(DEFAULT_LIMIT);
            table.scan(&call.query("prefix"), &call.query("after"), limit)
        } else {
            table.get(&key).into_iter().collect()
        };
        json_answer(200, &Rows { rows })
    }

    fn run_txn(&self, call: &Call<'_>) -> Answer {
        count(&self.counters.table_writes);
        let Some(txn) = call.json() else {
            return status(400);
        };
        match lock(&self.table).run(txn) {
            Ok(accepted) => json_answer(200, &accepted),
            Err(refused) => json_answer(409, &refused),
        }
    }

    fn object(&self, call: &Call<'_>) -> Answer {
        let name = call.path.trim_start_matches("/objects/").to_owned();
        let mut objects = lock(&self.objects);
        match call.method {
            Method::Get => {
                count(&self.counters.object_reads);
                objects.get(&name).map_or_else(|| status(404), |b| (200, b.clone()))
            }
            Method::Put => {
                count(&self.counters.object_writes);
                objects.insert(name, call.body.to_vec());
                status(204)
            }
            Method::Delete => {
                count(&self.counters.object_writes);
                let found = objects.remove(&name).is_some();
                status(if found { 204 } else { 404 })
            }
            _ => status(405),
        }
    }

    /// Reads from the weight store, which refuses reads over its rate.
    fn read_weights(&self) -> Answer {
        let mut window = lock(&self.weights);
        if window.0.elapsed() >= Duration::from_secs(1) {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        if window.1 > self.weights_per_second { status(429) } else { (200, b"weights".to_vec()) }
    }

    fn cloud(&self, call: &Call<'_>) -> Answer {
        let mut cloud = lock(&self.cloud);
        match (&call.method, call.path) {
            (Method::Get, "/cloud/hosts") => {
                count(&self.counters.cloud_reads);
                let known = call.query("known").parse().unwrap_or_default();
                json_answer(200, &cloud.list(&call.query("data_centre"), known))
            }
            (Method::Post, "/cloud/hosts") => {
                if lock(&self.faults).refuse_starts {
                    return status(503);
                }
                let host = call.json().and_then(|start| cloud.start(&start));
                host.map_or_else(|| status(503), |host| json_answer(200, &host))
            }
            _ => status(404),
        }
    }

    /// Carries out what a test or the demo asks for.
    fn control(&self, call: &Call<'_>) -> Answer {
        match call.path {
            "/control/fault" => match call.json::<Faults>() {
                Some(faults) => {
                    *lock(&self.faults) = faults;
                    status(204)
                }
                None => status(400),
            },
            "/control/register" => self.with_hosts(call, Cloud::register),
            "/control/standby" => self.with_hosts(call, Cloud::add_standby),
            "/control/remove" => {
                lock(&self.cloud).remove(&call.query("id"));
                status(204)
            }
            "/control/reclaim" => self.reclaim(call),
            "/control/counters" => json_answer(200, &self.counters_json()),
            _ => status(404),
        }
    }

    fn with_hosts(&self, call: &Call<'_>, f: impl FnOnce(&mut Cloud, Vec<HostEntry>)) -> Answer {
        match call.json() {
            Some(hosts) => {
                f(&mut lock(&self.cloud), hosts);
                status(204)
            }
            None => status(400),
        }
    }

    /// Gives notice to a host or to all of a data centre. Upstreams hear of it
    /// themselves, too; the list shows it after its lag.
    fn reclaim(&self, call: &Call<'_>) -> Answer {
        let in_ms = call.query("in_ms").parse().unwrap_or(5_000);
        let notice = Duration::from_millis(in_ms);
        let hosts = lock(&self.cloud).reclaim(&call.query("target"), notice);
        let client = HttpClient::fresh(Duration::from_secs(2));
        for host in hosts.iter().filter(|h| h.role != HostRole::Entry) {
            let body = json!({ "in_ms": in_ms }).to_string();
            let url = format!("http://{}/reclaim", host.addr);
            if let Err(e) = client.call("POST", &url, &[], body.as_bytes()) {
                eprintln!("{} does not hear of its reclaim: {e}", host.id);
            }
        }
        json_answer(200, &hosts)
    }

    fn counters_json(&self) -> Value {
        let read = |c: &AtomicU64| c.load(Ordering::Relaxed);
        let c = &self.counters;
        json!({
            "table_reads": read(&c.table_reads),
            "table_writes": read(&c.table_writes),
            "object_reads": read(&c.object_reads),
            "object_writes": read(&c.object_writes),
            "cloud_reads": read(&c.cloud_reads),
        })
    }
}

type Answer = (u16, Vec<u8>);

/// A call as received.
struct Call<'a> {
    method: Method,
    path: &'a str,
    query: &'a str,
    body: &'a [u8],
}

impl Call<'_> {
    fn query(&self, key: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(k, _)| *k == key);
        found.map(|(_, v)| unescape(v)).unwrap_or_default()
    }

    fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(self.body).ok()
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut out = Vec::new();
    while let Some(b) = bytes.next() {
        if b != b'%' {
            out.push(b);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'%'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn status(status: u16) -> Answer {
    (status, Vec::new())
}

fn json_answer<T: Serialize>(status: u16, value: &T) -> Answer {
    (status, serde_json::to_vec(value).unwrap_or_default())
}

fn answer(request: Request, (status, body): Answer) {
    let response = Response::from_data(body).with_status_code(status);
    if let Err(e) = request.respond(response) {
        eprintln!("a client is gone: {e}");
    }
}

/// Breaks a connection off in a way that no client takes for an answer.
fn cut(request: Request) {
    let mut writer = request.into_writer();
    let written: io::Result<()> =
        writer.write_all(b"\x00cut\r\n\r\n").and_then(|()| writer.flush());
    drop(written);
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
