//! Servers that fall silent, are closed or fail, and budgets that run out, in virtual time.

use super::proptest_config;
use coriandertide::decision::relay::{Failover, FailoverStep, GiveUpReason, NotTriedReason};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const DEADLINE_MS: u64 = 5_000;

const MAX_ATTEMPTS: usize = 3;

/// Time after which a server that was asked to resume the stream counts as silent.
const OVERDUE_AFTER_MS: u64 = 500;

/// What a server does with the stream, in milliseconds after it was sent.
#[derive(Clone, Copy, Debug)]
enum Server {
    /// Answers, is silent once, and ends its answer.
    Sound { silent_from_ms: u64, silent_for_ms: u64, end_ms: u64 },
    /// Breaks off its answer.
    Fails { at_ms: u64 },
    /// Rejects the request without running it.
    Full,
}

/// Whether another server is available and the budget allows it, by time.
#[derive(Clone, Copy, Debug)]
enum Site {
    Open,
    Closed,
    NoBudget,
}

/// How the stream ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Whole,
    GivenUp(GiveUpReason),
}

fn server() -> impl Strategy<Value = Server> {
    let sound =
        (0..400_u64, 0..3_000_u64, 0..600_u64).prop_map(|(silent_from_ms, silent_for_ms, rest)| {
            Server::Sound {
                silent_from_ms,
                silent_for_ms,
                end_ms: silent_from_ms + silent_for_ms + rest,
            }
        });
    prop_oneof![sound, (0..2_000_u64).prop_map(|at_ms| Server::Fails { at_ms }), Just(Server::Full)]
}

fn site() -> impl Strategy<Value = Vec<Site>> {
    let site = prop_oneof![Just(Site::Open), Just(Site::Closed), Just(Site::NoBudget)];
    proptest::collection::vec(site, 10)
}

/// Plays a stream; returns its end, its time in milliseconds and the servers that got it.
fn play(servers: &[Server], site: &[Site]) -> (End, u64, usize) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut failover = Failover::of_stream(at(DEADLINE_MS), 1, start);
    let mut open = vec![(servers[0], 0)];
    let mut sent = 1;
    for now_ms in 0..=DEADLINE_MS {
        let now = at(now_ms);
        let mut kept = None;
        let mut has_failed = false;
        open.retain(|&(server, since_ms)| {
            let age_ms = now_ms - since_ms;
            let failed = match server {
                Server::Sound { silent_from_ms, silent_for_ms, .. } => {
                    let silent = silent_from_ms..silent_from_ms + silent_for_ms;
                    if !silent.contains(&age_ms) && kept.is_none() {
                        kept = Some((server, since_ms));
                    }
                    false
                }
                Server::Fails { at_ms } => age_ms >= at_ms,
                Server::Full => age_ms >= 5,
            };
            if failed {
                has_failed = true;
                match server {
                    Server::Full => failover.record_full_server(now),
                    _ => failover.record_failed_answer(now),
                }
            }
            !failed
        });
        if let Some((Server::Sound { end_ms, .. }, since_ms)) = kept {
            if now_ms - since_ms >= end_ms {
                return (End::Whole, now_ms, sent);
            }
            open = kept.into_iter().collect();
            failover.record_data(now);
        }
        let is_resume_overdue = open
            .last()
            .is_some_and(|&(_, since_ms)| since_ms > 0 && now_ms - since_ms >= OVERDUE_AFTER_MS);
        if is_resume_overdue || has_failed && !open.is_empty() {
            failover.record_silence(now);
        }
        match failover.step(sent < MAX_ATTEMPTS.min(servers.len()), now) {
            FailoverStep::Wait { until } => assert!(until > now, "no progress at {now_ms} ms"),
            FailoverStep::GiveUp(reason) => {
                let is_late = now_ms >= DEADLINE_MS;
                assert!(open.is_empty() || is_late, "an open answer is given up at {now_ms} ms");
                return (End::GivenUp(reason), now_ms, sent);
            }
            FailoverStep::TryAnother => match site[(now_ms * 10 / (DEADLINE_MS + 1)) as usize] {
                Site::Open => {
                    open.push((servers[sent], now_ms));
                    sent += 1;
                    failover.record_sent();
                }
                Site::Closed => failover.record_not_tried(NotTriedReason::Unavailable, now),
                Site::NoBudget => failover.record_not_tried(NotTriedReason::Budget, now),
            },
        }
    }
    unreachable!("a stream ends at its deadline at the latest")
}

proptest! {
    #![proptest_config(proptest_config(31))]

    // Guards against answers that are given up while a sound server is silent.
    #[test]
    fn a_stream_of_a_sound_server_ends_whole_or_at_its_deadline(
        servers in proptest::collection::vec(server(), 1..5),
        site in site(),
    ) {
        let (end, ended_ms, sent) = play(&servers, &site);
        prop_assert!(ended_ms <= DEADLINE_MS && sent <= MAX_ATTEMPTS);
        if let (Server::Sound { end_ms, .. }, 1) = (servers[0], sent) {
            let expected = if end_ms < DEADLINE_MS { End::Whole } else {
                End::GivenUp(GiveUpReason::DeadlinePassed)
            };
            prop_assert_eq!(end, expected);
        }
    }
}

// Guards against a silent answer that is dropped because no other server can take over.
#[test]
fn a_silent_server_keeps_its_stream_if_no_other_one_takes_it() {
    let silent = Server::Sound { silent_from_ms: 100, silent_for_ms: 1_300, end_ms: 1_600 };
    for site in [Site::Closed, Site::NoBudget] {
        assert_eq!(play(&[silent, Server::Full], &[site; 10]), (End::Whole, 1_600, 1));
    }
    let full = [silent, Server::Full, Server::Full];
    assert!(matches!(play(&full, &[Site::Open; 10]), (End::Whole, 1_600, 2..=MAX_ATTEMPTS)));
    let sound = Server::Sound { silent_from_ms: 0, silent_for_ms: 0, end_ms: 50 };
    let dark = Server::Sound { silent_from_ms: 100, silent_for_ms: 9_000, end_ms: 9_200 };
    let plays = [
        play(&[dark, sound], &[Site::Open; 10]),
        play(&[dark], &[Site::Open; 10]),
        play(&[Server::Fails { at_ms: 200 }, sound], &[Site::Closed; 10]),
        play(&[Server::Fails { at_ms: 200 }, sound], &[Site::NoBudget; 10]),
    ];
    let lines = plays.map(|(end, ended_ms, sent)| format!("{end:?} at {ended_ms} ms, sent {sent}"));
    insta::assert_snapshot!(lines.join("\n"), @"
    Whole at 1149 ms, sent 2
    GivenUp(DeadlinePassed) at 5000 ms, sent 1
    GivenUp(NoServer) at 1201 ms, sent 1
    GivenUp(NoServer) at 201 ms, sent 1
    ");
}
