//! Changes and differences that the command line computes between a document file and the accepted
//! document.

use coriandertide::admin::messages::DocumentReply;
use coriandertide::cli::diff::{DocumentFile, differences, format_difference};
use serde_json::json;

fn accepted() -> DocumentReply {
    serde_json::from_value(json!({
        "revision": 9, "in_force": 9, "removed": { "models/old": 4 },
        "sections": {
            "site": { "revision": 1, "author": "a", "value": { "budget_watts": 5 } },
            "workspaces/survey": { "revision": 9, "author": "b", "value": { "tokens_per_s": 7 } },
        },
    }))
    .unwrap()
}

#[test]
fn changes_have_the_revisions_of_the_sections_as_bases() {
    let file = DocumentFile::parse(
        r#"{ "base_revision": 5, "site": { "budget_watts": 6 }, "models": { "old": {} } }"#,
    )
    .unwrap();
    let changes = file.changes(&accepted(), true);
    let lines: Vec<String> =
        differences(&accepted(), &changes).iter().map(format_difference).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    + models/old: {}
    ~ site.budget_watts: 5 -> 6
    - workspaces/survey: {"tokens_per_s":7}
    "#);
    let base_revisions: Vec<u64> = changes.iter().map(|change| change.base_revision).collect();
    assert_eq!(base_revisions, [4, 1, 9]);
    let outdated = file.outdated(&changes);
    assert_eq!(
        outdated.iter().map(|change| change.section.as_str()).collect::<Vec<_>>(),
        ["workspaces/survey"]
    );
    assert_eq!(file.changes(&accepted(), false).len(), 2);
}

#[test]
fn malformed_document_files_are_rejected() {
    assert_eq!(DocumentFile::parse("[]").unwrap_err(), "the document must be an object");
    assert!(DocumentFile::parse(r#"{"base_revision":"x"}"#).is_err());
    assert!(DocumentFile::parse("{").is_err());
}
