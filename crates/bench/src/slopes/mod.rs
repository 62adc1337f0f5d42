//! How control work grows with the size of the fleet.
//!
//! Each measure is taken at three or more sizes; a line through the points gives its growth, and the distance of the
//! points from the line its noise.

use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::error::BenchError;
use crate::fit::Fit;
use crate::table::{Table, short};

mod configuration;
mod gossip;
mod leases;
mod membership;
mod placement;
mod plan;
mod quota;
mod routing;
mod runtimes;
mod spreading;

/// Seed of all generated input.
const SEED: u64 = 20_261_204;

/// One measure at several sizes.
#[derive(Debug, Clone)]
pub struct Series {
    /// What is measured.
    pub what: String,
    /// What the size counts.
    pub per: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Size at the design's scale; `None` when the line must not be followed that far.
    pub design: Option<f64>,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    fn new(what: impl Into<String>, per: &'static str, unit: &'static str, design: impl Into<Option<f64>>) -> Self {
        Self {
            what: what.into(),
            per,
            unit,
            design: design.into(),
            points: Vec::new(),
        }
    }

    fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    fn cells(&self) -> Vec<String> {
        let fit = Fit::of(&self.points);
        let unit = self.unit;
        let points = self
            .points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {}", short(*value).trim()));
        let at_design = self
            .design
            .map(|size| format!("{size:.0}: {}", short(fit.at(size)).trim()));
        vec![
            self.what.clone(),
            unit.to_owned(),
            points.collect::<Vec<_>>().join(", "),
            self.per.to_owned(),
            short(fit.intercept).trim().to_owned(),
            short(fit.slope * 1e3).trim().to_owned(),
            format!("{:.1} %", fit.residual * 100.0),
            at_design.unwrap_or_else(|| "not extrapolated".to_owned()),
        ]
    }
}

/// Names of the parts in the order in which they are measured.
///
/// Memory of real runtimes is taken from the whole process, so they come before anything else has grown it.
pub const PARTS: [&str; 10] = [
    "runtimes",
    "membership",
    "gossip",
    "spreading",
    "leases",
    "quota",
    "routing",
    "plan",
    "placement",
    "configuration",
];

/// What to measure.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Parts of [`PARTS`] to measure; empty for all.
    pub parts: Vec<String>,
    /// Numbers of real runtimes on loopback; empty to leave them out.
    pub runtimes: Vec<usize>,
}

/// Measures the parts of the plan and returns the table.
///
/// # Errors
///
/// Fails when a runtime does not start.
pub fn measure(plan: &Plan, note: impl Fn(&str, Duration)) -> Result<Table, BenchError> {
    let head = [
        "measure",
        "unit",
        "measured at size",
        "size counts",
        "at zero",
        "per 1,000 more",
        "residual",
        "at design size",
    ];
    let mut table = Table::new(&head);
    for name in PARTS {
        let is_wanted = plan.parts.is_empty() || plan.parts.iter().any(|it| it == name);
        if !is_wanted || (name == "runtimes" && plan.runtimes.is_empty()) {
            continue;
        }
        let start = Instant::now();
        let series = match name {
            "runtimes" => runtimes::measure(&plan.runtimes)?,
            "membership" => membership::measure(),
            "gossip" => gossip::measure(),
            "spreading" => spreading::measure(),
            "leases" => leases::measure(),
            "quota" => quota::measure(),
            "routing" => routing::measure(),
            "plan" => plan::measure(),
            "placement" => placement::measure(),
            _ => configuration::measure(),
        };
        for it in &series {
            table.row(it.cells());
        }
        note(name, start.elapsed());
    }
    Ok(table)
}

fn seeded() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(SEED)
}
