//! The `guava-bench slopes` command.

use std::fs;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use guava_bench::error::BenchError;
use guava_bench::slopes::{self, Plan};
use guava_bench::{process, table};

/// Long help text.
pub(crate) const USAGE: &str = "\
Measures how control-plane work grows with the size of the fleet, fits a line to each measure and writes the table
between the marker comments of a page.

Usage:
    guava-bench slopes --page docs/CAPACITY.md
    guava-bench slopes --runtimes 6,18,60
    guava-bench slopes --parts membership,quota";

/// Arguments of `guava-bench slopes`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Markdown page with the marker comments; without it the table is only printed.
    #[arg(long)]
    page: Option<PathBuf>,
    /// Numbers of real process runtimes to start on loopback; `0` skips this part.
    #[arg(long, value_delimiter = ',', default_values_t = [6, 18, 60])]
    runtimes: Vec<usize>,
    /// Parts to measure; all of them by default. Cannot be combined with `--page`, which needs all parts.
    #[arg(long, value_delimiter = ',', conflicts_with = "page", value_parser = PossibleValuesParser::new(slopes::PARTS))]
    parts: Vec<String>,
}

/// Takes the measurements, prints the table and writes it to the page if there is one.
pub(crate) fn run(args: &Args) -> Result<(), BenchError> {
    let plan = Plan {
        parts: args.parts.clone(),
        runtimes: args.runtimes.iter().copied().filter(|it| *it > 0).collect(),
    };
    let load_before = process::load_average();
    let measured = slopes::measure(&plan, |name, took| eprintln!("{name}: {:.1} s", took.as_secs_f64()))?;
    let processors = std::thread::available_parallelism()?;
    let load_after = process::load_average();
    let body = format!(
        "Processors: {processors}. Load of the machine (mean of a minute) at the start {load_before}, at the end {load_after}.\n\n{measured}"
    );
    println!("{body}");
    if let Some(page) = &args.page {
        let text = fs::read_to_string(page)?;
        fs::write(page, table::replace_marked(&text, &body)?)?;
    }
    Ok(())
}
