//! Processor time, memory and load of processes.

use std::fs;
use std::time::Duration;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use rustix::time::{ClockId, clock_gettime};

use crate::error::BenchError;

/// Length of a tick in `/proc/<pid>/stat`; fixed by the kernel's interface.
const TICK_MS: u64 = 10;
const PAGE_BYTES: u64 = 4096;

/// Raises this process's soft limit of open files to `needed`; processes that it starts inherit the limit.
///
/// # Errors
///
/// Fails when the hard limit is lower or the system does not allow it.
pub fn allow_open_files(needed: u64) -> Result<(), BenchError> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|it| it >= needed) {
        return Ok(());
    }
    let raised = Rlimit {
        current: Some(needed),
        ..limit
    };
    setrlimit(Resource::Nofile, raised).map_err(|error| BenchError::OpenFiles(needed, error.to_string()))
}

fn clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Processor time of this thread.
pub fn thread_cpu() -> Duration {
    clock(ClockId::ThreadCPUTime)
}

/// Processor time of this process.
pub fn own_cpu() -> Duration {
    clock(ClockId::ProcessCPUTime)
}

/// Processor time of a process, or zero when it has ended.
pub fn cpu_of(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may contain spaces; user and system time are the 12th and 13th field after it.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = rest.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|it| it.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * TICK_MS)
}

/// Time for which threads of a process were ready and waited for a processor.
pub fn run_queue_wait_of(pid: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let waits = tasks.filter_map(|it| {
        let text = fs::read_to_string(it.path().join("schedstat")).ok()?;
        text.split_whitespace().nth(1)?.parse::<u64>().ok()
    });
    Duration::from_nanos(waits.sum())
}

/// Resident memory of a process in bytes, or zero when it has ended.
pub fn resident_of(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Mean number of runnable processes of the machine over the last minute.
pub fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("unknown").to_owned()
}

/// Runs `work` and returns its value with the processor time of this thread in nanoseconds.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = thread_cpu();
    let value = work();
    (value, thread_cpu().saturating_sub(before).as_nanos() as f64)
}

/// Processor time of one of `count` calls in nanoseconds.
pub fn ns_per_call(count: u64, mut call: impl FnMut(u64)) -> f64 {
    let ((), ns) = timed(|| (0..count).for_each(&mut call));
    ns / count as f64
}
