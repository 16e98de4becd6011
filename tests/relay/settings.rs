//! Relay settings: the committed schema is current, and all errors are reported at once.

use coriandertide::relay::{RawRelaySettings, RelaySettings};
use serde_json::{Value, json};
use std::path::Path;

fn valid() -> Value {
    json!({
        "instance_name": "n1",
        "availability_zone": "north",
        "partner_key": "0123456789abcdef",
        "seed_partners": ["127.0.0.1:7000"],
        "rollout_lease_ms": 3000,
        "listen": {
            "callers": "127.0.0.1:0",
            "readiness": "127.0.0.1:0",
            "readiness_path": "/ready",
            "partners": "127.0.0.1:0",
            "metrics": "127.0.0.1:0",
            "metrics_path": "/metrics",
        },
    })
}

fn check(settings: Value) -> Result<RelaySettings, String> {
    let raw: RawRelaySettings = serde_json::from_value(settings).unwrap();
    RelaySettings::try_from(raw).map_err(|faults| faults.to_string())
}

#[test]
fn valid_settings_are_accepted() {
    let settings = check(valid()).unwrap();
    assert_eq!(settings.resend.window_ms, 10_000);
    assert_eq!(settings.quota_window.window_ms, 0);
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut settings = valid();
    settings["partner_key"] = json!("short");
    settings["seed_partners"] = json!(["127.0.0.1:1", "nowhere"]);
    settings["listen"]["metrics"] = json!("x");
    settings["resend"] = json!({"ratio": 2.0, "slack": -1.0, "window_s": 0.0});
    settings["quota"] = json!({"window_s": -1.0, "excess_ratio": 2.0, "slack_units": -1.0});
    settings["stop"] = json!({"accept_ms": 9, "limit_ms": 9});
    insta::assert_snapshot!(check(settings).unwrap_err(), @"
    partner_key: must have at least 16 bytes
    resend.ratio: must be from 0 to 1
    resend.slack: must not be negative
    resend.window_s: must be above 0
    quota.window_s: must not be negative
    quota.excess_ratio: must be from 0 to 1
    quota.slack_units: must not be negative
    stop.accept_ms: must be below stop.limit_ms
    listen.metrics: `x` is not an ip:port address
    seed_partners.1: `nowhere` is not an ip:port address
    ");
}

#[test]
fn the_schema_is_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/schema/relay_settings.json");
    let schema = schemars::schema_for!(RawRelaySettings);
    let text = serde_json::to_string_pretty(&schema).unwrap() + "\n";
    if std::env::var_os("COT_UPDATE_SCHEMAS").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text, "the schema is out of date");
}
