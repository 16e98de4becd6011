//! End of a stream: complete, broken, or left by its caller.

use super::RelayedStream;
use crate::adapters::http_server::BodyAborted;
use crate::decision::relay::{EventSplitter, GiveUpReason};
use crate::relay::RelayContext;
use crate::relay::answer::Answer;
use crate::relay::buffered_answer::return_to_pool;
use crate::relay::metrics::AnswerLabels;
use crate::relay::request::RelayedRequest;
use crate::relay::suspects;
use bytes::Bytes;

/// Counts a request by its outcome.
pub fn count_outcome(context: &RelayContext, request: &RelayedRequest, outcome: &str) {
    let (route, outcome) = (request.route.name.to_string(), outcome.to_owned());
    context.metrics.requests.get_or_create(&AnswerLabels { route, outcome }).inc();
}

impl RelayedStream {
    /// Ends a complete stream; returns the data after the last whole event, if any.
    pub(super) fn finish(&mut self) -> Option<Bytes> {
        self.is_ended = true;
        self.abandon_others();
        if let Some(answer) = self.answer.take() {
            self.log_outcome("complete", Some(&answer));
            suspects::acquit(&self.context, &self.request);
            return_to_pool(&self.context, answer.exchange, &answer.head);
        }
        let rest = self.splitter.as_mut().map(EventSplitter::take_partial);
        rest.filter(|rest| !rest.is_empty())
    }

    /// Ends an incomplete stream that no server continues.
    pub(super) fn abort(&mut self, reason: GiveUpReason) -> BodyAborted {
        self.abort_with(match reason {
            GiveUpReason::DeadlinePassed => "time_over",
            GiveUpReason::NoServer if self.is_resumable => "no_server_goes_on",
            GiveUpReason::NoServer => "server_broke_off",
        })
    }

    /// Ends an incomplete stream and logs why.
    pub(super) fn abort_with(&mut self, reason: &str) -> BodyAborted {
        self.is_ended = true;
        self.abandon_others();
        let answer = self.answer.take();
        log::info!("event=stream_broken request={} reason={reason}", self.request.id);
        // A stream that has not begun is refused.
        if self.head.is_some() {
            self.log_outcome("broken", answer.as_ref());
        }
        BodyAborted
    }

    pub(super) fn log_outcome(&self, outcome: &str, answer: Option<&Answer>) {
        count_outcome(&self.context, &self.request, outcome);
        let current =
            answer.map(|answer| (answer.in_flight.server.clone(), answer.exchange.framing));
        let answer = current.or_else(|| self.last_answer.clone());
        log::info!(
            "event=answered request={} route={} outcome={outcome} server={} framing={} \
             first_ms={} bytes={} longest_pause_ms={} {} age_ms={}",
            self.request.id,
            self.request.route.name,
            answer.as_ref().map_or("none", |(server, _)| server.as_str()),
            answer.as_ref().map_or("none", |(_, framing)| framing.into()),
            self.first_answer_ms,
            self.forwarded_bytes,
            self.max_pause.as_millis(),
            self.attempts,
            self.request.age_ms()
        );
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        if let Some(answer) = self.answer.take() {
            self.log_outcome("left", Some(&answer));
        }
    }
}
