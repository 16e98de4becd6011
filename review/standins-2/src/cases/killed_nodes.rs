//! All nodes are killed at once while servers of two software versions serve. Clients take their streams up
//! again, some of them when the nodes have been in touch.

use super::{EVENTS, settings, start_patient_clients, start_site};
use crate::Verdict;
use crate::engine::Engine;
use crate::record::Record;
use crate::streams::{Received, Retries, Try};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const STREAMS: usize = 48;
const NEW_STREAMS: usize = 24;

/// One retry, as the sheet of the site has it.
const RETRIES: Retries = Retries { count: 1, pause: Duration::from_millis(5_100) };

/// Time after their start from which nodes are in touch (`ContactMs`).
const CONTACT: Duration = Duration::from_millis(3_000);

/// Streams taken up from which the rule counts.
const MIN_TAKEN_UP: usize = 12;

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut site = start_site(3, record)?;
    let engine = |id: &str| Engine::start(settings(id, "z1", "v2", EVENTS), &site.store, record);
    let _new = [engine("i-new1"), engine("i-new2")];
    record.add("servers i-new1 and i-new2 register with version v2");
    thread::sleep(Duration::from_secs(3));
    let clients = start_patient_clients(&site, 0..STREAMS, RETRIES, record);
    thread::sleep(Duration::from_millis(500));
    let mut in_touch_at = Instant::now();
    if has_trouble {
        site.kill_nodes();
        record.add("all nodes are killed");
        thread::sleep(Duration::from_millis(500));
        site.start_nodes(false)?;
        in_touch_at = Instant::now() + CONTACT;
        record.add("all nodes are ready again");
    }
    thread::sleep(
        (in_touch_at + Duration::from_millis(200)).saturating_duration_since(Instant::now()),
    );
    record.add("the nodes are in touch");
    let others = start_patient_clients(&site, STREAMS..STREAMS + NEW_STREAMS, RETRIES, record);
    let received: Result<Vec<Received>, _> =
        clients.into_iter().chain(others).map(JoinHandle::join).collect();
    let received = received.map_err(|_| "a client failed".to_owned())?;
    let tries = || received.iter().flat_map(|one| &one.tries).filter(|one| one.at >= in_touch_at);
    let count = |takes_up: bool| {
        let of_kind: Vec<&Try> = tries().filter(|one| one.takes_up == takes_up).collect();
        (of_kind.iter().filter(|one| one.is_served).count(), of_kind.len())
    };
    let ((gone_on, taken_up), (begun, new)) = (count(true), count(false));
    let line = format!(
        "at nodes in touch {gone_on} of {taken_up} streams that were taken up went on, and {begun} of \
         {new} new ones began"
    );
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let is_broken = taken_up >= MIN_TAKEN_UP && share(gone_on, taken_up) < share(begun, new) / 2.0;
    Ok(if is_broken { Verdict::Broken(line) } else { Verdict::Held(line) })
}
