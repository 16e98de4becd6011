//! Power committed to an attempt until its server no longer runs it.

use super::TrafficContext;
use crate::decision::power::{PowerAnswer, PowerRequest, PowerSettings};
use crate::types::{Priority, RequestId, ServerId};
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Period of retries while too few watts are free.
const COMMIT_RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Period of retries of a failed cancellation.
const CANCEL_RETRY_PERIOD: Duration = Duration::from_millis(500);

/// Watts committed to one attempt.
///
/// If it is dropped before [`PowerCommitment::release`], the server may still run the request. The
/// request is then cancelled in the background, and the watts stay committed until the server
/// confirms the cancellation or refuses connections, or until the deadline that the server itself
/// enforces has passed.
pub struct PowerCommitment {
    context: Arc<TrafficContext>,
    key: RequestId,
    request: RequestId,
    server: ServerId,
    address: SocketAddr,
    work_deadline: Instant,
    is_released: bool,
}

/// Why no watts were committed.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PowerRefusal {
    /// Too few watts became free within the maximum wait.
    NoWattsFree,
    /// The budget of the whole site does not cover a request of the server, the request already
    /// runs, or the server is unknown.
    BudgetTooSmall,
}

/// Attempt that needs power.
#[derive(Clone, Debug)]
pub struct PoweredAttempt {
    /// Key of the attempt in the power account.
    pub key: RequestId,
    /// Id under which the server runs the request.
    pub request: RequestId,
    /// Server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Priority of the request.
    pub priority: Priority,
    /// Deadline that the server enforces on the request.
    pub work_deadline: Instant,
}

impl PowerCommitment {
    /// Commits the watts of `attempt`, waiting until `wait_deadline` while too few are free.
    pub async fn commit(
        context: Arc<TrafficContext>,
        attempt: PoweredAttempt,
        wait_deadline: Instant,
    ) -> Result<Self, PowerRefusal> {
        let power_request = PowerRequest {
            request: attempt.key.clone(),
            server: attempt.server.clone(),
            priority: attempt.priority,
            work_deadline: attempt.work_deadline,
        };
        loop {
            match context.power.try_start(&power_request, Instant::now()) {
                PowerAnswer::Started => break,
                PowerAnswer::Impossible => return Err(PowerRefusal::BudgetTooSmall),
                PowerAnswer::Lacking if Instant::now() >= wait_deadline => {
                    return Err(PowerRefusal::NoWattsFree);
                }
                PowerAnswer::Lacking => Timer::after(COMMIT_RETRY_PERIOD).await,
            };
        }
        let PoweredAttempt { key, request, server, address, work_deadline, .. } = attempt;
        Ok(Self { context, key, request, server, address, work_deadline, is_released: false })
    }

    /// Releases the watts; call it when the server no longer runs the request or never did.
    pub fn release(&mut self) {
        if !std::mem::replace(&mut self.is_released, true) {
            self.context.power.finish(&self.key);
        }
    }
}

impl Drop for PowerCommitment {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        let context = Arc::clone(&self.context);
        let (key, request) = (self.key.clone(), self.request.clone());
        let transit = Duration::from_millis(PowerSettings::default().request_transit_ms);
        let work = AbandonedWork {
            request,
            server: self.server.clone(),
            address: self.address,
            end_deadline: self.work_deadline + transit,
        };
        self.context.spawn(async move {
            work.cancel(&context).await;
            context.power.finish(&key);
        });
    }
}

/// Request that is no longer awaited and that a server may still run.
struct AbandonedWork {
    request: RequestId,
    server: ServerId,
    address: SocketAddr,
    /// When the server has ended the request at the latest: the deadline that it enforces, plus the
    /// maximum time that the request took to reach it.
    end_deadline: Instant,
}

impl AbandonedWork {
    /// Cancels the request, with retries until the server confirms it or refuses connections, or
    /// until the deadline has passed. A restarted server confirms at once.
    async fn cancel(&self, context: &TrafficContext) {
        while let Err(error) = context.engines.cancel(self.address, self.request.clone()).await {
            log::warn!("event=cancel_failed server={} {error}", self.server);
            if error.is_connection_refused() || Instant::now() >= self.end_deadline {
                return;
            }
            Timer::at(self.end_deadline.min(Instant::now() + CANCEL_RETRY_PERIOD)).await;
        }
    }
}
