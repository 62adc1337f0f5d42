//! Least-squares line through measured points.

/// Line through points with its noise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value at zero.
    pub intercept: f64,
    /// Growth for each unit.
    pub slope: f64,
    /// Root of the mean squared residual, relative to the mean of the values.
    pub residual: f64,
}

impl Fit {
    /// Fits a line; without two different sizes the slope is zero.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let shared: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let error = (squares / count).sqrt();
        let residual = if mean_y == 0.0 { error } else { error / mean_y.abs() };
        Self {
            intercept,
            slope,
            residual,
        }
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
