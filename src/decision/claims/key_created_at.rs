//! Creation time embedded in an idempotency key.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Characters of a UUID in its text form.
const UUID_CHARS: usize = 36;
/// Position of the version digit in a UUID.
const UUID_VERSION_CHAR: usize = 14;
/// Leading hexadecimal digits of a UUID of version 7 that hold its Unix time in milliseconds.
const UUID_TIME_DIGITS: usize = 12;

/// Returns the creation time of a key that is a UUID of version 7 (RFC 9562), none for other keys.
pub fn key_created_at(key: &str) -> Option<SystemTime> {
    if key.len() != UUID_CHARS || !key.is_ascii() || key.as_bytes()[UUID_VERSION_CHAR] != b'7' {
        return None;
    }
    let is_uuid = key.bytes().enumerate().all(|(index, byte)| match index {
        8 | 13 | 18 | 23 => byte == b'-',
        _ => byte.is_ascii_hexdigit(),
    });
    if !is_uuid {
        return None;
    }
    let digits: String = key.chars().filter(|char| *char != '-').take(UUID_TIME_DIGITS).collect();
    let unix_ms = u64::from_str_radix(&digits, 16).ok()?;
    Some(UNIX_EPOCH + Duration::from_millis(unix_ms))
}
