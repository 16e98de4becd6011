//! Least-squares fit of cost against size.

use std::fmt;

/// Measured cost at one size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Size, in the unit of the measurement.
    pub size: f64,
    /// Cost at that size.
    pub cost: f64,
}

/// Line fitted to measured points by least squares.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Measured cost, its unit, and the size that it depends on.
    pub name: &'static str,
    /// Cost at size 0.
    pub base_cost: f64,
    /// Cost per unit of size.
    pub cost_per_unit: f64,
    /// Maximum distance of a point from the line, as a fraction of the highest cost.
    pub error_fraction: f64,
    /// Measured points.
    pub points: Vec<Point>,
}

impl Slope {
    /// Fits a line to `points`, of which at least two must differ in size.
    pub fn fit(name: &'static str, points: Vec<Point>) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let covariance: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.cost - mean_cost)).sum();
        let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let cost_per_unit = covariance / variance;
        let base_cost = mean_cost - cost_per_unit * mean_size;
        let max_cost =
            points.iter().map(|point| point.cost.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |point: &Point| (base_cost + cost_per_unit * point.size - point.cost).abs();
        let error_fraction = points.iter().map(distance).fold(0.0, f64::max) / max_cost;
        Self { name, base_cost, cost_per_unit, error_fraction, points }
    }

    /// Returns the predicted cost at `size`, at least 0.
    pub fn cost_at(&self, size: f64) -> f64 {
        (self.base_cost + self.cost_per_unit * size).max(0.0)
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let error_percent = self.error_fraction * 100.0;
        write!(
            f,
            "{:<44} {:>12.2} {:>12.4} {error_percent:>6.1}%  ",
            self.name, self.base_cost, self.cost_per_unit
        )?;
        let points: Vec<String> =
            self.points.iter().map(|point| format!("{}:{:.1}", point.size, point.cost)).collect();
        f.write_str(&points.join(" "))
    }
}
