//! Sizes and durations of the benchmarks.

use std::time::Duration;

/// Threads of the client.
pub(crate) const CLIENT_THREADS: usize = 3;
/// Threads of the stand-in engine.
pub(crate) const ENGINE_THREADS: usize = 3;
/// Connections of the closed loop.
pub(crate) const CONNECTIONS: usize = 128;
/// Connections opened before the open loop; more are opened when needed.
pub(crate) const PACED_CONNECTIONS: usize = 64;
/// Duration of the first calls, which are not counted.
pub(crate) const WARM_UP: Duration = Duration::from_secs(1);
/// Streams at once when streamed tokens are counted.
pub(crate) const STREAMS: usize = 64;
/// Tokens of each of them.
pub(crate) const STREAM_TOKENS: u64 = 500;
/// Numbers of held streams between which the router's memory is compared.
pub(crate) const HELD: [usize; 3] = [1_000, 2_000, 3_000];
/// Time between tokens of a held stream, in microseconds.
pub(crate) const HELD_DECODE_US: u64 = 2_000_000;
/// Tokens of a held stream; it never reaches the end.
pub(crate) const HELD_TOKENS: u64 = 100_000;
/// Open files that a part needs: the router holds two connections for each held stream; the rest is for the open loop.
pub(crate) const OPEN_FILES: u64 = 8_192;
