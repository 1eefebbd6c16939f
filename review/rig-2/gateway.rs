//! The project's gateways, started as the deploy file says.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command},
    thread,
    time::{Duration, Instant},
};

use crate::http::get_status;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/tackhollow-gateway";
/// First of the five ports of a gateway, on a loopback address of its own.
const FIRST_PORT: u16 = 7_001;
/// Time in which a started gateway has to be ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// A gateway, whose process is started again when it has ended.
#[derive(Debug)]
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts a gateway at `ip`, with the settings that the deploy template gives a machine of the
    /// smaller deployments.
    pub fn start(
        dir: &Path,
        number: usize,
        (ip, zone): (&str, &str),
        store: SocketAddr,
        api: SocketAddr,
        memory_mb: u64,
    ) -> io::Result<Self> {
        let address = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        for port in FIRST_PORT..FIRST_PORT + 5 {
            drop(TcpListener::bind(address(port))?);
        }
        let name = format!("frontend-{number}");
        let at = |n: u16| address(FIRST_PORT + n);
        let text = format!(
            "id = \"{name}\"\ndata_centre = \"{zone}\"\nlog_level = \"warn\"\n\
             off = [\"admission\", \"engine_memory\", \"request_costs\"]\n\
             [listen]\ncallers = \"{}\"\ndirectory = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\n\
             heartbeats = \"{}\"\n[platform]\nstore = \"{store}\"\napi = \"{api}\"\n\
             [host]\nmemory_mb = {memory_mb}\ndescriptors = 4100\n\
             [bounds]\ngrace_s = 8\nretry_ratio = 0.2\nretry_surplus = 58\nretry_window_s = 10\n\
             quota_window_s = 8\nquota_slack = 190000\nusage_window_s = 5\nlease_ms = 3000\n\
             directory_ttl_s = 5\n[load]\ncontrol = \"on\"\n",
            at(0),
            at(1),
            at(2),
            at(3),
            at(4)
        );
        let (settings, log) = (dir.join(format!("{name}.toml")), dir.join(format!("{name}.log")));
        fs::write(&settings, text)?;
        let child = spawn(&settings, &log)?;
        Ok(Self { name, callers: at(0), readiness: at(2), settings, log, child })
    }

    /// Waits until the gateway is ready; returns whether it is.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until {
            if get_status(self.readiness, "/ready") == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the anonymous memory of the process in KiB, which leaves out its program file.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
        line.and_then(|l| l.trim().strip_suffix(" kB")?.trim().parse().ok()).unwrap_or(0)
    }

    /// Returns the lines of the log that tell of panics.
    pub fn panics(&self) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|l| l.contains("panicked at")).count()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts a new process; the one before must have ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .arg("--settings")
        .arg(settings)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
