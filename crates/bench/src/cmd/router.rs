//! The `guava-bench router` command.

use std::time::Duration;

use bytes::Bytes;
use guava_bench::drive::{self, Failures, Latencies, Target};
use guava_bench::error::BenchError;
use guava_bench::fit::Fit;
use guava_bench::parts::{self, ServerProcess};
use guava_bench::process;
use guava_bench::table::Table;
use serde_json::json;

use crate::{config, util};

/// Long help text.
pub(crate) const USAGE: &str = "\
Compares direct calls to the stand-in backend server with calls through a router, from the same client. Router, backend
server and client are three processes on loopback. Each round measures direct calls, then routed calls; medians over
the rounds are printed.

Usage:
    guava-bench router
    guava-bench router --threads 4 --rounds 5 --seconds 4";

/// Arguments of `guava-bench router`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Number of threads of the router that serve callers.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Number of rounds of direct and routed calls.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Duration of each measurement in seconds.
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Rate of the latency measurement in requests per second; by default half the saturation throughput through the
    /// router.
    #[arg(long)]
    rate: Option<f64>,
}

/// Router and backend server under test, and the targets that reach the backend server directly and through the router.
struct TestBed {
    direct: Target,
    routed: Target,
    router: ServerProcess,
    _engine: ServerProcess,
}

impl TestBed {
    fn start(threads: usize, decode_us: u64, body: &serde_json::Value) -> Result<Self, BenchError> {
        let engine_threads = config::ENGINE_THREADS.to_string();
        let decode = decode_us.to_string();
        let engine = ServerProcess::start(&["serve-engine", "--threads", &engine_threads, "--decode-us", &decode])?;
        let backend = engine.addr.to_string();
        let router = ServerProcess::start(&["serve-router", "--threads", &threads.to_string(), "--backend", &backend])?;
        let body = Bytes::from(body.to_string());
        Ok(Self {
            direct: Target {
                addr: engine.addr,
                key: None,
                body: body.clone(),
            },
            routed: Target {
                addr: router.addr,
                key: Some(parts::caller_key()),
                body,
            },
            router,
            _engine: engine,
        })
    }
}

/// Takes the measurements and prints the table.
pub(crate) fn run(args: &Args) -> Result<(), BenchError> {
    process::allow_open_files(config::REQUIRED_OPEN_FILES)?;
    let runtime = util::runtime(config::CLIENT_THREADS)?;
    println!(
        "router threads {}, client threads {}, engine threads {}, load {}",
        args.threads,
        config::CLIENT_THREADS,
        config::ENGINE_THREADS,
        process::load_average()
    );
    let mut table = Table::new(&["measure", "direct", "through the router", "added"]);
    let measured = runtime.block_on(measure(args, &mut table));
    // Also after a failure, so that the measurements taken before it are not lost.
    println!("{table}load at the end {}", process::load_average());
    measured
}

async fn measure(args: &Args, table: &mut Table) -> Result<(), BenchError> {
    small_requests(args, table).await?;
    streams(args, table).await?;
    held_streams(args, table).await
}

fn body(tokens: u64, stream: bool) -> serde_json::Value {
    json!({"model": parts::MODEL, "prompt": "Does it leak?", "max_tokens": tokens, "stream": stream})
}

async fn small_requests(args: &Args, table: &mut Table) -> Result<(), BenchError> {
    let test_bed = TestBed::start(args.threads, 0, &body(8, false))?;
    let duration = Duration::from_secs(args.seconds);
    let targets = [&test_bed.direct, &test_bed.routed];
    for target in targets {
        drive::run_closed_loop(target, config::CLOSED_LOOP_CONNECTIONS, config::WARM_UP).await?;
    }
    let mut rates = [Vec::new(), Vec::new()];
    let (mut failures, mut responses, mut cpu) = (Failures::default(), 0, Duration::ZERO);
    for _ in 0..args.rounds {
        for (path, target) in targets.into_iter().enumerate() {
            let cpu_before = test_bed.router.cpu_time();
            let measured = drive::run_closed_loop(target, config::CLOSED_LOOP_CONNECTIONS, duration).await?;
            rates[path].push(measured.per_second());
            failures += measured.failures;
            if path == 1 {
                responses += measured.responses;
                cpu += test_bed.router.cpu_time().saturating_sub(cpu_before);
            }
        }
    }
    let [direct, routed] = rates.map(util::median);
    table.add_row(vec![
        format!(
            "requests/s at saturation, {} connections",
            config::CLOSED_LOOP_CONNECTIONS
        ),
        format!("{direct:.0}"),
        format!("{routed:.0}"),
        failures.to_string(),
    ]);
    let per_request = cpu.as_secs_f64() * 1e6 / (responses.max(1)) as f64;
    table.add_row(vec![
        "router's processor time per request, µs".to_owned(),
        String::new(),
        format!("{per_request:.1}"),
    ]);
    let rate = args.rate.unwrap_or(routed / 2.0);
    latencies(args, &test_bed, rate, table).await
}

async fn latencies(args: &Args, test_bed: &TestBed, rate: f64, table: &mut Table) -> Result<(), BenchError> {
    const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];
    let duration = Duration::from_secs(args.seconds);
    let mut samples = QUANTILES.map(|_| [Vec::new(), Vec::new()]);
    let mut failures = [Failures::default(); 2];
    let mut late = 0;
    let (mut wait, mut routed) = (Duration::ZERO, 0);
    for _ in 0..args.rounds {
        for (path, target) in [&test_bed.direct, &test_bed.routed].into_iter().enumerate() {
            let wait_before = test_bed.router.run_queue_wait();
            let measured: Latencies =
                drive::run_open_loop(target, config::OPEN_LOOP_CONNECTIONS, rate, duration).await?;
            for (rank, quantile) in QUANTILES.into_iter().enumerate() {
                samples[rank][path].push(measured.latency_micros.value_at_quantile(quantile) as f64 / 1e3);
            }
            failures[path] += measured.failures;
            late += measured.late;
            if path == 1 {
                wait += test_bed.router.run_queue_wait().saturating_sub(wait_before);
                routed += measured.latency_micros.len();
            }
        }
    }
    for (quantile, samples) in QUANTILES.into_iter().zip(samples) {
        let [direct, routed] = samples.map(util::median);
        table.add_row(vec![
            format!("latency p{:.0} at {rate:.0} requests/s, ms", quantile * 100.0),
            format!("{direct:.3}"),
            format!("{routed:.3}"),
            format!("{:.3}", routed - direct),
        ]);
    }
    // A high value means that other processes loaded the machine and kept runnable threads waiting for a processor.
    table.add_row(vec![
        "wait of the router's threads for a processor, per request, ms".to_owned(),
        String::new(),
        format!("{:.3}", wait.as_secs_f64() * 1e3 / routed.max(1) as f64),
    ]);
    let [direct, routed] = failures.map(|it| it.to_string());
    table.add_row(vec!["calls without an answer".to_owned(), direct, routed]);
    table.add_row(vec![format!("{late} arrivals sent over 1 ms late")]);
    Ok(())
}

async fn streams(args: &Args, table: &mut Table) -> Result<(), BenchError> {
    // With a decode time of 1 µs the stand-in sends tokens one by one; with zero it sends several at once.
    let test_bed = TestBed::start(args.threads, 1, &body(config::TOKENS_PER_STREAM, true))?;
    let duration = Duration::from_secs(args.seconds);
    let mut rates = [Vec::new(), Vec::new()];
    let (mut tokens, mut cpu) = (0, Duration::ZERO);
    for _ in 0..args.rounds {
        for (path, target) in [&test_bed.direct, &test_bed.routed].into_iter().enumerate() {
            let cpu_before = test_bed.router.cpu_time();
            let measured = drive::run_closed_loop(target, config::CONCURRENT_STREAMS, duration).await?;
            rates[path].push(measured.per_second() * config::TOKENS_PER_STREAM as f64);
            if path == 1 {
                tokens += measured.responses * config::TOKENS_PER_STREAM;
                cpu += test_bed.router.cpu_time().saturating_sub(cpu_before);
            }
        }
    }
    let [direct, routed] = rates.map(util::median);
    table.add_row(vec![
        format!("streamed tokens/s, {} streams", config::CONCURRENT_STREAMS),
        format!("{direct:.0}"),
        format!("{routed:.0}"),
    ]);
    let per_token = cpu.as_secs_f64() * 1e6 / (tokens.max(1)) as f64;
    table.add_row(vec![
        "router's processor time per streamed token, µs".to_owned(),
        String::new(),
        format!("{per_token:.2}"),
    ]);
    Ok(())
}

async fn held_streams(args: &Args, table: &mut Table) -> Result<(), BenchError> {
    let test_bed = TestBed::start(
        args.threads,
        config::HELD_STREAM_DECODE_US,
        &body(config::HELD_STREAM_TOKENS, true),
    )?;
    let idle = test_bed.router.resident_bytes() as f64 / 1e6;
    table.add_row(vec![
        "router's memory without requests, MB".to_owned(),
        String::new(),
        format!("{idle:.1}"),
    ]);
    let mut held = Vec::new();
    let mut points = Vec::new();
    for count in config::HELD_STREAMS {
        held.extend(drive::open_held_streams(&test_bed.routed, count - held.len()).await?);
        tokio::time::sleep(Duration::from_micros(config::HELD_STREAM_DECODE_US)).await;
        points.push((count as f64, test_bed.router.resident_bytes() as f64));
    }
    let fit = Fit::of(&points);
    table.add_row(vec![
        format!("router's memory per 1,000 streams held, MB (up to {})", held.len()),
        String::new(),
        format!("{:.1}", fit.slope * 1e3 / 1e6),
        format!("residual {:.1} %", fit.residual * 100.0),
    ]);
    Ok(())
}
