//! A small deployment: the platform, engines and gateways on loopback, and the record of a case.

use std::{
    env,
    error::Error,
    fmt::Display,
    fs::{self, File},
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::{Arc, Mutex},
    time::Instant,
};

use crate::{
    engine::Engines,
    gateway::Gateway,
    platform::{Store, start_api},
};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// API key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// Version of the operator's configuration.
pub const CONFIGURATION_VERSION: u32 = 7;
/// Service that no route of the operator's configuration names.
pub const NEXT_SERVICE: &str = "app-next";
/// Zones of the deployment.
const ZONES: [&str; 4] = ["bkk-bangna", "bkk-lakr", "bkk-nont", "bkk-samut"];

/// How a case ends: whether the rule was broken.
pub type Played = Result<bool, Box<dyn Error>>;

/// The record of a case.
#[derive(Clone, Debug)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins a record at a path.
    pub fn begin(path: &str) -> Result<Self, Box<dyn Error>> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Adds a line, with the time since the start.
    pub fn line(&self, text: impl Display) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("the record");
        if let Err(e) = file.write_all(line.as_bytes()) {
            eprintln!("the record cannot be written: {e}");
        }
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A small deployment.
#[derive(Debug)]
pub struct Site {
    pub engines: Arc<Engines>,
    pub gateways: Vec<Gateway>,
    pub store: Arc<Store>,
    dir: PathBuf,
}

impl Site {
    /// Starts a deployment with model engines, plain engines and gateways, each gateway on a machine of
    /// `memory_mb`, and waits until the gateways are ready.
    pub fn start(counts: (usize, usize, usize), memory_mb: u64) -> Result<Self, Box<dyn Error>> {
        Self::start_with_next(counts, 0, memory_mb)
    }

    /// Starts a deployment like [`Self::start`], with engines of [`NEXT_SERVICE`] besides.
    pub fn start_with_next(
        (models, plain, gateways): (usize, usize, usize),
        next: usize,
        memory_mb: u64,
    ) -> Result<Self, Box<dyn Error>> {
        let dir = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&dir)?;
        let [.., high, low] = process::id().to_be_bytes();
        let ip = |last: usize| format!("127.{}.{low}.{last}", 100 + high % 100);
        let (store, store_address) = Store::start(&ip(1))?;
        let api = start_api(&ip(1))?;
        store.put("op", "config", &configuration(CONFIGURATION_VERSION, "app"));
        let engines = Engines::new();
        for number in 0..models {
            let of = ("llm", "v1");
            engines.start(&store, &ip(2), of, ZONES[number % ZONES.len()], number)?;
        }
        for number in 0..next {
            let of = (NEXT_SERVICE, "v1");
            engines.start(&store, &ip(4), of, ZONES[number % ZONES.len()], number)?;
        }
        for number in 0..plain {
            engines.start(&store, &ip(3), ("app", "v1"), ZONES[number % ZONES.len()], number)?;
        }
        let start = |n: usize| {
            let at = (&*ip(10 + n), ZONES[n % ZONES.len()]);
            Gateway::start(&dir, n, at, store_address, api, memory_mb)
        };
        let gateways: Vec<Gateway> = (0..gateways).map(start).collect::<Result<_, _>>()?;
        let site = Self { engines, gateways, store, dir };
        match site.gateways.iter().all(Gateway::wait_ready) {
            true => Ok(site),
            false => Err("a gateway is not ready".into()),
        }
    }

    /// Returns the addresses of the gateways for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|g| g.callers).collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.gateways.clear();
        drop(fs::remove_dir_all(&self.dir));
    }
}

/// Returns the operator's configuration: two public streaming routes, one of them for streams that may be
/// taken up, one route of each plain kind, and a plain one whose requests go to the model engines.
/// `confirm` is the service of unsafe plain requests.
pub fn configuration(version: u32, confirm: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, public: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":1,\"public\":{public},\"stickySessions\":{},\"streamResume\":{}}}",
            kind == "streaming",
            name == "digest"
        )
    };
    let routes = [
        route("plan", "streaming", "llm", 15_000, true),
        route("digest", "streaming", "llm", 15_000, true),
        route("confirm", "unsafe", confirm, 3_000, false),
        route("status", "safe", "app", 3_000, false),
        route("note", "unsafe", "llm", 15_000, true),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConnections\":370,\
         \"engine\":{{\"slots\":64,\"kvCapacityTokens\":583597,\"stride\":3}}}},\
         {{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":110}},\
         {{\"name\":\"{NEXT_SERVICE}\",\"healthPath\":\"/healthz\",\"maxConnections\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
         \"unit\":\"token_count\",\"plainTokens\":200}}]}}",
        routes.join(",")
    )
}
