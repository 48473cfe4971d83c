//! The `cpu` module provides the CPU time, the memory and the limits of this process.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Returns the CPU time so far of all threads whose name begins with `prefix`.
#[must_use]
pub fn time_of(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let nanos = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        // `stat` counts in steps of 10 ms, `schedstat` in nanoseconds.
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos: u64 = text.split_whitespace().next()?.parse().ok()?;
        name.starts_with(prefix).then_some(nanos)
    });
    Duration::from_nanos(nanos.sum())
}

/// Returns the CPU time so far of all threads of this process.
#[must_use]
pub fn time() -> Duration {
    time_of("")
}

/// Returns the resident memory of this process in bytes.
#[must_use]
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Raises the soft limit of open files as far as the hard limit allows, and returns it.
#[must_use]
pub fn raise_open_files() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        maximum: limit.maximum,
    };
    let current = match setrlimit(Resource::Nofile, raised) {
        Ok(()) => limit.maximum,
        Err(_) => limit.current,
    };
    current.unwrap_or(u64::MAX)
}

/// Returns the mean time of one call in nanoseconds; the first tenth of the calls warms the caches.
pub fn nanos_of<T>(calls: u32, mut call: impl FnMut(u32) -> T) -> f64 {
    for number in 0..calls / 10 {
        black_box(call(number));
    }
    let begun = Instant::now();
    for number in 0..calls {
        black_box(call(number));
    }
    begun.elapsed().as_secs_f64() * 1e9 / f64::from(calls.max(1))
}
