//! Memory and time used by this process.

use peak_alloc::PeakAlloc;
use std::time::Instant;

/// Allocator that counts the allocated bytes.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Returns the bytes currently allocated by this process.
pub fn allocated_bytes() -> u64 {
    ALLOCATOR.current_usage() as u64
}

/// Runs `build`; returns the growth of the allocated bytes and the value built.
pub fn measure_allocation<T>(
    build: impl FnOnce() -> anyhow::Result<T>,
) -> anyhow::Result<(f64, T)> {
    let before_bytes = allocated_bytes();
    let value = build()?;
    Ok((allocated_bytes().saturating_sub(before_bytes) as f64, value))
}

/// Runs `step` `repeats` times and returns its mean duration in microseconds.
pub fn mean_us(repeats: u32, mut step: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    (0..repeats).for_each(&mut step);
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}
