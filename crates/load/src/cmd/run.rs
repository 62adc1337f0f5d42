//! The `guava-load run` command.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use guava_core::config::Object;
use guava_load::error::LoadError;
use guava_load::report::{Limit, Report};
use guava_load::{client, trace};

use crate::util;

/// Long help text.
pub const USAGE: &str = "\
Sends each request of a trace to the routers at its scheduled time and prints start latency, idle accelerator time,
worst-served organisation and refusals within the rate.

Usage:
    guava-load run --router 127.0.0.1:7100 --keys keys.json --config examples/welsh.json trace.jsonl";

/// Arguments of `guava-load run`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Addresses of routers; requests are distributed over them in turn.
    #[arg(long = "router", env = "GUAVA_ROUTERS", value_delimiter = ',', required = true)]
    routers: Vec<SocketAddr>,
    /// JSON file that maps each organisation to its API key.
    #[arg(long, env = "GUAVA_LOAD_KEYS")]
    keys: PathBuf,
    /// JSON file of configuration objects with the rate and burst of each organisation. Without it no limits apply.
    #[arg(long)]
    config: Option<PathBuf>,
    /// Addresses whose `/metrics` report idle accelerator time.
    #[arg(long, value_delimiter = ',')]
    metrics: Vec<SocketAddr>,
    /// Trace file to send.
    trace: PathBuf,
}

/// Replays the trace and prints the report.
pub fn run(args: &Args) -> Result<(), LoadError> {
    let requests = trace::read(&args.trace)?;
    let keys: BTreeMap<String, String> = read_json(&args.keys)?;
    let limits = args.config.as_deref().map(read_limits).transpose()?.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(async {
        let idle_before = util::idle_seconds(&args.metrics).await;
        let samples = client::replay(&args.routers, &keys, &requests).await;
        let idle_after = util::idle_seconds(&args.metrics).await;
        let mut report = Report::new(&requests, &samples, &limits);
        let idle = idle_before.zip(idle_after).map(|(before, after)| after - before);
        report.idle_accelerator = idle.map(|seconds| Duration::from_secs_f64(seconds.max(0.0)));
        report
    });
    print!("{report}");
    Ok(())
}

fn read_limits(path: &Path) -> Result<BTreeMap<String, Limit>, LoadError> {
    let objects: Vec<Object> = read_json(path)?;
    let limits = objects.into_iter().filter_map(|object| match object {
        Object::Organisation(it) => Some((
            it.name.to_string(),
            Limit {
                rate: it.rate,
                burst: it.burst,
            },
        )),
        _ => None,
    });
    Ok(limits.collect())
}

fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, LoadError> {
    let text = fs::read_to_string(path)?;
    serde_json::from_str(&text).map_err(|error| LoadError::Settings(vec![format!("{}: {error}", path.display())]))
}
