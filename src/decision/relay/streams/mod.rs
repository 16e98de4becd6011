//! Streams that their callers resume: which software version each one goes on at, decided from what
//! this node and others have seen of its begin, and from the versions that the record store keeps.

mod era_confirmation;
pub mod origin_messages;
pub mod origin_search;
pub mod origins;
mod owners;
pub mod recorded_versions;
pub mod store_era;
pub mod version_records;

pub use origin_messages::{
    KnownOrigin, OriginAnswer, OriginRecord, StreamKey, StreamOrigin, stream_key, unproven_software,
};
pub use origin_search::{FoundVersion, OriginSearch};
pub use origins::StreamOrigins;
pub use recorded_versions::RecordedVersions;
pub use store_era::EraAnswer;
pub use version_records::{
    PartitionListing, ServiceVersion, VERSION_MAJORITY, VERSION_PARTITIONS, VersionCall,
    VersionListing, VersionOutcome, VersionRecords, WATCHER_SEED,
};
