//! Initialises the logger.
//!
//! There is one logger per operating system process. A repeated initialisation, as in the development program that runs
//! several members in one process, only changes its format and level.

use std::str::FromStr;
use std::sync::OnceLock;

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::{Config, Handle};
use parking_lot::Mutex;

const APPENDER_NAME: &str = "stdout";

/// Log targets of this system, which follow the configured level. Other targets log warnings at most.
const OWN_TARGETS: [&str; 11] = [
    "guava",
    "guava_core",
    "guava_objects",
    "guava_engine",
    "guava_node",
    "guava_router",
    "guava_controller",
    "guava_admin",
    "guava_dev",
    "guava_load",
    "guava_standin",
];

const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {K(event)(-)} {K(member)(-)} request={K(request)(-)} model={K(model)(-)} {m}{n}";

/// Format of log lines on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per record.
    Text,
    /// One JSON object per line and record.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("unknown log format {text:?}")),
        }
    }
}

#[derive(Debug)]
struct ActiveLogger {
    handle: Handle,
    format: LogFormat,
    level: LevelFilter,
}

static ACTIVE_LOGGER: OnceLock<Option<Mutex<ActiveLogger>>> = OnceLock::new();

/// Installs the logger, or changes its format and level when it is installed already.
///
/// Has no effect when another logger is installed, for example by a test harness.
pub fn init(level: LevelFilter, format: LogFormat) {
    let active = ACTIVE_LOGGER.get_or_init(|| {
        let handle = log4rs::init_config(config(level, format)).ok()?;
        Some(Mutex::new(ActiveLogger { handle, format, level }))
    });
    if let Some(active) = active {
        active.lock().apply(level, format);
    }
}

/// Changes the level and returns the previous one; `None` when [`init`] has not installed the logger.
pub fn set_level(level: LevelFilter) -> Option<LevelFilter> {
    let mut active = ACTIVE_LOGGER.get()?.as_ref()?.lock();
    let previous = active.level;
    let format = active.format;
    active.apply(level, format);
    Some(previous)
}

impl ActiveLogger {
    fn apply(&mut self, level: LevelFilter, format: LogFormat) {
        if (self.level, self.format) == (level, format) {
            return;
        }
        self.handle.set_config(config(level, format));
        self.level = level;
        self.format = format;
    }
}

fn config(level: LevelFilter, format: LogFormat) -> Config {
    let encoder: Box<dyn Encode> = match format {
        LogFormat::Text => Box::new(PatternEncoder::new(TEXT_PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let loggers = OWN_TARGETS.map(|it| Logger::builder().build(it, level));
    let root = Root::builder()
        .appender(APPENDER_NAME)
        .build(level.min(LevelFilter::Warn));
    let (config, _) = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, Box::new(console)))
        .loggers(loggers)
        .build_lossy(root);
    config
}
