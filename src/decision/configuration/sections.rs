//! Splitting of a document into sections, and joining of sections into a document.

use crate::document::RawDocument;
use crate::types::{Faults, SectionPath};
use serde_json::{Map, Value};
use smol_str::format_smolstr;
use std::collections::BTreeMap;

/// Kinds that consist of a single section instead of one section per name.
pub const SINGLETON_KINDS: [&str; 1] = ["site"];

/// Returns the kind of a section: the part of its path before the slash, if any.
pub fn section_kind(section: &str) -> &str {
    section.split_once('/').map_or(section, |(kind, _)| kind)
}

/// Splits a document into sections.
pub fn split_document(raw: &RawDocument) -> BTreeMap<SectionPath, Value> {
    let value = serde_json::to_value(raw).expect("a raw document is JSON");
    split_json(&value)
}

/// Splits a document in JSON form into sections; a kind whose value is not an object becomes one
/// section.
pub fn split_json(document: &Value) -> BTreeMap<SectionPath, Value> {
    let mut sections = BTreeMap::new();
    let Value::Object(kinds) = document else {
        return sections;
    };
    for (kind, value) in kinds {
        match value {
            Value::Object(named) if !SINGLETON_KINDS.contains(&kind.as_str()) => {
                for (name, value) in named {
                    sections.insert(format_smolstr!("{kind}/{name}"), value.clone());
                }
            }
            single => {
                sections.insert(kind.into(), single.clone());
            }
        }
    }
    sections
}

/// Returns the kinds without a section in a document in JSON form.
pub fn empty_kinds(document: &Value) -> Vec<String> {
    let Value::Object(kinds) = document else {
        return Vec::new();
    };
    let is_empty = |value: &Value| value.as_object().is_some_and(Map::is_empty);
    kinds.iter().filter(|(_, value)| is_empty(value)).map(|(kind, _)| kind.clone()).collect()
}

/// Joins sections into a document in JSON form.
///
/// # Errors
///
/// A kind that appears both as a single section and as sections per name.
pub fn join_sections<'a>(
    sections: impl Iterator<Item = (&'a SectionPath, &'a Value)>,
) -> Result<Value, Faults> {
    let mut document = Map::new();
    let mut faults = Faults::default();
    for (section, value) in sections {
        let Some((kind, name)) = section.split_once('/') else {
            document.insert(section.to_string(), value.clone());
            continue;
        };
        let named = document.entry(kind).or_insert_with(|| Value::Object(Map::new()));
        match named {
            Value::Object(named) => {
                named.insert(name.to_owned(), value.clone());
            }
            _ => faults.add(section.clone(), format!("`{kind}` is a section of its own")),
        }
    }
    faults.into_result(Value::Object(document))
}
