use serde::Serialize;

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Line {
    /// Increase per unit.
    pub slope: f64,
    /// Value at zero units.
    pub intercept: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

impl Line {
    /// The least-squares line through points. Without two different positions the slope is 0.
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX)).max(1.0);
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let both: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if spread > 0.0 { both / spread } else { 0.0 };
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
