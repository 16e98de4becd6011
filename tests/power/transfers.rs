//! Transfers between two nodes, message by message.

use crate::power::document;
use bytes::Bytes;
use coriandertide::decision::power::{
    PowerAccount, PowerAnswer, PowerCommand, PowerEvent, PowerMessage, PowerRequest, PowerSettings,
    PowerState,
};
use coriandertide::ports::{LogPage, LogRecord};
use coriandertide::types::{InstanceId, Priority};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

const BUDGET_WATTS: u64 = 1_500;

/// Node that lacks power and is then asked for some.
struct Giver {
    state: PowerState,
    account: Arc<PowerAccount>,
    now: Instant,
}

impl Giver {
    fn new(name: &str, partner: &str) -> Self {
        let now = Instant::now();
        let account = Arc::new(PowerAccount::default());
        let (address, settings) = ("10.0.0.1:1".into(), PowerSettings::default());
        let state = PowerState::new(name.into(), address, settings, Arc::clone(&account), now);
        let mut giver = Self { state, account, now };
        giver.state.apply(PowerEvent::Document(document(BUDGET_WATTS)), now);
        let partners = vec![InstanceId::from(partner)];
        giver.state.apply(PowerEvent::Membership { partners, live_nodes: 2 }, now);
        giver
    }

    fn refuse_request(&mut self) {
        let request = PowerRequest {
            request: "request".into(),
            server: "server-0".into(),
            priority: Priority::Normal,
            work_deadline: self.now + Duration::from_secs(10),
        };
        assert_eq!(self.account.try_start(&request, self.now), PowerAnswer::Lacking);
    }

    /// Advances time by `period` and reads back the records that the node appends.
    fn advance(&mut self, period: Duration) {
        self.now += period;
        let from_offset = self.state.next_offset();
        let commands = self.state.apply(PowerEvent::Tick, self.now);
        let payloads = commands.into_iter().filter_map(|command| match command {
            PowerCommand::Append(record) => Some(serde_json::to_vec(&record).unwrap()),
            _ => None,
        });
        let records: Vec<LogRecord> = (from_offset..)
            .zip(payloads)
            .map(|(offset, payload)| LogRecord {
                offset,
                appended_at: SystemTime::now(),
                payload: Bytes::from(payload),
            })
            .collect();
        let next_offset = from_offset + records.len() as u64;
        let page = LogPage { first_offset: 1, next_offset, records };
        self.state.apply(PowerEvent::Page { page, from_offset }, self.now);
    }

    fn receive_ask(&mut self, asker: &str) -> Vec<PowerCommand> {
        let ask =
            PowerMessage::Ask { ask: 1, parts: 1_000, needed_ms: 10_000, held_grants: vec![] };
        self.state.apply(PowerEvent::Message { from: asker.into(), message: ask }, self.now)
    }
}

/// A node that lacked power before it got a share may keep back only what it lacked, and only if
/// its name sorts before the asker's.
#[test]
fn node_with_a_past_deficit_grants_its_surplus() {
    for (giver, asker) in [("a", "b"), ("b", "a")] {
        let mut node = Giver::new(giver, asker);
        node.advance(Duration::from_secs(3));
        while node.account.allowed_watts(node.now) == 0 {
            node.refuse_request();
            node.advance(Duration::from_millis(100));
        }
        let grants = node
            .receive_ask(asker)
            .into_iter()
            .filter(|command| {
                matches!(command, PowerCommand::Send { message: PowerMessage::Grant { .. }, .. })
            })
            .count();
        assert_eq!(grants, 1, "{giver} gives to {asker}");
    }
}
