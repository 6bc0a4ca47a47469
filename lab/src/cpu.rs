//! CPU time and memory of this process.

use std::time::Duration;

use rustix::param::clock_ticks_per_second;

/// User and system CPU time of this process so far, with the kernel's resolution of about 10 ms.
pub fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command name in parentheses may contain spaces; the fields after it do not.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
    let total = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
    Duration::from_secs_f64(total as f64 / clock_ticks_per_second() as f64)
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * rustix::param::page_size() as u64
}
