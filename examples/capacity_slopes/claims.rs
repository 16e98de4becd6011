//! Claims: bytes of a record, memory of remembered keys, and time of the fold, by claims.

use crate::fit::{Point, Slope};
use crate::resource_usage::grown_bytes;
use coriandertide::decision::claims::{
    ClaimEntry, ClaimEvent, ClaimId, ClaimsSettings, ClaimsState, encode_record,
};
use coriandertide::ports::{LogPage, LogRecord};
use std::time::{Duration, Instant, UNIX_EPOCH};

/// Claims in one record.
const BATCHES: [u64; 4] = [1, 10, 50, 100];
/// Keys remembered.
const KEYS: [u64; 3] = [25_000, 50_000, 100_000];

/// Costs of claims.
pub struct ClaimCosts {
    /// Bytes of a record, by the claims in it.
    pub record_bytes: Slope,
    /// Bytes of memory, by remembered keys.
    pub memory_bytes: Slope,
    /// Microseconds to fold claims in, by claims.
    pub fold_us: Slope,
    /// Milliseconds for which a key is remembered.
    pub memory_ms: u64,
}

/// Measures claims.
pub fn measure() -> anyhow::Result<ClaimCosts> {
    let record_points = BATCHES.map(|size| {
        let batch: Vec<ClaimEntry> = (1_000..1_000 + size).map(claim).collect();
        Point { size: size as f64, cost: encode_record(&batch).len() as f64 }
    });
    let mut memory_points = Vec::new();
    let mut fold_points = Vec::new();
    let mut kept = Vec::new();
    for keys in KEYS {
        let started_at = Instant::now();
        let (bytes, state) = grown_bytes(|| fold(keys))?;
        let fold_us = started_at.elapsed().as_secs_f64() * 1e6;
        memory_points.push(Point { size: keys as f64, cost: bytes });
        fold_points.push(Point { size: keys as f64, cost: fold_us });
        kept.push(state);
    }
    Ok(ClaimCosts {
        record_bytes: Slope::fit("claims: bytes of a record, by claims", record_points.into()),
        memory_bytes: Slope::fit("claims: bytes of memory, by keys", memory_points),
        fold_us: Slope::fit("claims: us to encode and fold, by claims", fold_points),
        memory_ms: ClaimsSettings::default().dedup_window_ms(),
    })
}

fn claim(number: u64) -> ClaimEntry {
    let spread = u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    let claim = ClaimId { instance_hash: 0x0123_4567_89ab_cdef + number % 370, sequence: number };
    ClaimEntry::Claim { claim, key: spread, fingerprint: spread as u64 }
}

fn fold(keys: u64) -> anyhow::Result<ClaimsState> {
    let mut state = ClaimsState::new(&"entry-0".into(), ClaimsSettings::default());
    let now = Instant::now();
    for number in 0..keys {
        let record = LogRecord {
            offset: number + 1,
            appended_at: UNIX_EPOCH + Duration::from_millis(number),
            payload: encode_record(&[claim(number)]),
        };
        let page = LogPage { first_offset: 1, next_offset: number + 2, records: vec![record] };
        state.apply(ClaimEvent::Page(page), now);
    }
    let remembered = state.tracked_keys() as u64;
    anyhow::ensure!(remembered == keys, "{remembered} of {keys} keys are remembered");
    Ok(state)
}
