//! Compression of the records that nodes send each other.
//!
//! A delta is compressed as a whole. Large records that the receiver has, such as the version before,
//! serve as the dictionary, so that a change of a large record costs about the size of the change.

use super::RecordTopic;
use super::replica::{RecordsRequest, Replica, TopicDelta};
use crate::types::LogPosition;
use anyhow::{Context, ensure};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Level of compression: higher ones take milliseconds of a whole core for a large record.
const COMPRESSION_LEVEL: i32 = 3;

/// Size of the encoded records from which they are compressed.
const MIN_PACKED_BYTES: usize = 512;

/// Maximum size of the records of a delta that was received.
const MAX_UNPACKED_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of deltas that are kept for partners that lack the same.
const MAX_RECENT: usize = 4;

/// Records of a delta in compressed form.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedRecords {
    /// Positions of the records whose values are the dictionary, in this order.
    #[serde(rename = "b")]
    pub bases: Vec<LogPosition>,
    /// Size of the encoded records.
    #[serde(rename = "n")]
    pub length_bytes: u64,
    /// Hash of the encoded records.
    #[serde(rename = "h")]
    pub hash: u64,
    /// Compressed records.
    #[serde(rename = "z")]
    pub compressed: Bytes,
}

impl fmt::Debug for PackedRecords {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { bases, length_bytes, compressed, .. } = self;
        write!(formatter, "PackedRecords({} of {length_bytes} bytes, {bases:?})", compressed.len())
    }
}

/// Packs deltas; partners that lack the same records get the same bytes.
#[derive(Clone, Debug, Default)]
pub struct RecordPacker {
    recent: VecDeque<PackedRecords>,
}

impl RecordPacker {
    /// Packs the records of the answer to `request`, if the partner can read that and it is shorter.
    pub fn pack(&mut self, delta: &mut TopicDelta, request: &RecordsRequest, replica: &Replica) {
        let Some(offered) = &request.bases else { return };
        let mut encoded = Vec::new();
        ciborium::into_writer(&delta.records, &mut encoded).expect("writing to a Vec cannot fail");
        if encoded.len() < MIN_PACKED_BYTES {
            return;
        }
        let topic = delta.topic;
        let is_known = |position: &&LogPosition| replica.value_at(topic, **position).is_some();
        let bases: Vec<LogPosition> = offered.iter().filter(is_known).copied().collect();
        let hash = xxh3_64(&encoded);
        let recent = self.recent.iter().find(|known| known.hash == hash && known.bases == bases);
        let packed = match recent {
            Some(packed) => packed.clone(),
            None => {
                let compressed = compress(&encoded, topic, &bases, replica);
                let compressed = compressed.inspect_err(|error| {
                    log::warn!("event=records_not_packed topic={topic} error=\"{error:#}\"");
                });
                let Ok(compressed) = compressed else { return };
                let length_bytes = encoded.len() as u64;
                let packed = PackedRecords { bases, length_bytes, hash, compressed };
                self.recent.truncate(MAX_RECENT - 1);
                self.recent.push_front(packed.clone());
                packed
            }
        };
        if packed.compressed.len() < encoded.len() {
            delta.records.clear();
            delta.packed = Some(packed);
        }
    }
}

fn compress(
    encoded: &[u8],
    topic: RecordTopic,
    bases: &[LogPosition],
    replica: &Replica,
) -> anyhow::Result<Bytes> {
    let dictionary = dictionary(topic, bases, replica).context("step=pack unknown base")?;
    let mut compressor = zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, &dictionary)?;
    Ok(compressor.compress(encoded)?.into())
}

/// Returns the values of the records at `bases`, `None` if one of them is not known.
fn dictionary(topic: RecordTopic, bases: &[LogPosition], replica: &Replica) -> Option<Vec<u8>> {
    let mut dictionary = Vec::new();
    for position in bases {
        dictionary.extend_from_slice(replica.value_at(topic, *position)?);
    }
    Some(dictionary)
}

/// Puts the packed records of a received delta in its list of records.
///
/// # Errors
///
/// A record of the dictionary is not known any more, or the bytes do not decode to what was packed.
pub fn unpack(delta: &mut TopicDelta, replica: &Replica) -> anyhow::Result<()> {
    let Some(packed) = delta.packed.take() else { return Ok(()) };
    let length_bytes = usize::try_from(packed.length_bytes)?;
    ensure!(length_bytes <= MAX_UNPACKED_BYTES, "step=unpack {length_bytes} bytes");
    let dictionary =
        dictionary(delta.topic, &packed.bases, replica).context("step=unpack unknown base")?;
    let mut decompressor = zstd::bulk::Decompressor::with_dictionary(&dictionary)?;
    let encoded =
        decompressor.decompress(&packed.compressed, length_bytes).context("step=unpack")?;
    ensure!(xxh3_64(&encoded) == packed.hash, "step=unpack hash differs");
    delta.records = ciborium::from_reader(encoded.as_slice()).context("step=unpack")?;
    Ok(())
}
