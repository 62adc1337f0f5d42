//! Least-squares line through measured points.

/// Least-squares line through measured points, with its residual.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value of the line at zero.
    pub intercept: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Root mean square of the residuals, relative to the mean of the values, so that 0.1 is 10 %. Absolute when the
    /// mean is zero.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to pairs of size and value. The slope is zero unless there are two different sizes.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
        let x_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let xy_products: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if x_squares > 0.0 { xy_products / x_squares } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let residual_squares: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let rms_error = (residual_squares / count).sqrt();
        let residual = if mean_y == 0.0 {
            rms_error
        } else {
            rms_error / mean_y.abs()
        };
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
