//! Model engine: cached tokens, resumed streams, refusals, crashes and orders.

use super::client::{self, Answer};
use bytes::Bytes;
use coriandertide_standins::engine::{answer, prompt};
use coriandertide_standins::{EngineConfig, EngineStandIn};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

fn fast_config() -> EngineConfig {
    EngineConfig {
        decode_tokens_per_s: 2_000,
        prefill_tokens_per_s: 200_000,
        load_lag_ms: 20,
        event_delay_ms: 0,
        ..EngineConfig::default()
    }
}

async fn generate(
    address: SocketAddr,
    text: &str,
    headers: &[(&str, &str)],
) -> anyhow::Result<Answer> {
    let messages = json!([{"role": "user", "content": text}]);
    let body = json!({"model": "model", "messages": messages, "stream": true, "max_tokens": 20});
    let mut request = Request::builder().method(Method::POST).uri("/v1/chat/completions");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    client::send(address, request.body(Full::new(Bytes::from(body.to_string())))?).await
}

fn text(answer: &Answer) -> String {
    let (frames, _) = answer.frames();
    let texts = frames.iter().filter_map(|(_, chunk)| {
        chunk["choices"].get(0)?["delta"]["content"].as_str().map(str::to_owned)
    });
    texts.collect()
}

#[test]
fn answers_are_complete_and_resumable() {
    let engine = EngineStandIn::start(fast_config()).unwrap();
    smol::block_on(async {
        let long = "manual ".repeat(200);
        let first = generate(engine.address(), &long, &[("x-request-id", "a")]).await.unwrap();
        let (frames, is_complete) = first.frames();
        assert!(is_complete);
        let numbers: Vec<u64> = frames.iter().map(|(number, _)| *number).collect();
        assert_eq!(numbers, (0..=10).collect::<Vec<u64>>());
        assert!(frames.iter().all(|(_, chunk)| chunk["id"] == "a"));
        let prompt = format!("user\n{long}");
        assert_eq!(text(&first), answer::frame_texts("model", &prompt, 20, 2).concat());
        assert_eq!(frames[10].1["usage"]["prompt_tokens_details"]["cached_tokens"], 0);

        let headers = [("x-request-id", "b"), ("x-resume-from-frame", "7")];
        let resumed = generate(engine.address(), &long, &headers).await.unwrap();
        let (frames, is_complete) = resumed.frames();
        assert!(is_complete);
        assert_eq!(text(&resumed), answer::frame_texts("model", &prompt, 20, 2)[7..].concat());
        let cached = &frames.last().unwrap().1["usage"]["prompt_tokens_details"]["cached_tokens"];
        let blocks = prompt.len() / prompt::BLOCK_BYTES;
        assert_eq!(cached.as_u64().unwrap(), blocks as u64 * u64::from(prompt::BLOCK_TOKENS));
    });
}

#[test]
fn wrong_weights_version_and_full_queue_are_refused() {
    let config = EngineConfig {
        max_running_requests: 1,
        max_waiting_requests: 1,
        decode_tokens_per_s: 40,
        ..fast_config()
    };
    let engine = EngineStandIn::start(config).unwrap();
    smol::block_on(async {
        let address = engine.address();
        let other = generate(address, "x", &[("x-weights-version", "2")]).await.unwrap();
        assert_eq!(other.head.status, StatusCode::CONFLICT);
        assert_eq!(other.json()["error"]["code"], "weights_version");
        let tasks: Vec<_> = (0..6)
            .map(|index| {
                let id = format!("r{index}");
                smol::spawn(async move { generate(address, "x", &[("x-request-id", &id)]).await })
            })
            .collect();
        let mut refused = 0;
        for task in tasks {
            let answer = task.await.unwrap();
            match answer.head.status {
                StatusCode::OK => assert!(answer.frames().1),
                status => {
                    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
                    assert!(answer.head.headers.contains_key("retry-after-ms"));
                    refused += 1;
                }
            }
        }
        assert!((1..6).contains(&refused), "{refused} of 6 refused");
    });
}

#[test]
fn crash_cuts_streams_and_empties_cache() {
    let config = EngineConfig { poison_marker: Some("poison".into()), ..fast_config() };
    let ground_truth = config.ground_truth.clone();
    let engine = EngineStandIn::start(config).unwrap();
    smol::block_on(async {
        let long = "manual ".repeat(200);
        let first = generate(engine.address(), &long, &[]).await.unwrap();
        let incarnation = first.head.headers["x-incarnation"].clone();
        let poisoned = generate(engine.address(), "a poison prompt", &[]).await;
        assert!(poisoned.is_err(), "the stream of the poison request was not cut");
        while !engine.is_up() {
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        let again = generate(engine.address(), &long, &[]).await.unwrap();
        assert_ne!(again.head.headers["x-incarnation"], incarnation);
        let (frames, _) = again.frames();
        let usage = &frames.last().unwrap().1["usage"];
        assert_eq!(usage["prompt_tokens_details"]["cached_tokens"], 0);
        assert!(ground_truth.peak_watts() >= 120);
        while ground_truth.drawn_watts() > 100 {
            smol::Timer::after(Duration::from_millis(10)).await;
        }
    });
}

#[test]
fn outdated_fencing_number_is_refused_if_checked() {
    let order = |number: u64| {
        let models = json!([{"model": "m2", "weights_version": "1", "adapters": []}]);
        let kind = json!({"kind": "serve_models", "models": models});
        json!({"fencing_number": number, "kind": kind}).to_string()
    };
    smol::block_on(async {
        let mut seen = Vec::new();
        for checks_fencing in [true, false] {
            let config = EngineConfig { checks_fencing, ..fast_config() };
            let engine = EngineStandIn::start(config).unwrap();
            for number in [5, 4] {
                let answer =
                    client::call(engine.address(), Method::POST, "/orders", &order(number)).await;
                seen.push((checks_fencing, number, answer.unwrap().json()["outcome"].to_string()));
            }
            smol::Timer::after(Duration::from_millis(100)).await;
            let load = client::call(engine.address(), Method::GET, "/load", "").await.unwrap();
            assert_eq!(load.json()["models"][0]["model"], "m2");
            assert_eq!(load.json()["fencing_number"], 5);
        }
        insta::assert_debug_snapshot!(seen, @r#"
        [
            (
                true,
                5,
                "\"accepted\"",
            ),
            (
                true,
                4,
                "\"fenced\"",
            ),
            (
                false,
                5,
                "\"accepted\"",
            ),
            (
                false,
                4,
                "\"accepted\"",
            ),
        ]
        "#);
    });
}

#[test]
fn load_report_excludes_cached_prompt_tokens() {
    let config = EngineConfig { max_running_requests: 1, decode_tokens_per_s: 20, ..fast_config() };
    let engine = EngineStandIn::start(config).unwrap();
    let address = engine.address();
    smol::block_on(async {
        let long = "manual ".repeat(2_000);
        generate(address, &long, &[("x-request-id", "a")]).await.unwrap();
        let ids = ["b", "c"];
        let waiting = ids.map(|id| {
            let long = long.clone();
            smol::spawn(async move { generate(address, &long, &[("x-request-id", id)]).await })
        });
        let report = loop {
            let load = client::call(address, Method::GET, "/load", "").await.unwrap().json();
            if load["waiting_requests"] == 1 {
                break load;
            }
            smol::Timer::after(Duration::from_millis(5)).await;
        };
        assert!(
            report["waiting_prompt_tokens"].as_u64().unwrap() < u64::from(prompt::BLOCK_TOKENS)
        );
        for task in waiting {
            task.cancel().await;
        }
    });
}
