//! Notices between nodes of servers that are leaving, or that name a limit.

use super::state::ControlState;
use crate::decision::leaving::LeavingNotice;
use crate::decision::relay::{BrittleNotice, LimitAnnouncement, LimitNotice};
use crate::links::PartnerMessage;
use crate::types::InstanceId;
use std::time::Instant;

impl ControlState {
    /// Records servers of which a partner knows that they are leaving, and forwards the news.
    pub(super) fn receive_leaving(&self, peer: &InstanceId, mut notices: Vec<LeavingNotice>) {
        notices.retain(|notice| self.context.fleet().departures.add(notice));
        for notice in &notices {
            log::info!("event=server_leaving server={} source={peer}", notice.server);
        }
        if !notices.is_empty() {
            self.broadcast(Some(peer), &PartnerMessage::Leaving(notices));
        }
    }

    /// Learns the limits of servers from a partner.
    pub(super) fn receive_limits(&self, peer: &InstanceId, notices: &[LimitNotice], now: Instant) {
        for notice in notices {
            let learned = self.context.fleet().limits.merge(notice, now);
            if let Some(announcement) = learned {
                log_limit(&announcement, peer);
                self.announce_limit(Some(peer), &announcement);
            }
        }
    }

    /// Learns from a partner which servers are brittle, and forwards the news.
    pub(super) fn receive_brittle(
        &self,
        peer: &InstanceId,
        notices: &[BrittleNotice],
        now: Instant,
    ) {
        for notice in notices {
            let learned = self.context.fleet().brittle.merge(notice, now);
            if let Some(learned) = learned {
                log_brittle(&learned, peer);
                self.broadcast(Some(peer), &PartnerMessage::Brittle(vec![learned]));
            }
        }
    }

    /// Tells all partners of a limit but `source`; what they have been told before goes along the
    /// tree of nodes only.
    pub(super) fn announce_limit(
        &self,
        source: Option<&InstanceId>,
        announcement: &LimitAnnouncement,
    ) {
        let message = PartnerMessage::Limits(vec![announcement.notice.clone()]);
        if announcement.is_refresh {
            self.send_along_tree(source, &message);
        } else {
            self.broadcast(source, &message);
        }
    }
}

/// Logs that the servers of a service are brittle or no longer, as told by `source`.
pub(in crate::relay) fn log_brittle(notice: &BrittleNotice, source: &str) {
    let BrittleNotice { service, limit, age_ms } = notice;
    let limit = limit.map_or("none".to_owned(), |limit| limit.to_string());
    log::info!(
        "event=servers_brittle service={service} rejections_per_s={limit} age_ms={age_ms} \
         source={source}"
    );
}

/// Logs a limit or its end, as told by `source`.
pub(in crate::relay) fn log_limit(announcement: &LimitAnnouncement, source: &str) {
    let LimitNotice { server, incarnation, rate, age_ms } = &announcement.notice;
    let per_s = rate.map_or("none".to_owned(), |rate| rate.per_s().to_string());
    log::info!(
        "event=server_limit server={server} incarnation={incarnation} per_s={per_s} \
         age_ms={age_ms} is_refresh={} source={source}",
        announcement.is_refresh
    );
}
