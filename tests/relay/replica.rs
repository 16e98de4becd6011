//! Records that arrive late, twice or out of order, from the store and from partners: all replicas
//! converge.

use super::fixture::whole_delta;
use super::proptest_config;
use bytes::Bytes;
use coriandertide::decision::relay::replica::{RecordsRequest, TopicDelta, TopicListing};
use coriandertide::decision::relay::{
    KeyedRecord, RecordPacker, RecordRequests, RecordTopic, Replica, record_packing,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TOPIC: RecordTopic = RecordTopic::Servers;

fn record(offset: u64, key: u8, deleted: bool) -> KeyedRecord {
    let value = (!deleted).then(|| Bytes::from(offset.to_string()));
    KeyedRecord { topic: TOPIC, key: format!("k{key}").into(), position: offset, value }
}

fn newest(log: &[KeyedRecord]) -> BTreeMap<String, Option<Bytes>> {
    log.iter().map(|record| (record.key.to_string(), record.value.clone())).collect()
}

fn listing(log: &[KeyedRecord]) -> TopicListing {
    let mut keys: BTreeMap<_, KeyedRecord> = BTreeMap::new();
    for record in log {
        keys.insert(record.key.clone(), record.clone());
    }
    keys.retain(|_, record| record.value.is_some());
    TopicListing { records: keys.into_values().collect(), end: log.len() as u64 }
}

fn live(replica: &Replica) -> BTreeMap<String, Option<Bytes>> {
    let delta = whole_delta(replica, TOPIC, None).unwrap();
    let records = delta.records.into_iter().filter(|record| record.value.is_some());
    records.map(|record| (record.key.to_string(), record.value)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    List(usize),
    Read(usize),
    FromPartner,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0_usize..=100).prop_map(Step::List),
        (0_usize..=100).prop_map(Step::Read),
        Just(Step::FromPartner),
    ];
    prop::collection::vec(step, 1..12)
}

proptest! {
    #![proptest_config(proptest_config(0x4e91))]

    #[test]
    fn replicas_converge_in_any_order(
        log in prop::collection::vec((0_u8..6, any::<bool>()), 1..40),
        steps in steps(),
    ) {
        let log: Vec<KeyedRecord> = log
            .into_iter()
            .enumerate()
            .map(|(offset, (key, deleted))| record(offset as u64, key, deleted))
            .collect();
        let prefix_len = |percent: usize| log.len() * percent / 100;
        let (mut local, mut partner) = (Replica::default(), Replica::default());
        for step in steps {
            match step {
                // A listing may be older than an earlier read.
                Step::List(percent) => {
                    local.apply_listing(TOPIC, listing(&log[..prefix_len(percent)]));
                }
                Step::Read(percent) => {
                    if let Some(known_below) = local.known_below(TOPIC) {
                        let from = known_below as usize;
                        let to = prefix_len(percent).max(from);
                        local.apply_records(TOPIC, log[from..to].to_vec(), to as u64);
                    }
                }
                Step::FromPartner => {
                    if let Some(delta) = whole_delta(&local, TOPIC, partner.known_below(TOPIC)) {
                        partner.apply_delta(delta);
                        prop_assert_eq!(live(&partner), live(&local));
                    }
                }
            }
        }
        local.apply_listing(TOPIC, listing(&log));
        let expected: BTreeMap<_, _> =
            newest(&log).into_iter().filter(|(_, value)| value.is_some()).collect();
        prop_assert_eq!(live(&local), expected);
    }
}

#[test]
fn an_incomplete_delta_does_not_raise_known_below() {
    let mut local = Replica::default();
    local.apply_listing(TOPIC, listing(&[record(0, 1, false), record(1, 2, false)]));
    let mut delta = whole_delta(&local, TOPIC, None).unwrap();
    delta.records.truncate(1);
    delta.from = Some(u64::MAX);
    let mut partner = Replica::default();
    assert_eq!(partner.apply_delta(delta).len(), 1);
    assert_eq!(partner.known_below(TOPIC), None);
}

/// Guards against a node that takes other bytes for a record, or stops following, where the base of a
/// packed record is unknown or its bytes are damaged.
#[test]
fn packed_records_without_their_base_are_requested_whole() {
    let topic = RecordTopic::Operator;
    let text = |version: u64| Some(Bytes::from(format!("{version}{}", "route ".repeat(2_000))));
    let record =
        |position| KeyedRecord { topic, key: "config".into(), position, value: text(position) };
    let listed = |position| {
        let mut replica = Replica::default();
        replica.apply_listing(
            topic,
            TopicListing { records: vec![record(position)], end: position + 1 },
        );
        replica
    };
    let (mut sender, receiver) = (listed(3), listed(3));
    sender.apply_records(topic, vec![record(4)], 5);
    let mut requests = RecordRequests::default();
    let now = std::time::Instant::now();
    let peer = "n0".into();
    let mut request = || {
        let request = requests.announce(&peer, topic, 5, Some(4), now).unwrap();
        let request = requests.with_bases(request, &receiver);
        requests.reject(topic);
        let mut delta = sender.delta(&request, usize::MAX).unwrap();
        RecordPacker::default().pack(&mut delta, &request, &sender);
        delta
    };
    let with_base = request();
    assert_eq!(with_base.packed.as_ref().unwrap().bases, [3]);
    let mut damaged = with_base.clone();
    damaged.packed.as_mut().unwrap().hash ^= 1;
    assert!(record_packing::unpack(&mut damaged, &receiver).is_err());
    assert!(record_packing::unpack(&mut with_base.clone(), &Replica::default()).is_err());
    let mut whole = request();
    assert!(whole.packed.as_ref().unwrap().bases.is_empty());
    record_packing::unpack(&mut whole, &Replica::default()).unwrap();
    assert_eq!(whole.records, [record(4)]);
}

/// Guards against packed records of an earlier answer that are sent for a later one: a page that lacks
/// records would count as the last.
#[test]
fn answers_to_the_same_request_are_packed_by_what_they_hold() {
    let topic = RecordTopic::Operator;
    let record = |key: &str, position, repeats| KeyedRecord {
        topic,
        key: key.into(),
        position,
        value: Some(Bytes::from(key.repeat(repeats))),
    };
    let mut replica = Replica::default();
    let records = vec![record("a", 1, 3_000), record("b", 2, 3_000)];
    replica.apply_listing(topic, TopicListing { records, end: 3 });
    let request = RecordsRequest {
        topic,
        known_below: None,
        after: None,
        is_paged: true,
        bases: Some(Vec::new()),
    };
    let mut packer = RecordPacker::default();
    let mut answer = |replica: &Replica| {
        let mut delta = replica.delta(&request, 4_000).unwrap();
        packer.pack(&mut delta, &request, replica);
        record_packing::unpack(&mut delta, &Replica::default()).unwrap();
        (delta.records.len(), delta.has_more)
    };
    assert_eq!(answer(&replica), (1, true));
    // A page of another partner replaces the first record, and all fit into one page.
    let page = TopicDelta {
        topic,
        from: Some(3),
        known_below: 5,
        records: vec![record("a", 4, 500)],
        after: None,
        has_more: true,
        packed: None,
    };
    replica.apply_delta(page);
    assert_eq!(answer(&replica), (2, false));
}
