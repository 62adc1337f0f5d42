//! `guava-replay run`.

use std::path::PathBuf;

use comfy_table::{Table, presets};
use guava_load::report::Latency;
use guava_replay::error::ReplayError;
use guava_replay::expect::Expected;
use guava_replay::figures::{self, Figures};
use guava_replay::pool::Policy;
use guava_replay::scenario::{self, Recorded};

/// Usage text.
pub const USAGE: &str = "\
Replays traces against the loading policies in virtual time and prints the four measures side by side. Run it in the
root of the repository.

Usage:
    guava-replay run traces
    guava-replay run traces/welsh --policy cost --check";

/// Arguments.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory of scenarios.
    #[arg(default_value = "traces")]
    dir: PathBuf,
    /// Policies.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = Policy::ALL)]
    policy: Vec<Policy>,
    /// Root of the repository.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Prints the expected bounds that are missed.
    #[arg(long)]
    check: bool,
    /// Prints the requests that were refused although within the rate.
    #[arg(long)]
    refusals: bool,
    /// Prints the slowest cold starts.
    #[arg(long)]
    slowest: bool,
}

const HEADER: [&str; 12] = [
    "trace",
    "policy",
    "cold n",
    "p50 ms",
    "p99 ms",
    "p99 with refused",
    "p99 bound",
    "idle h",
    "idle held h",
    "worst served",
    "refused (least)",
    "answered",
];

/// Runs the command.
pub fn run(args: &Args) -> Result<(), ReplayError> {
    let paths = scenario::find(&args.dir)?;
    let recorded: Result<Vec<Recorded>, _> = paths.iter().map(|it| Recorded::read(&args.root, it)).collect();
    let recorded = recorded?;
    let measured = figures::measure_all(&recorded, &args.policy);
    println!("{}", table(&measured));
    if args.slowest {
        print_slowest(&recorded, &measured);
    }
    if args.refusals {
        print_refusals(&recorded, &measured);
    }
    if args.check {
        check(&recorded, &measured)?;
    }
    Ok(())
}

fn table(measured: &[Figures]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN).set_header(HEADER);
    let ms = |it: std::time::Duration| it.as_millis().to_string();
    let p99 = |it: Latency| ms(it.p99);
    for it in measured {
        table.add_row([
            it.trace.clone(),
            it.policy.name().to_owned(),
            it.cold.count.to_string(),
            ms(it.cold.p50),
            p99(it.cold),
            p99(it.cold_with_refused),
            p99(it.cold_bound),
            format!("{:.3}", it.idle_hours),
            format!("{:.3}", it.idle_held_hours),
            format!("{} {:.1} %", it.worst.0, it.worst.1 * 100.0),
            format!("{} ({})", it.refused, it.refused_bound),
            format!("{} of {}", it.answered, it.admitted),
        ]);
    }
    table
}

fn print_slowest(recorded: &[Recorded], measured: &[Figures]) {
    for figures in measured {
        let Some(trace) = recorded.iter().find(|it| it.name == figures.trace) else {
            continue;
        };
        for (index, ms, bound_ms) in &figures.slowest {
            let req = &trace.requests[*index];
            let (at, model, name, policy) = (req.at_ms, &req.model, &figures.trace, figures.policy.name());
            println!(
                "slow: {name} {policy} request {index} at {at} ms for {model}: {ms} ms, unavoidable {bound_ms} ms"
            );
        }
    }
}

fn print_refusals(recorded: &[Recorded], measured: &[Figures]) {
    for figures in measured {
        let Some(trace) = recorded.iter().find(|it| it.name == figures.trace) else {
            continue;
        };
        for index in &figures.refusals {
            let req = &trace.requests[*index];
            let (at, organisation, model) = (req.at_ms, &req.organisation, &req.model);
            println!(
                "refused: {} {} request {index} at {at} ms of {organisation} for {model}",
                figures.trace,
                figures.policy.name()
            );
        }
    }
}

fn check(recorded: &[Recorded], measured: &[Figures]) -> Result<(), ReplayError> {
    let find = |name: &str, policy| measured.iter().find(|it| it.trace == name && it.policy == policy);
    for it in recorded {
        let expected: Expected = scenario::read_json(&scenario::sibling(&it.path, ".expect.json"))?;
        if let Some((cost, naive)) = find(&it.name, Policy::Cost).zip(find(&it.name, Policy::Naive)) {
            expected
                .misses(cost, naive)
                .iter()
                .for_each(|it| println!("missed: {it}"));
        }
    }
    Ok(())
}
