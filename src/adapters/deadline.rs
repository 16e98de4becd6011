//! Bounds a future by a deadline.

use futures_lite::FutureExt;
use smol::Timer;
use std::future::Future;
use std::time::Instant;

/// The deadline passed before the future was ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlinePassed;

impl std::fmt::Display for DeadlinePassed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("deadline passed")
    }
}

impl std::error::Error for DeadlinePassed {}

/// Returns the output of `future`, or an error once `deadline` has passed.
pub async fn within<T>(
    deadline: Instant,
    future: impl Future<Output = T>,
) -> Result<T, DeadlinePassed> {
    let output = async { Ok(future.await) };
    let timer = async {
        Timer::at(deadline).await;
        Err(DeadlinePassed)
    };
    output.or(timer).await
}
