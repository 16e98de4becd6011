//! Reads the configuration stream at once when there is word of a new record, between the periodic
//! reads.

use super::{ControlContext, ControlEvent, ControlState};
use crate::decision::configuration::ConfigurationAnnouncement;
use crate::links::PartnerMessage;
use crate::ports::LogStream;
use crate::types::{InstanceId, LogOffset};
use std::time::Instant;

/// Most records of one read.
const READ_LIMIT: usize = 1_000;

/// State of the extra reads; at most one is under way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConfigurationRead {
    /// None is under way.
    #[default]
    Idle,
    /// One is under way.
    Running,
    /// One is under way, and there was word of a new record since it began.
    RunningAndWanted,
}

impl ControlState {
    /// Reads the stream now, or again after the read that is under way.
    pub(super) fn read_configuration(&mut self) {
        if self.configuration_read != ConfigurationRead::Idle {
            self.configuration_read = ConfigurationRead::RunningAndWanted;
            return;
        }
        self.configuration_read = ConfigurationRead::Running;
        let task = read_once(self.context.clone(), self.configuration.next_read_offset());
        self.context.spawn(task);
    }

    /// Reads the stream now if a partner is ahead; a node without a base is reading it already.
    pub(super) fn read_if_ahead(&mut self, announced: ConfigurationAnnouncement) {
        let is_ahead = announced.offset > self.configuration.announcement().offset;
        if is_ahead && self.configuration.state().is_some() {
            self.read_configuration();
        }
    }

    /// Takes in that an extra read has ended, its page before it.
    pub(super) fn end_configuration_read(&mut self) {
        let ended = std::mem::take(&mut self.configuration_read);
        if ended == ConfigurationRead::RunningAndWanted {
            self.read_configuration();
        }
    }

    /// Tells the partners at once what this node has read.
    pub(super) fn announce_configuration(&mut self) {
        let digest = self.links.membership.digest();
        let configuration = self.configuration.announcement();
        let peers: Vec<InstanceId> = self.links.peers().cloned().collect();
        for peer in peers {
            self.links.send(&peer, &PartnerMessage::Ping { digest, configuration });
        }
    }
}

async fn read_once(context: ControlContext, from: LogOffset) {
    let stream = LogStream::Configuration;
    let asked_at = Instant::now();
    let event = match context.log.read(stream, from, READ_LIMIT).await {
        Ok(page) => ControlEvent::LogRead { stream, page, asked_at },
        Err(error) => ControlEvent::LogFailed { stream, error },
    };
    context.send(event).await;
    context.send(ControlEvent::ConfigurationReadEnded).await;
}
