//! Reads request bodies within a size limit, the memory for callers, and a deadline.

use super::{Failure, FailureCode, TrafficContext};
use crate::adapters::caller_body::CallerBody;
use crate::adapters::caller_memory::{BodyFault, Room, read_request_body};
use bytes::Bytes;
use std::time::{Duration, Instant};

/// Time after which a caller whose body found no room may return.
const NO_ROOM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads `body`, which takes its room until that is dropped; fails if it exceeds the limit of the settings,
/// is incomplete at `deadline`, or finds no room.
pub async fn read(
    context: &TrafficContext,
    body: CallerBody,
    deadline: Instant,
) -> Result<(Bytes, Room), Failure> {
    let limit_bytes = context.settings.limits.body_bytes;
    let read = read_request_body(&context.caller_memory, body, limit_bytes, deadline).await;
    read.map_err(|fault| match fault {
        BodyFault::TimedOut => {
            Failure::not_run(FailureCode::BodyTimeout, "the body did not arrive in time")
        }
        BodyFault::TooLarge => {
            let message = format!("the body exceeds {limit_bytes} bytes");
            Failure::not_run(FailureCode::BodyTooLarge, message)
        }
        BodyFault::Broken(error) => {
            let message = format!("the body could not be read: {error}");
            Failure::not_run(FailureCode::InvalidRequest, message)
        }
        BodyFault::NoRoom => {
            let retry_at = Instant::now() + NO_ROOM_RETRY_DELAY;
            let message = "the node has no memory for the body";
            Failure::not_run(FailureCode::NoRoom, message).retry_at(retry_at)
        }
    })
}
