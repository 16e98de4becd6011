//! Authentication and authorization of callers of the administration API.

use super::error::{AdminError, ErrorCode};
use crate::document::{Document, Owner, OwnerRole, hash_key};
use crate::types::OwnerId;
use smol_str::SmolStr;

/// Name under which edits made with the bootstrap key are recorded.
const BOOTSTRAP_OWNER_NAME: &str = "bootstrap";

/// Authenticated caller of the administration API.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminCaller {
    /// Name of the owner, recorded as the author of edits.
    pub name: OwnerId,
    /// Role and sections of the owner, from the document.
    pub owner: Owner,
}

/// Returns the owner whose key is `key`. While the document has no owners, the bootstrap key, whose
/// hash is in the settings, belongs to an administrator.
///
/// # Errors
///
/// [`ErrorCode::InvalidKey`] if the key is missing or unknown.
pub fn authenticate(
    key: Option<&str>,
    document: Option<&Document>,
    bootstrap_key_hash: Option<&SmolStr>,
) -> Result<AdminCaller, AdminError> {
    let invalid_key =
        || AdminError::new(ErrorCode::InvalidKey, "the bearer key is missing or not known");
    let hash = hash_key(key.ok_or_else(invalid_key)?);
    let owners = document.map(|document| &document.owners).filter(|owners| !owners.is_empty());
    let Some(owners) = owners else {
        let is_bootstrap_key = bootstrap_key_hash.is_some_and(|expected| *expected == hash);
        return is_bootstrap_key.then(bootstrap_caller).ok_or_else(invalid_key);
    };
    owners
        .iter()
        .find(|(_, owner)| owner.key_hashes.contains(&hash))
        .map(|(name, owner)| AdminCaller { name: name.clone(), owner: owner.clone() })
        .ok_or_else(invalid_key)
}

impl AdminCaller {
    /// Checks that the caller has at least `role`.
    ///
    /// # Errors
    ///
    /// [`ErrorCode::Forbidden`] if the caller's role is lower.
    pub fn require_role(&self, role: OwnerRole) -> Result<(), AdminError> {
        if self.owner.role >= role {
            return Ok(());
        }
        let message = format!("`{}` is a {}, not a {role}", self.name, self.owner.role);
        Err(AdminError::new(ErrorCode::Forbidden, message))
    }
}

fn bootstrap_caller() -> AdminCaller {
    let owner =
        Owner { key_hashes: Vec::new(), role: OwnerRole::Administrator, sections: Vec::new() };
    AdminCaller { name: SmolStr::new_static(BOOTSTRAP_OWNER_NAME), owner }
}
