//! The cloud: hosts, prices, reclaims, and a list that lags.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use tackhollow::{
    cloud::{HostEntry, HostList, HostStart, HostState},
    time::unix_millis,
};

/// Old lists kept, for the lag.
const KEPT: usize = 10_000;

/// The cloud.
#[derive(Debug)]
pub struct Cloud {
    lag: Duration,
    hosts: Vec<HostEntry>,
    standby: Vec<HostEntry>,
    started: HashMap<String, HostEntry>,
    revision: u64,
    old: VecDeque<(Instant, u64, Vec<HostEntry>)>,
}

impl Cloud {
    /// Creates a cloud whose list is `lag` old.
    pub fn new(lag: Duration) -> Self {
        let (hosts, standby) = (Vec::new(), Vec::new());
        let (started, old) = (HashMap::new(), VecDeque::new());
        Self { lag, hosts, standby, started, revision: 1, old }
    }

    /// Adds hosts, or replaces those of the same names.
    pub fn register(&mut self, hosts: Vec<HostEntry>) {
        for host in hosts {
            self.hosts.retain(|h| h.id != host.id);
            self.hosts.push(host);
        }
        self.changed();
    }

    /// Adds hosts that can be started.
    pub fn add_standby(&mut self, hosts: Vec<HostEntry>) {
        self.standby.extend(hosts);
    }

    /// Removes a host.
    pub fn remove(&mut self, id: &str) {
        self.hosts.retain(|h| h.id != id);
        self.changed();
    }

    /// Starts a host; the same token starts one at most.
    pub fn start(&mut self, start: &HostStart) -> Option<HostEntry> {
        if let Some(host) = self.started.get(&start.token) {
            return Some(host.clone());
        }
        let fits = |h: &HostEntry| {
            h.role == start.role && h.class == start.class && h.data_centre == start.data_centre
        };
        let index = self.standby.iter().position(fits)?;
        let host = self.standby.remove(index);
        self.started.insert(start.token.clone(), host.clone());
        self.hosts.push(host.clone());
        self.changed();
        Some(host)
    }

    /// Gives notice to hosts. Returns them.
    pub fn reclaim(&mut self, target: &str, notice: Duration) -> Vec<HostEntry> {
        let at = unix_millis() + notice.as_millis() as u64;
        let mut reclaimed = Vec::new();
        for host in &mut self.hosts {
            if host.id == target || host.data_centre == target {
                host.state = HostState::Leaving;
                host.leaves_at_ms = Some(at);
                reclaimed.push(host.clone());
            }
        }
        self.changed();
        reclaimed
    }

    /// Returns the list of a data centre as it was a while ago.
    pub fn list(&self, data_centre: &str, known: u64) -> HostList {
        let until = Instant::now().checked_sub(self.lag);
        let old = self.old.iter().rev().find(|(at, ..)| until.is_some_and(|u| *at <= u));
        let Some((_, revision, hosts)) = old else {
            return HostList { revision: 0, hosts: Vec::new(), unchanged: false };
        };
        if *revision == known {
            return HostList { revision: known, hosts: Vec::new(), unchanged: true };
        }
        let hosts = hosts.iter().filter(|h| h.data_centre == data_centre).cloned().collect();
        HostList { revision: *revision, hosts, unchanged: false }
    }

    fn changed(&mut self) {
        self.revision += 1;
        self.old.push_back((Instant::now(), self.revision, self.hosts.clone()));
        if self.old.len() > KEPT {
            self.old.pop_front();
        }
    }
}
