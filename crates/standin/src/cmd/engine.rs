//! The command `guava-standin engine`.

use std::net::SocketAddr;
use std::sync::Arc;

use guava_core::ids::{ModelName, ReplicaId, Term};
use guava_engine::{
    Action, CachedCheckpoint, EngineSettings, Order, StandInEngine, Tier, serve_engine, serve_engine_control,
};
use guava_objects::{HttpWeightStore, WeightStore};

use crate::util::{ListenArgs, StandInError, print_addr, wait_for_stop};

pub(crate) const USAGE: &str = "Serve an engine";

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    listen: ListenArgs,
    /// Address of a second listener, which stays open during the `down` fault; printed on the second line.
    #[arg(long, env = "GUAVA_STANDIN_CONTROL_ADDR")]
    control_addr: Option<SocketAddr>,
    /// Address of the weight store; without one, remote loads take `--remote-load-ms`.
    #[arg(long, env = "GUAVA_STANDIN_WEIGHTS_ADDR")]
    weights_addr: Option<SocketAddr>,
    /// Identifier of this incarnation of the engine; the process id by default.
    #[arg(long, env = "GUAVA_STANDIN_INSTANCE")]
    instance: Option<String>,
    /// Memory for replicas, in bytes.
    #[arg(long, env = "GUAVA_STANDIN_MEMORY_BYTES", default_value_t = 80 << 30)]
    memory_bytes: u64,
    /// Accept orders with outdated terms instead of refusing them.
    #[arg(long, env = "GUAVA_STANDIN_IGNORES_FENCE")]
    ignores_fence: bool,
    /// Forget the ids of replicas that have ended or were cancelled.
    #[arg(long, env = "GUAVA_STANDIN_FORGETS_ORDERS")]
    forgets_orders: bool,
    /// Concurrent requests per replica; at least 1.
    #[arg(long, env = "GUAVA_STANDIN_SLOTS", default_value_t = 32)]
    slots: u32,
    /// Duration of a load from the memory tier, and of the last step of every other load, in milliseconds.
    #[arg(long, env = "GUAVA_STANDIN_MEMORY_LOAD_MS", default_value_t = 50)]
    memory_load_ms: u64,
    /// Duration of a load from the disk tier, in milliseconds.
    #[arg(long, env = "GUAVA_STANDIN_DISK_LOAD_MS", default_value_t = 400)]
    disk_load_ms: u64,
    /// Duration of a remote load without a weight store, in milliseconds.
    #[arg(long, env = "GUAVA_STANDIN_REMOTE_LOAD_MS", default_value_t = 1_600)]
    remote_load_ms: u64,
    /// Models whose version 1 is cached in the disk tier at start, separated by commas.
    #[arg(long, env = "GUAVA_STANDIN_ON_DISK", value_delimiter = ',')]
    on_disk: Vec<String>,
    /// Models whose version 1 is loaded at start as the replica `preload-<model>`, separated by commas.
    #[arg(long, env = "GUAVA_STANDIN_PRELOAD", value_delimiter = ',')]
    preload: Vec<String>,
    /// Time per prompt token that is not in the prefix cache, in microseconds.
    #[arg(long, env = "GUAVA_STANDIN_PREFILL_US", default_value_t = 0)]
    prefill_us: u64,
    /// Time per generated token of a request that runs alone, in microseconds.
    #[arg(long, env = "GUAVA_STANDIN_DECODE_US", default_value_t = 0)]
    decode_us: u64,
    /// Additional time per generated token for each other request in the batch, in microseconds.
    #[arg(long, env = "GUAVA_STANDIN_DECODE_BATCH_US", default_value_t = 0)]
    decode_batch_us: u64,
    /// Number of tokens generated for a request that gives no limit.
    #[arg(long, env = "GUAVA_STANDIN_DEFAULT_TOKENS", default_value_t = 16)]
    default_tokens: u32,
    /// Size of the prefix cache, in blocks of 16 tokens.
    #[arg(long, env = "GUAVA_STANDIN_PREFIX_BLOCKS", default_value_t = 16_384)]
    prefix_blocks: usize,
    /// Age of the state that reports show, in milliseconds.
    #[arg(long, env = "GUAVA_STANDIN_REPORT_LAG_MS", default_value_t = 0)]
    report_lag_ms: u64,
    /// Do not record individual requests.
    #[arg(long, env = "GUAVA_STANDIN_NO_RECORD")]
    no_record: bool,
}

impl Args {
    fn settings(&self) -> EngineSettings {
        let instance = self.instance.clone();
        let on_disk = |model: &String| CachedCheckpoint {
            model: ModelName::new(model),
            version: 1,
            tier: Tier::Disk,
        };
        EngineSettings {
            instance: instance.unwrap_or_else(|| std::process::id().to_string()),
            memory_bytes: self.memory_bytes,
            checks_fence: !self.ignores_fence,
            forgets_orders: self.forgets_orders,
            slots: self.slots,
            memory_load_ms: self.memory_load_ms,
            disk_load_ms: self.disk_load_ms,
            remote_load_ms: self.remote_load_ms,
            cached: self.on_disk.iter().map(on_disk).collect(),
            prefill_us: self.prefill_us,
            decode_us: self.decode_us,
            decode_batch_us: self.decode_batch_us,
            default_tokens: self.default_tokens,
            prefix_blocks: self.prefix_blocks,
            report_lag_ms: self.report_lag_ms,
            record: !self.no_record,
            ..EngineSettings::default()
        }
    }

    fn preload(&self, engine: &Arc<StandInEngine>) {
        for model in &self.preload {
            let order = Order {
                replica: ReplicaId::new(format!("preload-{model}")),
                term: Term(0),
                instance: None,
                action: Action::Load {
                    model: ModelName::new(model),
                    version: 1,
                    adapter: None,
                    bytes: 1,
                },
            };
            if let Err(error) = engine.take_order(&order) {
                log::warn!("cannot preload {model}: {error}");
            }
        }
    }
}

pub(crate) fn run(args: &Args) -> Result<(), StandInError> {
    if args.slots == 0 {
        return Err(StandInError::Setting("--slots", "1 or more"));
    }
    args.listen.runtime()?.block_on(serve(args))
}

async fn serve(args: &Args) -> Result<(), StandInError> {
    let http_store = args.weights_addr.map(HttpWeightStore::new);
    let weights = http_store.map(|it| Arc::new(it) as Arc<dyn WeightStore>);
    let engine = StandInEngine::new(args.settings(), weights);
    args.preload(&engine);
    let server = serve_engine(&engine, args.listen.addr).await?;
    print_addr(server.addr())?;
    let control_server = match args.control_addr {
        Some(addr) => Some(serve_engine_control(&engine, addr).await?),
        None => None,
    };
    if let Some(control_server) = &control_server {
        print_addr(control_server.addr())?;
    }
    wait_for_stop().await
}
