//! A brittle server under the pressure of 6, 68 and 295 nodes that all have more requests for it than
//! it can run.

use super::fixture::ms;
use coriandertide::decision::relay::BrittleServices;
use coriandertide::types::{InstanceId, ServerId, ServiceId};
use smol_str::{SmolStr, format_smolstr};
use std::time::{Duration, Instant};

const SERVICE: ServiceId = SmolStr::new_static("models");
const SERVER: ServerId = SmolStr::new_static("s0");

const LENGTH_MS: u64 = 8_000;

const STEP_MS: u64 = 2;

/// Time for which the server runs a request.
const RUN_MS: u64 = 100;

/// Time after which a node hears whether its request was accepted or rejected.
const ROUND_TRIP_MS: u64 = 10;

/// Part of what the server could run that it must be given.
const MIN_USE: f64 = 0.3;

struct Sent {
    node: usize,
    at_ms: u64,
    is_accepted: bool,
}

/// Plays a server with room for `room` requests; returns when it rejected some, and how many it ran.
fn play(nodes: usize, limit: u32, room: usize, replaced: &[usize]) -> (Vec<u64>, usize) {
    let start = Instant::now();
    let ids: Vec<InstanceId> = (0..nodes).map(|node| format_smolstr!("n{node}")).collect();
    let new_node = |node: usize, now: Instant| {
        let mut brittle = BrittleServices::default();
        brittle.set_nodes(&ids[node], &ids);
        brittle.learn(&SERVICE, Some(limit), now, now);
        brittle
    };
    let mut all: Vec<BrittleServices> = (0..nodes).map(|node| new_node(node, start)).collect();
    let mut in_flight = vec![0_u32; nodes];
    let mut sent: Vec<Sent> = Vec::new();
    let (mut rejected, mut ran) = (Vec::new(), 0);
    for at_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let now = start + ms(at_ms);
        if at_ms == LENGTH_MS / 2 {
            for node in replaced {
                all[*node] = new_node(*node, now);
            }
        }
        for request in sent.iter().filter(|request| request.at_ms + ROUND_TRIP_MS == at_ms) {
            if request.is_accepted {
                all[request.node].settle(&SERVER);
            } else {
                in_flight[request.node] -= 1;
                let others = in_flight[request.node];
                all[request.node].record_rejection(&SERVICE, &SERVER, others, now);
            }
        }
        for request in sent.iter().filter(|request| request.at_ms + RUN_MS == at_ms) {
            in_flight[request.node] -= u32::from(request.is_accepted);
        }
        sent.retain(|request| request.at_ms + RUN_MS > at_ms);
        for node in 0..nodes {
            if at_ms % 1_000 == 0 {
                all[node].learn(&SERVICE, Some(limit), now, now);
            }
            while all[node].try_take(&SERVICE, &SERVER, in_flight[node], now) {
                let running = sent.iter().filter(|request| request.is_accepted).count();
                let is_accepted = running < room;
                in_flight[node] += 1;
                sent.push(Sent { node, at_ms, is_accepted });
                match is_accepted {
                    true => ran += 1,
                    false => rejected.push(at_ms),
                }
            }
        }
    }
    (rejected, ran)
}

/// Returns the number of rejections in the second from each one on.
fn in_a_second(rejected: &[u64]) -> Vec<usize> {
    let count =
        |from: &u64| rejected.iter().filter(|at| (*from..*from + 1_000).contains(at)).count();
    rejected.iter().map(count).collect()
}

/// Guards against nodes that together make a brittle server reject more requests than it bears, and
/// against leaving it idle.
#[test]
fn all_nodes_together_cause_no_more_rejections_than_a_server_bears() {
    for nodes in [6, 68, 295] {
        for limit in [1, 4, 20] {
            for room in [2, 12] {
                let (rejected, ran) = play(nodes, limit, room, &[]);
                let case = format!("{nodes} nodes, limit {limit}, room {room}: ran {ran}");
                let most = in_a_second(&rejected).into_iter().max().unwrap_or_default();
                assert!(most <= limit as usize, "{case}, {most} rejections in a second");
                let possible = room as u64 * LENGTH_MS / RUN_MS;
                assert!(ran as f64 >= possible as f64 * MIN_USE, "{case} of {possible}");
            }
        }
    }
}

/// Guards against replaced nodes that forget what they have caused: one second may exceed the bound
/// for each time that nodes are replaced.
#[test]
fn replaced_nodes_exceed_the_bound_at_most_once() {
    let (rejected, _) = play(6, 4, 2, &[0, 1]);
    let counts = in_a_second(&rejected);
    let over: Vec<u64> =
        rejected.iter().zip(counts).filter(|(_, count)| *count > 4).map(|(at, _)| *at).collect();
    let falls = over.chunk_by(|one, next| next - one < 1_000).count();
    assert!(falls <= 1, "{over:?}");
}

/// Guards against a service that counts as brittle for ever, or is sound again by one late answer.
#[test]
fn brittleness_ends_by_its_servers_word_or_with_time() {
    let now = Instant::now();
    let limit = Some(4);
    let mut brittle = BrittleServices::default();
    assert_eq!(brittle.learn(&SERVICE, None, now, now), None);
    let told = brittle.learn(&SERVICE, limit, now, now).unwrap();
    assert_eq!((told.limit, told.age_ms), (limit, 0));
    // Partners are told again after five seconds only, or of a change.
    assert_eq!(brittle.learn(&SERVICE, limit, now + ms(100), now + ms(100)), None);
    assert!(brittle.learn(&SERVICE, limit, now + ms(5_100), now + ms(5_100)).is_some());
    // Another server of the service may not say so yet.
    assert_eq!(brittle.learn(&SERVICE, None, now + ms(5_200), now + ms(5_200)), None);
    assert!(brittle.is_brittle(&SERVICE, now + ms(5_200)));
    let ended = brittle.learn(&SERVICE, None, now + ms(6_200), now + ms(6_200)).unwrap();
    assert_eq!(ended.limit, None);
    assert!(!brittle.is_brittle(&SERVICE, now + ms(6_200)));
    // An answer to an earlier request changes nothing.
    assert_eq!(brittle.learn(&SERVICE, limit, now + ms(6_100), now + ms(6_300)), None);
    brittle.learn(&SERVICE, limit, now + ms(7_000), now + ms(7_000));
    assert!(!brittle.is_brittle(&SERVICE, now + ms(7_000) + Duration::from_secs(15)));
}
