//! What the configuration allows a request, asked again before each run.

use coriandertide::decision::relay::configuration::Workspace;
use coriandertide::decision::relay::{Authorization, Configuration};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Returns a configuration whose workspaces hold one key each, and are isolated or not.
fn configuration(revision: u64, workspaces: &[(&str, &str, bool)]) -> Configuration {
    let mut configuration = Configuration::new(revision, Vec::new(), BTreeMap::new());
    let workspaces = workspaces.iter().map(|(name, key, is_isolated)| {
        let workspace = Workspace {
            name: (*name).into(),
            priority: None,
            is_isolated: *is_isolated,
            quota: None,
        };
        (workspace, vec![SmolStr::new(key)])
    });
    configuration.set_workspaces(workspaces.collect());
    configuration
}

/// Returns the authorization of a request that arrived with `key`.
fn arrival(configuration: &Configuration, key: &str) -> Authorization {
    Authorization::new(configuration, configuration.workspace(Some(key)).map(Arc::clone))
}

/// Guards against a run that uses the cache which its workspace could use when the request arrived.
#[test]
fn a_run_uses_the_isolation_of_the_newest_configuration() {
    let before = configuration(1, &[("a", "key-a", false), ("b", "key-b", false)]);
    let after = configuration(2, &[("a", "key-a", true), ("b", "key-b", false)]);
    let isolated = arrival(&before, "key-a").renew(&after, Some("key-a")).unwrap();
    assert_eq!(isolated.isolated_workspace(), Some("a"));
    let other = arrival(&before, "key-b").renew(&after, Some("key-b")).unwrap();
    assert_eq!((other.isolated_workspace(), other.cache_group), (None, after.cache_group()));
    assert_ne!(other.cache_group, before.cache_group());
    for (planned, current, is_covered) in [
        (arrival(&before, "key-a"), &isolated, false),
        (arrival(&before, "key-b"), &other, false),
        (arrival(&after, "key-b"), &other, true),
    ] {
        assert_eq!(planned.covers(current), is_covered, "{planned:?}");
    }
}

/// Guards against a node that is out of step and takes back what the sender of a request already knows.
#[test]
fn an_older_configuration_renews_nothing() {
    let older = configuration(1, &[("a", "key-a", false)]);
    let newer = configuration(2, &[("a", "key-a", true)]);
    let authorization = arrival(&newer, "key-a");
    assert_eq!(authorization.renew(&older, Some("key-a")), Some(authorization));
}

/// Guards against a run for a key that was revoked, or under the name of its former workspace.
#[test]
fn a_run_belongs_to_the_workspace_that_holds_the_key_now() {
    let before = configuration(1, &[("a", "key-a", false)]);
    let revoked = configuration(2, &[("a", "other-key", false)]);
    assert_eq!(arrival(&before, "key-a").renew(&revoked, Some("key-a")), None);
    let moved = configuration(2, &[("b", "key-a", false)]);
    let renewed = arrival(&before, "key-a").renew(&moved, Some("key-a")).unwrap();
    assert_eq!(renewed.workspace.unwrap().name, "b");
}

/// Guards against a request of an earlier build that is refused by a node which does not know its key
/// yet: the sender does not say by which configuration it was taken.
#[test]
fn a_sender_of_unknown_revision_is_believed_where_the_key_is_unknown() {
    let own = configuration(4, &[("a", "key-a", true)]);
    let known = arrival(&configuration(1, &[("a", "key-a", false)]), "key-a");
    let sent = Authorization { revision: 0, ..known };
    assert_eq!(sent.renew(&own, Some("key-a")).unwrap().isolated_workspace(), Some("a"));
    assert_eq!(sent.renew(&own, Some("new-key")), Some(sent));
}

/// Guards against a key that reaches a server since no workspace had one when the request arrived, and
/// against a refusal of an anonymous caller.
#[test]
fn an_anonymous_request_stays_anonymous_and_loses_its_key() {
    let before = Configuration::new(1, Vec::new(), BTreeMap::new());
    let after = configuration(2, &[("a", "key-a", true)]);
    let anonymous = Authorization { revision: before.revision, ..Authorization::default() };
    let renewed = anonymous.renew(&after, None).unwrap();
    assert_eq!((renewed.workspace, renewed.strips_api_key), (None, true));
    assert_eq!(renewed.cache_group, after.cache_group());
}
