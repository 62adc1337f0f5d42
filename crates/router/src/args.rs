//! Command line flags and environment variables of the router.

use std::net::SocketAddr;

use guava_core::keys::MIN_PEPPER_BYTES;

const MIB: usize = 1024 * 1024;

/// Settings of the router.
#[derive(Clone, clap::Args)]
pub struct RouterArgs {
    /// Address on which the HTTP API for callers listens.
    #[arg(long, env = "GUAVA_LISTEN_ADDR")]
    pub listen_addr: SocketAddr,
    /// Secret with which callers' keys are hashed; must be the same in the whole deployment.
    #[arg(long, env = "GUAVA_PEPPER", hide_env_values = true)]
    pub pepper: String,
    /// Number of threads that serve callers; 0 for one per processor.
    #[arg(long, env = "GUAVA_WORKER_THREADS", default_value_t = 0)]
    pub worker_threads: usize,
    /// Largest accepted request body, in bytes.
    #[arg(long, env = "GUAVA_BODY_LIMIT_BYTES", default_value_t = 4 * MIB)]
    pub body_limit_bytes: usize,
    /// Longest time to receive a request body, in milliseconds.
    #[arg(long, env = "GUAVA_BODY_TIMEOUT_MS", default_value_t = 30_000)]
    pub body_timeout_ms: u64,
    /// Largest answer that is buffered or stored, in bytes.
    #[arg(long, env = "GUAVA_ANSWER_LIMIT_BYTES", default_value_t = 32 * MIB)]
    pub answer_limit_bytes: usize,
    /// Longest time to connect to a backend server, in milliseconds.
    #[arg(long, env = "GUAVA_CONNECT_TIMEOUT_MS", default_value_t = 1_000)]
    pub connect_timeout_ms: u64,
    /// Interval between demand reports while requests wait for a model without a ready replica, in milliseconds.
    #[arg(long, env = "GUAVA_DEMAND_INTERVAL_MS", default_value_t = 100)]
    pub demand_interval_ms: u64,
    /// Interval between demand reports for models with running requests, in milliseconds.
    #[arg(long, env = "GUAVA_RUNNING_INTERVAL_MS", default_value_t = 2_000)]
    pub running_interval_ms: u64,
    /// Longest time for running and waiting requests to finish during a graceful shutdown, in milliseconds.
    #[arg(long, env = "GUAVA_DRAIN_TIMEOUT_MS", default_value_t = 3_600_000)]
    pub drain_timeout_ms: u64,
}

impl std::fmt::Debug for RouterArgs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RouterArgs")
            .field("listen_addr", &self.listen_addr)
            .finish_non_exhaustive()
    }
}

impl RouterArgs {
    /// Creates settings with the default values of the flags.
    pub fn new(listen_addr: SocketAddr, pepper: impl Into<String>) -> Self {
        Self {
            listen_addr,
            pepper: pepper.into(),
            worker_threads: 0,
            body_limit_bytes: 4 * MIB,
            body_timeout_ms: 30_000,
            answer_limit_bytes: 32 * MIB,
            connect_timeout_ms: 1_000,
            demand_interval_ms: 100,
            running_interval_ms: 2_000,
            drain_timeout_ms: 3_600_000,
        }
    }

    /// Returns one message for each setting that is out of range, with the flag and its accepted values.
    pub fn check(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut require = |ok: bool, flag: &str, accepted: &str| {
            if !ok {
                faults.push(format!("--{flag} accepts {accepted}"));
            }
        };
        let pepper = format!("{MIN_PEPPER_BYTES} bytes or more");
        require(self.pepper.len() >= MIN_PEPPER_BYTES, "pepper", &pepper);
        require(self.worker_threads <= 1024, "worker-threads", "0 to 1024");
        let body = (1024..=64 * MIB).contains(&self.body_limit_bytes);
        require(body, "body-limit-bytes", "1024 to 67108864");
        let answer = (1024..=1024 * MIB).contains(&self.answer_limit_bytes);
        require(answer, "answer-limit-bytes", "1024 to 1073741824");
        let times = [
            (self.body_timeout_ms, "body-timeout-ms", 100, 600_000),
            (self.connect_timeout_ms, "connect-timeout-ms", 10, 60_000),
            (self.demand_interval_ms, "demand-interval-ms", 10, 10_000),
            (self.running_interval_ms, "running-interval-ms", 100, 60_000),
            (self.drain_timeout_ms, "drain-timeout-ms", 1, 86_400_000),
        ];
        for (value, flag, min, max) in times {
            require((min..=max).contains(&value), flag, &format!("{min} to {max}"));
        }
        faults
    }
}
