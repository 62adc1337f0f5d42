//! Processor time and memory of processes, and the load of the machine, on Linux.

use std::fs;
use std::time::Duration;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use rustix::time::{ClockId, clock_gettime};

use crate::error::BenchError;

/// Tick of the processor times in `/proc/<pid>/stat`, fixed by the kernel interface.
const TICK_MS: u64 = 10;
const PAGE_BYTES: u64 = 4096;

/// Raises this process's soft limit of open files to `needed` if it is lower. Child processes inherit the limit.
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

/// User and system processor time that the calling thread has used.
pub fn thread_cpu_time() -> Duration {
    clock(ClockId::ThreadCPUTime)
}

/// User and system processor time that all threads of this process have used.
pub fn process_cpu_time() -> Duration {
    clock(ClockId::ProcessCPUTime)
}

/// User and system processor time that a process has used, in steps of 10 ms; zero when it has ended.
pub fn cpu_time_of(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may contain spaces; user and system time are the 12th and 13th field after it.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|it| it.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * TICK_MS)
}

/// Time for which threads of a process were runnable but waiting for a processor, summed over its live threads; zero
/// when it has ended.
pub fn run_queue_wait_of(pid: u32) -> Duration {
    let threads = fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let waits = threads.filter_map(|it| {
        let text = fs::read_to_string(it.path().join("schedstat")).ok()?;
        text.split_whitespace().nth(1)?.parse::<u64>().ok()
    });
    Duration::from_nanos(waits.sum())
}

/// Resident memory of a process in bytes, or zero when it has ended.
pub fn resident_bytes_of(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// One-minute load average of the machine, as text; `unknown` when it cannot be read.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("unknown").to_owned()
}

/// Runs `work` and returns its value with the processor time that this thread spent on it, in nanoseconds.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = thread_cpu_time();
    let value = work();
    (value, thread_cpu_time().saturating_sub(before).as_nanos() as f64)
}

/// Mean processor time per call over `count` calls on this thread, in nanoseconds. Calls get their index, from zero.
pub fn ns_per_call(count: u64, mut call: impl FnMut(u64)) -> f64 {
    let ((), ns) = timed(|| (0..count).for_each(&mut call));
    ns / count as f64
}
