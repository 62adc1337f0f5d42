//! Sizes and durations of the benchmarks.

use std::time::Duration;

/// Worker threads of the client process.
pub(crate) const CLIENT_THREADS: usize = 3;
/// Worker threads of the stand-in engine.
pub(crate) const ENGINE_THREADS: usize = 3;
/// Connections of the closed loop, each with one request in flight.
pub(crate) const CLOSED_LOOP_CONNECTIONS: usize = 128;
/// Connections opened before the open loop; more are opened when needed.
pub(crate) const OPEN_LOOP_CONNECTIONS: usize = 64;
/// Duration of the calls before the first measurement; their results are discarded.
pub(crate) const WARM_UP: Duration = Duration::from_secs(1);
/// Concurrent streams when the throughput of streamed tokens is measured.
pub(crate) const CONCURRENT_STREAMS: usize = 64;
/// Tokens of each of these streams.
pub(crate) const TOKENS_PER_STREAM: u64 = 500;
/// Numbers of held streams at which the router's memory is read.
pub(crate) const HELD_STREAMS: [usize; 3] = [1_000, 2_000, 3_000];
/// Time between tokens of a held stream, in microseconds.
pub(crate) const HELD_STREAM_DECODE_US: u64 = 2_000_000;
/// Tokens of a held stream; so many that no stream ends during the measurement.
pub(crate) const HELD_STREAM_TOKENS: u64 = 100_000;
/// Open files that each process needs: the router has two connections for each held stream; the remainder is for the
/// open loop.
pub(crate) const REQUIRED_OPEN_FILES: u64 = 8_192;
