//! Settings of `tackhollow-entry`.

use std::{net::SocketAddr, path::Path, time::Duration};

use log::LevelFilter;

use super::{Section, SettingsError, load};
use crate::{
    ids::{DataCentre, EntryId, Region},
    routing::Policy,
};

/// Accepted values of `log_level`.
pub(super) const LOG_LEVELS: [(&str, LevelFilter); 4] = [
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
    /// Name of the entry host, unique within the system.
    pub id: EntryId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the host.
    pub region: Region,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Listen address for callers and operators, over HTTP.
    pub http: SocketAddr,
    /// Listen address for requests from other entry processes.
    pub peer: SocketAddr,
    /// Listen address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Gossip addresses of other entry processes, contacted to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all entry processes.
    pub secret: String,
    /// Address of the platform API.
    pub platform: SocketAddr,
    /// Timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Operators' names, each with the SHA-256 hash of the API key in lower-case hexadecimal.
    pub operators: Vec<(String, String)>,
    /// Routing policy among the upstreams that this process owns.
    pub policy: Policy,
    /// Limits and timeouts.
    pub limits: Limits,
}

/// Limits and timeouts of an entry process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of requests in progress.
    pub in_progress: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u32,
    /// Idle timeout while a caller sends its request.
    pub read_timeout: Duration,
    /// Idle timeout of an engine's event stream.
    pub engine_silence: Duration,
    /// Time for which callers may cache a response of `/v1/entries`.
    pub entries_ttl: Duration,
    /// Time for which the result of a finished request can still be fetched.
    pub keep_finished: Duration,
    /// Time after a key prefix is issued within which a key with it must first be used.
    pub key_validity: Duration,
    /// Interval between reads of the configuration log.
    pub config_poll: Duration,
    /// Interval between reads of the cloud's list of hosts.
    pub directory_poll: Duration,
    /// Time without a message from an upstream after which it gets no new requests.
    pub upstream_silence: Duration,
    /// Time before a reclaim notice expires at which requests are handed over.
    pub hand_over_margin: Duration,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not TOML or holds invalid settings; all of
    /// them are reported together.
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
            log_level: s.one_of("log_level", &LOG_LEVELS, LevelFilter::Info),
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

/// Parses `keys`, a list of `NAME:SHA256`.
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
