//! Command line of the soak test: runs each seed and prints its result.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use clap::Parser;
use guava_platform_standin::caller::Outcome;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::checks::{self, Observations};
use crate::error::SoakError;
use crate::faults::{self, Disturbance, Planned};
use crate::fleet::{ENGINE_COUNT, Fleet, PLAIN_SERVER_COUNT, RATE, VM_COUNT};
use crate::traffic::{MEAN_INTERVAL_MS, Traffic};

/// Time after the last fault until requests must be served as usual.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time after recovery during which the served requests are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);
/// Interval between the events of streams in runs with planned work, so that streams last as long as a release.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(120);
/// Longest time that a graceful stop adds to the duration of its fault.
const MAX_STOP_MS: u64 = 8_500;

/// Injects random faults into the entry processes and checks the system's guarantees against what callers and backend
/// servers observe.
#[derive(Debug, Clone, Parser)]
#[command(name = "guava-soak", version)]
pub struct Args {
    /// Seed of the first run; each further run uses the next number.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of runs, each with its own seed.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Number of faults in each run.
    #[arg(long, default_value_t = 8)]
    pub faults: usize,
    /// Number of disturbances by planned work and silent servers in each run, in addition to the faults.
    #[arg(long, default_value_t = 4)]
    pub work: usize,
    /// Number of statements of backend servers that they leave or want a rest in each run, in addition to the faults.
    #[arg(long, default_value_t = 4)]
    pub statements: usize,
    /// Number of series in which servers trouble most requests while VMs restart, in addition to the faults.
    #[arg(long, default_value_t = 0)]
    pub pressure: usize,
    /// Number of entry processes of each run.
    #[arg(long, default_value_t = VM_COUNT)]
    pub vms: usize,
    /// Mean interval in milliseconds between two requests.
    #[arg(long, default_value_t = MEAN_INTERVAL_MS)]
    pub interval_ms: u64,
    /// Time in seconds, from the start of traffic, within which faults begin.
    #[arg(long, default_value_t = 12)]
    pub span_s: u64,
    /// Number of concurrent runs; each starts its own entry processes.
    #[arg(long, default_value_t = 2)]
    pub jobs: usize,
    /// Path of the program under test.
    #[arg(long, default_value = "target/release/guava-entry")]
    pub program: PathBuf,
    /// Directory for settings and logs; only those of failed runs are kept.
    #[arg(long, default_value = "target/soak")]
    pub dir: PathBuf,
}

/// Result of one run.
#[derive(Debug)]
pub struct Report {
    /// Seed from which faults and traffic were drawn.
    pub seed: u64,
    /// Injected faults in the order of their start.
    pub faults: Vec<Planned>,
    /// Number of requests by outcome, and of streams that were taken up; what did not occur is absent.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Description of each violated guarantee; empty if all held.
    pub violations: Vec<String>,
}

/// Runs all seeds and prints the result of each.
///
/// # Errors
///
/// Fails if a run could not be carried out or a guarantee was violated.
pub async fn run(args: Args) -> Result<(), SoakError> {
    let mut running = JoinSet::new();
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        if running.len() >= args.jobs
            && let Some(finished) = running.join_next().await
        {
            report_result(finished.map_err(std::io::Error::other)?, &mut failed);
        }
        let args = args.clone();
        running.spawn(async move { (seed, run_seed(&args, seed).await) });
    }
    while let Some(finished) = running.join_next().await {
        report_result(finished.map_err(std::io::Error::other)?, &mut failed);
    }
    println!("{} passed, {} failed", args.seeds as usize - failed.len(), failed.len());
    if failed.is_empty() {
        Ok(())
    } else {
        Err(SoakError::RunsFailed(failed))
    }
}

fn report_result((seed, result): (u64, Result<Report, SoakError>), failed: &mut Vec<u64>) {
    match result {
        Ok(report) if report.violations.is_empty() => println!("seed {seed}: passed, {:?}", report.outcomes),
        Ok(report) => {
            failed.push(seed);
            println!("seed {seed}: FAILED, {:?}", report.outcomes);
            report.faults.iter().for_each(|it| println!("  fault {it:?}"));
            report.violations.iter().for_each(|it| println!("  violation: {it}"));
        }
        Err(e) => {
            failed.push(seed);
            println!("seed {seed}: run could not be carried out: {e}");
        }
    }
}

/// Runs one seed against a new fleet. The directory with settings and logs is removed if all guarantees held.
///
/// # Errors
///
/// Fails if the directory or the fleet cannot be set up, or a fault cannot be injected or ended in time.
pub async fn run_seed(args: &Args, seed: u64) -> Result<Report, SoakError> {
    let dir = args.dir.join(format!("seed-{seed}"));
    recreate_dir(&dir)?;
    let organisations: Vec<(String, Vec<String>)> = (0..3)
        .map(|at| (format!("o{at}"), vec![format!("key-{seed}-{at}")]))
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (span_ms, backends) = (args.span_s * 1_000, ENGINE_COUNT + PLAIN_SERVER_COUNT);
    let mut planned = faults::plan(&mut rng, args.faults, span_ms, args.vms, backends);
    planned.extend(faults::plan_work(&mut rng, args.work, span_ms, backends));
    planned.extend(faults::plan_statements(&mut rng, args.statements, span_ms, backends));
    planned.extend(faults::plan_pressure(
        &mut rng,
        args.pressure,
        span_ms,
        args.vms,
        backends,
    ));
    planned.sort_by_key(|it| it.at_ms);
    let mut fleet = Fleet::start_sized(&args.program, &dir, &organisations, args.vms).await?;
    if args.work > 0 {
        fleet.set_event_interval(LONG_EVENT_INTERVAL);
    }
    let vms = fleet.addresses();
    let traffic = Traffic {
        addresses: vms.clone(),
        keys: organisations.iter().flat_map(|(_, keys)| keys.clone()).collect(),
        seed,
        interval_ms: args.interval_ms,
    };
    let record = fleet.record.clone();
    let fleet = Arc::new(Mutex::new(fleet));
    let should_stop = Arc::new(AtomicBool::new(false));
    let requests = tokio::spawn(traffic.run(Arc::clone(&should_stop)));

    let disturbances = inject_faults(&fleet, &planned).await?;
    sleep(RECOVERY_TIME).await;
    let recovered_at = Instant::now();
    sleep(OBSERVATION_TIME).await;
    should_stop.store(true, Ordering::Relaxed);
    let finished = requests.await.map_err(std::io::Error::other)?;

    let keys = organisations
        .iter()
        .flat_map(|(name, keys)| keys.iter().map(move |key| (key.clone(), name.clone())));
    let observations = Observations {
        finished: &finished,
        record: &record,
        organisation_by_key: &keys.collect(),
        rate: RATE,
        recovered_at,
        disturbances: &disturbances,
        addresses: &vms.iter().map(|it| it.callers).collect::<Vec<_>>(),
    };
    let violations = checks::check(&observations);
    let mut outcomes = BTreeMap::new();
    for it in &finished {
        *outcomes.entry(outcome_name(&it.outcome)).or_default() += 1;
    }
    let taken_up = finished.iter().filter(|it| it.is_taken_up()).count();
    if taken_up > 0 {
        outcomes.insert("taken up", taken_up);
    }
    drop(fleet);
    if violations.is_empty() {
        std::fs::remove_dir_all(&dir)?;
    }
    Ok(Report {
        seed,
        faults: planned,
        outcomes,
        violations,
    })
}

async fn inject_faults(fleet: &Arc<Mutex<Fleet>>, planned: &[Planned]) -> Result<Vec<Disturbance>, SoakError> {
    let started = tokio::time::Instant::now();
    let mut injecting = JoinSet::new();
    for it in planned.iter().cloned() {
        let fleet = Arc::clone(fleet);
        injecting.spawn(async move {
            sleep_until(started + Duration::from_millis(it.at_ms)).await;
            let from = Instant::now();
            let limit = Duration::from_millis(it.for_ms + MAX_STOP_MS + 5_000);
            let injected = tokio::time::timeout(limit, faults::inject(&fleet, &it)).await;
            injected.unwrap_or(Err(SoakError::TimedOut)).map(|()| Disturbance {
                fault: it.fault,
                from,
                to: Instant::now(),
            })
        });
    }
    let mut disturbances = Vec::new();
    while let Some(injected) = injecting.join_next().await {
        disturbances.push(injected.map_err(std::io::Error::other)??);
    }
    Ok(disturbances)
}

fn recreate_dir(dir: &Path) -> Result<(), SoakError> {
    if dir.exists() {
        std::fs::remove_dir_all(dir)?;
    }
    Ok(std::fs::create_dir_all(dir)?)
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::NotRun(_) => "refused",
        Outcome::Failed(_) => "failed",
        Outcome::Cut => "cut",
        Outcome::Wrong(_) => "wrong",
        Outcome::Joined(_) => "joined",
    }
}
