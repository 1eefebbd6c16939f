//! What the operating system allows this process.

use std::fs;

use nix::sys::resource::{Resource, getrlimit};

/// Memory that is assumed where the system names none: that of a small host.
const DEFAULT_MEMORY_BYTES: usize = 120_000_000;
/// Descriptors that are assumed where the system names none: the usual limit of a process.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Returns the memory that the process may use: the host's, or less if a resource limit is lower.
pub fn memory_bytes() -> usize {
    let limits = [Resource::RLIMIT_DATA, Resource::RLIMIT_AS];
    let host = host_memory_bytes().unwrap_or(DEFAULT_MEMORY_BYTES);
    limits.into_iter().filter_map(limit).fold(host, usize::min)
}

/// Returns the number of descriptors that the process may have open.
pub fn descriptors() -> usize {
    limit(Resource::RLIMIT_NOFILE).unwrap_or(DEFAULT_DESCRIPTORS)
}

/// Returns a resource limit; `None` if it cannot be read.
fn limit(resource: Resource) -> Option<usize> {
    match getrlimit(resource) {
        Ok((soft, _hard)) => Some(usize::try_from(soft).unwrap_or(usize::MAX)),
        Err(e) => {
            log::warn!("the resource limit {resource:?} cannot be read: {e}");
            None
        }
    }
}

fn host_memory_bytes() -> Option<usize> {
    let text = match fs::read_to_string("/proc/meminfo") {
        Ok(text) => text,
        Err(e) => {
            log::warn!("the memory of the host cannot be read: {e}");
            return None;
        }
    };
    let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}
