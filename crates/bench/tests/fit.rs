//! Tests of the least-squares line.

use guava_bench::fit::Fit;
use rstest::rstest;

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

/// Guards against a wrong slope or intercept: points on a line must give exactly that line.
#[test]
fn collinear_points_give_exact_line() {
    let points: Vec<(f64, f64)> = [1.0, 10.0, 100.0].map(|x| (x, 3.0 + 2.0 * x)).to_vec();

    let fit = Fit::of(&points);

    assert!(close(fit.slope, 2.0) && close(fit.intercept, 3.0), "{fit:?}");
    assert!(fit.residual < 1e-9, "{fit:?}");
    assert!(close(fit.at(1_000.0), 2_003.0), "{fit:?}");
}

/// Guards against an understated residual: the points lie 1 above and below the line y = 2.
#[test]
fn residual_is_relative_to_mean() {
    let points = [(0.0, 1.0), (1.0, 3.0), (2.0, 3.0), (3.0, 1.0)];

    let fit = Fit::of(&points);

    assert!(close(fit.slope, 0.0) && close(fit.intercept, 2.0), "{fit:?}");
    assert!(close(fit.residual, 0.5), "{fit:?}");
}

/// Guards against a division by zero that would put `NaN` into the table.
#[rstest]
#[case::no_points(&[])]
#[case::one_point(&[(5.0, 7.0)])]
#[case::one_size(&[(5.0, 6.0), (5.0, 8.0)])]
#[case::all_zero(&[(1.0, 0.0), (2.0, 0.0)])]
fn degenerate_points_give_finite_numbers(#[case] points: &[(f64, f64)]) {
    let fit = Fit::of(points);

    assert!(close(fit.slope, 0.0), "{fit:?}");
    assert!(fit.intercept.is_finite() && fit.residual.is_finite(), "{fit:?}");
}
