//! Processes on a few hosts that share a lease, in simulated time, on the product's own `Lease` and
//! `LeaseView`. Whatever the order of their steps, the rules on holders must hold.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tackhollow::{
    control::{HeardClaim, Lease, LeaseAction, LeaseRow, LeaseTiming},
    gateway::board::{LeaseView, OwnLease},
};

/// Time within which holders may not act alternately.
pub const BOUND: Duration = Duration::from_millis(3_000);
const TIMING: LeaseTiming =
    LeaseTiming { ttl: Duration::from_millis(3_200), margin: Duration::from_millis(700) };
/// Simulated time of [`Step::Pass`].
const PASS: Duration = Duration::from_millis(800);
/// Fencing tokens that each era of the table reserves.
const TOKENS_PER_ERA: u64 = 1_000;

/// Index of a host.
pub type Host = usize;

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The process reads the row, writes it if it may, and acts if it holds the lease.
    Poll(Host),
    /// The same, but the answer to its write is lost.
    PollUnanswered(Host),
    /// The process reads the row; its write is delayed on its way, and gets no answer.
    PollLate(Host),
    /// The process acts, if it holds the lease.
    Act(Host),
    /// The process gives the lease back.
    Release(Host),
    /// The process gives the lease back, and the write is lost.
    ReleaseLost(Host),
    /// The process gives the lease back, and the write is delayed on its way.
    ReleaseLate(Host),
    /// The oldest delayed write arrives.
    Arrive,
    /// The process stops acting under its lease and writes nothing.
    GiveUp(Host),
    /// The process hears the claims of all others.
    Hear(Host),
    /// The process is killed, and another one starts on its host.
    Restart(Host),
    /// The table is copied.
    Copy,
    /// The table returns from its copy.
    Return,
    /// Time passes.
    Pass,
}

impl Step {
    /// Returns all steps of `hosts` hosts, without those of copies.
    pub fn all(hosts: usize) -> Vec<Self> {
        let of_host = |h| {
            [
                Self::Poll(h),
                Self::PollUnanswered(h),
                Self::Act(h),
                Self::Release(h),
                Self::ReleaseLost(h),
                Self::PollLate(h),
                Self::ReleaseLate(h),
                Self::GiveUp(h),
                Self::Hear(h),
                Self::Restart(h),
            ]
        };
        (0..hosts).flat_map(of_host).chain([Self::Arrive, Self::Pass]).collect()
    }
}

/// What becomes of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    /// It is performed, and its sender gets the answer.
    Answered,
    /// It is performed, and its sender gets no answer.
    Unanswered,
    /// It is performed later, if its condition holds then.
    Delayed,
    /// It is not performed.
    Lost,
}

/// A process that wants the lease.
#[derive(Clone, Debug)]
struct Process {
    name: String,
    lease: Lease,
    view: LeaseView,
}

impl Process {
    fn start(host: Host, incarnation: usize) -> Self {
        let (host, name) = (format!("h{host}"), format!("h{host}.{incarnation}"));
        let lease = Lease::new(name.clone(), TIMING).of_host(host);
        Self { name, lease, view: LeaseView::default() }
    }
}

/// An act of a holder, as its receiver sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Act {
    host: Host,
    fence: u64,
    at: Instant,
}

/// The table and the processes.
#[derive(Clone, Debug)]
pub struct World {
    now: Instant,
    era: u64,
    revision: u64,
    row: Option<(u64, LeaseRow)>,
    copy: Option<(u64, LeaseRow)>,
    /// Writes on their way, with the versions on which they are conditional.
    delayed: VecDeque<(u64, LeaseRow)>,
    processes: Vec<Process>,
    restarts: usize,
    acts: Vec<Act>,
}

impl World {
    /// Creates a table without a row and one process on each host.
    pub fn new(hosts: usize) -> Self {
        let processes = (0..hosts).map(|h| Process::start(h, 0)).collect();
        Self {
            now: Instant::now(),
            era: 1,
            revision: 0,
            row: None,
            copy: None,
            delayed: VecDeque::new(),
            processes,
            restarts: 0,
            acts: Vec::new(),
        }
    }

    /// Returns how often holders acted.
    pub fn acts(&self) -> usize {
        self.acts.len()
    }

    /// Carries a step out; returns the rule that it broke, if any.
    pub fn take(&mut self, step: Step) -> Option<String> {
        match step {
            Step::Poll(h) => return self.poll(h, Write::Answered),
            Step::PollUnanswered(h) => return self.poll(h, Write::Unanswered),
            Step::PollLate(h) => return self.poll(h, Write::Delayed),
            Step::Act(h) => return self.act(h),
            Step::Release(h) => self.release(h, Write::Unanswered),
            Step::ReleaseLost(h) => self.release(h, Write::Lost),
            Step::ReleaseLate(h) => self.release(h, Write::Delayed),
            Step::Arrive => {
                if let Some((version, row)) = self.delayed.pop_front() {
                    self.write(version, row);
                }
            }
            Step::GiveUp(h) => {
                self.processes[h].lease.give_up();
                self.processes[h].view.give_up();
            }
            Step::Hear(h) => self.hear(h),
            Step::Restart(h) => {
                self.restarts += 1;
                self.processes[h] = Process::start(h, self.restarts);
            }
            Step::Copy => self.copy = self.row.clone(),
            // The lease's row is as old as the site, so that every copy has one.
            Step::Return if self.copy.is_none() => {}
            Step::Return => {
                self.era += 1;
                self.revision += 1;
                let revision = self.revision;
                self.row = self.copy.clone().map(|(_, row)| (revision, row));
            }
            Step::Pass => self.now += PASS,
        }
        None
    }

    /// Returns all that later steps depend on, with times relative to now, so that equal worlds
    /// that came about in different ways are recognised.
    pub fn key(&self) -> String {
        let ago = |at: Instant| format!("{:?}", self.now.saturating_duration_since(at));
        let acts = self.acts.iter().filter(|a| ago(a.at) <= ago(self.now - BOUND));
        let acts: Vec<String> =
            acts.map(|a| format!("{}:{}:{}", a.host, a.fence, ago(a.at))).collect();
        let table = (&self.row, &self.delayed);
        let text = format!("{table:?} {:?} {acts:?}", self.processes);
        relative_times(&text, &format!("{:?}", self.now))
    }

    fn poll(&mut self, host: Host, write: Write) -> Option<String> {
        let now = self.now;
        let process = &mut self.processes[host];
        let version = self.row.as_ref().map_or(0, |(version, _)| *version);
        process.lease.observe(version, self.row.clone().map(|(_, row)| row), now);
        process.lease.raise_fences(self.era * TOKENS_PER_ERA);
        let LeaseAction::Write { row_version, row } = process.lease.next_action(now) else {
            return self.act(host);
        };
        assert_eq!(row_version, version, "the write is conditional on the row as it is");
        if write == Write::Delayed {
            self.delayed.push_back((version, row));
            return self.act(host);
        }
        self.revision += 1;
        self.row = Some((self.revision, row.clone()));
        if write == Write::Answered {
            let (fence, renewal) = (row.fence, row.renewal);
            process.lease.written(self.revision, row, now, now);
            let is_over = process.view.own.is_some_and(|o| o.fence == fence && o.given_up);
            if is_over {
                process.lease.give_up();
            } else {
                let until = now + TIMING.ttl.saturating_sub(TIMING.margin);
                let own = OwnLease { fence, renewal, sent: now, until, given_up: false };
                process.view.own = Some(own);
            }
        }
        self.act(host)
    }

    fn release(&mut self, host: Host, write: Write) {
        let process = &mut self.processes[host];
        process.view.give_up();
        let Some((version, row)) = process.lease.release(self.now) else {
            return;
        };
        match write {
            Write::Answered | Write::Unanswered => self.write(version, row),
            Write::Delayed => self.delayed.push_back((version, row)),
            Write::Lost => {}
        }
    }

    /// Writes the row if it still has this version.
    fn write(&mut self, version: u64, row: LeaseRow) {
        if self.row.as_ref().map_or(0, |(v, _)| *v) == version {
            self.revision += 1;
            self.row = Some((self.revision, row));
        }
    }

    fn hear(&mut self, host: Host) {
        let now = self.now;
        let claims: Vec<HeardClaim> = self
            .processes
            .iter()
            .enumerate()
            .filter(|(h, _)| *h != host)
            .filter_map(|(_, p)| {
                let claim = p.view.claim(now)?;
                Some(HeardClaim { holder: p.name.clone(), claim, at: now })
            })
            .collect();
        claims.into_iter().for_each(|c| self.processes[host].lease.hear(c));
    }

    fn act(&mut self, host: Host) -> Option<String> {
        let fence = self.processes[host].view.may_act(self.now)?;
        self.acts.push(Act { host, fence, at: self.now });
        self.broken_rule()
    }

    /// Returns the rule that the newest act broke.
    fn broken_rule(&self) -> Option<String> {
        let (last, before) = self.acts.split_last()?;
        if before.iter().any(|a| a.fence == last.fence && a.host != last.host) {
            return Some(format!("two holders act with token {}", last.fence));
        }
        if before.iter().any(|a| a.fence > last.fence) {
            return Some(format!("token {} after a higher one", last.fence));
        }
        let is_recent = |a: &&Act| last.at.duration_since(a.at) <= BOUND;
        let mut others = before.iter().filter(is_recent).skip_while(|a| a.host != last.host);
        let other = others.find(|a| a.host != last.host)?;
        Some(format!(
            "host {} acts, then {}, then {0} again within the bound",
            last.host, other.host
        ))
    }
}

/// Replaces each `Instant` in a debug text by its distance from `now`.
fn relative_times(text: &str, now: &str) -> String {
    let now = nanoseconds(now).expect("the debug text of an instant");
    let mut parts = text.split("Instant {");
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (instant, rest) = part.split_once('}').expect("a closing brace");
        let at = nanoseconds(instant).expect("the debug text of an instant");
        out.push_str(&format!("{}{rest}", now - at));
    }
    out
}

fn nanoseconds(instant: &str) -> Option<i128> {
    let mut fields = instant.split(',').filter_map(|f| {
        let digits: String = f.chars().filter(char::is_ascii_digit).collect();
        digits.parse::<i128>().ok()
    });
    Some(fields.next()? * 1_000_000_000 + fields.next()?)
}
