//! Checks that the process of a server is that of its entry, before a stream begins or goes on there.

use super::RelayContext;
use super::attempt::suspend_server;
use super::control::RelayControlEvent;
use super::request::RelayedRequest;
use crate::decision::relay::{Choice, RetrySafety};
use crate::types::{Delivery, Incarnation, PeerError, PeerResult, ServerId, Step};
use anyhow::anyhow;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time in which a server must tell which process it is.
pub const PROCESS_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether another process than that of its entry may answer for the chosen server. The process
/// is asked before a stream goes on there. A stream that begins there after a sign that the process may
/// have ended is not delayed; the process is asked beside it.
///
/// # Errors
///
/// A stream cannot go on there: the process does not answer, or is another one.
pub async fn check_process(
    context: &RelayContext,
    request: &RelayedRequest,
    choice: &Choice,
    goes_on: bool,
) -> PeerResult<bool> {
    if request.route.retry_safety != RetrySafety::ResumableStream {
        return Ok(false);
    }
    let now = Instant::now();
    let unusable =
        |error| PeerError::new(Step::Send, choice.server.clone(), Delivery::NotSent, error);
    let Some(process) = entry_process(context, choice, now) else {
        return Err(unusable(anyhow!("the server's entry has changed")));
    };
    let Some(expected) = process.incarnation else { return Ok(false) };
    if goes_on || request.is_resumption() {
        let deadline = request.deadline.min(now + PROCESS_CHECK_TIMEOUT);
        return match ask_process(context, &choice.server, choice.address, deadline).await {
            Ok(Some(found)) if found != expected => {
                Err(unusable(anyhow!("the server started again: {found} instead of {expected}")))
            }
            Ok(_) => Ok(false),
            Err(error) => {
                suspend_server(context, choice);
                Err(unusable(error.into()))
            }
        };
    }
    if process.must_ask {
        let (server, address) = (choice.server.clone(), choice.address);
        context.notify_control(RelayControlEvent::ProcessDoubted { server, address });
    }
    Ok(process.is_doubted)
}

/// Process of a server by its entry.
struct EntryProcess {
    incarnation: Option<Incarnation>,
    /// Whether it may have ended.
    is_doubted: bool,
    /// Whether it is to be asked now.
    must_ask: bool,
}

/// Returns the process of the chosen server, `None` if its entry has changed since.
fn entry_process(context: &RelayContext, choice: &Choice, now: Instant) -> Option<EntryProcess> {
    let mut fleet = context.fleet();
    let server = fleet.server_mut(&choice.server)?;
    (server.entry.software == choice.software).then(|| EntryProcess {
        incarnation: server.entry.started_unix_ms,
        is_doubted: server.is_process_doubted(),
        must_ask: server.take_process_check(now),
    })
}

/// Asks the process of a server for its start, and records it.
///
/// # Errors
///
/// The process does not answer.
pub async fn ask_process(
    context: &RelayContext,
    server: &ServerId,
    address: SocketAddr,
    deadline: Instant,
) -> PeerResult<Option<Incarnation>> {
    let found = context.ports.engines.incarnation(server, address, deadline).await?;
    if let Some(known) = context.fleet().server_mut(server) {
        let expected = known.incarnation();
        let found = found.unwrap_or(expected);
        known.confirm_process(found, Instant::now());
        if found != expected {
            log::info!("event=process_replaced server={server} expected={expected} found={found}");
        }
    }
    Ok(found)
}
