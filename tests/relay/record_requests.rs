//! Copies of many records from partners that announce changes all the while: one copy is fetched,
//! page by page, and a node never claims to know what it lacks.

use super::fixture::whole_delta;
use super::proptest_config;
use bytes::Bytes;
use coriandertide::decision::relay::replica::{RecordsRequest, TopicDelta, TopicListing};
use coriandertide::decision::relay::{KeyedRecord, RecordRequests, RecordTopic, Replica};
use coriandertide::links::PartnerMessage;
use coriandertide::links::message::{DecodedMessage, TopicDigest};
use coriandertide::types::InstanceId;
use proptest::prelude::*;
use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

const TOPIC: RecordTopic = RecordTopic::Servers;

/// Size of a page; a record has about 84 bytes.
const PAGE_BYTES: usize = 1_000;

/// Time for which a message is under way.
const TRANSIT: Duration = Duration::from_millis(10);

fn record(position: u64, key: u64) -> KeyedRecord {
    let value = Some(Bytes::from(format!("{position:016}")));
    KeyedRecord { topic: TOPIC, key: format!("k{key:03}").into(), position, value }
}

fn replica_of(keys: u64) -> Replica {
    let records = (0..keys).map(|key| record(key, key)).collect();
    let mut replica = Replica::default();
    replica.apply_listing(TOPIC, TopicListing { records, end: keys });
    replica
}

fn everything(replica: &Replica) -> Vec<KeyedRecord> {
    whole_delta(replica, TOPIC, None).map_or(Vec::new(), |delta| delta.records)
}

/// Node that fetches records from neighbours, which all know the same.
struct Fetch {
    neighbours: Replica,
    next_position: u64,
    local: Replica,
    requests: RecordRequests,
    /// Pages under way, with the neighbour that sent them.
    pages: VecDeque<(InstanceId, TopicDelta)>,
    now: Instant,
    sent_records: usize,
}

impl Fetch {
    fn new(keys: u64) -> Self {
        Self {
            neighbours: replica_of(keys),
            next_position: keys,
            local: Replica::default(),
            requests: RecordRequests::default(),
            pages: VecDeque::new(),
            now: Instant::now(),
            sent_records: 0,
        }
    }

    fn change(&mut self, key: u64) {
        let changed = record(self.next_position, key);
        self.next_position += 1;
        self.neighbours.apply_records(TOPIC, vec![changed], self.next_position);
    }

    fn announce(&mut self, neighbour: usize) {
        let neighbour = InstanceId::from(format!("n{neighbour}"));
        let (known, position) = (self.local.known_below(TOPIC), self.next_position);
        let request = self.requests.announce(&neighbour, TOPIC, position, known, self.now);
        self.answer(request.map(|request| (neighbour, request)));
    }

    fn answer(&mut self, request: Option<(InstanceId, RecordsRequest)>) {
        let Some((neighbour, request)) = request else { return };
        let page = self.neighbours.delta(&request, PAGE_BYTES).unwrap();
        self.sent_records += page.records.len();
        self.pages.push_back((neighbour, page));
    }

    fn receive_page(&mut self) {
        let Some((neighbour, mut page)) = self.pages.pop_front() else { return };
        let next_page = self.requests.receive(&neighbour, &mut page, self.now);
        self.local.apply_delta(page);
        let next = next_page.map(|request| (neighbour, request));
        let known = self.local.known_below(TOPIC);
        let next = next.or_else(|| self.requests.next(TOPIC, known, self.now));
        self.answer(next);
        self.check_claim();
    }

    /// Checks that the node has all that it claims to know.
    fn check_claim(&self) {
        let Some(known_below) = self.local.known_below(TOPIC) else { return };
        let local: HashSet<KeyedRecord> = everything(&self.local).into_iter().collect();
        for record in everything(&self.neighbours) {
            assert!(record.position >= known_below || local.contains(&record), "{record:?}");
        }
    }
}

/// Guards against a copy from each neighbour for each change that it announces while the first copy
/// is under way.
#[test]
fn a_start_among_many_neighbours_fetches_one_copy() {
    let (keys, neighbours) = (3_000, 30);
    let mut fetch = Fetch::new(keys);
    for step in 0..400 {
        fetch.now += TRANSIT;
        fetch.change(step % keys);
        for neighbour in (0..neighbours).filter(|index| (*index + step as usize).is_multiple_of(10))
        {
            fetch.announce(neighbour);
        }
        fetch.receive_page();
    }
    fetch.announce(0);
    fetch.receive_page();
    assert_eq!(fetch.local.known_below(TOPIC), Some(fetch.next_position));
    // Each record once, and each of the 400 changes at most twice: in a page of the copy, and
    // after it.
    assert!(fetch.sent_records <= 3_800, "{}", fetch.sent_records);
}

#[derive(Clone, Debug)]
enum Step {
    Change(u64),
    Announce(usize),
    Receive,
    Lose,
    End(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0_u64..60).prop_map(Step::Change),
        3 => (0_usize..3).prop_map(Step::Announce),
        8 => Just(Step::Receive),
        1 => Just(Step::Lose),
        1 => (0_usize..3).prop_map(Step::End),
        2 => (1_u64..900).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(proptest_config(0x9a6e))]

    /// Guards against a lost page whose records the node would take for deleted ones.
    #[test]
    fn nothing_is_claimed_to_be_known_that_was_lost(steps in steps()) {
        let mut fetch = Fetch::new(60);
        for step in steps {
            match step {
                Step::Change(key) => fetch.change(key),
                Step::Announce(neighbour) => fetch.announce(neighbour),
                Step::Receive => fetch.receive_page(),
                Step::Lose => drop(fetch.pages.pop_front()),
                Step::End(neighbour) => {
                    let neighbour = InstanceId::from(format!("n{neighbour}"));
                    fetch.requests.remove_peer(&neighbour);
                }
                Step::Wait(wait_ms) => fetch.now += Duration::from_millis(wait_ms),
            }
        }
        for _ in 0..200 {
            fetch.now += TRANSIT;
            fetch.announce(0);
            fetch.receive_page();
        }
        prop_assert_eq!(everything(&fetch.local), everything(&fetch.neighbours));
    }
}

/// Messages of a build without pages, as they were encoded there.
mod earlier_build {
    use super::*;
    use serde::Serialize;

    #[derive(Serialize)]
    pub struct TopicDelta {
        pub topic: RecordTopic,
        pub from: Option<u64>,
        pub known_below: u64,
        pub records: Vec<KeyedRecord>,
    }

    #[derive(Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum PartnerMessage {
        RecordsRequest(TopicDigest),
        Records(TopicDelta),
    }

    pub fn encode(message: &PartnerMessage) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).unwrap();
        bytes
    }
}

/// Guards against a rolling update in which partners of an earlier build get no records.
#[test]
fn a_partner_without_pages_gets_one_message_that_claims_no_more_than_it_has() {
    let digest = TopicDigest { topic: TOPIC, known_below: None, age_ms: None, confirmation: None };
    let encoded = earlier_build::encode(&earlier_build::PartnerMessage::RecordsRequest(digest));
    let Ok(DecodedMessage::Known(PartnerMessage::RecordsRequest(request))) =
        PartnerMessage::decode(&encoded)
    else {
        panic!("the request is not understood");
    };
    assert!(!request.is_paged);
    let neighbours = replica_of(60);
    let whole = neighbours.delta(&request, usize::MAX).unwrap();
    assert_eq!((whole.from, whole.records.len()), (None, 60));
    // Such a build takes a delta from beyond all positions for an incomplete one.
    let part = neighbours.delta(&request, PAGE_BYTES).unwrap();
    assert_eq!(part.from, Some(u64::MAX));
}

/// Guards against a copy from an earlier build, which sends its parts without being asked, that is
/// requested again for each part or completed by one.
#[test]
fn the_parts_of_a_copy_from_a_partner_without_pages_complete_it_together() {
    let mut fetch = Fetch::new(60);
    fetch.announce(0);
    fetch.pages.clear();
    let records = everything(&fetch.neighbours);
    let parts = [(Some(u64::MAX), &records[..30]), (None, &records[30..])];
    for (from, records) in parts {
        assert_eq!(fetch.local.known_below(TOPIC), None);
        let records = records.to_vec();
        let delta = earlier_build::TopicDelta { topic: TOPIC, from, known_below: 60, records };
        let encoded = earlier_build::encode(&earlier_build::PartnerMessage::Records(delta));
        let Ok(DecodedMessage::Known(PartnerMessage::Records(part))) =
            PartnerMessage::decode(&encoded)
        else {
            panic!("the part is not understood");
        };
        fetch.pages.push_back(("n0".into(), *part));
        fetch.receive_page();
        assert!(fetch.pages.is_empty());
    }
    assert_eq!(everything(&fetch.local), everything(&fetch.neighbours));
    assert_eq!(fetch.local.known_below(TOPIC), Some(60));
}
