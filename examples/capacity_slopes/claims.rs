//! Costs of claims: record size, memory of tracked keys and time of the fold.

use crate::fit::{Point, Slope};
use crate::resource_usage::measure_allocation;
use coriandertide::decision::claims::{
    ClaimEntry, ClaimEvent, ClaimId, ClaimsSettings, ClaimsState, encode_record,
};
use coriandertide::ports::{LogPage, LogRecord};
use std::time::{Duration, Instant, UNIX_EPOCH};

/// Measured numbers of claims in one record.
const BATCH_SIZES: [u64; 4] = [1, 10, 50, 100];
/// Measured numbers of tracked keys.
const KEY_COUNTS: [u64; 3] = [25_000, 50_000, 100_000];

/// Costs of the claims subsystem.
pub struct ClaimCosts {
    /// Bytes of a record, by the number of claims in it.
    pub record_bytes: Slope,
    /// Bytes of memory, by tracked keys.
    pub memory_bytes: Slope,
    /// Microseconds to encode and fold claims, by their number.
    pub fold_us: Slope,
    /// Milliseconds for which a key is tracked.
    pub dedup_window_ms: u64,
}

/// Measures the costs of claims.
pub fn measure() -> anyhow::Result<ClaimCosts> {
    let record_points = BATCH_SIZES.map(|size| {
        let batch: Vec<ClaimEntry> = (1_000..1_000 + size).map(claim_entry).collect();
        Point { size: size as f64, cost: encode_record(&batch).len() as f64 }
    });
    let mut memory_points = Vec::new();
    let mut fold_points = Vec::new();
    let mut retained_states = Vec::new();
    for keys in KEY_COUNTS {
        let started_at = Instant::now();
        let (bytes, state) = measure_allocation(|| fold_claims(keys))?;
        let fold_us = started_at.elapsed().as_secs_f64() * 1e6;
        memory_points.push(Point { size: keys as f64, cost: bytes });
        fold_points.push(Point { size: keys as f64, cost: fold_us });
        retained_states.push(state);
    }
    Ok(ClaimCosts {
        record_bytes: Slope::fit("claims: bytes of a record, by claims", record_points.into()),
        memory_bytes: Slope::fit("claims: bytes of memory, by keys", memory_points),
        fold_us: Slope::fit("claims: us to encode and fold, by claims", fold_points),
        dedup_window_ms: ClaimsSettings::default().dedup_window_ms(),
    })
}

fn claim_entry(number: u64) -> ClaimEntry {
    let key = u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    let claim = ClaimId { instance_hash: 0x0123_4567_89ab_cdef + number % 370, sequence: number };
    ClaimEntry::Claim { claim, key, fingerprint: key as u64 }
}

/// Folds one claim for each of `keys` keys.
fn fold_claims(keys: u64) -> anyhow::Result<ClaimsState> {
    let mut state = ClaimsState::new(&"entry-0".into(), ClaimsSettings::default());
    let now = Instant::now();
    for number in 0..keys {
        let record = LogRecord {
            offset: number + 1,
            appended_at: UNIX_EPOCH + Duration::from_millis(number),
            payload: encode_record(&[claim_entry(number)]),
        };
        let page = LogPage { first_offset: 1, next_offset: number + 2, records: vec![record] };
        state.apply(ClaimEvent::Page(page), now);
    }
    let tracked = state.tracked_keys() as u64;
    anyhow::ensure!(tracked == keys, "{tracked} of {keys} keys are tracked");
    Ok(state)
}
