//! Shared parts of the scripts: processes, a small HTTP client, the platform's API, and the record.
//! Only the standard library is used, so that `rustc` alone builds it.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const HOST: &str = "assistant.example";
pub const KEY: &str = "temple-key";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    unsafe { kill(pid as i32, number) };
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt is writable");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} ms  {text}", self.ms()).expect("record.txt is writable");
    }
}

/// An answer to a plain request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// Returns the value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (n, value) = line.split_once(':')?;
        n.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Reads a head up to the empty line.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.trim_end().is_empty() {
            return Ok(head);
        }
        head.push_str(&line);
    }
}

/// Reads a body with the framing that its head states; one that is cut off is an error.
pub fn read_body(stream: &mut impl BufRead, head: &str) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = header(head, "content-length") {
        body.resize(length.parse().unwrap_or(0), 0);
        stream.read_exact(&mut body)?;
        return Ok(body);
    }
    if !header(head, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return Ok(body);
    }
    loop {
        let mut size = String::new();
        if stream.read_line(&mut size)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Sends a request on a new channel and reads the whole answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        let _ = write!(text, "host: {to}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let body = read_body(&mut reader, &head)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok(Answer { status, head, body })
}

/// Returns the text of a field of a flat JSON text; enough for the few answers that are read here.
pub fn field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().map(str::to_owned),
        None => rest.split([',', '}', ']']).next().map(|s| s.trim().to_owned()),
    }
}

/// Processes that were started and not yet waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process that ends with this value.
pub struct Proc {
    child: Child,
}

impl Proc {
    pub fn new(child: Child) -> Self {
        CHILDREN.lock().unwrap().push(child.id());
        Self { child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        CHILDREN.lock().unwrap().retain(|pid| *pid != id);
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The project's emulator of the platform, used for its store and for the engines.
pub struct Emulator {
    _proc: Proc,
    pub control: SocketAddr,
    pub store: SocketAddr,
}

impl Emulator {
    pub fn start(root: &Path) -> io::Result<Self> {
        let program = root.join("target/release/tackhollow-emulator");
        let mut child = Command::new(program).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        let out = child.stdout.take().ok_or(io::ErrorKind::Other)?;
        let proc = Proc::new(child);
        BufReader::new(out).read_line(&mut line)?;
        let address = |name: &str| field(&line, name).and_then(|a| a.parse().ok());
        match (address("http"), address("store")) {
            (Some(control), Some(store)) => Ok(Self { _proc: proc, control, store }),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    pub fn control(&self, path: &str, body: &str) -> io::Result<String> {
        let answer = call(self.control, "POST", path, &[], body, Duration::from_secs(5))?;
        match answer.status {
            200 => Ok(answer.text()),
            status => Err(io::Error::other(format!("{path}: {status}"))),
        }
    }

    /// Starts an engine and returns its id.
    pub fn engine(&self, service: &str, zone: &str, spot: bool, work_ms: u64) -> io::Result<String> {
        let ask = format!(
            r#"{{"service":"{service}","zone":"{zone}","spot":{spot},"workMs":{work_ms}}}"#
        );
        let started = self.control("/engine", &ask)?;
        field(&started, "id").ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Starts an engine with this version of its software.
    pub fn engine_of(&self, service: &str, zone: &str, version: &str) -> io::Result<String> {
        let ask = format!(
            r#"{{"service":"{service}","zone":"{zone}","version":"{version}","workMs":20}}"#
        );
        let started = self.control("/engine", &ask)?;
        field(&started, "id").ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Starts an engine whose row names another address; returns its id.
    pub fn engine_at(&self, service: &str, zone: &str, at: SocketAddr) -> io::Result<String> {
        let ask = format!(r#"{{"service":"{service}","zone":"{zone}","address":"{at}"}}"#);
        let started = self.control("/engine", &ask)?;
        field(&started, "id").ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

/// A gateway's machine: its addresses and settings outlive its processes.
pub struct Gateway {
    pub name: String,
    pub ip: Ipv4Addr,
    pub proc: Proc,
    pub settings: PathBuf,
    root: PathBuf,
    log: PathBuf,
}

pub const CALLERS: u16 = 8221;
pub const DIRECTORY: u16 = 8220;
pub const READINESS: u16 = 8224;
pub const PEERS: u16 = 8229;
pub const HEARTBEATS: u16 = 7600;

impl Gateway {
    /// Starts a gateway with the settings that the template of the deploy file gives on a small site.
    pub fn start(
        root: &Path,
        dir: &Path,
        (name, zone): (&str, &str),
        ip: Ipv4Addr,
        (store, api): (SocketAddr, SocketAddr),
        seeds: &[Ipv4Addr],
    ) -> io::Result<Self> {
        let settings = dir.join(format!("{name}.toml"));
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}:{PEERS}\"")).collect();
        let text = format!(
            "id = \"{name}\"\ndata_centre = \"{zone}\"\nlog_level = \"warn\"\n\
             off = [\"admission\", \"engine_memory\", \"request_costs\"]\nseeds = [{}]\n\
             [listen]\ncallers = \"{ip}:{CALLERS}\"\ndirectory = \"{ip}:{DIRECTORY}\"\n\
             readiness = \"{ip}:{READINESS}\"\npeers = \"{ip}:{PEERS}\"\n\
             heartbeats = \"{ip}:{HEARTBEATS}\"\n\
             [platform]\nstore = \"{store}\"\napi = \"{api}\"\n\
             [bounds]\ngrace_s = 8\nretry_ratio = 0.2\nretry_surplus = 58\nretry_window_s = 10\n\
             quota_window_s = 8\nquota_slack = 190000\nusage_window_s = 5\nlease_ms = 3000\n\
             directory_ttl_s = 5\n[load]\ncontrol = \"on\"\n",
            seeds.join(", ")
        );
        fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        let proc = spawn(root, &settings, &log)?;
        let (name, root) = (name.to_owned(), root.to_owned());
        Ok(Self { name, ip, proc, settings, root, log })
    }

    /// Starts the next process of this machine; the earlier one must have ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.proc = spawn(&self.root, &self.settings, &self.log)?;
        Ok(())
    }

    pub fn term(&self) {
        signal(self.proc.pid(), SIGTERM);
    }

    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS).into()
    }

    pub fn is_ready(&self) -> bool {
        let to = (self.ip, READINESS).into();
        call(to, "GET", "/ready", &[], "", Duration::from_secs(1)).is_ok_and(|a| a.status == 200)
    }

    /// Returns how many gateways this one tells callers of.
    pub fn listed(&self) -> usize {
        let path = format!("/resolve?name={HOST}&region=r&zone=z");
        let to = (self.ip, DIRECTORY).into();
        let answer = call(to, "GET", &path, &[], "", Duration::from_secs(1));
        answer.map_or(0, |a| a.text().matches(&format!(":{CALLERS}")).count())
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> io::Result<Proc> {
    let out = File::options().create(true).append(true).open(log)?;
    let child = Command::new(root.join("target/release/tackhollow-gateway"))
        .arg("--settings")
        .arg(settings)
        .current_dir(root)
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()?;
    Ok(Proc::new(child))
}

/// Returns addresses of this run, one for each machine, whose ports are free.
pub fn machine_ips(count: u8) -> io::Result<Vec<Ipv4Addr>> {
    let pid = std::process::id();
    let net = |n: u8| Ipv4Addr::new(127, 60 + (pid >> 8) as u8 % 120, pid as u8, n);
    let ips: Vec<Ipv4Addr> = (1..=count).map(net).collect();
    for ip in &ips {
        for port in [CALLERS, DIRECTORY, READINESS, PEERS, HEARTBEATS] {
            drop(TcpListener::bind((*ip, port))?);
        }
    }
    Ok(ips)
}

/// Waits until a condition holds; an error after `limit`.
pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= until {
            return Err(io::Error::other(format!("waited in vain until {what}")));
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// A call that the platform's API received.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: String,
}

/// The platform's API. It accepts every call at once, and records it.
#[derive(Clone)]
pub struct Api {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl Api {
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
        let (seen, record) = (calls.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, record) = (seen.clone(), record.clone());
                thread::spawn(move || drop(serve_api(stream, &seen, &record)));
            }
        });
        Ok(Self { address, calls })
    }

    pub fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    pub fn since(&self, index: usize) -> Vec<DutyCall> {
        self.calls.lock().unwrap()[index..].to_vec()
    }
}

fn serve_api(stream: TcpStream, seen: &Mutex<Vec<DutyCall>>, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        let body = String::from_utf8_lossy(&read_body(&mut reader, &head)?).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let holder = header(&head, "x-duty-holder").unwrap_or_default();
        let fence = header(&head, "x-fencing-token").and_then(|f| f.parse().ok()).unwrap_or(0);
        record.line(&format!("platform gets POST {path} holder={holder} fence={fence} {body}"));
        let call = DutyCall { at: Instant::now(), path, holder, fence, body };
        seen.lock().unwrap().push(call);
        out.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")?;
    }
}

/// A configuration like that of the small site `roster-tackhollow`.
pub fn configuration(version: u64, scaled: bool) -> String {
    let route = |name: &str, kind: &str, service: &str, (timeout, aim, rank, tries): (u32, u32, u8, u8)| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":{aim},"priority":{rank},"service":"{service}","maxAttempts":{tries},"public":false,"streamResume":{}}}"#,
            name == "swap-digest"
        )
    };
    let scaling = match scaled {
        true => {
            r#","scaling":{"minReplicas":1,"maxReplicas":10,"bootS":4,"spotPrice":0.15,"zonePrices":{"bkk-bangna":1.0,"bkk-lakr":0.8,"bkk-nont":1.25}}"#
        }
        false => "",
    };
    format!(
        r#"{{"version":{version},"routes":[{},{},{},{}],"services":[{{"name":"roster-llm","healthPath":"/healthz","maxConnections":370,"engine":{{"slots":64,"kvCapacityTokens":583597,"stride":3}}{scaling}}},{{"name":"roster-app","healthPath":"/healthz","maxConnections":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}},"tenants":[{{"name":"temple","apiKeys":["{KEY}"],"plainTokens":10}}]}}"#,
        route("season-plan", "streaming", "roster-llm", (15_000, 1_000, 1, 1)),
        route("swap-digest", "streaming", "roster-llm", (8_000, 1_000, 0, 2)),
        route("shift-confirm", "unsafe", "roster-app", (15_000, 100, 2, 1)),
        route("check-in", "safe", "roster-app", (800, 100, 2, 2)),
    )
}

/// Headers of a caller's request.
pub fn request_headers(id: &str, patience_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", patience_ms.to_string()),
        ("x-key", KEY.to_owned()),
    ]
}

/// Numbers by name, sorted.
pub type Counts = BTreeMap<String, usize>;

/// Folders and switches of a run: the repository, the folder of the case, and `TROUBLE`.
pub struct Run {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temporary: PathBuf,
    pub trouble: bool,
}

impl Run {
    pub fn from_args() -> Self {
        let args: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
        let [root, case, temporary] = <[PathBuf; 3]>::try_from(args).expect("ROOT CASE TEMPORARY");
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        Self { root, case, temporary, trouble }
    }
}

/// Turns the outcome into the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could
/// not run.
pub fn finish(record: &Record, outcome: io::Result<Option<String>>) -> ! {
    let code = match outcome {
        Ok(None) => {
            record.line("VERDICT: the rule held");
            0
        }
        Ok(Some(broken)) => {
            record.line(&format!("VERDICT: broken: {broken}"));
            1
        }
        Err(e) => {
            record.line(&format!("VERDICT: the case could not run: {e}"));
            2
        }
    };
    // Threads may still hold some.
    let left = CHILDREN.lock().map(|c| c.clone()).unwrap_or_default();
    left.into_iter().for_each(|pid| signal(pid, SIGKILL));
    std::process::exit(code)
}
