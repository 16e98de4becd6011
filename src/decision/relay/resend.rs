//! Resend budget of a node: its share of the site's allowance. Each node derives its share from the
//! number of nodes, without exchanging messages.

use crate::types::ServiceId;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Fraction of the allowance that is used; the rest covers nodes that count different numbers of
/// nodes.
const USED_FRACTION: f64 = 0.75;

/// Resend allowance of the site.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResendSettings {
    /// Resends allowed per first attempt.
    pub ratio: f64,
    /// Resends allowed in each window in addition, for all nodes together.
    pub slack: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

impl Default for ResendSettings {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 20.0, window_ms: 10_000 }
    }
}

/// Send times of a service's requests within the window.
#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    first_sends: VecDeque<Instant>,
    resends: VecDeque<Instant>,
}

/// Resend budget of one node.
#[derive(Clone, Debug)]
pub struct ResendBudget {
    settings: ResendSettings,
    windows: HashMap<ServiceId, ServiceWindow>,
    nodes: u32,
    /// From when the slack is used.
    slack_from: Instant,
}

impl ResendBudget {
    /// Returns the budget of one of `nodes` nodes, which uses the slack from `slack_from` on.
    pub fn new(settings: ResendSettings, nodes: u32, slack_from: Instant) -> Self {
        Self { settings, windows: HashMap::new(), nodes: nodes.max(1), slack_from }
    }

    /// Returns the budget of a node that starts now on a running site. What it has spent before is
    /// not known, nor how many nodes there are, so that it uses no slack for a window.
    pub fn restarted(settings: ResendSettings, now: Instant) -> Self {
        Self::new(settings, 1, now + Duration::from_millis(settings.window_ms))
    }

    /// Sets the number of nodes that share the slack.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Counts the first attempt of a request.
    pub fn count_first_attempt(&mut self, service: &ServiceId, now: Instant) {
        let window = self.window(service, now);
        window.first_sends.push_back(now);
    }

    /// Takes one resend from the budget; returns whether it was allowed.
    pub fn try_take(&mut self, service: &ServiceId, now: Instant) -> bool {
        let ResendSettings { ratio, slack, .. } = self.settings;
        let slack = if now < self.slack_from { 0.0 } else { slack / f64::from(self.nodes) };
        let window = self.window(service, now);
        let allowed = USED_FRACTION * (ratio * window.first_sends.len() as f64 + slack);
        if (window.resends.len() + 1) as f64 > allowed {
            return false;
        }
        window.resends.push_back(now);
        true
    }

    fn window(&mut self, service: &ServiceId, now: Instant) -> &mut ServiceWindow {
        let length = Duration::from_millis(self.settings.window_ms);
        if !self.windows.contains_key(service) {
            self.windows.insert(service.clone(), ServiceWindow::default());
        }
        let window = self.windows.get_mut(service).expect("inserted above");
        for sent_times in [&mut window.first_sends, &mut window.resends] {
            while sent_times.front().is_some_and(|at| *at + length <= now) {
                sent_times.pop_front();
            }
        }
        window
    }
}
