//! Owners of document sections, their roles and API keys.

use crate::types::SectionPath;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use std::fmt::Write;
use strum::{Display, EnumString, IntoStaticStr};

/// Length of a SHA-256 in hexadecimal digits.
const KEY_HASH_CHARS: usize = 64;

/// Role of an owner; each role includes the permissions of the ones before it.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OwnerRole {
    /// Reads everything.
    Reader,
    /// Edits its own sections.
    Editor,
    /// Edits every section, including the owners.
    Administrator,
}

/// Team or person that reads or edits the document.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    /// SHA-256 of each API key, in lower-case hexadecimal.
    pub key_hashes: Vec<SmolStr>,
    /// Role of the owner.
    pub role: OwnerRole,
    /// Sections that an editor may edit.
    pub sections: Vec<SectionPattern>,
}

/// Pattern of section paths.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SectionPattern {
    /// The section with this path.
    Exact(SectionPath),
    /// Every section whose path starts with this prefix.
    Prefix(SectionPath),
}

impl SectionPattern {
    /// Whether the path `section` matches the pattern.
    pub fn matches(&self, section: &str) -> bool {
        match self {
            Self::Exact(path) => path == section,
            Self::Prefix(prefix) => section.starts_with(prefix.as_str()),
        }
    }
}

impl Owner {
    /// Whether the owner may edit `section`.
    pub fn may_edit(&self, section: &str) -> bool {
        match self.role {
            OwnerRole::Reader => false,
            OwnerRole::Editor => self.sections.iter().any(|pattern| pattern.matches(section)),
            OwnerRole::Administrator => true,
        }
    }
}

/// Returns the SHA-256 of an API key in lower-case hexadecimal.
pub fn hash_key(key: &str) -> SmolStr {
    let digest = Sha256::digest(key.as_bytes());
    let mut text = String::with_capacity(digest.len() * 2);
    for byte in digest {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
    }
    text.into()
}

/// Whether `text` is a SHA-256 in lower-case hexadecimal.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == KEY_HASH_CHARS
        && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
