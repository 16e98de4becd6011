//! The committed JSON schemas match the types; `COT_UPDATE_SCHEMAS=1` rewrites them.

use coriandertide::document::RawDocument;
use coriandertide::settings::RawSettings;
use std::path::Path;

/// Compares a committed file below `docs/schema` with what the code generates.
pub fn check(file: &str, schema: &impl serde::Serialize) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/schema").join(file);
    let text = serde_json::to_string_pretty(schema).unwrap() + "\n";
    if std::env::var_os("COT_UPDATE_SCHEMAS").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text, "{file} is out of date");
}

#[test]
fn document_schema_is_current() {
    check("document.json", &schemars::schema_for!(RawDocument));
}

#[test]
fn settings_schema_is_current() {
    check("settings.json", &schemars::schema_for!(RawSettings));
}
