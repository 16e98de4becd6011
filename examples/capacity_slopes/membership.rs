//! Costs of membership: time of a tick and bytes of the member set, by members.

use crate::fit::{Point, Slope};
use crate::resource_usage::mean_us;
use coriandertide::decision::configuration::ConfigurationAnnouncement;
use coriandertide::decision::membership::{
    MemberRecord, MemberStatus, MembershipEvent, MembershipSettings, MembershipState,
};
use coriandertide::links::PartnerMessage;
use std::time::{Duration, Instant};

/// Measured numbers of members.
const SIZES: [u64; 4] = [8, 92, 185, 370];
/// Partner links of a node.
pub const LINKS: u64 = 8;
/// Ticks per measurement.
const TICKS: u32 = 400;

/// Costs of the membership subsystem.
pub struct MembershipCosts {
    /// Microseconds of a tick in which each link delivers a message, by members.
    pub tick_us: Slope,
    /// Bytes of the member set sent to a new partner, by members.
    pub member_set_bytes: Slope,
    /// Bytes of a ping message.
    pub ping_bytes: f64,
    /// Bytes of an update of one member.
    pub update_bytes: f64,
}

/// Measures the costs of membership.
pub fn measure() -> MembershipCosts {
    let ping = PartnerMessage::Ping {
        digest: u64::MAX,
        configuration: ConfigurationAnnouncement::default(),
    };
    let member_set =
        |members: u64| PartnerMessage::Members((0..members).map(member_record).collect());
    let tick_points = SIZES.map(|size| Point { size: size as f64, cost: tick_us(size) });
    let set_points =
        SIZES.map(|size| Point { size: size as f64, cost: member_set(size).encode().len() as f64 });
    MembershipCosts {
        tick_us: Slope::fit("membership: us a tick, by members", tick_points.into()),
        member_set_bytes: Slope::fit("membership: bytes of the set, by members", set_points.into()),
        ping_bytes: ping.encode().len() as f64,
        update_bytes: member_set(1).encode().len() as f64,
    }
}

fn member_record(number: u64) -> MemberRecord {
    MemberRecord {
        instance: format!("entry-{number:03}-{number:08x}").into(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 8_082).into(),
        availability_zone: format!("region-{}-zone-{}", number % 3, number % 6).into(),
        started_unix_ms: 1_800_000_000_000 + number,
        version: 1,
        status: MemberStatus::Alive,
        processor_percent: 0,
        peer_address: None,
        is_stopping: false,
    }
}

fn tick_us(members: u64) -> f64 {
    let mut state = MembershipState::new(member_record(0), MembershipSettings::default());
    let mut now = Instant::now();
    let links = LINKS.min(members - 1);
    for number in 1..=links {
        let peer = member_record(number);
        state.apply(MembershipEvent::LinkOpened { peer, dialed: number % 2 == 0 }, now);
    }
    let records = (1..members).map(member_record).collect();
    state.apply(MembershipEvent::Records { peer: member_record(1).instance, records }, now);
    mean_us(TICKS, |_| {
        now += Duration::from_millis(100);
        state.apply(MembershipEvent::Tick, now);
        for number in 1..=links {
            state.apply(MembershipEvent::MessageReceived(member_record(number).instance), now);
        }
    })
}
