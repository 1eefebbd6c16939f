//! Settings of `tackhollow-entry`.

use std::{net::SocketAddr, path::Path, time::Duration};

use log::LevelFilter;

use super::{Section, SettingsError, load};
use crate::{
    ids::{DataCentre, EntryId, Region},
    routing::Policy,
};

/// Words for the level of logs.
pub(super) const LEVELS: [(&str, LevelFilter); 4] = [
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
];

const POLICIES: [(&str, Policy); 4] = [
    ("cost", Policy::Cost),
    ("round_robin", Policy::RoundRobin),
    ("least_in_flight", Policy::LeastInFlight),
    ("prefix_bounded", Policy::PrefixBounded),
];

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the entry host.
    pub id: EntryId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Level of logs.
    pub log_level: LevelFilter,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for requests between processes.
    pub peer: SocketAddr,
    /// Address for membership datagrams.
    pub gossip: SocketAddr,
    /// Membership addresses of some other entry processes.
    pub seeds: Vec<SocketAddr>,
    /// Key shared between processes.
    pub secret: String,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Longest wait for one call of the platform.
    pub platform_timeout: Duration,
    /// Hashes of the operators' keys, as `NAME:SHA256`.
    pub operators: Vec<(String, String)>,
    /// Choice among the upstreams that this process owns.
    pub policy: Policy,
    /// Limits.
    pub limits: Limits,
}

/// Limits and times of an entry process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Requests in progress at most.
    pub in_progress: u32,
    /// Longest body of a request, in bytes.
    pub body_bytes: u32,
    /// Longest silence of a caller while it sends a request.
    pub read_timeout: Duration,
    /// Longest silence of an engine during a stream.
    pub engine_silence: Duration,
    /// For how long callers may keep an answer of `/v1/entries`.
    pub entries_ttl: Duration,
    /// For how long a finished request can be asked for again.
    pub keep_finished: Duration,
    /// For how long a key may first be used after its prefix was given out.
    pub key_validity: Duration,
    /// Between reads of the configuration log.
    pub config_poll: Duration,
    /// Between reads of the cloud's list of hosts.
    pub directory_poll: Duration,
    /// Silence of an upstream after which it gets no new work.
    pub upstream_silence: Duration,
    /// Time before the end of a reclaim notice at which requests are handed over.
    pub hand_over_margin: Duration,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path, Self::parse)
    }

    fn parse(s: &mut Section) -> Self {
        let listen = |l: &mut Section| (l.addr("http"), l.addr("peer"), l.addr("gossip"));
        let (http, peer, gossip) = s.section("listen", listen);
        let (seeds, secret) = s.section("peers", |p| (p.addrs("seeds"), p.text("secret")));
        let (platform, platform_timeout) = s.section("platform", |p| {
            (p.addr("address"), p.millis("timeout_ms", Duration::from_millis(1_500)))
        });
        Self {
            id: s.text("id"),
            data_centre: s.text("data_centre"),
            region: s.text("region"),
            log_level: s.one_of("log_level", &LEVELS, LevelFilter::Info),
            http,
            peer,
            gossip,
            seeds,
            secret,
            platform,
            platform_timeout,
            operators: s.section("operators", parse_operators),
            policy: s.section("routing", |r| r.one_of("policy", &POLICIES, Policy::default())),
            limits: s.section("limits", Limits::parse),
        }
    }
}

/// Reads `keys`, a list of `NAME:SHA256`.
fn parse_operators(s: &mut Section) -> Vec<(String, String)> {
    let mut operators = Vec::new();
    for text in s.texts("keys") {
        match text.split_once(':') {
            Some((name, hash)) if !name.is_empty() && is_sha256(hash) => {
                operators.push((name.to_owned(), hash.to_lowercase()));
            }
            _ => s.mistake("keys", "NAME:SHA256-IN-HEXADECIMAL", "a text of another shape"),
        }
    }
    operators
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit())
}

impl Limits {
    fn parse(s: &mut Section) -> Self {
        let secs = Duration::from_secs;
        Self {
            in_progress: s.count("in_progress", 1_000),
            body_bytes: s.count("body_bytes", 1 << 20),
            read_timeout: s.millis("read_timeout_ms", secs(10)),
            engine_silence: s.millis("engine_silence_ms", secs(5)),
            entries_ttl: s.millis("entries_ttl_ms", secs(30)),
            keep_finished: s.millis("keep_finished_ms", secs(600)),
            key_validity: s.millis("key_validity_ms", secs(1_800)),
            config_poll: s.millis("config_poll_ms", secs(5)),
            directory_poll: s.millis("directory_poll_ms", secs(2)),
            upstream_silence: s.millis("upstream_silence_ms", secs(4)),
            hand_over_margin: s.millis("hand_over_margin_ms", secs(3)),
        }
    }
}
