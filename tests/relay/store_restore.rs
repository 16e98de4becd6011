//! A coordination store that comes back from a copy some seconds old: offsets are given out again,
//! and what the nodes wrote since is gone.

use super::fixture::*;
use bytes::Bytes;
use coriandertide::decision::leaving::LeavingNotice;
use coriandertide::decision::relay::register_lease::RegisterRecord;
use coriandertide::decision::relay::replica::TopicListing;
use coriandertide::decision::relay::{KeyedRecord, RecordTopic, RegisterLease, Replica};
use coriandertide::types::log_position::{self, position};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::{Duration, Instant};

fn record(topic: RecordTopic, era: u64, offset: u64, key: &str, value: &str) -> KeyedRecord {
    let value = (!value.is_empty()).then(|| Bytes::from(value.to_owned()));
    KeyedRecord { topic, key: key.into(), position: position(era, offset), value }
}

fn live(replica: &Replica, topic: RecordTopic) -> BTreeMap<String, String> {
    let records = whole_delta(replica, topic, None).unwrap().records.into_iter();
    let text = |value: Bytes| String::from_utf8(value.to_vec()).unwrap();
    records.filter_map(|record| Some((record.key.to_string(), text(record.value?)))).collect()
}

#[test]
fn positions_of_a_later_era_follow_all_earlier_ones() {
    assert!(position(0, 900) < position(1, 0));
    assert!(position(1, 1) < position(1, 2));
    assert_eq!((log_position::era(position(3, 7)), log_position::offset(position(3, 7))), (3, 7));
    assert_eq!(position(0, 42), 42);
}

/// The record at an offset of the new era is another one than before.
#[test]
fn an_offset_of_the_new_era_is_not_taken_for_the_known_one() {
    let topic = RecordTopic::Servers;
    let mut replica = Replica::default();
    let old = vec![record(topic, 1, 0, "a", "1"), record(topic, 1, 1, "b", "1")];
    replica.apply_listing(topic, TopicListing { records: old, end: position(1, 2) });
    let copy = vec![record(topic, 2, 0, "a", "1")];
    assert!(replica.is_restored_by(topic, position(2, 1)));
    replica.apply_listing(topic, TopicListing { records: copy, end: position(2, 1) });
    assert_eq!(live(&replica, topic), [("a".into(), "1".into())].into());
    let again = vec![record(topic, 2, 1, "c", "1")];
    assert_eq!(replica.apply_records(topic, again, position(2, 2)).len(), 1);
    let late = vec![record(topic, 1, 2, "a", "late")];
    assert!(replica.apply_records(topic, late, position(1, 3)).is_empty());
    assert_eq!(replica.known_below(topic), Some(position(2, 2)));
    assert_eq!(live(&replica, topic).keys().collect::<Vec<_>>(), ["a", "c"]);
}

#[test]
fn what_operators_wrote_stays_until_they_write_it_again() {
    let topic = RecordTopic::Operator;
    let mut replica = Replica::default();
    let old = vec![record(topic, 1, 0, "config", "7")];
    replica.apply_listing(topic, TopicListing { records: old, end: position(1, 1) });
    replica.apply_listing(topic, TopicListing { records: Vec::new(), end: position(2, 0) });
    assert_eq!(live(&replica, topic), [("config".into(), "7".into())].into());
    let again = vec![record(topic, 2, 0, "config", "8")];
    assert_eq!(replica.apply_records(topic, again, position(2, 1)).len(), 1);
}

/// A node that the store turns away hears of the restore through a partner, before or after the
/// partner's records of the earlier era.
#[test]
fn partners_pass_on_the_new_era_in_any_order() {
    let topic = RecordTopic::Servers;
    let (mut ahead, mut behind) = (Replica::default(), Replica::default());
    let old = vec![record(topic, 1, 0, "a", "1"), record(topic, 1, 1, "b", "1")];
    ahead.apply_listing(topic, TopicListing { records: old, end: position(1, 2) });
    let earlier = whole_delta(&ahead, topic, behind.known_below(topic)).unwrap();
    behind.apply_delta(earlier.clone());
    let copy = vec![record(topic, 2, 0, "a", "2")];
    ahead.apply_listing(topic, TopicListing { records: copy, end: position(2, 1) });
    let newer = whole_delta(&ahead, topic, behind.known_below(topic)).unwrap();
    behind.apply_delta(newer);
    behind.apply_delta(earlier);
    assert_eq!(behind.known_below(topic), Some(position(2, 1)));
    assert_eq!(live(&behind, topic), live(&ahead, topic));
    assert_eq!(live(&behind, topic), [("a".into(), "2".into())].into());
}

#[test]
fn a_copy_brings_back_no_server_that_is_known_to_be_gone() {
    let now = Instant::now();
    let mut fleet = fleet(4, 1);
    let started_at = |index, started| {
        let mut entry = entry(index, 1);
        entry.started_unix_ms = Some(started);
        entry
    };
    fleet.set_entry(started_at(0, 5));
    assert!(!fleet.set_restored_entry(started_at(0, 4)), "an earlier incarnation");
    assert!(fleet.set_restored_entry(started_at(0, 5)));
    fleet.remove_entry(&"s1".into(), now);
    assert_eq!(fleet.remove_expired(now + ms(5_000)), ["s1"]);
    assert!(!fleet.set_restored_entry(started_at(1, 1)), "gone before the restore");
    assert!(fleet.server(&"s1".into()).is_none());
    fleet.set_entry(started_at(1, 1));
    assert!(fleet.server(&"s1".into()).is_some(), "it has written its entry again");
    fleet.departures.add(&LeavingNotice { server: "s2".into(), incarnation: 1 });
    assert!(fleet.set_restored_entry(started_at(2, 1)));
    assert!(!fleet.is_in_service(fleet.server(&"s2".into()).unwrap()));
}

const LEASE_MS: u64 = 3_000;

/// Longest sequence of steps that is explored.
const MAX_DEPTH: usize = 10;

/// Fault in the handling of eras that the exploration must find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// Offsets are taken for positions.
    EraIgnored,
    /// Servers get the offset as the fencing number.
    NumberReused,
    /// An append that a restored store accepts counts as a replacement.
    RestoredAppendCounts,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A node reads the register.
    Read(usize),
    /// A node sends a conditional append.
    Send(usize),
    /// A node's append arrives; its answer may be lost.
    Arrive(usize, bool),
    /// A node that holds the lease sends an order, which the server carries out.
    Order(usize),
    /// The store comes back from a copy that lacks the last record.
    Restore,
    /// Half of the lease period and a little more passes.
    Wait,
}

const STEPS: [Step; 12] = [
    Step::Read(0),
    Step::Read(1),
    Step::Send(0),
    Step::Send(1),
    Step::Arrive(0, false),
    Step::Arrive(1, false),
    Step::Arrive(0, true),
    Step::Arrive(1, true),
    Step::Order(0),
    Step::Order(1),
    Step::Restore,
    Step::Wait,
];

/// Two nodes, the store and a server.
#[derive(Clone, Debug)]
struct World {
    now: Instant,
    era: u64,
    /// Holders by offset of their record.
    register: Vec<usize>,
    nodes: [RegisterLease; 2],
    /// Append of each node that has not arrived: expected number and time of sending.
    in_flight: [Option<(u64, Instant)>; 2],
    /// Holder of each fencing number in an order to the server.
    orders: BTreeMap<u64, usize>,
    restores: u32,
}

impl World {
    fn new(now: Instant, mutant: Mutant) -> Self {
        let node = |name: &str| RegisterLease::new(name.into(), LEASE_MS);
        let mut world = Self {
            now,
            era: 1,
            register: Vec::new(),
            nodes: [node("n0"), node("n1")],
            in_flight: [None; 2],
            orders: BTreeMap::new(),
            restores: 0,
        };
        // Both nodes have known the store for longer than a lease.
        for node in 0..2 {
            world.read(node, mutant);
        }
        world.now += Duration::from_millis(2 * LEASE_MS);
        world
    }

    fn number(&self, offset: usize, mutant: Mutant) -> u64 {
        let era = if mutant == Mutant::EraIgnored { 0 } else { self.era };
        position(era, offset as u64)
    }

    fn read(&mut self, node: usize, mutant: Mutant) {
        let number = self.number(self.register.len(), mutant);
        let holder = self.register.last().map(|node| format!("n{node}").into());
        let record = RegisterRecord { number, holder: holder.unwrap_or_default() };
        self.nodes[node].observe(record, self.now);
    }

    /// Takes a step; returns whether it changed anything.
    fn take(&mut self, step: Step, mutant: Mutant) -> bool {
        match step {
            Step::Read(node) => self.read(node, mutant),
            Step::Send(node) => {
                let number = self.nodes[node].replaceable_number(self.now);
                if number.is_none() || self.in_flight[node].is_some() {
                    return false;
                }
                self.in_flight[node] = number.map(|number| (number, self.now));
            }
            Step::Arrive(node, is_answer_lost) => {
                let Some((number, sent_at)) = self.in_flight[node].take() else { return false };
                if log_position::offset(number) != self.register.len() as u64 {
                    return true;
                }
                self.register.push(node);
                let new_number = self.number(self.register.len(), mutant);
                let is_same_era = log_position::era(number) == log_position::era(new_number);
                let counts = is_same_era || mutant == Mutant::RestoredAppendCounts;
                if counts && !is_answer_lost {
                    self.nodes[node].acquire(new_number, sent_at);
                }
            }
            Step::Order(node) => {
                let Some(number) = self.nodes[node].fencing_number(self.now) else { return false };
                let number = match mutant {
                    Mutant::NumberReused => log_position::offset(number),
                    _ => number,
                };
                if *self.orders.entry(number).or_insert(node) != node {
                    self.orders.insert(u64::MAX, node);
                }
            }
            Step::Restore => {
                if self.restores == 1 {
                    return false;
                }
                self.restores += 1;
                self.era += 1;
                self.register.pop();
            }
            Step::Wait => self.now += Duration::from_millis(LEASE_MS / 2 + 200),
        }
        true
    }

    /// Returns what must never happen, if it has.
    fn violation(&self) -> Option<&'static str> {
        let holds = |node: &RegisterLease| node.fencing_number(self.now).is_some();
        if self.nodes.iter().all(holds) {
            return Some("two nodes hold the lease");
        }
        self.orders.contains_key(&u64::MAX).then_some("two nodes order with one number")
    }
}

/// Explores all sequences of steps up to the first violation; returns the number of states and the violations found.
fn explore(mutant: Mutant) -> (usize, BTreeSet<&'static str>) {
    let mut seen: HashSet<String> = HashSet::new();
    let mut violations = BTreeSet::new();
    let mut level = vec![World::new(Instant::now(), mutant)];
    for _ in 0..MAX_DEPTH {
        let mut next = Vec::new();
        for world in &level {
            for step in STEPS {
                let mut after = world.clone();
                if !after.take(step, mutant) || !seen.insert(format!("{after:?}")) {
                    continue;
                }
                match after.violation() {
                    Some(violation) => {
                        violations.insert(violation);
                    }
                    None => next.push(after),
                }
            }
        }
        level = next;
        if !violations.is_empty() {
            break;
        }
    }
    (seen.len(), violations)
}

#[test]
fn no_order_of_reads_appends_and_a_restore_makes_two_holders() {
    let (states, violations) = explore(Mutant::None);
    assert_eq!(violations, BTreeSet::new());
    assert!(states > 5_000, "{states}");
}

#[test]
fn each_mutant_of_the_eras_is_found() {
    for mutant in [Mutant::EraIgnored, Mutant::NumberReused, Mutant::RestoredAppendCounts] {
        let (_, violations) = explore(mutant);
        assert!(!violations.is_empty(), "{mutant:?}");
    }
}
