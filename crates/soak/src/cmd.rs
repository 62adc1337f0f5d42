//! Runs of the soak by seed.

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

use crate::checks::{self, Evidence};
use crate::error::SoakError;
use crate::faults::{self, Planned};
use crate::fleet::{DESK_COUNT, ENGINE_COUNT, Fleet, RATE, VMS};
use crate::traffic::Traffic;

/// Time from the end of the last fault until requests must be served as usual.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the calm is observed.
const CALM: Duration = Duration::from_secs(4);
/// Time that a planned stop may take beyond its fault.
const STOP_MS: u64 = 8_500;

/// Plays randomised faults against the entry processes and checks what callers and backend servers see.
#[derive(Debug, Clone, Parser)]
#[command(name = "guava-soak", version)]
pub struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Faults in each run.
    #[arg(long, default_value_t = 8)]
    pub faults: usize,
    /// Seconds in which faults begin.
    #[arg(long, default_value_t = 12)]
    pub span_s: u64,
    /// Runs at the same time; each has four processes.
    #[arg(long, default_value_t = 2)]
    pub jobs: usize,
    /// Program under test.
    #[arg(long, default_value = "target/release/guava-entry")]
    pub program: PathBuf,
    /// Folder for settings and logs; those of failed runs stay.
    #[arg(long, default_value = "target/soak")]
    pub dir: PathBuf,
}

/// Result of one seed.
#[derive(Debug)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Faults that were played.
    pub faults: Vec<Planned>,
    /// Requests by outcome.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Broken promises.
    pub broken: Vec<String>,
}

/// Plays all seeds and prints a report of each.
///
/// # Errors
///
/// Fails when a run could not be made or a promise was broken.
pub async fn run(args: Args) -> Result<(), SoakError> {
    let mut running = JoinSet::new();
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        if running.len() >= args.jobs
            && let Some(report) = running.join_next().await
        {
            note(report.map_err(std::io::Error::other)?, &mut failed);
        }
        let args = args.clone();
        running.spawn(async move { (seed, play(&args, seed).await) });
    }
    while let Some(report) = running.join_next().await {
        note(report.map_err(std::io::Error::other)?, &mut failed);
    }
    println!("{} passed, {} failed", args.seeds as usize - failed.len(), failed.len());
    if failed.is_empty() {
        Ok(())
    } else {
        Err(SoakError::Broken(failed))
    }
}

fn note((seed, played): (u64, Result<Report, SoakError>), failed: &mut Vec<u64>) {
    match played {
        Ok(report) if report.broken.is_empty() => println!("seed {seed}: kept, {:?}", report.outcomes),
        Ok(report) => {
            failed.push(seed);
            println!("seed {seed}: BROKEN, {:?}", report.outcomes);
            report.faults.iter().for_each(|it| println!("  played {it:?}"));
            report.broken.iter().for_each(|it| println!("  broken {it}"));
        }
        Err(e) => {
            failed.push(seed);
            println!("seed {seed}: not played: {e}");
        }
    }
}

/// Plays one seed.
///
/// # Errors
///
/// Fails when the processes cannot be started.
pub async fn play(args: &Args, seed: u64) -> Result<Report, SoakError> {
    let dir = args.dir.join(format!("seed-{seed}"));
    prepare(&dir)?;
    let organisations: Vec<(String, Vec<String>)> = (0..3)
        .map(|at| (format!("o{at}"), vec![format!("key-{seed}-{at}")]))
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let planned = faults::plan(
        &mut rng,
        args.faults,
        args.span_s * 1_000,
        VMS,
        ENGINE_COUNT + DESK_COUNT,
    );
    let fleet = Fleet::start(&args.program, &dir, &organisations).await?;
    let traffic = Traffic {
        entries: fleet.processes.iter().map(|it| it.vm.callers).collect(),
        keys: organisations.iter().flat_map(|(_, keys)| keys.clone()).collect(),
        seed,
    };
    let record = fleet.record.clone();
    let fleet = Arc::new(Mutex::new(fleet));
    let stop = Arc::new(AtomicBool::new(false));
    let callers = tokio::spawn(traffic.run(Arc::clone(&stop)));

    play_faults(&fleet, &planned).await?;
    sleep(RECOVERY).await;
    let calm = Instant::now();
    sleep(CALM).await;
    stop.store(true, Ordering::Relaxed);
    let finished = callers.await.map_err(std::io::Error::other)?;

    let keys = organisations
        .iter()
        .flat_map(|(name, keys)| keys.iter().map(move |key| (key.clone(), name.clone())));
    let evidence = Evidence {
        finished: &finished,
        record: &record,
        organisations: &keys.collect(),
        rate: RATE,
        calm,
    };
    let broken = checks::check(&evidence);
    let mut outcomes = BTreeMap::new();
    for it in &finished {
        *outcomes.entry(name(&it.outcome)).or_default() += 1;
    }
    drop(fleet);
    if broken.is_empty() {
        std::fs::remove_dir_all(&dir)?;
    }
    Ok(Report {
        seed,
        faults: planned,
        outcomes,
        broken,
    })
}

async fn play_faults(fleet: &Arc<Mutex<Fleet>>, planned: &[Planned]) -> Result<(), SoakError> {
    let started = tokio::time::Instant::now();
    let mut playing = JoinSet::new();
    for it in planned.iter().cloned() {
        let fleet = Arc::clone(fleet);
        playing.spawn(async move {
            sleep_until(started + Duration::from_millis(it.at_ms)).await;
            let limit = Duration::from_millis(it.for_ms + STOP_MS + 5_000);
            let played = tokio::time::timeout(limit, faults::play(&fleet, &it)).await;
            played.unwrap_or(Err(SoakError::NotReady))
        });
    }
    while let Some(played) = playing.join_next().await {
        played.map_err(std::io::Error::other)??;
    }
    Ok(())
}

fn prepare(dir: &Path) -> Result<(), SoakError> {
    if dir.exists() {
        std::fs::remove_dir_all(dir)?;
    }
    Ok(std::fs::create_dir_all(dir)?)
}

fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::NotRun(_) => "refused",
        Outcome::Failed(_) => "failed",
        Outcome::Cut => "cut",
        Outcome::Wrong(_) => "wrong",
    }
}
