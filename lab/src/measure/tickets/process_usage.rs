//! Resource usage of this process, read from `/proc`.

use std::time::Duration;

const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;

/// User and system CPU time so far.
pub(super) fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Skips the command name in parentheses, which may contain spaces.
    let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Resident memory in bytes.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Number of open file descriptors.
pub(super) fn open_files() -> usize {
    std::fs::read_dir("/proc/self/fd").map(Iterator::count).unwrap_or(0)
}
