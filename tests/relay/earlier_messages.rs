//! Messages of nodes of an earlier build (e16e9d8), and what that build makes of today's.

use ciborium::Value;
use coriandertide::decision::membership::{MemberRecord, MemberStatus};
use coriandertide::decision::relay::read_schedule::Confirmation;
use coriandertide::decision::relay::replica::{RecordsRequest, TopicListing};
use coriandertide::decision::relay::streams::{
    KnownOrigin, OriginAnswer, PartitionListing, ServiceVersion, VersionCall, VersionListing,
    VersionOutcome, VersionRecords,
};
use coriandertide::decision::relay::{
    KeyedRecord, PeerNode, RecordPacker, RecordTopic, Replica, StreamOrigins, record_packing,
};
use coriandertide::links::message::{DecodedMessage, RecordedVersionsNotice, TopicDigest};
use coriandertide::links::{Datagram, PartnerMessage};
use coriandertide::relay::peers::message;
use coriandertide::types::{SoftwareVersion, log_position};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

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

/// Delta as the earlier build (38af5ce) reads it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierDelta {
    topic: RecordTopic,
    from: Option<u64>,
    known_below: u64,
    records: Vec<KeyedRecord>,
    #[serde(default)]
    after: Option<String>,
    #[serde(default)]
    has_more: bool,
}

/// Request as the earlier build sends and reads it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierRequest {
    topic: RecordTopic,
    known_below: Option<u64>,
    #[serde(default)]
    after: Option<String>,
    #[serde(default)]
    is_paged: bool,
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum EarlierRecordMessage {
    RecordsRequest(EarlierRequest),
    Records(EarlierDelta),
}

/// Guards against packed records for a node of an earlier build, which would take the delta for empty and
/// complete.
#[test]
fn a_node_of_an_earlier_build_gets_records_that_are_not_packed() {
    let topic = RecordTopic::Operator;
    let value = Some("x".repeat(20_000).into());
    let record = KeyedRecord { topic, key: "config".into(), position: 4, value };
    let mut replica = Replica::default();
    replica.apply_listing(topic, TopicListing { records: vec![record.clone()], end: 5 });
    let request = EarlierRequest { topic, known_below: Some(3), after: None, is_paged: true };
    let encoded = encode(&EarlierRecordMessage::RecordsRequest(request));
    let Ok(DecodedMessage::Known(PartnerMessage::RecordsRequest(request))) =
        PartnerMessage::decode(&encoded)
    else {
        panic!("the request is not understood");
    };
    let mut delta = replica.delta(&request, usize::MAX).unwrap();
    RecordPacker::default().pack(&mut delta, &request, &replica);
    let sent = PartnerMessage::Records(Box::new(delta)).encode();
    let read: EarlierRecordMessage = ciborium::from_reader(sent.as_ref()).unwrap();
    let expected = EarlierDelta {
        topic,
        from: Some(3),
        known_below: 5,
        records: vec![record],
        after: None,
        has_more: false,
    };
    assert_eq!(read, EarlierRecordMessage::Records(expected));
}

/// Guards against a request that a node of an earlier build cannot read, and against its answer, which
/// is not packed.
#[test]
fn a_node_of_an_earlier_build_answers_a_request_that_names_bases() {
    let topic = RecordTopic::Operator;
    let request = RecordsRequest {
        topic,
        known_below: Some(3),
        after: None,
        is_paged: true,
        bases: Some(vec![2]),
    };
    let sent = PartnerMessage::RecordsRequest(request).encode();
    let read: EarlierRecordMessage = ciborium::from_reader(sent.as_ref()).unwrap();
    let expected = EarlierRequest { topic, known_below: Some(3), after: None, is_paged: true };
    assert_eq!(read, EarlierRecordMessage::RecordsRequest(expected));
    let records = vec![KeyedRecord { topic, key: "config".into(), position: 4, value: None }];
    let answer = EarlierDelta {
        topic,
        from: Some(3),
        known_below: 5,
        records: records.clone(),
        after: None,
        has_more: false,
    };
    let encoded = encode(&EarlierRecordMessage::Records(answer));
    let Ok(DecodedMessage::Known(PartnerMessage::Records(mut delta))) =
        PartnerMessage::decode(&encoded)
    else {
        panic!("the answer is not understood");
    };
    record_packing::unpack(&mut delta, &Replica::default()).unwrap();
    assert_eq!(delta.records, records);
}

/// Answer on the origin of a stream, as an earlier build (c0dd9f2) sends and reads it.
#[derive(Debug, Deserialize, Serialize)]
struct EarlierOriginAnswer {
    #[serde(rename = "o")]
    known: KnownOrigin,
    #[serde(rename = "v")]
    versions: Vec<SoftwareVersion>,
    #[serde(rename = "c", default)]
    is_complete: bool,
    #[serde(rename = "a", default)]
    servers_age_ms: Option<u64>,
}

/// Guards against a node of an earlier build that takes an answer of today's for proof of a version, and
/// against today's node that takes one of an earlier build for that.
#[test]
fn answers_on_origins_prove_no_version_to_the_other_build() {
    let versions: Vec<SoftwareVersion> = vec!["v1".into()];
    let today = OriginAnswer { known: KnownOrigin::Unknown, versions: versions.clone() };
    let read: EarlierOriginAnswer = ciborium::from_reader(encode(&today).as_slice()).unwrap();
    assert_eq!(
        (read.versions, read.is_complete, read.servers_age_ms),
        (versions.clone(), false, None)
    );
    let earlier = EarlierOriginAnswer {
        known: KnownOrigin::Unknown,
        versions,
        is_complete: true,
        servers_age_ms: Some(0),
    };
    let answer: OriginAnswer = ciborium::from_reader(encode(&earlier).as_slice()).unwrap();
    let now = Instant::now();
    let mut origins = StreamOrigins::new(true, now);
    let node = SocketAddr::from(([127, 0, 0, 1], 1));
    let peer = PeerNode {
        instance: "n1".into(),
        availability_zone: "z1".into(),
        address: node,
        processor_percent: 0,
    };
    origins.set_nodes(vec![peer], Vec::new());
    let mut search = origins.search(Some(1), &"models".into(), now);
    search.add_answer(node, answer);
    assert_eq!((search.needs_listing(), search.result()), (true, None));
}

/// Guards against versions that earlier builds record, or remove, in the one partition that they know: what
/// they write is a version that the service has had, and what they remove is found in the other partitions.
#[test]
fn an_earlier_build_writes_one_partition_of_the_versions() {
    let version = ServiceVersion { service: "models".into(), software: "v1".into() };
    let with = PartitionListing {
        versions: BTreeMap::from([(version.clone(), 0)]),
        confirmed_era: None,
        end: 1,
    };
    let without = PartitionListing { versions: BTreeMap::new(), confirmed_era: None, end: 1 };
    let written = VersionListing::from([Some(with.clone()), Some(without.clone()), None]);
    assert!(written.copies.contains_key(&version));
    // Streams begin there after today's build has written it too.
    assert!(!written.recorded().contains(&version));
    for answered in [[true, true, true], [true, true, false], [true, false, true]] {
        let partitions = [&without, &with, &with].map(Clone::clone);
        let mut listings = partitions.map(Some);
        for (listing, has_answered) in listings.iter_mut().zip(answered) {
            listing.take_if(|_| !has_answered);
        }
        assert!(VersionListing::from(listings).copies.contains_key(&version), "{answered:?}");
    }
}

/// Guards against a message that ends the link to a node of an earlier build: one of a kind that it does not
/// know has to have the form of those that it does.
#[test]
fn recorded_versions_are_a_message_that_earlier_builds_skip() {
    let version = ServiceVersion { service: "models".into(), software: "v1".into() };
    let notice = RecordedVersionsNotice { era: 1, versions: vec![version], is_era_confirmed: true };
    let message = PartnerMessage::RecordedVersions(notice).encode();
    let value: Value = ciborium::from_reader(&*message).unwrap();
    let kinds = value.as_map().unwrap();
    assert_eq!(kinds.len(), 1);
    assert_eq!(kinds[0].0.as_text(), Some("recorded_versions"));
}

/// Guards against records that earlier builds cannot read: they list all records of a partition, and take that of
/// the confirmed era for one of a version without servers.
#[test]
fn earlier_builds_read_the_record_of_a_confirmed_era_as_a_version() {
    #[derive(Deserialize)]
    struct EarlierVersion {
        service: String,
        software: String,
    }
    let record = br#"{"service":"","software":"","confirmed_era":3}"#;
    let earlier: EarlierVersion = serde_json::from_slice(record).unwrap();
    assert_eq!((earlier.service.as_str(), earlier.software.as_str()), ("", ""));
    assert_eq!(
        serde_json::from_slice::<ServiceVersion>(record).unwrap(),
        ServiceVersion::default()
    );
}

/// Guards against a confirmation by nodes that have not all answered: nodes of earlier builds never do.
#[test]
fn an_era_is_not_confirmed_while_a_node_of_an_earlier_build_is_live() {
    let now = Instant::now();
    let mut origins = StreamOrigins::new(true, now);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let peer = PeerNode {
        instance: "n1".into(),
        availability_zone: "z1".into(),
        address,
        processor_percent: 0,
    };
    origins.set_nodes(vec![peer], Vec::new());
    let version = ServiceVersion { service: "models".into(), software: "v1".into() };
    let services = BTreeSet::from([version.service.clone()]);
    let end = log_position::position(2, 1);
    let partition = PartitionListing {
        versions: BTreeMap::from([(version.clone(), end)]),
        confirmed_era: Some(1),
        end,
    };
    let listing = VersionListing::from([(); 3].map(|()| Some(partition.clone())));
    // Beyond the delays of nodes that go first.
    let mut records = VersionRecords::new("n0".into(), now);
    origins.observe_era(2, now);
    let mut calls = Vec::new();
    for at_ms in (3_000..59_000).step_by(250) {
        let at = now + Duration::from_millis(at_ms);
        origins.observe_version(&version.service, &version.software, at);
        let Some(call) = records.next_call(&origins, &services, at) else { continue };
        let outcome = match &call {
            VersionCall::List => {
                origins.apply_listing(&listing, at, at);
                VersionOutcome::Listed { listing: listing.clone(), era: 2, requested_at: at }
            }
            VersionCall::AskNodes { era, .. } => {
                VersionOutcome::NodesAnswered { asked_era: *era, answers: Vec::new() }
            }
            other => panic!("{other:?} after {at_ms} ms"),
        };
        records.apply(outcome, &origins, at);
        calls.push(call);
    }
    assert!(calls.iter().any(|call| matches!(call, VersionCall::AskNodes { .. })));
    assert!(!origins.is_era_confirmed());
    // Streams of before the era have ended.
    let at = now + Duration::from_secs(61);
    assert_eq!(records.next_call(&origins, &services, at), Some(VersionCall::ConfirmEra(2)));
}
