//! Extra reads of the configuration stream between the periodic ones, started as soon as a new
//! record is reported.

use super::{ControlContext, ControlEvent, ControlState};
use crate::decision::configuration::ConfigurationAnnouncement;
use crate::links::PartnerMessage;
use crate::ports::LogStream;
use crate::types::{InstanceId, LogOffset};
use std::time::Instant;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 1_000;

/// State of the extra reads, of which at most one runs at a time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConfigurationRead {
    /// No read is running.
    #[default]
    Idle,
    /// A read is running.
    Running,
    /// A read is running, and another follows because a new record was reported meanwhile.
    RepeatPending,
}

impl ControlState {
    /// Starts an extra read, or schedules one to follow the running one.
    pub(super) fn read_configuration(&mut self) {
        if self.configuration_read != ConfigurationRead::Idle {
            self.configuration_read = ConfigurationRead::RepeatPending;
            return;
        }
        self.configuration_read = ConfigurationRead::Running;
        let task = read_page(self.context.clone(), self.configuration.next_read_offset());
        self.context.spawn(task);
    }

    /// Starts an extra read if the partner that sent `announced` has read further than this node.
    /// A node that has no base to fold from yet is already reading the stream.
    pub(super) fn read_if_partner_ahead(&mut self, announced: ConfigurationAnnouncement) {
        let is_ahead = announced.offset > self.configuration.announcement().offset;
        if is_ahead && self.configuration.state().is_some() {
            self.read_configuration();
        }
    }

    /// Ends an extra read, after its page was applied, and starts the scheduled one if any.
    pub(super) fn end_configuration_read(&mut self) {
        let ended = std::mem::take(&mut self.configuration_read);
        if ended == ConfigurationRead::RepeatPending {
            self.read_configuration();
        }
    }

    /// Sends a ping with the configuration that this node has read to all partners.
    pub(super) fn announce_configuration(&mut self) {
        let digest = self.links.membership.digest();
        let configuration = self.configuration.announcement();
        let peers: Vec<InstanceId> = self.links.peers().cloned().collect();
        for peer in peers {
            self.links.send(&peer, &PartnerMessage::Ping { digest, configuration });
        }
    }
}

async fn read_page(context: ControlContext, from: LogOffset) {
    let stream = LogStream::Configuration;
    let requested_at = Instant::now();
    let event = match context.log.read(stream, from, MAX_READ_RECORDS).await {
        Ok(page) => ControlEvent::LogRead { stream, page, requested_at },
        Err(error) => ControlEvent::LogReadFailed { stream, error },
    };
    context.send(event).await;
    context.send(ControlEvent::ConfigurationReadEnded).await;
}
