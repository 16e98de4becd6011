//! Port of the site's record store, which holds the records of operators and servers, the addresses
//! of the nodes and the register of the rollout lease.

use crate::decision::relay::register_lease::{FencingNumber, RegisterRecord};
use crate::decision::relay::replica::TopicListing;
use crate::decision::relay::streams::{PartitionListing, ServiceVersion};
use crate::decision::relay::{KeyedRecord, RecordTopic};
use crate::types::{InstanceId, LogPosition, PeerResult, StoreEra};
use async_trait::async_trait;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Instant;

/// Result of polling a topic from a position on.
#[derive(Clone, Debug)]
pub enum RecordPage {
    /// Records in the order of their positions, empty if none arrived in time.
    Records {
        /// Records from the requested position on.
        records: Vec<KeyedRecord>,
        /// Position of the next poll.
        next_position: LogPosition,
        /// Position after the last record of the topic when the store answered. It is beyond
        /// `next_position` if the records do not fit into one page.
        end: LogPosition,
    },
    /// Some of the records have expired; the topic must be listed again.
    Expired,
    /// The store was restored from a copy, so that the position means nothing any more; the topic
    /// must be listed again.
    Restored,
}

/// Node that announced itself in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnnouncedNode {
    /// Name of the instance.
    pub name: SmolStr,
    /// Address of its listener for partner links.
    pub address: SocketAddr,
}

/// Outcome of a conditional replacement of the register's record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplaceOutcome {
    /// The record was replaced; the new one has this number.
    Replaced(FencingNumber),
    /// A newer record exists, or the store was restored since the number was read.
    Conflict,
}

/// Record store. A call whose answer is lost may have taken effect or may still take effect.
#[async_trait]
pub trait CoordinationStore: Send + Sync {
    /// Returns the newest record of each key of a topic.
    async fn list(&self, topic: RecordTopic) -> PeerResult<TopicListing>;

    /// Returns the records from position `from` on; waits until `wait_until` if there are none yet.
    async fn poll(
        &self,
        topic: RecordTopic,
        from: LogPosition,
        wait_until: Instant,
    ) -> PeerResult<RecordPage>;

    /// Announces this node.
    async fn announce(&self, node: &AnnouncedNode) -> PeerResult<()>;

    /// Returns the nodes that announced themselves, including nodes that no longer run.
    async fn announced_nodes(&self) -> PeerResult<Vec<AnnouncedNode>>;

    /// Returns the newest record of the lease register.
    async fn read_register(&self) -> PeerResult<RegisterRecord>;

    /// Makes `holder` the lease holder if the newest record still has number `number`.
    async fn replace_register(
        &self,
        number: FencingNumber,
        holder: &InstanceId,
    ) -> PeerResult<ReplaceOutcome>;

    /// Returns the software versions of services that are recorded in `partition`, of
    /// [`VERSION_PARTITIONS`](crate::decision::relay::streams::VERSION_PARTITIONS).
    async fn list_versions(&self, partition: usize) -> PeerResult<PartitionListing>;

    /// Records a software version of a service in `partition`; returns the era of the store.
    async fn add_version(&self, partition: usize, version: &ServiceVersion)
    -> PeerResult<StoreEra>;

    /// Records in `partition` that all versions of before `era` are recorded in it; returns the era of the store.
    async fn confirm_era(&self, partition: usize, era: StoreEra) -> PeerResult<StoreEra>;

    /// Removes the record of a software version from `partition` if the last record there is still the one
    /// before `listed_end`; returns whether it did.
    async fn remove_version(
        &self,
        partition: usize,
        version: &ServiceVersion,
        listed_end: LogPosition,
    ) -> PeerResult<bool>;
}
