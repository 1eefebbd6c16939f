//! A child process of a test.

use std::{
    ffi::OsStr,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;

/// A child process, killed when dropped.
pub struct Proc {
    child: Child,
    addresses: Value,
}

impl Proc {
    /// Starts a program and reads the JSON object of its listen addresses from the first line of
    /// its standard output.
    pub fn start<S: AsRef<OsStr>>(program: &str, args: impl IntoIterator<Item = S>) -> Self {
        let mut command = Command::new(program);
        command.args(args).stdout(Stdio::piped());
        if std::env::var_os("TACKHOLLOW_TEST_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command.spawn().expect("the program starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("the program prints its addresses");
        let addresses = serde_json::from_str(&line).expect("the addresses are JSON");
        Self { child, addresses }
    }

    pub fn http(&self) -> SocketAddr {
        self.address("http")
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name].as_str().expect("a socket address").parse().expect("a socket address")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process exists");
    }

    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits by itself; panics if it does not within the given time.
    pub fn wait(&mut self, within: Duration) -> ExitStatus {
        let deadline = Instant::now() + within;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child of this one")
            {
                return status;
            }
            assert!(Instant::now() < deadline, "the process did not exit in time");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the largest memory that the process of a gateway has used so far.
pub fn peak_memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Returns the number of descriptors that a process has open.
pub fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).expect("the process runs").count()
}
