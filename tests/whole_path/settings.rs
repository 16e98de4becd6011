//! Validation of settings reports all faults at once, each with its path.

use coriandertide::settings::{RawSettings, Settings};

#[test]
fn all_invalid_values_are_reported() {
    let text = r#"{
        "instance_name": "entry-1",
        "availability_zone": "",
        "platform": { "log": "127.0.0.1:9000", "instance_list": "localhost" },
        "partner_key": "long enough to pass",
        "traffic_threads": 0
    }"#;
    let raw: RawSettings = serde_json::from_str(text).unwrap();
    let faults = Settings::try_from(raw).unwrap_err();
    insta::assert_snapshot!(faults, @r"
    availability_zone: must not be empty
    traffic_threads: must be from 1 to 64
    platform.instance_list: `localhost` is not an ip:port address
    ");
}

#[test]
fn an_unknown_field_is_reported() {
    let error = Settings::parse(r#"{ "zone": "couva" }"#).unwrap_err();
    assert!(error.to_string().starts_with("zone: is not a setting"), "{error}");
}

#[test]
fn unknown_fields_and_invalid_values_are_reported_together() {
    let text = r#"{
        "instance_name": "entry-1",
        "zone": "couva",
        "availability_zone": "",
        "platform": { "log": "127.0.0.1:9000", "instance_list": "127.0.0.1:9001" },
        "partner_key": "long enough to pass",
        "limits": { "head_byte": 1 },
        "traffic_threads": 0
    }"#;
    insta::assert_snapshot!(Settings::parse(text).unwrap_err(), @r"
    zone: is not a setting
    limits.head_byte: is not a setting
    availability_zone: must not be empty
    traffic_threads: must be from 1 to 64
    ");
}

#[test]
fn the_example_settings_are_valid() {
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operators/node.json");
    assert_eq!(Settings::load(&file).unwrap().availability_zone, "couva");
}
