//! `guava-bench router`.

use std::time::Duration;

use bytes::Bytes;
use guava_bench::drive::{self, Failures, Latencies, Target};
use guava_bench::error::BenchError;
use guava_bench::fit::Fit;
use guava_bench::parts::{self, Part};
use guava_bench::process;
use guava_bench::table::Table;
use serde_json::json;

use crate::{config, util};

/// Usage text.
pub(crate) const USAGE: &str = "\
Compares the same client calling the stand-in backend server directly and through a router. Router, backend server
and client are three processes on loopback. Rounds of direct and routed calls alternate; medians over the rounds are
printed.

Usage:
    guava-bench router
    guava-bench router --threads 4 --rounds 5 --seconds 4";

/// Arguments.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Threads of the router that serve callers.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Rounds of direct and routed calls.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Duration of each measurement in seconds.
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Rate of the latency measurement in requests a second; half the routed saturation when left out.
    #[arg(long)]
    rate: Option<f64>,
}

/// The two ways to the backend server.
struct Ways {
    direct: Target,
    routed: Target,
    router: Part,
    _engine: Part,
}

impl Ways {
    fn start(threads: usize, decode_us: u64, body: &serde_json::Value) -> Result<Self, BenchError> {
        let engine_threads = config::ENGINE_THREADS.to_string();
        let decode = decode_us.to_string();
        let engine = Part::start(&["serve-engine", "--threads", &engine_threads, "--decode-us", &decode])?;
        let backend = engine.addr.to_string();
        let router = Part::start(&["serve-router", "--threads", &threads.to_string(), "--backend", &backend])?;
        let body = Bytes::from(body.to_string());
        Ok(Self {
            direct: Target {
                addr: engine.addr,
                key: None,
                body: body.clone(),
            },
            routed: Target {
                addr: router.addr,
                key: Some(parts::key_text()),
                body,
            },
            router,
            _engine: engine,
        })
    }
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> Result<(), BenchError> {
    process::allow_open_files(config::OPEN_FILES)?;
    let runtime = util::runtime(config::CLIENT_THREADS)?;
    println!(
        "router threads {}, client threads {}, engine threads {}, load {}",
        args.threads,
        config::CLIENT_THREADS,
        config::ENGINE_THREADS,
        process::load()
    );
    let mut table = Table::new(&["measure", "direct", "through the router", "added"]);
    let measured = runtime.block_on(measure(args, &mut table));
    // What was measured before a failure is worth its time.
    println!("{table}load at the end {}", process::load());
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
    let ways = Ways::start(args.threads, 0, &body(8, false))?;
    let duration = Duration::from_secs(args.seconds);
    let both = [&ways.direct, &ways.routed];
    for target in both {
        drive::saturate(target, config::CONNECTIONS, config::WARM_UP).await?;
    }
    let mut rates = [Vec::new(), Vec::new()];
    let (mut failures, mut answers, mut cpu) = (Failures::default(), 0, Duration::ZERO);
    for _ in 0..args.rounds {
        for (way, target) in both.into_iter().enumerate() {
            let cpu_before = ways.router.cpu();
            let done = drive::saturate(target, config::CONNECTIONS, duration).await?;
            rates[way].push(done.per_second());
            failures += done.failures;
            if way == 1 {
                answers += done.answers;
                cpu += ways.router.cpu().saturating_sub(cpu_before);
            }
        }
    }
    let [direct, routed] = rates.map(util::median);
    table.row(vec![
        format!("requests/s at saturation, {} connections", config::CONNECTIONS),
        format!("{direct:.0}"),
        format!("{routed:.0}"),
        failures.to_string(),
    ]);
    let per_request = cpu.as_secs_f64() * 1e6 / (answers.max(1)) as f64;
    table.row(vec![
        "router's processor time per request, µs".to_owned(),
        String::new(),
        format!("{per_request:.1}"),
    ]);
    let rate = args.rate.unwrap_or(routed / 2.0);
    latencies(args, &ways, rate, table).await
}

async fn latencies(args: &Args, ways: &Ways, rate: f64, table: &mut Table) -> Result<(), BenchError> {
    const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];
    let duration = Duration::from_secs(args.seconds);
    let mut found = QUANTILES.map(|_| [Vec::new(), Vec::new()]);
    let mut failures = [Failures::default(); 2];
    let mut late = 0;
    let (mut wait, mut routed) = (Duration::ZERO, 0);
    for _ in 0..args.rounds {
        for (way, target) in [&ways.direct, &ways.routed].into_iter().enumerate() {
            let wait_before = ways.router.run_queue_wait();
            let done: Latencies = drive::paced(target, config::PACED_CONNECTIONS, rate, duration).await?;
            for (rank, quantile) in QUANTILES.into_iter().enumerate() {
                found[rank][way].push(done.micros.value_at_quantile(quantile) as f64 / 1e3);
            }
            failures[way] += done.failures;
            late += done.late;
            if way == 1 {
                wait += ways.router.run_queue_wait().saturating_sub(wait_before);
                routed += done.micros.len();
            }
        }
    }
    for (quantile, found) in QUANTILES.into_iter().zip(found) {
        let [direct, routed] = found.map(util::median);
        table.row(vec![
            format!("latency p{:.0} at {rate:.0} requests/s, ms", quantile * 100.0),
            format!("{direct:.3}"),
            format!("{routed:.3}"),
            format!("{:.3}", routed - direct),
        ]);
    }
    // A busy machine shows here: a thread that is ready waits until another process gives up the processor.
    table.row(vec![
        "wait of the router's threads for a processor, per request, ms".to_owned(),
        String::new(),
        format!("{:.3}", wait.as_secs_f64() * 1e3 / routed.max(1) as f64),
    ]);
    let [direct, routed] = failures.map(|it| it.to_string());
    table.row(vec!["calls without an answer".to_owned(), direct, routed]);
    table.row(vec![format!("{late} arrivals sent over 1 ms late")]);
    Ok(())
}

async fn streams(args: &Args, table: &mut Table) -> Result<(), BenchError> {
    // Tokens that take a microsecond are sent one by one; without any time the stand-in sends several at once.
    let ways = Ways::start(args.threads, 1, &body(config::STREAM_TOKENS, true))?;
    let duration = Duration::from_secs(args.seconds);
    let mut rates = [Vec::new(), Vec::new()];
    let (mut tokens, mut cpu) = (0, Duration::ZERO);
    for _ in 0..args.rounds {
        for (way, target) in [&ways.direct, &ways.routed].into_iter().enumerate() {
            let cpu_before = ways.router.cpu();
            let done = drive::saturate(target, config::STREAMS, duration).await?;
            rates[way].push(done.per_second() * config::STREAM_TOKENS as f64);
            if way == 1 {
                tokens += done.answers * config::STREAM_TOKENS;
                cpu += ways.router.cpu().saturating_sub(cpu_before);
            }
        }
    }
    let [direct, routed] = rates.map(util::median);
    table.row(vec![
        format!("streamed tokens/s, {} streams", config::STREAMS),
        format!("{direct:.0}"),
        format!("{routed:.0}"),
    ]);
    let per_token = cpu.as_secs_f64() * 1e6 / (tokens.max(1)) as f64;
    table.row(vec![
        "router's processor time per streamed token, µs".to_owned(),
        String::new(),
        format!("{per_token:.2}"),
    ]);
    Ok(())
}

async fn held_streams(args: &Args, table: &mut Table) -> Result<(), BenchError> {
    let ways = Ways::start(args.threads, config::HELD_DECODE_US, &body(config::HELD_TOKENS, true))?;
    let idle = ways.router.resident() as f64 / 1e6;
    table.row(vec![
        "router's memory without requests, MB".to_owned(),
        String::new(),
        format!("{idle:.1}"),
    ]);
    let mut held = Vec::new();
    let mut points = Vec::new();
    for count in config::HELD {
        held.extend(drive::hold(&ways.routed, count - held.len()).await?);
        tokio::time::sleep(Duration::from_micros(config::HELD_DECODE_US)).await;
        points.push((count as f64, ways.router.resident() as f64));
    }
    let fit = Fit::of(&points);
    table.row(vec![
        format!("router's memory per 1,000 streams held, MB (up to {})", held.len()),
        String::new(),
        format!("{:.1}", fit.slope * 1e3 / 1e6),
        format!("residual {:.1} %", fit.residual * 100.0),
    ]);
    Ok(())
}
