//! Messages between partners.

use crate::decision::configuration::{ConfigurationAnnouncement, ConfigurationCopy};
use crate::decision::leaving::LeavingNotice;
use crate::decision::membership::MemberRecord;
use crate::decision::poison::{KeyStrike, Strike};
use crate::decision::power::PowerMessage;
use crate::decision::relay::load_exchange::RelayLoad;
use crate::decision::relay::read_schedule::Confirmation;
use crate::decision::relay::register_lease::RegisterRecord;
use crate::decision::relay::replica::{RecordsRequest, TopicDelta};
use crate::decision::relay::streams::ServiceVersion;
use crate::decision::relay::{BrittleNotice, LimitNotice, RecordTopic};
use crate::types::{LogOffset, LogPosition, ModelId, ServerId, StoreEra, WeightsRevision};
use bytes::Bytes;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use strum::{EnumDiscriminants, IntoDiscriminant, IntoStaticStr, VariantNames};

/// Message to a partner. Later builds may add kinds, and fields to a kind; a build skips those that
/// it does not know.
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
    /// Keep-alive, with digests of the sender's state.
    Ping {
        /// Digest of the sender's member set.
        digest: u64,
        /// How far the sender has read the configuration.
        configuration: ConfigurationAnnouncement,
    },
    /// Member records.
    Members(Vec<MemberRecord>),
    /// Strikes against requests; the receiver keeps the union.
    Strikes(Vec<Strike>),
    /// Strikes against keys of requests, new, cleared, or all of the sender; the receiver keeps the
    /// union.
    KeyStrikes(Vec<KeyStrike>),
    /// Backend servers that are leaving.
    Leaving(Vec<LeavingNotice>),
    /// Limits of backend servers, new, ended, or all of the sender.
    Limits(Vec<LimitNotice>),
    /// Services with brittle servers, new, ended, or all of the sender.
    Brittle(Vec<BrittleNotice>),
    /// Transfer of power.
    Power(PowerMessage),
    /// Requests the configuration if the receiver has folded records above an offset.
    ConfigurationRequest {
        /// Offset of the last record that the sender has folded.
        above: LogOffset,
    },
    /// Configuration for a partner that cannot read the log.
    Configuration(Box<ConfigurationCopy>),
    /// How far the sender knows each topic of keyed records.
    Topics(Vec<TopicDigest>),
    /// Requests the records of a topic that the sender lacks.
    RecordsRequest(RecordsRequest),
    /// Keyed records.
    Records(Box<TopicDelta>),
    /// Load at backend servers and newly stored or cached prefixes, as known to the sender.
    RelayLoad(RelayLoad),
    /// State of a rollout of weights.
    Rollout(RolloutNotice),
    /// Software versions of services that the record store holds, new or all that the sender knows.
    RecordedVersions(RecordedVersionsNotice),
}

/// Software versions of services that the record store holds in an era.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedVersionsNotice {
    /// Era of the store.
    pub era: StoreEra,
    /// Versions.
    pub versions: Vec<ServiceVersion>,
    /// Whether all versions of before the era are recorded in it.
    pub is_era_confirmed: bool,
}

/// How far a node knows a topic of keyed records.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicDigest {
    /// Topic.
    pub topic: RecordTopic,
    /// Position below which the latest record of each key is known, `None` before the first listing.
    pub known_below: Option<LogPosition>,
    /// Milliseconds since the store was last confirmed to hold no newer records, `None` if it never
    /// was.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// The read that confirmed it; earlier builds do not say, and skip the field.
    #[serde(default, rename = "by")]
    pub confirmation: Option<Confirmation>,
}

/// State of a rollout of weights, sent by its coordinator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutNotice {
    /// Number of the notice; increases with each notice of a coordinator.
    pub number: u64,
    /// Model.
    pub model: ModelId,
    /// Servers that must temporarily get no new requests.
    pub closed: Vec<ServerId>,
    /// Closed servers whose resumable streams must continue on other servers.
    pub evicted: Vec<ServerId>,
    /// Servers that have switched weights, with the new revision.
    pub changed: Vec<(ServerId, WeightsRevision)>,
    /// Servers that are open again without a switch because they did not answer.
    pub reopened: Vec<ServerId>,
    /// Record of the lease under which the rollout runs.
    pub lease: RegisterRecord,
}

/// Result of decoding a message.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedMessage {
    /// Message of a known kind.
    Known(PartnerMessage),
    /// Message of a kind that this build does not know.
    UnknownKind,
}

impl PartnerMessage {
    /// Encodes the message as CBOR.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to a Vec cannot fail");
        bytes.into()
    }

    /// Decodes a message from CBOR. A kind that this build does not know is not an error.
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
