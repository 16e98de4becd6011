//! Deadline for a future.

use crate::types::DeadlinePassed;
use futures_lite::FutureExt;
use smol::Timer;
use std::future::Future;
use std::time::Instant;

/// Returns the output of `future`, or an error if it is not ready at `deadline`.
pub async fn timeout_at<T>(
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
