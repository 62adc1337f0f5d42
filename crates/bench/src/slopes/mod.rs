//! Measures how control-plane work grows with the size of the fleet.
//!
//! Each measure is taken at several sizes. A least-squares line through the points gives the growth; the residual shows
//! how well the line fits.

use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::error::BenchError;
use crate::fit::Fit;
use crate::table::{Table, format_short};

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

/// One measure, taken at several sizes; a row of the table.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name of the measure.
    pub name: String,
    /// Objects that the size counts, such as members or leases.
    pub size_unit: &'static str,
    /// Unit of the measured values.
    pub unit: &'static str,
    /// Size for which the system is designed, to which the line is extrapolated; `None` when it must not be.
    pub design_size: Option<f64>,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    fn new(
        name: impl Into<String>,
        size_unit: &'static str,
        unit: &'static str,
        design_size: impl Into<Option<f64>>,
    ) -> Self {
        Self {
            name: name.into(),
            size_unit,
            unit,
            design_size: design_size.into(),
            points: Vec::new(),
        }
    }

    fn add_point(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    fn cells(&self) -> Vec<String> {
        let fit = Fit::of(&self.points);
        let unit = self.unit;
        let points = self
            .points
            .iter()
            .map(|(size, value)| format!("{size:.0}: {}", format_short(*value).trim()));
        let at_design = self
            .design_size
            .map(|size| format!("{size:.0}: {}", format_short(fit.at(size)).trim()));
        vec![
            self.name.clone(),
            unit.to_owned(),
            points.collect::<Vec<_>>().join(", "),
            self.size_unit.to_owned(),
            format_short(fit.intercept).trim().to_owned(),
            format_short(fit.slope * 1e3).trim().to_owned(),
            format!("{:.1} %", fit.residual * 100.0),
            at_design.unwrap_or_else(|| "not extrapolated".to_owned()),
        ]
    }
}

/// Names of the parts in the order in which they are measured.
///
/// `runtimes` comes first: it measures the resident memory of the whole process, which the other parts increase.
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

/// Selection of measurements.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Names from [`PARTS`] of the parts to measure; empty for all.
    pub parts: Vec<String>,
    /// Numbers of real process runtimes to start on loopback, in ascending order; empty to skip the part `runtimes`.
    pub runtimes: Vec<usize>,
}

/// Measures the selected parts in the order of [`PARTS`] and returns the table.
///
/// `on_part_measured` is called after each part with its name and the time that it took.
///
/// # Errors
///
/// Fails when a process runtime does not start.
pub fn measure(plan: &Plan, on_part_measured: impl Fn(&str, Duration)) -> Result<Table, BenchError> {
    let header = [
        "measure",
        "unit",
        "measured at size",
        "size counts",
        "at zero",
        "per 1,000 more",
        "residual",
        "at design size",
    ];
    let mut table = Table::new(&header);
    for name in PARTS {
        let is_selected = plan.parts.is_empty() || plan.parts.iter().any(|it| it == name);
        if !is_selected || (name == "runtimes" && plan.runtimes.is_empty()) {
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
            table.add_row(it.cells());
        }
        on_part_measured(name, start.elapsed());
    }
    Ok(table)
}

fn seeded_rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(SEED)
}
