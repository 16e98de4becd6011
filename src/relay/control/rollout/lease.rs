//! Rollout lease: when this node tries to acquire it, and the calls to the lease register.

use crate::decision::relay::register_lease::RegisterRecord;
use crate::ports::ReplaceOutcome;
use crate::relay::control::RelayControlEvent;
use crate::relay::control::partners::LiveNode;
use crate::relay::control::state::ControlState;
use crate::types::{InstanceId, PeerResult};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time without a notice after which another node tries to become the coordinator.
const MAX_COORDINATOR_SILENCE: Duration = Duration::from_millis(900);

/// Time between the attempts of successive candidates for the lease.
const CANDIDATE_STAGGER: Duration = Duration::from_millis(250);

/// Delay before the next attempt to acquire the lease.
const ACQUIRE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time after which another call to the register may be sent although one is unanswered.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);

impl ControlState {
    /// Tries to acquire the lease if it is this node's turn.
    pub(super) fn try_acquire_lease(&mut self, now: Instant) {
        let Some(needed_since) = self.rollout.needed_since else { return };
        let own_turn_at = needed_since + CANDIDATE_STAGGER * self.candidate_rank();
        let silent_at = self.rollout.last_notice_at.map(|at| at + MAX_COORDINATOR_SILENCE);
        if now < own_turn_at || silent_at.is_some_and(|at| now < at) {
            return;
        }
        let is_call_pending = self.rollout.register_call_until.is_some_and(|until| now < until);
        if is_call_pending || now < self.rollout.next_acquire_at {
            return;
        }
        if self.rollout.lease.replaceable_number(now).is_some() {
            self.replace_register(now);
        } else if self.rollout.lease.needs_read() {
            self.read_register(now);
        }
    }

    /// Returns how many nodes try before this one: the last coordinator is first, then those with the
    /// largest processors, since a coordinator calls all servers. Equal ones follow in an order that
    /// depends on the target weights, so that it differs between rollouts.
    fn candidate_rank(&self) -> u32 {
        if self.rollout.last_coordinator.as_ref() == Some(&self.rollout.instance) {
            return 0;
        }
        let seed = self.targets.values().sum();
        let hash = |instance: &InstanceId| xxh3_64_with_seed(instance.as_bytes(), seed);
        let own_processor_percent = self.context.settings.processor_percent;
        let own_order = (Reverse(own_processor_percent), hash(&self.rollout.instance));
        let order = |node: &LiveNode| (Reverse(node.processor_percent), hash(&node.instance));
        let live = self.partners.live_nodes();
        let earlier = live.iter().filter(|node| order(node) < own_order).count();
        let is_last =
            |node: &LiveNode| Some(&node.instance) == self.rollout.last_coordinator.as_ref();
        let last_is_live = live.iter().any(is_last);
        u32::try_from(earlier + usize::from(last_is_live)).unwrap_or(u32::MAX)
    }

    /// Reads the record of the register.
    fn read_register(&mut self, now: Instant) {
        self.rollout.register_call_until = Some(now + REGISTER_TIMEOUT);
        self.rollout.next_acquire_at = now + ACQUIRE_RETRY_DELAY;
        let context = Arc::clone(&self.context);
        self.spawn(async move {
            let read = context.ports.store.read_register().await;
            context.notify_control(RelayControlEvent::RegisterRead(read));
        });
    }

    /// Replaces the record of the register to acquire or renew the lease, unless a call is pending.
    pub(super) fn replace_register(&mut self, now: Instant) {
        let is_call_pending = self.rollout.register_call_until.is_some_and(|until| now < until);
        let Some(number) = self.rollout.lease.replaceable_number(now).filter(|_| !is_call_pending)
        else {
            return;
        };
        self.rollout.register_call_until = Some(now + REGISTER_TIMEOUT);
        self.rollout.next_acquire_at = now + ACQUIRE_RETRY_DELAY;
        let context = Arc::clone(&self.context);
        let holder = self.rollout.instance.clone();
        self.spawn(async move {
            let outcome = context.ports.store.replace_register(number, &holder).await;
            context.notify_control(RelayControlEvent::RegisterReplaced { sent_at: now, outcome });
        });
    }

    /// Applies the result of reading the register.
    pub(in crate::relay::control) fn apply_register_read(
        &mut self,
        read: PeerResult<RegisterRecord>,
        now: Instant,
    ) {
        self.rollout.register_call_until = None;
        match read {
            Ok(record) => {
                log::info!("event=lease_read number={} holder={}", record.number, record.holder);
                self.rollout.lease.observe(record, now);
                self.rollout.next_acquire_at = now;
                self.tick_rollouts(now);
            }
            Err(error) => log::warn!("event=lease_read_failed {error}"),
        }
    }

    /// Applies the result of replacing the record of the register.
    pub(in crate::relay::control) fn apply_replacement(
        &mut self,
        sent_at: Instant,
        outcome: PeerResult<ReplaceOutcome>,
        now: Instant,
    ) {
        self.rollout.register_call_until = None;
        match outcome {
            Ok(ReplaceOutcome::Replaced(number)) => {
                log::info!("event=lease_taken fencing_number={number}");
                self.rollout.lease.acquire(number, sent_at);
                self.rollout.last_coordinator = Some(self.rollout.instance.clone());
                self.tick_rollouts(now);
            }
            Ok(ReplaceOutcome::Conflict) => {
                log::info!("event=lease_not_taken reason=outdated");
                self.read_register(now);
            }
            Err(error) => {
                log::warn!("event=lease_unknown {error}");
                self.read_register(now);
            }
        }
    }
}
