//! How often processes report usage to the holder of the lease.

use std::time::Duration;

/// Upper limit of the heartbeats between two reports: a window is reported some seconds after
/// its end, and a report may be lost.
const MAX_HEARTBEATS: usize = 8;

/// Time within which all processes learn who holds the lease.
const HOLDER_DISCOVERY_TIME: Duration = Duration::from_millis(600);
/// Number of reports of each process that a new holder waits for, since one may be lost.
const AWAITED_REPORTS: u32 = 2;

/// Returns how long a new holder of the lease waits before it reports usage. The first report
/// of a window is final, and before a process holds the lease it receives the counts of only a
/// few others.
pub fn wait_after_takeover(processes: usize, fan_out: usize, period: Duration) -> Duration {
    HOLDER_DISCOVERY_TIME + period * heartbeats_per_report(processes, fan_out) * AWAITED_REPORTS
}

/// Returns the number of heartbeats for each usage report to the holder of the lease, where
/// each heartbeat goes to `fan_out` of `processes` processes. With it the holder receives at
/// most twice as many messages as any other process. On a small host it could not receive a
/// report of every process with every heartbeat, and usage windows would lack requests.
pub fn heartbeats_per_report(processes: usize, fan_out: usize) -> u32 {
    processes.div_ceil(fan_out.max(1)).clamp(1, MAX_HEARTBEATS) as u32
}
