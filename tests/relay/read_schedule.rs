//! Who reads the record store: the calls of many nodes, and what a node learns without the others.

use super::fixture::ms;
use coriandertide::decision::relay::{NextRead, ReadSchedule, RecordTopic};
use smol_str::{SmolStr, format_smolstr};
use std::time::{Duration, Instant};

const TOPICS: [RecordTopic; 2] = [RecordTopic::Operator, RecordTopic::Servers];
const TOPIC: RecordTopic = RecordTopic::Servers;

/// Time by which each record has to be known, as operators are promised.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

fn ids(nodes: usize) -> Vec<SmolStr> {
    (0..nodes).map(|node| format_smolstr!("node-{node}")).collect()
}

fn schedules(nodes: usize) -> Vec<ReadSchedule> {
    let ids = ids(nodes);
    ids.iter()
        .map(|me| {
            let mut schedule = ReadSchedule::default();
            schedule.set_nodes(me, &ids, &TOPICS);
            schedule
        })
        .collect()
}

/// Plays `length` with reads that answer at once or after their wait; `is_refused` names the nodes
/// that the store turns away. Nodes tell each other of their confirmations in steps of 300 ms.
/// Returns the calls and the greatest age of what a node knew after the first three seconds.
fn play(nodes: usize, length: Duration, is_refused: impl Fn(usize) -> bool) -> (u32, Duration) {
    let start = Instant::now();
    let mut schedules = schedules(nodes);
    let mut reading: Vec<Option<Instant>> = vec![None; nodes];
    let (mut calls, mut oldest) = (0, Duration::ZERO);
    for step in 0..length.as_millis() as u64 / 10 {
        let now = start + ms(step * 10);
        for (node, schedule) in schedules.iter_mut().enumerate() {
            if let Some(until) = reading[node] {
                if now >= until {
                    reading[node] = None;
                    schedule.record_answer(TOPIC, now);
                    schedule.confirm(TOPIC, until);
                }
                continue;
            }
            if let NextRead::Read { wait_until } = schedule.next_read(TOPIC, now) {
                calls += 1;
                if is_refused(node) {
                    schedule.record_failure(TOPIC, now);
                } else {
                    reading[node] = Some(wait_until + ms(10));
                }
            }
        }
        if step % 30 == 0 {
            let youngest = schedules.iter().filter_map(|schedule| schedule.age(TOPIC, now)).min();
            if let Some(age) = youngest {
                schedules.iter_mut().for_each(|schedule| schedule.confirm(TOPIC, now - age));
            }
        }
        if step > 300 {
            let ages = schedules.iter().map(|schedule| schedule.age(TOPIC, now).unwrap_or(length));
            oldest = ages.max().unwrap_or(length).max(oldest);
        }
    }
    (calls, oldest)
}

#[test]
fn the_calls_of_a_hundred_nodes_are_those_of_a_few() {
    let (few, _) = play(8, Duration::from_secs(60), |_| false);
    let (many, _) = play(100, Duration::from_secs(60), |_| false);
    // All read once at the start.
    assert!(many - 100 <= (few - 8) * 2, "{few} {many}");
    assert!(many < 600, "{many}");
}

#[test]
fn every_node_knows_in_time_that_nothing_is_newer() {
    let (_, oldest) = play(100, Duration::from_secs(30), |_| false);
    assert!(oldest < IN_FORCE_WITHIN, "{oldest:?}");
}

#[test]
fn nodes_learn_in_time_while_the_store_turns_half_of_them_away() {
    let (calls, oldest) = play(100, Duration::from_secs(30), |node| node % 2 == 0);
    assert!(oldest < IN_FORCE_WITHIN, "{oldest:?}");
    assert!(calls < 2_000, "{calls}");
}

#[test]
fn a_node_that_hears_of_nobody_reads_in_time() {
    let now = Instant::now();
    for mut schedule in schedules(100) {
        schedule.confirm(TOPIC, now);
        schedule.record_answer(TOPIC, now);
        let due_at = match schedule.next_read(TOPIC, now) {
            NextRead::Wait(due_at) => due_at,
            NextRead::Read { .. } => now,
        };
        assert!(due_at < now + IN_FORCE_WITHIN);
        assert!(matches!(schedule.next_read(TOPIC, due_at), NextRead::Read { .. }));
    }
}

#[test]
fn a_follower_that_the_store_turns_away_relies_on_its_partners_for_a_while() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::default();
    let me = SmolStr::from("me");
    schedule.set_nodes(&me, std::slice::from_ref(&me), &TOPICS);
    schedule.record_failure(TOPIC, now);
    schedule.confirm(TOPIC, now);
    assert!(matches!(schedule.next_read(TOPIC, now + ms(100)), NextRead::Wait(_)));
}
