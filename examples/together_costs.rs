//! Measures what claims and membership cost: bytes on the log and on links, memory and time.
//!
//! `cargo run --release --example together_costs`

use coriandertide::decision::claims::{
    ClaimEntry, ClaimEvent, ClaimId, ClaimsSettings, ClaimsState, encode_record,
};
use coriandertide::decision::configuration::Announcement;
use coriandertide::decision::membership::{
    MemberRecord, MemberStatus, MembershipEvent, MembershipSettings, MembershipState,
};
use coriandertide::links::PartnerMessage;
use coriandertide::ports::{LogPage, LogRecord};
use std::fs;
use std::time::{Duration, Instant, UNIX_EPOCH};

/// Nodes of the target.
const NODES: u64 = 370;

/// Keys claimed in the memory test.
const KEYS: u64 = 100_000;

/// Links of a node in the membership test.
const LINKS: u64 = 8;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> anyhow::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    Ok(kilobytes.unwrap_or("0").parse::<u64>()? * 1_024)
}

fn claim(number: u64) -> ClaimEntry {
    let spread = u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    let claim = ClaimId { run: 0x0123_4567_89ab_cdef + number % NODES, sequence: number };
    ClaimEntry::Claim { claim, key: spread, fingerprint: spread as u64 }
}

fn member(number: u64) -> MemberRecord {
    MemberRecord {
        instance: format!("entry-{number:03}-{number:08x}").into(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8_082).into(),
        availability_zone: format!("region-{}-zone-{}", number % 3, number % 6).into(),
        started_unix_ms: 1_800_000_000_000 + number,
        version: 1,
        status: MemberStatus::Alive,
    }
}

fn measure_claims() -> anyhow::Result<()> {
    for entries in [1, 10, 100] {
        let batch: Vec<ClaimEntry> = (1_000..1_000 + entries).map(claim).collect();
        let bytes = encode_record(&batch).len();
        println!("claims_in_record={entries} record_bytes={bytes}");
    }
    let settings = ClaimsSettings { key_age_ms: 3_600_000, ..ClaimsSettings::default() };
    let mut state = ClaimsState::new(&"entry-0".into(), settings);
    let now = Instant::now();
    let before = resident_bytes()?;
    let mut spent = Duration::ZERO;
    for number in 0..KEYS {
        let record = LogRecord {
            offset: number + 1,
            appended_at: UNIX_EPOCH + Duration::from_millis(number),
            payload: encode_record(&[claim(number)]),
        };
        let page = LogPage { first_offset: 1, next_offset: number + 2, records: vec![record] };
        let started_at = Instant::now();
        state.apply(ClaimEvent::Page(page), now);
        spent += started_at.elapsed();
    }
    let grown = resident_bytes()?.saturating_sub(before);
    let keys = state.remembered_keys() as u64;
    println!("remembered_keys={keys} bytes_per_key={}", grown / keys.max(1));
    println!("fold_ns_per_claim={}", spent.as_nanos() / u128::from(KEYS));
    Ok(())
}

fn measure_membership() -> anyhow::Result<()> {
    let ping = PartnerMessage::Ping { digest: u64::MAX, configuration: Announcement::default() };
    println!("ping_bytes={}", ping.encode().len());
    let one = PartnerMessage::Members(vec![member(1)]).encode().len();
    let all = PartnerMessage::Members((0..NODES).map(member).collect()).encode().len();
    println!("member_update_bytes={one} member_set_bytes={all} members={NODES}");
    let before = resident_bytes()?;
    let mut state = MembershipState::new(member(0), MembershipSettings::default());
    let mut now = Instant::now();
    for number in 1..=LINKS {
        let peer = member(number);
        state.apply(MembershipEvent::LinkOpened { peer, dialed: number % 2 == 0 }, now);
    }
    let records = (1..NODES).map(member).collect();
    let peer = member(1).instance;
    state.apply(MembershipEvent::Records { peer, records }, now);
    println!("live_nodes={} memory_bytes={}", state.live_nodes(), resident_bytes()? - before);
    let mut spent = Duration::ZERO;
    let ticks = 600;
    for _ in 0..ticks {
        now += Duration::from_millis(100);
        let started_at = Instant::now();
        state.apply(MembershipEvent::Tick, now);
        for number in 1..=LINKS {
            state.apply(MembershipEvent::Heard(member(number).instance), now);
        }
        spent += started_at.elapsed();
    }
    let per_s = spent.as_micros() * 10 / ticks;
    println!("membership_us_per_s={per_s}");
    Ok(())
}

fn main() -> anyhow::Result<()> {
    measure_claims()?;
    measure_membership()
}
