use serde::Serialize;

/// A least-squares line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Line {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line.
    pub residual: f64,
}

impl Line {
    /// Fits a least-squares line to (x, y) points. The slope is 0 unless two points differ in x.
    #[must_use]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX)).max(1.0);
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if squares > 0.0 {
            products / squares
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - slope * x - intercept).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Self {
            slope,
            intercept,
            residual,
        }
    }
}
