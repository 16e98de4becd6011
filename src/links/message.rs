//! Messages between partners.

use crate::decision::configuration::{ConfigurationAnnouncement, ConfigurationCopy};
use crate::decision::leaving::LeavingNotice;
use crate::decision::membership::MemberRecord;
use crate::decision::poison::Strike;
use crate::decision::power::PowerMessage;
use crate::decision::relay::RecordTopic;
use crate::decision::relay::load_exchange::RelayLoad;
use crate::decision::relay::register_lease::RegisterRecord;
use crate::decision::relay::replica::TopicDelta;
use crate::types::{LogOffset, ModelId, ServerId, WeightsRevision};
use bytes::Bytes;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use strum::{EnumDiscriminants, IntoDiscriminant, IntoStaticStr, VariantNames};

/// Message to a partner. Kinds may be added and fields may be added to a kind; a build skips kinds
/// and fields that it does not know.
#[derive(Clone, Debug, Deserialize, EnumDiscriminants, PartialEq, Serialize, VariantNames)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[strum_discriminants(
    name(MessageKind),
    derive(Hash, IntoStaticStr, strum::Display),
    strum(serialize_all = "snake_case"),
    doc = "Kind of a message."
)]
pub enum PartnerMessage {
    /// Sign of life.
    Ping {
        /// Digest of the sender's member set.
        digest: u64,
        /// What the sender knows of the configuration.
        configuration: ConfigurationAnnouncement,
    },
    /// Records of members.
    Members(Vec<MemberRecord>),
    /// Strikes against requests; the receiver keeps the union.
    Strikes(Vec<Strike>),
    /// Backend servers that leave.
    Leaving(Vec<LeavingNotice>),
    /// Transfer of power.
    Power(PowerMessage),
    /// Asks for the configuration above an offset.
    ConfigurationRequest {
        /// Offset that the sender has folded.
        above: LogOffset,
    },
    /// Configuration for a partner that cannot read the log.
    Configuration(Box<ConfigurationCopy>),
    /// What the sender knows of each topic of keyed records.
    Topics(Vec<TopicDigest>),
    /// Asks for the records of a topic from an offset on.
    RecordsRequest(TopicDigest),
    /// Keyed records.
    Records(Box<TopicDelta>),
    /// Requests of the sender at backend servers, and prefixes that it had saved.
    RelayLoad(RelayLoad),
    /// State of a rollout of weights.
    Rollout(RolloutNotice),
}

/// What a node knows of a topic of keyed records.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicDigest {
    /// Topic.
    pub topic: RecordTopic,
    /// Offset below which every key's newest record is known, none before the first listing.
    pub known_below: Option<LogOffset>,
    /// Milliseconds since the store was known to hold nothing newer, none if it never was.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

/// State of a rollout of weights, as its coordinator tells it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutNotice {
    /// Number of the notice; later ones of a coordinator have higher numbers.
    pub number: u64,
    /// Model.
    pub model: ModelId,
    /// Servers that get no new requests for now.
    pub closed: Vec<ServerId>,
    /// Closed servers that streams are taken off.
    pub evicted: Vec<ServerId>,
    /// Servers that changed, with their weights.
    pub changed: Vec<(ServerId, WeightsRevision)>,
    /// Servers that are open again without having changed, since they did not answer.
    pub reopened: Vec<ServerId>,
    /// Record of the lease under which the rollout runs.
    pub lease: RegisterRecord,
}

/// What the bytes of a message turned out to be.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedMessage {
    /// Message of a known kind.
    Known(PartnerMessage),
    /// Message of a kind that a newer build has added.
    UnknownKind,
}

impl PartnerMessage {
    /// Returns the message in CBOR.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a Vec takes every write");
        bytes.into()
    }

    /// Reads a message.
    pub fn decode(bytes: &[u8]) -> anyhow::Result<DecodedMessage> {
        let error = match ciborium::from_reader(bytes) {
            Ok(message) => return Ok(DecodedMessage::Known(message)),
            Err(error) => error,
        };
        let value: Value = ciborium::from_reader(bytes)?;
        let kind = value.as_map().and_then(|map| map.first()).and_then(|(kind, _)| kind.as_text());
        match kind {
            Some(kind) if !Self::VARIANTS.contains(&kind) => Ok(DecodedMessage::UnknownKind),
            _ => Err(error.into()),
        }
    }

    /// Returns the kind of the message.
    pub fn kind(&self) -> MessageKind {
        self.discriminant()
    }
}
