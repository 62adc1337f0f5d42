//! The command `guava-standin platform`.

use std::sync::Arc;
use std::time::Duration;

use guava_objects::{
    MemoryObjectStore, MemoryVmList, MemoryWeightStore, RateLimit, StandInPlatform, WeightStoreSpeed, serve_platform,
};

use crate::util::{ListenArgs, StandInError, print_addr, wait_for_stop};

pub(crate) const USAGE: &str = "Serve the object service, the list of VMs and the weight store";

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    listen: ListenArgs,
    /// Limit of reads, lists and watches per second; unlimited by default.
    #[arg(long, env = "GUAVA_STANDIN_READS_PER_SECOND")]
    reads_per_second: Option<f64>,
    /// Limit of writes and deletions per second; unlimited by default.
    #[arg(long, env = "GUAVA_STANDIN_WRITES_PER_SECOND")]
    writes_per_second: Option<f64>,
    /// Lag of the list of VMs, in milliseconds.
    #[arg(long, env = "GUAVA_STANDIN_LIST_LAG_MS", default_value_t = 0)]
    list_lag_ms: u64,
    /// Model loads per second that the weight store can complete; above 0.
    #[arg(long, env = "GUAVA_STANDIN_LOADS_PER_SECOND", default_value_t = 2.5)]
    loads_per_second: f64,
    /// Concurrent model loads that run at full speed; at least 1.
    #[arg(long, env = "GUAVA_STANDIN_LOADS_AT_ONCE", default_value_t = 4)]
    loads_at_once: u32,
    /// Duration of an adapter load at full speed, in milliseconds.
    #[arg(long, env = "GUAVA_STANDIN_ADAPTER_LOAD_MS", default_value_t = 8)]
    adapter_load_ms: u64,
    /// Concurrent adapter loads that run at full speed; at least 1.
    #[arg(long, env = "GUAVA_STANDIN_ADAPTER_LOADS_AT_ONCE", default_value_t = 32)]
    adapter_loads_at_once: u32,
    /// Size of checkpoints that were not added, in bytes; by default such checkpoints do not exist.
    #[arg(long, env = "GUAVA_STANDIN_DEFAULT_CHECKPOINT_BYTES")]
    default_checkpoint_bytes: Option<u64>,
}

impl Args {
    fn check(&self) -> Result<(), StandInError> {
        if !(self.loads_per_second > 0.0 && self.loads_per_second.is_finite()) {
            return Err(StandInError::Setting("--loads-per-second", "a number above 0"));
        }
        if self.loads_at_once == 0 || self.adapter_loads_at_once == 0 {
            return Err(StandInError::Setting(
                "--loads-at-once, --adapter-loads-at-once",
                "1 or more",
            ));
        }
        Ok(())
    }

    fn objects(&self) -> MemoryObjectStore {
        let objects = MemoryObjectStore::new();
        if self.reads_per_second.is_none() && self.writes_per_second.is_none() {
            return objects;
        }
        objects.with_rate_limit(RateLimit {
            reads_per_second: self.reads_per_second.unwrap_or(f64::INFINITY),
            writes_per_second: self.writes_per_second.unwrap_or(f64::INFINITY),
        })
    }

    fn weights(&self) -> MemoryWeightStore {
        let weights = MemoryWeightStore::new(WeightStoreSpeed {
            per_second: self.loads_per_second,
            at_once: self.loads_at_once,
            adapter_ms: self.adapter_load_ms,
            adapters_at_once: self.adapter_loads_at_once,
        });
        match self.default_checkpoint_bytes {
            Some(bytes) => weights.with_default_bytes(bytes),
            None => weights,
        }
    }
}

pub(crate) fn run(args: &Args) -> Result<(), StandInError> {
    args.check()?;
    let platform = StandInPlatform {
        objects: Arc::new(args.objects()),
        vms: Arc::new(MemoryVmList::new()),
        weights: Arc::new(args.weights()),
    };
    platform.vms.set_lag(Duration::from_millis(args.list_lag_ms));
    let server = serve_platform(&platform, args.listen.addr, args.listen.worker_threads())?;
    print_addr(server.addr())?;
    args.listen.runtime()?.block_on(wait_for_stop())?;
    server.stop();
    Ok(())
}
