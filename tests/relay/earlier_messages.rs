//! Messages of nodes of an earlier build (e16e9d8), and what that build makes of today's.

use ciborium::Value;
use coriandertide::decision::membership::{MemberRecord, MemberStatus};
use coriandertide::decision::relay::RecordTopic;
use coriandertide::decision::relay::read_schedule::Confirmation;
use coriandertide::links::message::{DecodedMessage, TopicDigest};
use coriandertide::links::{Datagram, PartnerMessage};
use coriandertide::relay::peers::message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Instant;

const KEY: &str = "a key of sixteen";

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

fn map(fields: &[(&str, Value)]) -> Value {
    Value::Map(fields.iter().map(|(name, value)| (Value::from(*name), value.clone())).collect())
}

/// Returns a request as the earlier build sends it: it hands over all attempts of the route.
fn forwarded_by_earlier_build(max_attempts: u32, possible_runs: u32) -> Vec<u8> {
    let head = map(&[
        ("id", Value::from("r-1")),
        ("route", Value::from("safe")),
        ("retry_safety", Value::from("idempotent")),
        ("timeout_ms", Value::from(5_000)),
        ("latency_objective_ms", Value::from(400)),
        ("max_event_gap_ms", Value::from(0)),
        ("priority", Value::from(1)),
        ("max_attempts", Value::from(max_attempts)),
        ("service", Value::from("plain")),
        ("workspace", Value::Null),
        ("strips_api_key", Value::from(true)),
        ("method", Value::from("GET")),
        ("uri", Value::from("/safe/x")),
        ("headers", Value::Array(Vec::new())),
        ("remaining_ms", Value::from(4_000)),
        ("caller_remaining_ms", Value::from(4_000)),
        ("age_ms", Value::from(10)),
        ("possible_runs", Value::from(possible_runs)),
        ("software", Value::Null),
        ("last_event_id", Value::Null),
    ]);
    let encoded = encode(&head);
    [(encoded.len() as u32).to_be_bytes().as_slice(), &encoded].concat()
}

/// Guards against a node that spends more than one run on a request of an earlier build, which counts
/// one.
#[test]
fn a_request_of_an_earlier_build_gets_one_run() {
    for (max_attempts, possible_runs) in [(1, 0), (2, 0), (4, 0), (2, 1), (4, 2), (u32::MAX, 3)] {
        let bytes = forwarded_by_earlier_build(max_attempts, possible_runs);
        let request = message::decode(bytes.into(), Instant::now()).unwrap();
        assert_eq!(request.route.max_attempts, max_attempts.min(possible_runs + 1));
        assert_eq!(request.attempts.possible_runs, possible_runs);
        assert!(request.attempts.tried.is_empty() && request.sender.is_empty());
    }
}

/// Guards against the cache of a workspace that has become isolated at the sender's, an earlier build,
/// which does not tell its configuration: the receiver asks its own.
#[test]
fn a_request_of_an_earlier_build_is_authorized_by_the_receiver() {
    let bytes = forwarded_by_earlier_build(2, 0);
    let request = message::decode(bytes.into(), Instant::now()).unwrap();
    assert_eq!((request.authorization.revision, request.authorization.cache_group), (0, 0));
}

/// Digest of a topic as the earlier build knows it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierDigest {
    topic: RecordTopic,
    known_below: Option<u64>,
    #[serde(default)]
    age_ms: Option<u64>,
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum EarlierMessage {
    Topics(Vec<EarlierDigest>),
}

/// Guards against a digest that nodes of the other build cannot read: their records would grow old.
#[test]
fn digests_are_read_by_both_builds() {
    let (topic, known_below, age_ms) = (RecordTopic::Operator, Some(7), Some(300));
    let earlier = EarlierMessage::Topics(vec![EarlierDigest { topic, known_below, age_ms }]);
    let digest = |confirmation| {
        PartnerMessage::Topics(vec![TopicDigest { topic, known_below, age_ms, confirmation }])
    };
    let read = PartnerMessage::decode(&encode(&earlier)).unwrap();
    assert_eq!(read, DecodedMessage::Known(digest(None)));
    let confirmation = Confirmation { reader: u64::MAX, number: 3 };
    let sent = digest(Some(confirmation)).encode();
    let read: EarlierMessage = ciborium::from_reader(sent.as_ref()).unwrap();
    assert_eq!(read, earlier);
}

/// Guards against a datagram of a later build that ends more than itself.
#[test]
fn a_datagram_of_an_unknown_kind_is_an_error_of_its_own() {
    use coriandertide::links::handshake::hmac_sha256;
    let encoded = encode(&map(&[("kind_of_tomorrow", map(&[("number", Value::from(1))]))]));
    let mut datagram = hmac_sha256(KEY.as_bytes(), &encoded);
    datagram.truncate(16);
    datagram.extend_from_slice(&encoded);
    assert!(Datagram::decode(&datagram, KEY).is_err());
}

/// Member record as the earlier build reads it.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierMember {
    i: String,
    v: u64,
    s: String,
}

/// Guards against a stopping node that nodes of an earlier build cannot read, and against taking theirs
/// for stopping.
#[test]
fn a_stopping_member_is_a_live_one_to_an_earlier_build() {
    let member = |is_stopping| MemberRecord {
        instance: "n-1".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1)),
        availability_zone: "zone-1".into(),
        started_unix_ms: 5,
        version: 2,
        status: MemberStatus::Alive,
        processor_percent: 0,
        peer_address: None,
        is_stopping,
    };
    let bytes_of_earlier_build = encode(&member(false));
    let decoded: MemberRecord = ciborium::from_reader(bytes_of_earlier_build.as_slice()).unwrap();
    assert!(!decoded.is_stopping);
    let stopping = encode(&member(true));
    assert_ne!(stopping, bytes_of_earlier_build);
    let read: EarlierMember = ciborium::from_reader(stopping.as_slice()).unwrap();
    assert_eq!(read, EarlierMember { i: "n-1".into(), v: 2, s: "alive".into() });
}
