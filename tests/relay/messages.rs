//! Messages of other nodes: whatever bytes arrive, decoding them ends in a message or an error.

use super::proptest_config;
use coriandertide::links::handshake::hmac_sha256;
use coriandertide::links::{Datagram, PartnerMessage};
use coriandertide::relay::peers::message;
use proptest::prelude::*;
use std::time::Instant;

const KEY: &str = "a key of sixteen";

/// Bytes of the authentication code of a datagram.
const CODE_BYTES: usize = 16;

fn any_cbor() -> impl Strategy<Value = ciborium::Value> {
    let names = [
        "origin",
        "origin_query",
        "origin_answer",
        "quota_query",
        "quota_answer",
        "reach_answer",
        "quota_correction",
        "number",
        "query",
        "answer",
        "stream",
        "service",
        "workspace",
        "units",
        "w",
        "l",
        "u",
        "p",
        "v",
        "r",
        "b",
        "k",
        "o",
        "c",
        "granted",
        "denied",
        "relay_load",
        "leaving",
        "limits",
        "members",
        "records",
        "topics",
        "age_ms",
        "remaining_ms",
        "id",
    ];
    let text = prop::sample::select(names.to_vec()).prop_map(ciborium::Value::from);
    let leaf = prop_oneof![
        Just(ciborium::Value::Null),
        any::<bool>().prop_map(ciborium::Value::from),
        any::<i64>().prop_map(ciborium::Value::from),
        any::<u64>().prop_map(ciborium::Value::from),
        any::<f64>().prop_map(ciborium::Value::from),
        prop::collection::vec(any::<u8>(), 0..8).prop_map(ciborium::Value::from),
        text.clone(),
    ];
    leaf.prop_recursive(4, 48, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(ciborium::Value::from),
            prop::collection::vec((text.clone(), inner), 0..6).prop_map(ciborium::Value::from),
        ]
    })
}

fn encode(value: &ciborium::Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

proptest! {
    #![proptest_config(proptest_config(603))]

    /// Guards against a message of a node of another build, or a damaged one, that ends the process.
    #[test]
    fn messages_of_nodes_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..64),
        value in any_cbor(),
    ) {
        for message in [bytes, encode(&value)] {
            let _partner = PartnerMessage::decode(&message);
            let mut datagram = hmac_sha256(KEY.as_bytes(), &message);
            datagram.truncate(CODE_BYTES);
            datagram.extend_from_slice(&message);
            let _datagram = Datagram::decode(&datagram, KEY);
            let mut forwarded = (message.len() as u32).to_be_bytes().to_vec();
            forwarded.extend_from_slice(&message);
            let _request = message::decode(forwarded.into(), Instant::now());
            let _truncated = message::decode(message.into(), Instant::now());
        }
    }
}
