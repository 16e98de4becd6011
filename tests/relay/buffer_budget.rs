//! One budget for all buffers of a node: who waits, who is given up, and who gets on.

use super::fixture::ms;
use coriandertide::decision::relay::buffer_budget::{
    BufferBudget, BufferId, Growth, UNCOUNTED_BYTES,
};
use std::time::Instant;

const MIB: usize = 1024 * 1024;

/// Fills buffers of a budget of 20 MiB with 4 MiB each.
fn full_budget(now: Instant) -> (BufferBudget, Vec<BufferId>) {
    let mut budget = BufferBudget::new(20 * MIB);
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
