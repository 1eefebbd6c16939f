//! How often processes report to the holder of the lease.

/// Every how many heartbeats the holder is told of usage at the longest: a window is
/// reported 3.5 s after its end, and a report may be lost.
const LONGEST: usize = 8;

/// Returns every how many heartbeats each of so many processes reports its usage to
/// the holder of the lease, where each heartbeat goes to `fan_out` others. So the
/// holder hears at most twice as many as any process. With 77 processes that all
/// reported each time, a holder of 0.12 cores behind 10 Mbit/s heard four times as many
/// as the others, 2.4 kB each, and three windows of usage lacked 8 to 16 in 100
/// requests.
pub fn beats_a_report(processes: usize, fan_out: usize) -> u32 {
    processes.div_ceil(fan_out.max(1)).clamp(1, LONGEST) as u32
}
