//! Reads of the record store: the number of calls of many nodes, and how soon a node learns of
//! records without partners.

use super::fixture::ms;
use coriandertide::decision::relay::{NextRead, ReadSchedule, RecordTopic};
use smol_str::{SmolStr, format_smolstr};
use std::time::{Duration, Instant};

const TOPICS: [RecordTopic; 2] = [RecordTopic::Operator, RecordTopic::Servers];
const TOPIC: RecordTopic = RecordTopic::Servers;

/// Time within which every node must know each record, as promised to operators.
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

/// Simulates `length` with reads that answer when their long poll ends; the store rejects the reads
/// of nodes for which `is_refused` holds. Nodes share their confirmations every 300 ms. Returns the
/// number of calls and the maximum age of any node's view after the first three seconds.
fn simulate(nodes: usize, length: Duration, is_refused: impl Fn(usize) -> bool) -> (u32, Duration) {
    let start = Instant::now();
    let mut schedules = schedules(nodes);
    let mut reading: Vec<Option<Instant>> = vec![None; nodes];
    let (mut calls, mut max_age) = (0, Duration::ZERO);
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
            let min_age = schedules.iter().filter_map(|schedule| schedule.age(TOPIC, now)).min();
            if let Some(age) = min_age {
                schedules.iter_mut().for_each(|schedule| schedule.confirm(TOPIC, now - age));
            }
        }
        if step > 300 {
            let ages = schedules.iter().map(|schedule| schedule.age(TOPIC, now).unwrap_or(length));
            max_age = ages.max().unwrap_or(length).max(max_age);
        }
    }
    (calls, max_age)
}

#[test]
fn calls_do_not_grow_with_the_nodes() {
    let (few_nodes, _) = simulate(8, Duration::from_secs(60), |_| false);
    let (many_nodes, _) = simulate(100, Duration::from_secs(60), |_| false);
    // Every node reads once at the start.
    assert!(many_nodes - 100 <= (few_nodes - 8) * 2, "{few_nodes} {many_nodes}");
    assert!(many_nodes < 600, "{many_nodes}");
}

#[test]
fn every_view_is_confirmed_in_time() {
    let (_, max_age) = simulate(100, Duration::from_secs(30), |_| false);
    assert!(max_age < IN_FORCE_WITHIN, "{max_age:?}");
}

#[test]
fn views_are_confirmed_in_time_while_the_store_rejects_half_of_the_nodes() {
    let (calls, max_age) = simulate(100, Duration::from_secs(30), |node| node % 2 == 0);
    assert!(max_age < IN_FORCE_WITHIN, "{max_age:?}");
    assert!(calls < 2_000, "{calls}");
}

#[test]
fn a_node_without_partners_reads_in_time() {
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
fn a_rejected_follower_backs_off() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::default();
    let me = SmolStr::from("me");
    schedule.set_nodes(&me, std::slice::from_ref(&me), &TOPICS);
    schedule.record_failure(TOPIC, now);
    schedule.confirm(TOPIC, now);
    assert!(matches!(schedule.next_read(TOPIC, now + ms(100)), NextRead::Wait(_)));
}
