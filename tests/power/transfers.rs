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

/// Node that has lacked power, asked its partner in vain, and got a share of its own since.
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

    fn lack(&mut self) {
        let request = PowerRequest {
            request: "request".into(),
            server: "server-0".into(),
            priority: Priority::Normal,
            work_deadline: self.now + Duration::from_secs(10),
        };
        assert_eq!(self.account.try_start(&request, self.now), PowerAnswer::Lacking);
    }

    /// Passes `period` and delivers what is appended meanwhile.
    fn pass(&mut self, period: Duration) {
        self.now += period;
        let from = self.state.next_offset();
        let commands = self.state.apply(PowerEvent::Tick, self.now);
        let payloads = commands.into_iter().filter_map(|command| match command {
            PowerCommand::Append(record) => Some(serde_json::to_vec(&record).unwrap()),
            _ => None,
        });
        let records: Vec<LogRecord> = (from..)
            .zip(payloads)
            .map(|(offset, payload)| LogRecord {
                offset,
                appended_at: SystemTime::now(),
                payload: Bytes::from(payload),
            })
            .collect();
        let next_offset = from + records.len() as u64;
        let page = LogPage { first_offset: 1, next_offset, records };
        self.state.apply(PowerEvent::Page { page, from }, self.now);
    }

    fn answer(&mut self, asker: &str) -> Vec<PowerCommand> {
        let ask =
            PowerMessage::Ask { ask: 1, parts: 1_000, needed_ms: 10_000, held_grants: vec![] };
        self.state.apply(PowerEvent::Message { from: asker.into(), message: ask }, self.now)
    }
}

/// The node whose name comes first keeps back what it lacked, but not what it has beyond that.
#[test]
fn a_node_that_lacked_power_gives_what_it_has_since_got_to_spare() {
    for (giver, asker) in [("a", "b"), ("b", "a")] {
        let mut node = Giver::new(giver, asker);
        node.pass(Duration::from_secs(3));
        while node.account.allowed_watts(node.now) == 0 {
            node.lack();
            node.pass(Duration::from_millis(100));
        }
        let grants = node
            .answer(asker)
            .into_iter()
            .filter(|command| {
                matches!(command, PowerCommand::Send { message: PowerMessage::Grant { .. }, .. })
            })
            .count();
        assert_eq!(grants, 1, "{giver} gives to {asker}");
    }
}
