//! How often processes report to the holder of the lease.

/// Every how many heartbeats the holder is told of usage at the longest: a window is
/// reported seconds after its end, and a report may be lost.
const LONGEST: usize = 8;

/// Returns every how many heartbeats each of so many processes reports its usage to
/// the holder of the lease, where each heartbeat goes to `fan_out` others. So the
/// holder hears at most twice as many as any process. On a small host it could not hear
/// the reports of all processes each time, and windows of usage would lack requests.
pub fn beats_a_report(processes: usize, fan_out: usize) -> u32 {
    processes.div_ceil(fan_out.max(1)).clamp(1, LONGEST) as u32
}
