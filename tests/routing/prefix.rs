//! Levels, keys and anchors of prompts.

use crate::fixture::{MODEL, levels};
use crate::proptest_config;
use coriandertide::decision::routing::{PrefixLevel, PrefixScope, prompt_levels};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::fmt::Write;

fn body_levels(body: &Value) -> Vec<PrefixLevel> {
    let scope = PrefixScope {
        workspace: &"survey".into(),
        model: &MODEL.into(),
        weights_version: &"1".into(),
    };
    prompt_levels(scope, body)
}

fn table(levels: &[PrefixLevel]) -> String {
    levels.iter().fold(String::new(), |mut table, level| {
        let PrefixLevel { bytes, tokens, is_anchor, .. } = level;
        writeln!(table, "bytes={bytes} tokens={tokens} anchor={is_anchor}").unwrap();
        table
    })
}

#[test]
fn a_conversation_keeps_the_manual_as_its_anchor() {
    let levels = body_levels(&json!({"messages": [
        {"role": "system", "content": "r".repeat(1_000)},
        {"role": "user", "content": "m".repeat(20_000)},
        {"role": "user", "content": "how many lanes?"},
        {"role": "assistant", "content": "four"},
        {"role": "user", "content": [{"type": "text", "text": "and bus lanes?"}]},
    ]}));
    insta::assert_snapshot!(table(&levels), @r"
    bytes=1007 tokens=252 anchor=false
    bytes=21012 tokens=5253 anchor=true
    bytes=21032 tokens=5258 anchor=false
    bytes=21046 tokens=5262 anchor=false
    bytes=21065 tokens=5267 anchor=false
    ");
}

#[test]
fn a_completion_prompt_is_cut_at_fixed_bytes() {
    let levels = body_levels(&json!({"prompt": "p".repeat(9_000)}));
    insta::assert_snapshot!(table(&levels), @r"
    bytes=2048 tokens=512 anchor=false
    bytes=4096 tokens=1024 anchor=true
    bytes=6144 tokens=1536 anchor=false
    bytes=8192 tokens=2048 anchor=false
    bytes=9000 tokens=2250 anchor=false
    ");
}

#[test]
fn keys_differ_between_workspaces_and_weights_versions() {
    let mut keys = std::collections::BTreeSet::new();
    for workspace in ["survey", "survey1", "pickup"] {
        for version in ["1", "11", "2"] {
            keys.extend(levels(workspace, version, "manual ", "q").iter().map(|it| it.key));
        }
    }
    assert_eq!(keys.len(), 27);
}

proptest! {
    #![proptest_config(proptest_config(41))]

    #[test]
    fn equal_keys_mean_equal_prefixes(
        left in proptest::collection::vec("[ab]{0,3}", 1..5),
        right in proptest::collection::vec("[ab]{0,3}", 1..5),
    ) {
        let body = |contents: &[String]| {
            let messages = contents.iter().map(|it| json!({"role": "user", "content": it}));
            json!({"messages": messages.collect::<Vec<_>>()})
        };
        let (left_levels, right_levels) = (body_levels(&body(&left)), body_levels(&body(&right)));
        for (index, (l, r)) in left_levels.iter().zip(&right_levels).enumerate() {
            prop_assert_eq!(l.key == r.key, left[..=index] == right[..=index]);
        }
    }

    #[test]
    fn levels_grow_and_one_is_the_anchor(
        sizes in proptest::collection::vec(0usize..9_000, 0..50),
        prompt in proptest::option::of(0usize..200_000),
    ) {
        let messages: Vec<Value> = sizes
            .iter()
            .map(|&size| json!({"role": "user", "content": "x".repeat(size)}))
            .collect();
        let body = match prompt {
            Some(size) => json!({"prompt": "y".repeat(size)}),
            None => json!({"messages": messages}),
        };
        let levels = body_levels(&body);
        prop_assert!(levels.len() <= 32);
        prop_assert!(levels.windows(2).all(|pair| pair[0].bytes <= pair[1].bytes));
        let anchors = levels.iter().filter(|level| level.is_anchor).count();
        prop_assert_eq!(anchors, usize::from(!levels.is_empty()));
        let bytes: usize = match prompt {
            Some(size) => size,
            None => sizes.iter().map(|size| size + "user\n".len()).sum(),
        };
        prop_assert_eq!(levels.last().map_or(0, |level| level.bytes as usize), bytes);
    }
}
