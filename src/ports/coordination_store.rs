//! Port of the site's store of records: what operators and servers write, where nodes find each
//! other, and the register of the rollout lease.

use crate::decision::relay::register_lease::{FencingNumber, RegisterRecord};
use crate::decision::relay::replica::TopicListing;
use crate::decision::relay::{KeyedRecord, RecordTopic};
use crate::types::{InstanceId, LogOffset, PeerResult};
use async_trait::async_trait;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Instant;

/// Records that follow an offset.
#[derive(Clone, Debug)]
pub enum RecordPage {
    /// Records in offset order, none if there were none in time.
    Records {
        /// Records.
        records: Vec<KeyedRecord>,
        /// Offset to go on from.
        next_offset: LogOffset,
    },
    /// Some of the records have expired; the topic is to be listed again.
    Expired,
}

/// Node that announced itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnnouncedNode {
    /// Name of the instance.
    pub name: SmolStr,
    /// Listener of partner links.
    pub address: SocketAddr,
}

/// Outcome of a conditional replacement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplaceOutcome {
    /// The record was replaced.
    Replaced(FencingNumber),
    /// Another record has come since.
    Conflict,
}

/// Store of records. A call whose answer is lost may have taken effect, or may still do so.
#[async_trait]
pub trait CoordinationStore: Send + Sync {
    /// Returns the newest record of each key.
    async fn list(&self, topic: RecordTopic) -> PeerResult<TopicListing>;

    /// Returns records from an offset on, as soon as there are some or at `wait_until`.
    async fn poll(
        &self,
        topic: RecordTopic,
        from: LogOffset,
        wait_until: Instant,
    ) -> PeerResult<RecordPage>;

    /// Announces this node.
    async fn announce(&self, node: &AnnouncedNode) -> PeerResult<()>;

    /// Returns the nodes that announced themselves, dead ones among them.
    async fn announced_nodes(&self) -> PeerResult<Vec<AnnouncedNode>>;

    /// Returns the newest record of the lease register.
    async fn read_register(&self) -> PeerResult<RegisterRecord>;

    /// Replaces the record with number `number` by one of `holder`.
    async fn replace_register(
        &self,
        number: FencingNumber,
        holder: &InstanceId,
    ) -> PeerResult<ReplaceOutcome>;
}
