//! Who calls the administration API and what the caller may do.

use super::error::{AdminError, ErrorCode};
use crate::document::{Document, Owner, OwnerRole, hash_key};
use crate::types::OwnerId;
use smol_str::SmolStr;

/// Author of edits made with the bootstrap key.
const BOOTSTRAP_OWNER: &str = "bootstrap";

/// Caller of the administration API.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminCaller {
    /// Name.
    pub name: OwnerId,
    /// What the document says of the caller.
    pub owner: Owner,
}

/// Finds the owner of `key`. The key of the settings counts while the document names no owner.
///
/// # Errors
///
/// A key that is missing or not known.
pub fn authenticate(
    key: Option<&str>,
    document: Option<&Document>,
    bootstrap_key_hash: Option<&SmolStr>,
) -> Result<AdminCaller, AdminError> {
    let refused =
        || AdminError::new(ErrorCode::InvalidKey, "the bearer key is missing or not known");
    let hash = hash_key(key.ok_or_else(refused)?);
    let owners = document.map(|document| &document.owners).filter(|owners| !owners.is_empty());
    let Some(owners) = owners else {
        let is_bootstrap = bootstrap_key_hash.is_some_and(|known| *known == hash);
        return is_bootstrap.then(bootstrap_caller).ok_or_else(refused);
    };
    owners
        .iter()
        .find(|(_, owner)| owner.key_hashes.contains(&hash))
        .map(|(name, owner)| AdminCaller { name: name.clone(), owner: owner.clone() })
        .ok_or_else(refused)
}

impl AdminCaller {
    /// Checks that the caller has at least `role`.
    ///
    /// # Errors
    ///
    /// A lesser role.
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
    AdminCaller { name: SmolStr::new_static(BOOTSTRAP_OWNER), owner }
}
