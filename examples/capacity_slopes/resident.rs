//! Memory and time of this process.

use std::fs;
use std::time::Instant;

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    Ok(kilobytes.unwrap_or("0").parse::<u64>()? * 1_024)
}

/// Returns the bytes by which resident memory grows while `build` makes a value, and the value.
pub fn grown_bytes<T>(build: impl FnOnce() -> anyhow::Result<T>) -> anyhow::Result<(f64, T)> {
    let before = resident_bytes()?;
    let value = build()?;
    Ok((resident_bytes()?.saturating_sub(before) as f64, value))
}

/// Returns the mean time of `step` in microseconds over `repeats`.
pub fn mean_us(repeats: u32, mut step: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    (0..repeats).for_each(&mut step);
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}
