//! Leaving servers: each source that reports one, and what makes it available again.

use coriandertide::decision::leaving::{LeavingEvent, LeavingNotice, LeavingState};
use coriandertide::ports::{InstanceKind, InstanceRecord, InstanceState};
use std::time::{Duration, Instant};

/// State under test, with a line for the leaving servers after each event.
struct Case {
    state: LeavingState,
    now: Instant,
    lines: Vec<String>,
}

impl Case {
    fn new() -> Self {
        Self { state: LeavingState::default(), now: Instant::now(), lines: Vec::new() }
    }

    fn apply(&mut self, name: &str, event: LeavingEvent) {
        self.now += Duration::from_secs(1);
        self.state.apply(event, self.now);
        self.lines.push(format!("{name}: {:?}", self.state.leaving_servers()));
    }

    fn list(&mut self, state: InstanceState) {
        let record = InstanceRecord {
            name: "engine".into(),
            kind: InstanceKind::BackendServer,
            address: "127.0.0.1:1".parse().unwrap(),
            availability_zone: "couva".into(),
            state,
        };
        self.apply(&format!("list {state:?}"), LeavingEvent::InstanceList(vec![record]));
    }

    fn report(&mut self, incarnation: u64, leaving: bool) {
        let event = LeavingEvent::LoadReport { server: "engine".into(), incarnation, leaving };
        self.apply(&format!("report {incarnation} leaving={leaving}"), event);
    }

    fn notice(&mut self, incarnation: u64) {
        let notice = LeavingNotice { server: "engine".into(), incarnation };
        self.apply(&format!("notice {incarnation}"), LeavingEvent::PartnerNotices(vec![notice]));
    }

    fn snapshot(&self) -> String {
        self.lines.join("\n")
    }
}

#[test]
fn instance_list_reports_first_and_lags_behind_a_restart() {
    let mut case = Case::new();
    case.report(7, false);
    case.list(InstanceState::Leaving);
    case.report(7, false);
    case.report(8, false);
    case.list(InstanceState::Leaving);
    case.list(InstanceState::Live);
    case.list(InstanceState::Leaving);
    case.list(InstanceState::Live);
    insta::assert_snapshot!(case.snapshot(), @r#"
    report 7 leaving=false: {}
    list Leaving: {"engine"}
    report 7 leaving=false: {"engine"}
    report 8 leaving=false: {}
    list Leaving: {}
    list Live: {}
    list Leaving: {"engine"}
    list Live: {}
    "#);
}

#[test]
fn load_report_outweighs_a_lagging_instance_list() {
    let mut case = Case::new();
    case.list(InstanceState::Live);
    case.report(7, true);
    case.list(InstanceState::Live);
    case.report(8, false);
    insta::assert_snapshot!(case.snapshot(), @r#"
    list Live: {}
    report 7 leaving=true: {"engine"}
    list Live: {"engine"}
    report 8 leaving=false: {}
    "#);
}

#[test]
fn notice_of_an_old_incarnation_is_ignored() {
    let mut case = Case::new();
    case.report(8, false);
    case.notice(7);
    case.notice(8);
    case.report(9, false);
    case.notice(0);
    case.now += Duration::from_secs(60);
    case.apply("a minute later", LeavingEvent::Tick);
    insta::assert_snapshot!(case.snapshot(), @r#"
    report 8 leaving=false: {}
    notice 7: {}
    notice 8: {"engine"}
    report 9 leaving=false: {}
    notice 0: {"engine"}
    a minute later: {}
    "#);
}

#[test]
fn server_listed_leaving_before_its_first_report_returns_with_its_second_incarnation() {
    let mut case = Case::new();
    case.list(InstanceState::Leaving);
    case.report(7, false);
    case.report(8, false);
    insta::assert_snapshot!(case.snapshot(), @r#"
    list Leaving: {"engine"}
    report 7 leaving=false: {"engine"}
    report 8 leaving=false: {}
    "#);
}
