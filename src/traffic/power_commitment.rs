//! Watts committed to an attempt until its server no longer runs it.

use super::TrafficContext;
use crate::decision::power::{PowerAnswer, PowerRequest, PowerSettings};
use crate::types::{Priority, RequestId, ServerId};
use smol::Timer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::{Display, IntoStaticStr};

/// Period between two tries to commit watts.
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Period between two tries to cancel.
const CANCEL_PERIOD: Duration = Duration::from_millis(500);

/// Watts committed to one attempt.
///
/// When it is dropped before [`PowerCommitment::release`], the server may still run the request: the
/// watts are then held until the server has confirmed a cancel, or until the work deadline that
/// the server itself enforces has passed for a request that was under way.
pub struct PowerCommitment {
    context: Arc<TrafficContext>,
    key: RequestId,
    request: RequestId,
    server: ServerId,
    address: SocketAddr,
    work_deadline: Instant,
    released: bool,
}

/// Why no watts were committed.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PowerRefusal {
    /// No watts became free while the priority allowed to wait.
    NoWattsFree,
    /// The site's budget does not cover a request of the server.
    BudgetTooSmall,
}

/// What a hold is for.
#[derive(Clone, Debug)]
pub struct PoweredAttempt {
    /// Key of the attempt in the power account.
    pub key: RequestId,
    /// Request, by which the server knows the work.
    pub request: RequestId,
    /// Server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Priority of the request.
    pub priority: Priority,
    /// When the server stops the work at the latest.
    pub work_deadline: Instant,
}

impl PowerCommitment {
    /// Commits the watts of `attempt`, waiting for them until `give_up_at`.
    pub async fn commit(
        context: Arc<TrafficContext>,
        attempt: PoweredAttempt,
        give_up_at: Instant,
    ) -> Result<Self, PowerRefusal> {
        let start = PowerRequest {
            request: attempt.key.clone(),
            server: attempt.server.clone(),
            priority: attempt.priority,
            work_deadline: attempt.work_deadline,
        };
        loop {
            match context.power.try_start(&start, Instant::now()) {
                PowerAnswer::Started => break,
                PowerAnswer::Impossible => return Err(PowerRefusal::BudgetTooSmall),
                PowerAnswer::Lacking if Instant::now() >= give_up_at => {
                    return Err(PowerRefusal::NoWattsFree);
                }
                PowerAnswer::Lacking => Timer::after(RETRY_PERIOD).await,
            };
        }
        let PoweredAttempt { key, request, server, address, work_deadline, .. } = attempt;
        Ok(Self { context, key, request, server, address, work_deadline, released: false })
    }

    /// Gives the watts back: the server no longer runs the request, or never has.
    pub fn release(&mut self) {
        if !std::mem::replace(&mut self.released, true) {
            self.context.power.finish(&self.key);
        }
    }
}

impl Drop for PowerCommitment {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        let context = Arc::clone(&self.context);
        let (key, request) = (self.key.clone(), self.request.clone());
        let transit = Duration::from_millis(PowerSettings::default().transit_ms);
        let work = AbandonedWork {
            request,
            server: self.server.clone(),
            address: self.address,
            ends_by: self.work_deadline + transit,
        };
        self.context.spawn(async move {
            work.end(&context).await;
            context.power.finish(&key);
        });
    }
}

/// Work that nobody waits for and that a server may still run.
struct AbandonedWork {
    request: RequestId,
    server: ServerId,
    address: SocketAddr,
    ends_by: Instant,
}

impl AbandonedWork {
    /// Cancels the work until the server confirms it, its port is closed, or the work has ended by
    /// its time limit. A server that came back empty confirms at once.
    async fn end(&self, context: &TrafficContext) {
        while let Err(error) = context.engines.cancel(self.address, self.request.clone()).await {
            log::warn!("event=cancel_failed server={} {error}", self.server);
            if error.is_connection_refused() || Instant::now() >= self.ends_by {
                return;
            }
            Timer::at(self.ends_by.min(Instant::now() + CANCEL_PERIOD)).await;
        }
    }
}
