//! A small system: platform, upstreams and entry hosts.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use serde_json::{Value, json};
use tackhollow::{
    caller::Caller,
    config::{Item, key_hash, parse_document},
};
use tempfile::TempDir;

use super::{http, proc::Proc, wait_until};

pub const OPERATOR_KEY: &str = "operator-key";
pub const CUSTOMER_KEY: &str = "temple-fairs-key";
pub const OTHER_KEY: &str = "kitchens-key";
pub const SECRET: &str = "shared-secret";
pub const DATA_CENTRES: [&str; 4] = ["bkk-bangna", "bkk-lakr", "bkk-nont", "bkk-samut"];

/// An upstream of a test.
pub struct Upstream {
    pub proc: Proc,
    pub id: String,
    pub data_centre: String,
    pub journal: PathBuf,
}

/// An entry host of a test.
pub struct Entry {
    pub proc: Proc,
    pub id: String,
    pub data_centre: String,
    settings: PathBuf,
}

/// What a test's system consists of.
pub struct Plan {
    pub data_centres: usize,
    pub entries_each: usize,
    pub engines_each: usize,
    pub services_each: usize,
    pub engine_args: Vec<String>,
    /// Hosts in the cloud's list beside those of the engine processes; they
    /// share the engine processes' addresses.
    pub extra_hosts: usize,
    /// Slots of an engine in the cloud's list.
    pub engine_slots: u32,
    /// Prices of the engines of a data centre, in turn.
    pub prices: Vec<f64>,
    pub policy: &'static str,
    pub limits: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            data_centres: 2,
            entries_each: 2,
            engines_each: 1,
            services_each: 1,
            engine_args: Vec::new(),
            extra_hosts: 0,
            engine_slots: 50,
            prices: vec![1.0],
            policy: "cost",
            limits: "entries_ttl_ms = 500\nupstream_silence_ms = 2000\n".to_owned(),
        }
    }
}

/// A small system.
pub struct Cluster {
    pub dir: TempDir,
    pub platform: Proc,
    pub engines: Vec<Upstream>,
    pub services: Vec<Upstream>,
    pub entries: Vec<Entry>,
    pub plan: Plan,
}

impl Cluster {
    /// Starts a system and waits until it serves.
    pub fn start(plan: Plan) -> Self {
        let dir = TempDir::new().expect("a folder");
        let platform =
            Proc::start(env!("CARGO_BIN_EXE_tackhollow-fake-platform"), ["--lag-ms", "200"]);
        let (engines, services, entries) = (Vec::new(), Vec::new(), Vec::new());
        let mut this = Self { dir, platform, engines, services, entries, plan };
        for dc in 0..this.plan.data_centres {
            for _ in 0..this.plan.engines_each {
                this.add_engine(dc);
            }
            for _ in 0..this.plan.services_each {
                this.add_service(dc);
            }
        }
        this.register_extra_hosts();
        for dc in 0..this.plan.data_centres {
            for _ in 0..this.plan.entries_each {
                this.add_entry(dc);
            }
        }
        this.wait_members();
        this.apply_example();
        this.wait_upstreams();
        this
    }

    pub fn add_engine(&mut self, dc: usize) {
        let id = format!("engine-{}", self.engines.len());
        let journal = self.dir.path().join(format!("{id}.journal"));
        let mut args = vec![
            "--models".to_owned(),
            "chat-8b,draft-70b".to_owned(),
            "--journal".to_owned(),
            journal.display().to_string(),
        ];
        args.extend(self.plan.engine_args.clone());
        let proc = Proc::start(env!("CARGO_BIN_EXE_tackhollow-fake-engine"), args);
        let models = json!(["chat-8b", "draft-70b"]);
        let price = self.plan.prices[self.engines.len() % self.plan.prices.len()];
        let slots = self.plan.engine_slots;
        self.register(&id, "engine", dc, proc.http(), models, (slots, price));
        let data_centre = DATA_CENTRES[dc].to_owned();
        self.engines.push(Upstream { proc, id, data_centre, journal });
    }

    fn register_extra_hosts(&self) {
        for i in 0..self.plan.extra_hosts {
            let engine = &self.engines[i % self.engines.len()];
            let models = json!(["chat-8b", "draft-70b"]);
            self.register(
                &format!("extra-{i}"),
                "engine",
                0,
                engine.proc.http(),
                models,
                (50, 1.0),
            );
        }
    }

    pub fn add_service(&mut self, dc: usize) {
        let id = format!("service-{}", self.services.len());
        let journal = self.dir.path().join(format!("{id}.journal"));
        let args = [
            "--name".to_owned(),
            "confirm".to_owned(),
            "--journal".to_owned(),
            journal.display().to_string(),
        ];
        let proc = Proc::start(env!("CARGO_BIN_EXE_tackhollow-fake-service"), args);
        self.register(&id, "service", dc, proc.http(), json!(["service:confirm"]), (200, 0.2));
        let data_centre = DATA_CENTRES[dc].to_owned();
        self.services.push(Upstream { proc, id, data_centre, journal });
    }

    fn register(
        &self,
        id: &str,
        role: &str,
        dc: usize,
        addr: SocketAddr,
        models: Value,
        (slots, price): (u32, f64),
    ) {
        let host = json!({
            "id": id, "role": role, "data_centre": DATA_CENTRES[dc], "class": "small",
            "addr": addr, "models": models, "slots": slots, "price": price,
            "reclaimable": true, "state": "live",
        });
        self.control("/control/register", &json!([host]));
    }

    pub fn add_entry(&mut self, dc: usize) {
        let id = format!("entry-{}", self.entries.len());
        let settings = self.write_settings(&id, dc);
        let proc = start_entry(&settings);
        let data_centre = DATA_CENTRES[dc].to_owned();
        self.entries.push(Entry { proc, id, data_centre, settings });
    }

    /// Writes settings whose seeds are the other entry processes of now.
    fn write_settings(&self, id: &str, dc: usize) -> PathBuf {
        let settings = self.dir.path().join(format!("{id}.toml"));
        let others = self.entries.iter().filter(|e| e.id != id);
        let seeds: Vec<String> =
            others.take(4).map(|e| format!("\"{}\"", e.proc.address("gossip"))).collect();
        let text = format!(
            "id = \"{id}\"\ndata_centre = \"{}\"\nregion = \"bangkok\"\nlog_level = \"debug\"\n\
             [listen]\nhttp = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\ngossip = \"127.0.0.1:0\"\n\
             [peers]\nsecret = \"{SECRET}\"\nseeds = [{}]\n\
             [platform]\naddress = \"{}\"\ntimeout_ms = 1000\n\
             [routing]\npolicy = \"{}\"\n[operators]\nkeys = [\"noi:{}\", \"mali:{}\"]\n[limits]\n{}",
            DATA_CENTRES[dc],
            seeds.join(", "),
            self.platform.http(),
            self.plan.policy,
            key_hash(OPERATOR_KEY),
            key_hash("second-operator-key"),
            self.plan.limits,
        );
        fs::write(&settings, text).expect("settings are written");
        settings
    }

    /// Replaces an entry process by a new one of the same name.
    pub fn restart_entry(&mut self, index: usize) {
        let entry = &self.entries[index];
        let dc = DATA_CENTRES.iter().position(|dc| *dc == entry.data_centre);
        let settings = self.write_settings(&entry.id, dc.expect("a known data centre"));
        let proc = start_entry(&settings);
        self.entries[index].proc = proc;
    }

    pub fn control(&self, path: &str, body: &Value) {
        let answer = http::call("POST", self.platform.http(), path, body);
        assert!(answer.status < 300, "{path}: {}", answer.status);
    }

    pub fn platform_faults(&self, faults: Value) {
        self.control("/control/fault", &faults);
    }

    pub fn status(&self, entry: usize) -> Value {
        let addr = self.entries[entry].proc.http();
        let answer = http::call_as(OPERATOR_KEY, "GET", addr, "/v1/admin/status", &Value::Null);
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// Waits until every entry host knows its members and every data centre.
    pub fn wait_members(&self) {
        wait_until("all entry hosts know each other", || {
            (0..self.entries.len()).all(|i| {
                let status = self.status(i);
                let members = status["members"].as_array().map_or(0, Vec::len);
                let dcs = status["data_centres"].as_array().map_or(0, Vec::len);
                members + 1 >= self.plan.entries_each && dcs + 1 >= self.plan.data_centres
            })
        });
    }

    /// Waits until every upstream is owned and heard of.
    pub fn wait_upstreams(&self) {
        let expected = self.engines.len() + self.services.len() + self.plan.extra_hosts;
        wait_until("all upstreams work", || self.working() >= expected);
    }

    /// Waits until every upstream whose process runs takes work.
    pub fn wait_working(&mut self) {
        let all = self.engines.iter_mut().chain(&mut self.services);
        let expected = all.filter_map(|u| u.proc.is_running().then_some(())).count();
        wait_until("all running upstreams take work", || self.working() >= expected);
    }

    /// Waits until how all attempts ended has reached the owners of the upstreams: callers may
    /// have their answers before.
    pub fn wait_slots_returned(&self) {
        wait_until("all slots are given back", || {
            (0..self.entries.len()).all(|i| {
                let upstreams = self.status(i)["upstreams"].as_array().cloned().unwrap_or_default();
                upstreams.iter().all(|u| u["in_use"] == 0)
            })
        });
    }

    /// Returns how many upstreams take work.
    fn working(&self) -> usize {
        let of = |i| {
            let status = self.status(i);
            let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
            upstreams.iter().filter(|u| u["state"] == "working").count()
        };
        (0..self.entries.len()).map(of).sum()
    }

    /// Applies the example configuration and waits until it is in force.
    pub fn apply_example(&self) {
        let text = fs::read_to_string("tests/data/example.toml").expect("the example");
        let items = parse_document(&text).expect("the example has no mistakes");
        let addr = self.entries[0].proc.http();
        let mut version = 0;
        for item in items {
            let answer = apply(addr, &item, None);
            assert_eq!(answer.0, 200, "{}", answer.1);
            version = answer.1["version"].as_u64().expect("a version");
        }
        self.wait_version(version);
    }

    pub fn wait_version(&self, version: u64) {
        wait_until("the configuration is in force everywhere", || {
            (0..self.entries.len())
                .all(|i| self.status(i)["config_version"].as_u64() >= Some(version))
        });
    }

    /// Returns how many attempts the engines' journals hold.
    pub fn engine_runs(&self) -> usize {
        self.engines.iter().map(|e| runs(&journal(&e.journal)).len()).sum()
    }

    /// Returns the bodies of the calls that the services ran.
    pub fn service_runs(&self) -> Vec<String> {
        let entries = self.services.iter().flat_map(|s| journal(&s.journal));
        entries.map(|e| e["body"].as_str().unwrap_or_default().to_owned()).collect()
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.addresses(), CUSTOMER_KEY)
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.proc.http()).collect()
    }
}

fn start_entry(settings: &std::path::Path) -> Proc {
    let args = ["--settings".as_ref(), settings.as_os_str()];
    Proc::start(env!("CARGO_BIN_EXE_tackhollow-entry"), args)
}

/// Applies one item; returns the status and the body.
pub fn apply(addr: SocketAddr, item: &Item, expect: Option<u64>) -> (u16, Value) {
    apply_as(OPERATOR_KEY, addr, item, expect)
}

pub fn apply_as(key: &str, addr: SocketAddr, item: &Item, expect: Option<u64>) -> (u16, Value) {
    let body = json!({ "key": item.key(), "to": item, "expect": expect });
    let answer = http::call_as(key, "POST", addr, "/v1/admin/changes", &body);
    (answer.status, serde_json::from_slice(&answer.body).unwrap_or_default())
}

/// Returns the entries of a journal file.
pub fn journal(path: &std::path::Path) -> Vec<Value> {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// Returns the entries of attempts that ran.
pub fn runs(journal: &[Value]) -> Vec<&Value> {
    journal.iter().filter(|e| e["event"] == "run").collect()
}

/// Bound for a process to leave by itself.
pub const LEAVE_BOUND: Duration = Duration::from_secs(60);
