//! Log of the process: text lines on standard output, written without blocking the process.
//!
//! Lines pass through a bounded queue to a thread. If standard output is read too slowly or is closed, lines are
//! dropped and counted. Before that, lines are sampled under load (see [`crate::sampling`]).

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

/// Capacity of the queue in lines. A line has about 200 bytes, so the queue stays below 1 MB.
const QUEUED_LINES: usize = 4_096;
/// Time, level, event, VM, request, and the text with its details.
const LINE_PATTERN: &str =
    "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {K(event)(-)} vm={K(vm)(-)} request={K(request)(-)} {m}{n}";

/// Lines dropped since the last line that was written.
static DROPPED_SINCE_LAST_LINE: AtomicU64 = AtomicU64::new(0);
/// Lines dropped since the start of the process.
static DROPPED_TOTAL: AtomicU64 = AtomicU64::new(0);
static SAMPLER: LazyLock<Mutex<Sampler>> = LazyLock::new(Mutex::default);
static VM: std::sync::OnceLock<String> = std::sync::OnceLock::new();

/// Logs an event: `log_event!(event, request, "format", arguments)`. `request` is the id of the request, or `"-"`.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $request:expr, $($detail:tt)+) => {{
        let event: guava_core::events::Event = $event;
        $crate::logging::emit(event, $request, format_args!($($detail)+));
    }};
}

/// Counts an event and writes its line unless it is suppressed by sampling. `request` is `"-"` for events without a
/// request.
pub fn emit(event: Event, request: &str, detail: std::fmt::Arguments<'_>) {
    crate::metrics::count_event(event);
    let (is_written, suppressed) = {
        let mut sampler = SAMPLER.lock();
        let suppressed = sampler.roll_window(now());
        (sampler.admit(event, request), suppressed)
    };
    for (kind, count) in suppressed {
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

/// Returns the number of lines dropped since the start of the process.
pub fn dropped() -> u64 {
    DROPPED_TOTAL.load(Ordering::Relaxed)
}

/// Installs the logger and starts its thread. Before this call, events are counted but not written.
pub fn init(vm: &str, level: LevelFilter) {
    // A second call, as in tests, keeps the first name.
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
        encoder: PatternEncoder::new(LINE_PATTERN),
    };
    let built = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .logger(Logger::builder().build("guava_entry", level))
        .build(Root::builder().appender("stdout").build(level.min(LevelFilter::Warn)));
    if let Ok(config) = built {
        // Fails only if a logger is already installed, which then receives the lines.
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
            DROPPED_SINCE_LAST_LINE.fetch_add(1, Ordering::Relaxed);
            DROPPED_TOTAL.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(rx: &Receiver<Vec<u8>>, out: &mut dyn Write) {
    while let Ok(line) = rx.recv() {
        let dropped = DROPPED_SINCE_LAST_LINE.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // A closed standard output must not end the process.
            let _ = writeln!(out, "{dropped} log lines were dropped because the reader is slow");
        }
        let _ = out.write_all(&line);
    }
}
