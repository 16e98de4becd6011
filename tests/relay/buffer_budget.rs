//! One budget for all buffers of a node: who waits, who is given up, and who gets on.

use super::fixture::ms;
use coriandertide::adapters::caller_memory::{self, CallerMemoryMetrics};
use coriandertide::decision::caller_memory::{
    BufferId, CONNECTION_BYTES, CallerMemory, CallerMemoryLimits, ConnectionState, Growth,
    REQUEST_BYTES, UNCOUNTED_BYTES,
};
use std::time::Instant;

const MIB: usize = 1024 * 1024;

/// Fills buffers of a budget of 20 MiB with 4 MiB each.
fn full_budget(now: Instant) -> (CallerMemory, Vec<BufferId>) {
    let limits =
        CallerMemoryLimits { total_bytes: 40 * MIB, large_bytes: 20 * MIB, connections: 8 };
    let mut budget = CallerMemory::new(limits);
    let ids: Vec<BufferId> = (0..5).map(|_| budget.open()).collect();
    for id in &ids {
        assert_eq!(budget.resize(*id, 4 * MIB, now), Growth::Granted);
    }
    (budget, ids)
}

/// Guards against buffers whose sum has no limit, and against small ones that wait for large ones.
#[test]
fn the_sum_of_large_buffers_is_limited_and_small_ones_have_room() {
    let now = Instant::now();
    let (mut budget, ids) = full_budget(now);
    let late = budget.open();
    assert_eq!(budget.resize(late, UNCOUNTED_BYTES + 1, now), Growth::Full);
    for _ in 0..200 {
        let small = budget.open();
        assert_eq!(budget.resize(small, UNCOUNTED_BYTES, now), Growth::Granted);
    }
    assert_eq!(budget.held_bytes(), 20 * MIB);
    budget.close(ids[0]);
    assert_eq!(budget.resize(late, 4 * MIB, now), Growth::Granted);
}

/// Guards against answers that are given up though their servers send them, or though they are complete.
#[test]
fn the_largest_buffer_that_its_sender_does_not_fill_is_given_up() {
    let now = Instant::now();
    let (mut budget, ids) = full_budget(now);
    let waiting = budget.open();
    budget.close(ids[4]);
    assert_eq!(budget.resize(waiting, 3 * MIB, now), Growth::Granted);
    assert_eq!(budget.resize(waiting, 5 * MIB, now), Growth::Full);
    assert_eq!(budget.give_up_one(now + ms(200)), None);
    budget.complete(ids[0]);
    budget.record_progress(ids[1], MIB, now + ms(350));
    // A byte now and then is no progress.
    budget.record_progress(ids[2], 1, now + ms(350));
    assert_eq!(budget.resize(ids[3], 2 * MIB, now), Growth::Granted);
    assert_eq!(budget.give_up_one(now + ms(400)), Some(ids[2]));
    // It holds its bytes until it is closed; no other is given up meanwhile.
    assert_eq!(budget.give_up_one(now + ms(400)), None);
    budget.close(ids[2]);
    assert_eq!(budget.resize(waiting, 5 * MIB, now + ms(410)), Growth::Granted);
}

/// Guards against buffers that wait for each other for ever.
#[test]
fn a_waiting_buffer_is_given_up_where_all_wait() {
    let now = Instant::now();
    let (mut budget, ids) = full_budget(now);
    for id in &ids {
        assert_eq!(budget.resize(*id, 5 * MIB, now), Growth::Full);
    }
    let given_up = budget.give_up_one(now + ms(300)).unwrap();
    budget.close(given_up);
    let rest: Vec<BufferId> = ids.into_iter().filter(|id| *id != given_up).collect();
    for id in rest {
        assert_eq!(budget.resize(id, 5 * MIB, now + ms(310)), Growth::Granted);
    }
}

/// Guards against complete answers that keep the memory of a node for as long as their callers read
/// nothing, and against giving up those that callers read or bodies that are still needed.
#[test]
fn a_complete_answer_is_given_up_if_its_caller_does_not_read_it_and_others_wait() {
    let now = Instant::now();
    let (mut budget, ids) = full_budget(now);
    ids.iter().for_each(|id| budget.complete(*id));
    let (unread, read) = (ids[0], ids[1]);
    budget.begin_sending(unread, now);
    budget.begin_sending(read, now);
    budget.record_progress(read, MIB, now + ms(1_500));
    assert_eq!(budget.give_up_one(now + ms(1_900)), None);
    assert_eq!(budget.give_up_one(now + ms(2_000)), Some(unread));
    budget.close(unread);
    assert_eq!(budget.give_up_one(now + ms(3_400)), None);
    let waiting = budget.open();
    assert_eq!(budget.resize(waiting, 4 * MIB, now + ms(3_400)), Growth::Granted);
}

/// Guards against connections without a number, and against closing one that is in use for a new one.
#[test]
fn a_new_connection_takes_the_place_of_the_one_without_a_request_for_longest() {
    let now = Instant::now();
    let (mut memory, _) = full_budget(now);
    let ids: Vec<_> = (0..8).map(|n| memory.open_connection(now + ms(n)).unwrap()).collect();
    let at = now + ms(150);
    assert_eq!(memory.open_connection(at), None);
    memory.change_connection(ids[0], ConnectionState::Serving, at);
    memory.change_connection(ids[1], ConnectionState::Closing, at);
    assert_eq!(memory.give_up_connection(at), Some((ids[2], ConnectionState::Idle)));
    assert!(memory.open_connection(at).is_some());
    let served = |memory: &mut CallerMemory, id| {
        memory.change_connection(id, ConnectionState::Serving, at);
        memory.record_blocked(id, true, at);
    };
    ids[3..].iter().for_each(|id| served(&mut memory, *id));
    assert_eq!(memory.give_up_connection(at + ms(90)), None);
    assert_eq!(memory.give_up_connection(at + ms(110)), Some((ids[1], ConnectionState::Closing)));
    memory.record_blocked(ids[4], false, at + ms(110));
    let blocked: Vec<_> =
        std::iter::from_fn(|| memory.give_up_connection(at + ms(2_000))).collect();
    assert!(blocked.iter().all(|(id, _)| *id != ids[0] && *id != ids[4]), "{blocked:?}");
    assert_eq!(memory.connections(), 2);
}

/// Guards against requests and connections whose sum takes more than the memory for callers.
#[test]
fn requests_and_connections_have_one_limit_with_large_buffers() {
    let now = Instant::now();
    let (mut memory, _) = full_budget(now);
    for _ in 0..8 {
        assert!(memory.open_connection(now).is_some());
    }
    let requests = std::iter::from_fn(|| memory.begin_request(now));
    let requests: Vec<BufferId> = requests.collect();
    assert_eq!(requests.len(), (20 * MIB - 8 * CONNECTION_BYTES) / REQUEST_BYTES);
    // What makes no progress gives its room back.
    assert_eq!(memory.give_up_one(now + ms(300)).map(|id| requests.contains(&id)), Some(false));
    requests.iter().for_each(|id| memory.close(*id));
    assert_eq!(memory.total_bytes(), 20 * MIB + 8 * CONNECTION_BYTES);
}

/// Guards against a default that an ordinary number of callers meets.
#[test]
fn limits_follow_from_memory_and_descriptors() {
    let limits_of = |(memory_mb, descriptors)| {
        let limits = CallerMemoryLimits::of_node(memory_mb * MIB, descriptors);
        let CallerMemoryLimits { total_bytes, large_bytes, connections } = limits;
        format!("{memory_mb} MB, {descriptors}: {total_bytes} {large_bytes} {connections}")
    };
    let nodes = [(32, 4_100), (48, 4_100), (64, 4_100), (88, 4_100), (110, 4_200), (256, 4_100)];
    let few_descriptors = [(48, 200), (4_096, 4_100)];
    let limits: Vec<String> = nodes.into_iter().chain(few_descriptors).map(limits_of).collect();
    insta::assert_snapshot!(limits.join("\n"));
}

/// Guards against a connection that is closed for others while its caller still reads the end of an answer.
#[test]
fn an_answer_that_is_still_read_keeps_its_connection() {
    let now = Instant::now();
    let (mut memory, _) = full_budget(now);
    let id = memory.open_connection(now).unwrap();
    memory.record_blocked(id, true, now);
    memory.change_connection(id, ConnectionState::Idle, now);
    assert_eq!(memory.give_up_connection(now + ms(1_900)), None);
    memory.record_blocked(id, false, now + ms(1_900));
    assert_eq!(memory.give_up_connection(now + ms(1_900)), Some((id, ConnectionState::Idle)));
}

/// Guards against a large body that is refused though connections without a request hold its room.
#[test]
fn connections_without_requests_make_room_for_a_large_body_at_once() {
    let limits =
        CallerMemoryLimits { total_bytes: 8 * MIB, large_bytes: 8 * MIB, connections: 100 };
    let memory = caller_memory::CallerMemory::new(limits, CallerMemoryMetrics::default());
    let slots: Vec<_> = (0..100).map(|_| smol::block_on(memory.admit()).unwrap()).collect();
    std::thread::sleep(ms(150));
    let mut room = memory.open();
    // Closing them one by one, 20 ms apart, would take 1.2 s.
    let deadline = Instant::now() + ms(400);
    assert!(smol::block_on(room.resize(6 * MIB, deadline)).is_ok());
    drop(slots);
}
