//! Decoders of records, copies and documents never panic, and their errors have a message.

use super::proptest_config;
use coriandertide::decision::configuration::{
    ConfigurationCopy, ConfigurationRecord, RecordError, validate_json,
};
use coriandertide::document::RawDocument;
use proptest::prelude::*;
use serde_json::{Value, json};

fn any_json() -> impl Strategy<Value = Value> {
    let names = ["format", "kind", "edit", "edit_id", "changes", "section", "site", "workspaces"];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z/]{0,8}".prop_map(Value::from),
        prop::sample::select(names.to_vec()).prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 4, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(prop::sample::select(names.to_vec()), inner, 0..4)
                .prop_map(|map| json!(map)),
        ]
    })
}

fn is_explained(result: Result<ConfigurationRecord, RecordError>) -> bool {
    result.err().is_none_or(|error| !error.to_string().is_empty())
}

proptest! {
    #![proptest_config(proptest_config(602))]

    #[test]
    fn decoders_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..64), value in any_json()) {
        prop_assert!(is_explained(ConfigurationRecord::decode(&bytes)));
        prop_assert!(is_explained(ConfigurationRecord::decode(value.to_string().as_bytes())));
        let _copy: Result<ConfigurationCopy, _> = serde_json::from_value(value.clone());
        if let Err(faults) = validate_json(value, 1) {
            prop_assert!(!faults.to_string().is_empty());
        }
    }

    #[test]
    fn mutated_record_decodes_or_is_malformed(at in 0..200_usize, byte in any::<u8>()) {
        let mut payload = ConfigurationRecord::initial(RawDocument::default()).encode().to_vec();
        let index = at % payload.len();
        payload[index] = byte;
        prop_assert!(is_explained(ConfigurationRecord::decode(&payload)));
    }
}

#[test]
fn encoded_record_format_is_stable() {
    let record = ConfigurationRecord::initial(RawDocument::default());
    assert_eq!(ConfigurationRecord::decode(&record.encode()), Ok(record.clone()));
    let payload = String::from_utf8(record.encode().to_vec()).unwrap();
    insta::assert_snapshot!(payload, @r#"{"format":1,"kind":"initial","author":"initial","built_by":"0.1.0","sections":{"site":{"budget_watts":0,"max_nodes":0,"power_lease_s":900,"zone_links":[]}}}"#);
}
