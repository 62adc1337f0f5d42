//! Bar charts that compare the policies by each of the four measures.

use std::path::Path;

use plotters::prelude::*;

use crate::error::ReplayError;
use crate::figures::Figures;
use crate::pool::Policy;

const PLOT_SIZE_PIXELS: (u32, u32) = (900, 420);
const BAR_WIDTH: f64 = 0.36;

struct Measure {
    file: &'static str,
    title: &'static str,
    value: fn(&Figures) -> f64,
}

const MEASURES: [Measure; 4] = [
    Measure {
        file: "policy-cold-start.svg",
        title: "p99 cold start, refused ones at their limit (ms)",
        value: |it| it.cold_start_with_refused.p99.as_millis() as f64,
    },
    Measure {
        file: "policy-idle.svg",
        title: "idle accelerator hours",
        value: |it| it.idle_hours,
    },
    Measure {
        file: "policy-worst-served.svg",
        title: "worst-served organisation (% of its entitled tokens)",
        value: |it| it.worst_served.1 * 100.0,
    },
    Measure {
        file: "policy-refused.svg",
        title: "requests refused within the rate",
        value: |it| it.refused as f64,
    },
];

/// Draws an SVG file for each measure into the directory `dir`, overwriting existing ones. `measured` must be grouped
/// by trace, as [`crate::figures::measure_all`] returns it.
///
/// # Errors
///
/// Fails when a plot cannot be drawn or written.
pub fn draw_all(measured: &[Figures], dir: &Path) -> Result<(), ReplayError> {
    MEASURES.iter().try_for_each(|it| {
        let path = dir.join(it.file);
        draw(measured, it, &path).map_err(|error| ReplayError::Plot(error.to_string()))
    })
}

fn draw(measured: &[Figures], measure: &Measure, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut traces: Vec<&str> = measured.iter().map(|it| it.trace.as_str()).collect();
    traces.dedup();
    let max_value = measured.iter().map(measure.value).fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(measure.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(110)
        .y_label_area_size(60)
        .build_cartesian_2d(-0.5..traces.len() as f64 - 0.5, 0.0..max_value * 1.05)?;
    let trace_label = |x: &f64| {
        let is_tick_of_trace = (x - x.round()).abs() < 0.01;
        let name = is_tick_of_trace.then(|| traces.get(x.round() as usize)).flatten();
        name.map_or_else(String::new, |it| (*it).to_owned())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(traces.len() * 2)
        .x_label_formatter(&trace_label)
        .x_label_style(("sans-serif", 11).into_font().transform(FontTransform::Rotate90))
        .draw()?;
    for (policy, offset, colour) in [
        (Policy::Naive, -BAR_WIDTH, RGBColor(150, 150, 150)),
        (Policy::Cost, 0.0, BLUE),
    ] {
        let bars = measured.iter().filter(|it| it.policy == policy).map(|it| {
            let index = traces.iter().position(|name| *name == it.trace).unwrap_or(0);
            let left = index as f64 + offset;
            let corners = [(left, 0.0), (left + BAR_WIDTH, (measure.value)(it))];
            Rectangle::new(corners, colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(policy.name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
