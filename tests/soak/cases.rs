//! Seeds that every run of the soak test includes: each tests a kind of fault, or failed before.

/// A seed that every test run includes.
pub struct Case {
    pub seed: u64,
    pub description: &'static str,
    /// Whether upstreams restart under the same id.
    pub restarts: bool,
    /// Whether a caller sends requests that crash upstreams, and how upstreams are reached.
    pub crashing: Crashing,
    /// Whether the store stops answering for a while.
    pub store_stalls: bool,
    /// Whether the store returns from copies.
    pub store_returns: bool,
    /// Whether upstreams announce rate limits, leaving and cooldowns in their responses.
    pub signals: bool,
    /// Whether gateways are cut off from all upstreams for a while.
    pub cuts: bool,
    /// Whether answers of upstreams have no framing for a while, and some end early.
    pub unframed: bool,
    /// Whether engines of two software versions serve side by side.
    pub versions: bool,
    /// Whether a caller sends requests with parts of prompts that crash engines.
    pub crashing_parts: bool,
    /// Whether plain upstreams fall over when they reject too many requests.
    pub brittle: bool,
    /// Whether crowds of clients hold on to memory and connections of the gateways.
    pub crowds: bool,
}

impl Case {
    /// Returns whether gateways connect to upstreams without proxies.
    pub fn is_direct(&self) -> bool {
        let needs_direct = self.signals || self.cuts || self.crashing_parts || self.brittle;
        self.crashing == Crashing::Direct || needs_direct
    }
}

/// Whether a caller sends requests that crash upstreams, and how upstreams are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crashing {
    /// No caller does.
    No,
    /// One caller does, and gateways connect to upstreams directly.
    Direct,
    /// One caller does, and gateways connect through proxies that hide a crash: it shows only
    /// when the upstream starts again.
    Hidden,
}

/// No faults but those of every run.
const UNDISTURBED: Case = Case {
    seed: 0,
    description: "",
    restarts: false,
    crashing: Crashing::No,
    store_stalls: false,
    store_returns: false,
    signals: false,
    cuts: false,
    unframed: false,
    versions: false,
    crashing_parts: false,
    brittle: false,
    crowds: false,
};

pub const CASES: [Case; 24] = [
    Case { seed: 1, description: "a short run", ..UNDISTURBED },
    Case {
        seed: 2002,
        description: "a signal right after the start terminated the process",
        ..UNDISTURBED
    },
    Case {
        seed: 3,
        description: "upstreams restart under the same id",
        restarts: true,
        ..UNDISTURBED
    },
    Case {
        seed: 20_263_207,
        description: "requests that all callers send were quarantined",
        restarts: true,
        crashing: Crashing::Hidden,
        ..UNDISTURBED
    },
    Case {
        seed: 20_262_212,
        description: "connection breaks before a restart were counted as a crash of the upstream",
        restarts: true,
        crashing: Crashing::Hidden,
        ..UNDISTURBED
    },
    Case {
        seed: 4_120_101,
        description: "all engines crashed at once, and requests that all callers send were refused for an hour",
        restarts: true,
        crashing: Crashing::Direct,
        ..UNDISTURBED
    },
    Case {
        seed: 4_120_302,
        description: "the same, with more crashes that no request caused",
        restarts: true,
        crashing: Crashing::Direct,
        ..UNDISTURBED
    },
    Case {
        seed: 4,
        description: "requests that crash upstreams",
        restarts: true,
        crashing: Crashing::Direct,
        ..UNDISTURBED
    },
    Case {
        seed: 5,
        description: "the store stops answering",
        restarts: true,
        store_stalls: true,
        ..UNDISTURBED
    },
    Case {
        seed: 38,
        description: "upstreams announce limits, leaving and cooldowns",
        store_stalls: true,
        signals: true,
        ..UNDISTURBED
    },
    Case {
        seed: 3_902_004,
        description: "lost responses were counted as having informed the gateways",
        store_stalls: true,
        signals: true,
        ..UNDISTURBED
    },
    Case {
        seed: 6,
        description: "gateways are cut off from all upstreams",
        restarts: true,
        cuts: true,
        ..UNDISTURBED
    },
    Case {
        seed: 7,
        description: "cuts beside requests that crash upstreams and a store that stops answering",
        restarts: true,
        crashing: Crashing::Direct,
        store_stalls: true,
        cuts: true,
        ..UNDISTURBED
    },
    Case {
        seed: 8,
        description: "answers without framing, some of which upstreams end early",
        unframed: true,
        restarts: true,
        ..UNDISTURBED
    },
    Case {
        seed: 5_300_003,
        description: "a stream without framing that ended before its first event was passed on",
        restarts: true,
        crashing: Crashing::Direct,
        store_stalls: true,
        unframed: true,
        ..UNDISTURBED
    },
    Case {
        seed: 9,
        description: "engines of two versions serve side by side",
        crashing: Crashing::Direct,
        versions: true,
        ..UNDISTURBED
    },
    Case {
        seed: 10,
        description: "parts of prompts that crash engines",
        crashing_parts: true,
        restarts: true,
        ..UNDISTURBED
    },
    Case {
        seed: 11,
        description: "crashing parts and requests, unframed answers, a store that stops answering",
        crashing: Crashing::Direct,
        crashing_parts: true,
        store_stalls: true,
        unframed: true,
        ..UNDISTURBED
    },
    Case { seed: 12, description: "brittle upstreams", brittle: true, ..UNDISTURBED },
    Case {
        seed: 13,
        description: "brittle upstreams that start again, cuts, a store that stops answering",
        brittle: true,
        restarts: true,
        cuts: true,
        store_stalls: true,
        ..UNDISTURBED
    },
    Case {
        seed: 14,
        description: "the store returns from copies",
        store_returns: true,
        ..UNDISTURBED
    },
    Case {
        seed: 15,
        description: "returns beside crashing requests, restarts and a store that stops answering",
        store_returns: true,
        restarts: true,
        crashing: Crashing::Direct,
        store_stalls: true,
        ..UNDISTURBED
    },
    Case {
        seed: 16,
        description: "crowds that hold on to memory and connections",
        crowds: true,
        restarts: true,
        ..UNDISTURBED
    },
    Case {
        seed: 17,
        description: "crowds beside cuts, unframed answers and a store that stops answering",
        crowds: true,
        restarts: true,
        cuts: true,
        unframed: true,
        store_stalls: true,
        ..UNDISTURBED
    },
];
