//! Sections of the document: how a document is cut into them and put together again.

use crate::document::RawDocument;
use crate::types::{Faults, SectionPath};
use serde_json::{Map, Value};
use smol_str::format_smolstr;
use std::collections::BTreeMap;

/// Kinds that are one section instead of a section for each name.
pub const SINGLETON_KINDS: [&str; 1] = ["site"];

/// Returns the kind of a section: the part of its path before the slash.
pub fn section_kind(section: &str) -> &str {
    section.split_once('/').map_or(section, |(kind, _)| kind)
}

/// Cuts a document into its sections.
pub fn split_document(raw: &RawDocument) -> BTreeMap<SectionPath, Value> {
    let value = serde_json::to_value(raw).expect("a raw document is JSON");
    split_json(&value)
}

/// Cuts a document in its JSON form into its sections; values that are no objects are left whole.
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
            whole => {
                sections.insert(kind.into(), whole.clone());
            }
        }
    }
    sections
}

/// Returns the kinds of a document in its JSON form that have no section in them.
pub fn empty_kinds(document: &Value) -> Vec<String> {
    let Value::Object(kinds) = document else {
        return Vec::new();
    };
    let is_empty = |value: &Value| value.as_object().is_some_and(Map::is_empty);
    kinds.iter().filter(|(_, value)| is_empty(value)).map(|(kind, _)| kind.clone()).collect()
}

/// Puts sections together to a document in its JSON form.
///
/// # Errors
///
/// A kind that is both one section and a section for each name.
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
