//! The command `guava-replay run`.

use std::path::PathBuf;

use comfy_table::{Table, presets};
use guava_load::report::Latency;
use guava_replay::error::ReplayError;
use guava_replay::expect::Expected;
use guava_replay::figures::{self, Figures};
use guava_replay::pool::Policy;
use guava_replay::scenario::{self, RecordedTrace};

/// Long help text of the command.
pub const USAGE: &str = "\
Replays traces against the loading policies in virtual time and prints a table of the measures. Run it in the root of
the repository.

Usage:
    guava-replay run traces
    guava-replay run traces/welsh --policy cost --check";

/// Arguments of the command.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory that is searched for scenarios, with all directories below it.
    #[arg(default_value = "traces")]
    dir: PathBuf,
    /// Policies to replay the traces against, separated by commas.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = Policy::ALL)]
    policy: Vec<Policy>,
    /// Root of the repository, to which the paths of the configurations are relative.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Prints the expected bounds that are missed; has no effect unless both policies are replayed.
    #[arg(long)]
    check: bool,
    /// Prints the requests that were refused although they were within their organisation's rate.
    #[arg(long)]
    refusals: bool,
    /// Prints the slowest cold starts of each replay.
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

/// Replays the traces and prints the results. Missed bounds are printed but are not an error.
pub fn run(args: &Args) -> Result<(), ReplayError> {
    let paths = scenario::find_scenarios(&args.dir)?;
    let recorded: Result<Vec<RecordedTrace>, _> = paths.iter().map(|it| RecordedTrace::read(&args.root, it)).collect();
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
        print_missed_bounds(&recorded, &measured)?;
    }
    Ok(())
}

fn table(measured: &[Figures]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN).set_header(HEADER);
    let millis = |it: std::time::Duration| it.as_millis().to_string();
    let p99 = |it: Latency| millis(it.p99);
    for it in measured {
        table.add_row([
            it.trace.clone(),
            it.policy.name().to_owned(),
            it.cold_start.count.to_string(),
            millis(it.cold_start.p50),
            p99(it.cold_start),
            p99(it.cold_start_with_refused),
            p99(it.cold_start_bound),
            format!("{:.3}", it.idle_hours),
            format!("{:.3}", it.idle_loaded_hours),
            format!("{} {:.1} %", it.worst_served.0, it.worst_served.1 * 100.0),
            format!("{} ({})", it.refused, it.refused_min),
            format!("{} of {}", it.answered, it.admitted),
        ]);
    }
    table
}

fn print_slowest(recorded: &[RecordedTrace], measured: &[Figures]) {
    for figures in measured {
        let Some(trace) = recorded.iter().find(|it| it.name == figures.trace) else {
            continue;
        };
        for (index, ttft_ms, min_ms) in &figures.slowest_cold_starts {
            let req = &trace.requests[*index];
            let (at_ms, model, name, policy) = (req.at_ms, &req.model, &figures.trace, figures.policy.name());
            println!(
                "slow: {name} {policy} request {index} at {at_ms} ms for {model}: {ttft_ms} ms, unavoidable {min_ms} ms"
            );
        }
    }
}

fn print_refusals(recorded: &[RecordedTrace], measured: &[Figures]) {
    for figures in measured {
        let Some(trace) = recorded.iter().find(|it| it.name == figures.trace) else {
            continue;
        };
        for index in &figures.refused_indexes {
            let req = &trace.requests[*index];
            let (at_ms, organisation, model) = (req.at_ms, &req.organisation, &req.model);
            println!(
                "refused: {} {} request {index} at {at_ms} ms of {organisation} for {model}",
                figures.trace,
                figures.policy.name()
            );
        }
    }
}

fn print_missed_bounds(recorded: &[RecordedTrace], measured: &[Figures]) -> Result<(), ReplayError> {
    let figures_of = |name: &str, policy| measured.iter().find(|it| it.trace == name && it.policy == policy);
    for it in recorded {
        let expected: Expected = scenario::read_json(&scenario::sibling_path(&it.path, ".expect.json"))?;
        if let Some((cost, naive)) = figures_of(&it.name, Policy::Cost).zip(figures_of(&it.name, Policy::Naive)) {
            expected
                .misses(cost, naive)
                .iter()
                .for_each(|it| println!("missed: {it}"));
        }
    }
    Ok(())
}
