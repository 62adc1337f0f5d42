//! Log of the process: JSON lines on standard output that never block it.
//!
//! Lines go through a bounded queue to a thread of their own. When the reader of standard output is slow or gone, lines
//! are dropped and counted. Under load lines are sampled before that (see [`crate::sampling`]).

use std::io::Write;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use guava_core::events::Event;
use log::{LevelFilter, Record};
use log4rs::Config;
use log4rs::append::Append;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::{Encode, writer::simple::SimpleWriter};
use parking_lot::Mutex;

use crate::sampling::Sampler;
use crate::state::now;

/// Lines that wait for the reader; a line has some 200 bytes, so the queue stays under 1 MB.
const QUEUED_LINES: usize = 4_096;
/// Fields of a line: time, level, event, VM, request and details.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {K(event)(-)} vm={K(vm)(-)} request={K(request)(-)} {m}{n}";

/// Lines dropped since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines dropped since the start.
static DROPPED_IN_ALL: AtomicU64 = AtomicU64::new(0);
static SAMPLER: LazyLock<Mutex<Sampler>> = LazyLock::new(Mutex::default);
static VM: std::sync::OnceLock<String> = std::sync::OnceLock::new();

/// Logs a numbered event: `log_event!(event, request, "format", arguments)`.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $request:expr, $($detail:tt)+) => {{
        let event: guava_core::events::Event = $event;
        $crate::logging::emit(event, $request, format_args!($($detail)+));
    }};
}

/// Writes one event.
pub fn emit(event: Event, request: &str, detail: std::fmt::Arguments<'_>) {
    crate::metrics::count(event);
    let (is_written, left_out) = {
        let mut sampler = SAMPLER.lock();
        let left_out = sampler.roll(now());
        (sampler.admit(event, request), left_out)
    };
    for (kind, count) in left_out {
        write(Event::LinesLeftOut, "-", format_args!("kind={kind} count={count}"));
    }
    if is_written {
        write(event, request, detail);
    }
}

fn write(event: Event, request: &str, detail: std::fmt::Arguments<'_>) {
    let vm = VM.get().map_or("-", String::as_str);
    let number = event.to_string();
    log::log!(
        target: "guava_entry",
        event.level(),
        event = number.as_str(), vm = vm, request = request;
        "{} {detail}", event.text()
    );
}

/// Lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED_IN_ALL.load(Ordering::Relaxed)
}

/// Starts the log.
pub fn init(vm: &str, level: LevelFilter) {
    // A second start, as in tests, keeps the first name.
    let _ = VM.set(vm.to_owned());
    let (tx, rx) = sync_channel(QUEUED_LINES);
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&rx, &mut std::io::stdout()));
    if spawned.is_err() {
        return;
    }
    let appender = QueueAppender {
        tx,
        encoder: PatternEncoder::new(PATTERN),
    };
    let built = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .logger(Logger::builder().build("guava_entry", level))
        .build(Root::builder().appender("stdout").build(level.min(LevelFilter::Warn)));
    if let Ok(config) = built {
        // Fails only when a logger is installed already, which then keeps the lines.
        let _ = log4rs::init_config(config);
    }
}

#[derive(Debug)]
struct QueueAppender {
    tx: SyncSender<Vec<u8>>,
    encoder: PatternEncoder,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.tx.try_send(line.0).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            DROPPED_IN_ALL.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(rx: &Receiver<Vec<u8>>, out: &mut dyn Write) {
    while let Ok(line) = rx.recv() {
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // A reader that is gone must not end the process.
            let _ = writeln!(out, "{dropped} log lines were dropped because the reader is slow");
        }
        let _ = out.write_all(&line);
    }
}
