//! Edits through the administration API of running nodes, also while the log fails or has lost its
//! records.

use coriandertide::admin::messages::{
    DocumentReply, EditReply, ErrorBody, HistoryReply, NodesReply, RestoreRequest, StatusReply,
};
use coriandertide::cli::{AdminClient, ClientError};
use coriandertide::daemon::Node;
use coriandertide::decision::configuration::{EditRequest, SectionChange};
use coriandertide::document::hash_key;
use coriandertide::settings::{RawSettings, Settings};
use coriandertide_standins::instance_list::Instance;
use coriandertide_standins::log_service::LogFaults;
use coriandertide_standins::{
    InstanceListConfig, InstanceListStandIn, LogServiceConfig, LogServiceStandIn,
};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
const BOOTSTRAP_KEY: &str = "bootstrap-key";
const TEAM_KEY: &str = "team-key";

struct Site {
    log: LogServiceStandIn,
    list: InstanceListStandIn,
}

impl Site {
    fn start() -> Self {
        Self::with_retention(LogServiceConfig::default().retention_ms)
    }

    fn with_retention(retention_ms: u64) -> Self {
        let config = LogServiceConfig { retention_ms, ..LogServiceConfig::default() };
        Self {
            log: LogServiceStandIn::start(config).unwrap(),
            list: InstanceListStandIn::start(InstanceListConfig::default()).unwrap(),
        }
    }

    fn start_node(&self) -> Node {
        let raw: RawSettings = serde_json::from_value(json!({
            "instance_name": "entry",
            "availability_zone": "couva",
            "listen": { "callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "partners": "127.0.0.1:0" },
            "platform": {
                "log": self.log.address().to_string(),
                "instance_list": self.list.address().to_string(),
            },
            "partner_key": "a key for tests only",
            "bootstrap_key_hash": hash_key(BOOTSTRAP_KEY),
            "control": { "log_period_ms": 20, "instance_list_period_ms": 50, "snapshot_period_ms": 200 },
            "limits": { "drain_grace_ms": 1 },
        }))
        .unwrap();
        let node = Node::start(Settings::try_from(raw).unwrap()).unwrap();
        self.list.put_immediately(Instance {
            name: node.instance().to_string(),
            kind: "entry".into(),
            address: node.partner_address(),
            availability_zone: "couva".into(),
            state: "live".into(),
        });
        node
    }
}

fn client(node: &Node, key: &str) -> AdminClient {
    AdminClient::new(node.admin_address(), key)
}

fn request(edit_id: &str, section: &str, base_revision: u64, value: Value) -> EditRequest {
    let change = SectionChange { section: section.into(), base_revision, value: Some(value) };
    EditRequest { edit_id: edit_id.into(), changes: vec![change] }
}

fn edit(client: &AdminClient, request: &EditRequest) -> Result<EditReply, Box<ErrorBody>> {
    smol::block_on(client.post("/admin/v1/edits", request)).map_err(|error| match error {
        ClientError::Refused(body) => body,
        ClientError::Peer(error) => panic!("{error}"),
    })
}

fn wait_in_force(node: &Node, key: &str, revision: u64) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let status: Result<StatusReply, _> =
            smol::block_on(client(node, key).get("/admin/v1/status"));
        if status.is_ok_and(|status| status.in_force >= revision) {
            return;
        }
        assert!(Instant::now() < deadline, "revision {revision} is not in force");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn owners() -> Value {
    json!({ "key_hashes": [hash_key(BOOTSTRAP_KEY)], "role": "administrator" })
}

/// Waits until the node has read the empty stream and answers requests.
fn wait_ready(node: &Node) {
    let deadline = Instant::now() + TIMEOUT;
    while smol::block_on(client(node, BOOTSTRAP_KEY).get::<DocumentReply>("/admin/v1/document"))
        .is_err()
    {
        assert!(Instant::now() < deadline, "the node has not read the stream");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn edits_take_effect_on_all_nodes_and_conflicts_name_the_winner() {
    let site = Site::start();
    let nodes: Vec<Node> = (0..3).map(|_| site.start_node()).collect();
    wait_ready(&nodes[0]);
    let admin = client(&nodes[0], BOOTSTRAP_KEY);
    edit(&admin, &request("e1", "owners/operations", 0, owners())).unwrap();
    let team = json!({ "key_hashes": [hash_key(TEAM_KEY)], "role": "editor",
        "sections": ["workspaces/survey"] });
    let revision = edit(&admin, &request("e2", "owners/survey", 0, team)).unwrap().revision;
    nodes.iter().for_each(|node| wait_in_force(node, BOOTSTRAP_KEY, revision));

    let survey = json!({ "requests_per_s": 5 });
    let first = request("e3", "workspaces/survey", 0, survey.clone());
    let accepted = edit(&client(&nodes[1], TEAM_KEY), &first).unwrap();
    nodes.iter().for_each(|node| wait_in_force(node, BOOTSTRAP_KEY, accepted.revision));
    assert_eq!(edit(&client(&nodes[2], TEAM_KEY), &first).unwrap(), accepted);

    let late = edit(&admin, &request("e4", "workspaces/survey", 0, json!({}))).unwrap_err();
    assert_eq!(late.code, "outdated");
    let winner = late.winner.unwrap();
    assert_eq!((winner.author.as_str(), winner.edit_id.as_deref()), ("survey", Some("e3")));
    assert_eq!(late.current, Some(survey));

    let team = client(&nodes[0], TEAM_KEY);
    let code = |request| edit(&team, &request).unwrap_err().code;
    assert_eq!(code(request("e5", "workspaces/other", 0, json!({}))), "forbidden");
    let bad = request("e6", "workspaces/survey", accepted.revision, json!({ "tokens_per_s": 0 }));
    let refused = edit(&team, &bad).unwrap_err();
    assert_eq!(refused.code, "invalid_document");
    assert_eq!(refused.faults[0].path, "workspaces.survey.tokens_per_s");
    assert_eq!(code(request("e1", "workspaces/survey", 0, json!({}))), "edit_id_taken");
    let history: HistoryReply = smol::block_on(team.get("/admin/v1/history")).unwrap();
    assert_eq!(history.edits.len(), 3);
    nodes.into_iter().for_each(Node::kill);
}

#[test]
fn lost_answers_and_outages_neither_repeat_nor_lose_an_edit() {
    let site = Site::start();
    let node = site.start_node();
    wait_ready(&node);
    let admin = client(&node, BOOTSTRAP_KEY);
    site.log.set_faults(LogFaults { lose_append_answers: true, ..LogFaults::default() });
    let first = request("e1", "owners/operations", 0, owners());
    let accepted = edit(&admin, &first).unwrap();
    site.log.set_faults(LogFaults { outage: true, ..LogFaults::default() });
    let second = request("e2", "models/guide", 0, json!({}));
    let refused = edit(&admin, &second).unwrap_err();
    assert!(matches!(refused.code.as_str(), "log_unavailable" | "outcome_unknown"));
    site.log.set_faults(LogFaults::default());
    let reply = edit(&admin, &second).unwrap();
    assert!(reply.revision > accepted.revision);
    let history: HistoryReply = smol::block_on(admin.get("/admin/v1/history")).unwrap();
    assert_eq!(history.edits.len(), 2);
    node.kill();
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns how many nodes report this revision as in force.
fn nodes_in_force(node: &Node, revision: u64) -> usize {
    let reply: NodesReply =
        smol::block_on(client(node, BOOTSTRAP_KEY).get("/admin/v1/nodes")).unwrap();
    reply.nodes.iter().filter(|node| node.in_force == Some(revision)).count()
}

#[test]
fn node_starts_from_a_partner_while_the_log_is_down() {
    let site = Site::start();
    let first = site.start_node();
    wait_ready(&first);
    let reply = edit(&client(&first, BOOTSTRAP_KEY), &request("e1", "owners/team", 0, owners()));
    let revision = reply.unwrap().revision;
    site.log.set_faults(LogFaults { outage: true, ..LogFaults::default() });
    let second = site.start_node();
    wait_in_force(&second, BOOTSTRAP_KEY, revision);
    wait_until("the revision in force on both nodes", || nodes_in_force(&first, revision) == 2);
    first.kill();
    second.kill();
}

#[test]
fn document_outlives_retention_and_the_restart_of_all_nodes() {
    const RETENTION_MS: u64 = 2_000;
    let site = Site::with_retention(RETENTION_MS);
    let node = site.start_node();
    wait_ready(&node);
    let reply = edit(&client(&node, BOOTSTRAP_KEY), &request("e1", "owners/team", 0, owners()));
    let revision = reply.unwrap().revision;
    std::thread::sleep(Duration::from_millis(2 * RETENTION_MS));
    node.kill();
    let restarted = site.start_node();
    wait_in_force(&restarted, BOOTSTRAP_KEY, revision);
    assert_eq!(restarted.document_revision(), revision);
    restarted.kill();
}

#[test]
fn document_that_expired_while_no_node_ran_can_be_restored() {
    const RETENTION_MS: u64 = 300;
    let site = Site::with_retention(RETENTION_MS);
    for number in 0..3 {
        site.log.append("configuration", format!("record {number}"));
    }
    std::thread::sleep(Duration::from_millis(2 * RETENTION_MS));
    let node = site.start_node();
    let admin = client(&node, BOOTSTRAP_KEY);
    let request = RestoreRequest { document: json!({ "owners": { "team": owners() } }) };
    let mut restored: Result<EditReply, ClientError> = Err(ClientError::Refused(Box::default()));
    wait_until("the restored document", || {
        restored = smol::block_on(admin.post("/admin/v1/restore", &request));
        restored.is_ok()
    });
    wait_in_force(&node, BOOTSTRAP_KEY, 3);
    let again: Result<EditReply, ClientError> =
        smol::block_on(admin.post("/admin/v1/restore", &request));
    assert!(matches!(again, Err(ClientError::Refused(body)) if body.code == "not_expired"));
    let reply = edit(&admin, &self::request("e1", "models/guide", 0, json!({}))).unwrap();
    assert!(reply.revision > 3);
    node.kill();
}
