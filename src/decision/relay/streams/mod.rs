//! Streams that their callers resume: which software version each one goes on at, decided from what
//! this node and others have seen of its begin, and from the versions that the record store keeps.

pub mod origins;
pub mod version_records;

pub use origins::StreamOrigins;
pub use version_records::{
    ServiceVersion, VersionCall, VersionListing, VersionOutcome, VersionRecords,
};
