//! Reads request bodies within a size limit and a deadline.

use super::{Failure, FailureCode};
use crate::adapters::deadline::timeout_at;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::time::Instant;

/// Reads `body`; fails if it exceeds `limit_bytes` or is incomplete at `deadline`.
pub async fn read(body: Incoming, limit_bytes: usize, deadline: Instant) -> Result<Bytes, Failure> {
    let collected = timeout_at(deadline, Limited::new(body, limit_bytes).collect()).await;
    let Ok(collected) = collected else {
        let message = "the body did not arrive in time";
        return Err(Failure::not_run(FailureCode::BodyTimeout, message));
    };
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {limit_bytes} bytes");
            Err(Failure::not_run(FailureCode::BodyTooLarge, message))
        }
        Err(error) => {
            let message = format!("the body could not be read: {error}");
            Err(Failure::not_run(FailureCode::InvalidRequest, message))
        }
    }
}
