//! Servers and prompts shared by the tests.

use coriandertide::decision::relay::configuration::KvCacheStore;
use coriandertide::decision::relay::replica::{RecordsRequest, TopicDelta};
use coriandertide::decision::relay::server::{ServerLoad, ServerUpdate, UpdateScope};
use coriandertide::decision::relay::{
    Choice, Fleet, Prompt, PromptPart, RecordTopic, Replica, ServerEntry, ServerQuery, ServerState,
    StoreLink,
};
use coriandertide::types::LogPosition;
use smol_str::{SmolStr, format_smolstr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub static SERVICE: SmolStr = SmolStr::new_static("models");
pub const MODEL: SmolStr = SmolStr::new_static("m");
pub const ZONES: [&str; 3] = ["north", "centre", "south"];
/// Bytes of KV cache per token.
const TOKEN_BYTES: u64 = 192_512;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn entry(index: u16, weights: u64) -> ServerEntry {
    ServerEntry {
        id: format_smolstr!("s{index}"),
        service: SERVICE.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index)),
        availability_zone: ZONES[usize::from(index) % ZONES.len()].into(),
        software: "v1".into(),
        slots: 48,
        state: ServerState::Ready,
        started_unix_ms: Some(1),
        weights: [(MODEL, weights)].into(),
    }
}

pub fn fleet(servers: u16, weights: u64) -> Fleet {
    let mut fleet = Fleet::new(ZONES[0].into());
    (0..servers).for_each(|index| fleet.set_entry(entry(index, weights)));
    fleet.set_kv_capacity(SERVICE.clone(), 115_000);
    fleet
}

pub fn with_store(mut fleet: Fleet, now: Instant) -> Fleet {
    let store = KvCacheStore {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        availability_zone: ZONES[1].into(),
        link_mbit_per_s: 470_000.0,
    };
    fleet.kv_store = Some(StoreLink::new(store, TOKEN_BYTES, 1, now));
    fleet
}

/// Returns a long prompt about `subject` with a short answer.
pub fn long_prompt(subject: u64, request: u64) -> Prompt {
    let part = |id: SmolStr, tokens| PromptPart { id, tokens };
    Prompt {
        model: MODEL,
        prompt_tokens: 9_190,
        max_output_tokens: 208,
        output_estimate_tokens: Some(52),
        parts: vec![
            part("preamble".into(), 2_520),
            part(format_smolstr!("subject-{subject}"), 3_780),
            part(format_smolstr!("request-{request}"), 2_890),
        ],
    }
}

/// Returns a short prompt with a long answer.
pub fn decode_heavy_prompt(subject: u64, request: u64) -> Prompt {
    let part = |id: SmolStr, tokens| PromptPart { id, tokens };
    Prompt {
        model: MODEL,
        prompt_tokens: 826,
        max_output_tokens: 828,
        output_estimate_tokens: Some(290),
        parts: vec![
            part(format_smolstr!("note-{subject}"), 198),
            part(format_smolstr!("request-{request}"), 628),
        ],
    }
}

pub fn query(prompt: &Prompt) -> ServerQuery<'_> {
    ServerQuery {
        service: &SERVICE,
        prompt: Some(prompt),
        isolated_workspace: None,
        cache_group: 0,
        priority: 1,
        latency_objective: ms(400),
        max_event_gap: ms(250),
        software: None,
        begins_at: None,
        tried: &[],
    }
}

/// Query for a plain call, without a prompt.
pub fn plain_query() -> ServerQuery<'static> {
    ServerQuery {
        service: &SERVICE,
        prompt: None,
        isolated_workspace: None,
        cache_group: 0,
        priority: 2,
        latency_objective: ms(300),
        max_event_gap: ms(0),
        software: None,
        begins_at: None,
        tried: &[],
    }
}

pub fn choose(fleet: &Fleet, prompt: &Prompt, now: Instant) -> Choice {
    fleet.choose(query(prompt), now).unwrap()
}

/// Sets the load that a partner reports for a server: one request with `tokens` prompt tokens that
/// have not been prefilled yet.
pub fn set_partner_pending_prefill(fleet: &mut Fleet, server: &SmolStr, tokens: u32, now: Instant) {
    let pending_prefill = coriandertide::decision::relay::server::PendingPrefill::new(1, tokens);
    let load = ServerLoad { requests: 1, pending_prefill, ..ServerLoad::default() };
    let update = ServerUpdate { server: server.clone(), load, ..ServerUpdate::default() };
    fleet.apply_updates(&"partner".into(), &[update], UpdateScope::AllServers, now);
}

/// Sets the load that a partner reports for a server: `requests` requests with prefilled prompts.
pub fn set_partner_requests(fleet: &mut Fleet, server: &str, requests: u32, now: Instant) {
    let load = ServerLoad { requests, ..ServerLoad::default() };
    let server = fleet.server_mut(&server.into()).unwrap();
    let update = ServerUpdate { load, ..ServerUpdate::default() };
    server.apply_update("partner".into(), &update, UpdateScope::AllServers, now);
}

/// Returns the records that a node lacks if it knows those below a position, in one message.
pub fn whole_delta(
    replica: &Replica,
    topic: RecordTopic,
    known_below: Option<LogPosition>,
) -> Option<TopicDelta> {
    let request = RecordsRequest { topic, known_below, after: None, is_paged: true, bases: None };
    replica.delta(&request, usize::MAX)
}
