//! Memory and time of this process.

use peak_alloc::PeakAlloc;
use std::time::Instant;

/// Allocator that counts the bytes in use.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Returns the bytes in use by this process.
pub fn used_bytes() -> u64 {
    ALLOCATOR.current_usage() as u64
}

/// Returns the bytes by which memory in use grows while `build` makes a value, and the value.
pub fn grown_bytes<T>(build: impl FnOnce() -> anyhow::Result<T>) -> anyhow::Result<(f64, T)> {
    let before = used_bytes();
    let value = build()?;
    Ok((used_bytes().saturating_sub(before) as f64, value))
}

/// Returns the mean time of `step` in microseconds over `repeats`.
pub fn mean_us(repeats: u32, mut step: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    (0..repeats).for_each(&mut step);
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}
