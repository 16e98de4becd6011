//! Linear fit of measured points.

use std::fmt;

/// Measured point.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Cost at that size.
    pub cost: f64,
}

/// Line through measured points by least squares.
#[derive(Clone, Debug)]
pub struct Slope {
    /// What is measured, its unit, and by what it grows.
    pub name: &'static str,
    /// Cost at size 0.
    pub base: f64,
    /// Cost of each unit of size.
    pub per_unit: f64,
    /// Largest distance of a point from the line, as a part of the largest cost.
    pub error: f64,
    /// Points.
    pub points: Vec<Point>,
}

impl Slope {
    /// Fits a line through `points`, at least two of different size.
    pub fn fit(name: &'static str, points: Vec<Point>) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let covariance: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.cost - mean_cost)).sum();
        let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let per_unit = covariance / variance;
        let base = mean_cost - per_unit * mean_size;
        let largest = points.iter().map(|point| point.cost.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |point: &Point| (base + per_unit * point.size - point.cost).abs();
        let error = points.iter().map(distance).fold(0.0, f64::max) / largest;
        Self { name, base, per_unit, error, points }
    }

    /// Returns the cost at `size`.
    pub fn at(&self, size: f64) -> f64 {
        (self.base + self.per_unit * size).max(0.0)
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let error_percent = self.error * 100.0;
        write!(
            f,
            "{:<44} {:>12.2} {:>12.4} {error_percent:>6.1}%  ",
            self.name, self.base, self.per_unit
        )?;
        let points: Vec<String> =
            self.points.iter().map(|point| format!("{}:{:.1}", point.size, point.cost)).collect();
        f.write_str(&points.join(" "))
    }
}
