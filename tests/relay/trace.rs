//! Trace of a request, extracted from the logs of several nodes.

use coriandertide::cli::trace::trace_request;

const LOGS: &str = "\
2.0 n1 ts=2026-06-21T12:40:02.000Z level=info event=routed request=aa route=r server=s1 cost_ms=40
2.0 n1 ts=2026-06-21T12:40:02.001Z level=info event=routed request=bb route=r server=s2 cost_ms=40
2.9 n2 ts=2026-06-21T12:40:02.900Z level=info event=server_suspended server=s1 for_ms=300
2.1 n1 ts=2026-06-21T12:40:02.700Z level=info event=attempt_failed request=aa route=r step=read_head
not a line of a node
2.1 n1 ts=2026-06-21T12:40:02.701Z level=info event=refused request=aa reason=outcome_unknown
9.9 n2 ts=2026-06-21T12:40:09.900Z level=info event=server_suspended server=s1 for_ms=300
";

#[test]
fn trace_contains_lines_of_the_request_and_of_its_servers() {
    insta::assert_snapshot!(trace_request(LOGS.as_bytes(), "aa").unwrap(), @r"
      +0 ms  2.0 n1                       event=routed request=aa route=r server=s1 cost_ms=40
    +700 ms  2.1 n1                       event=attempt_failed request=aa route=r step=read_head
    +701 ms  2.1 n1                       event=refused request=aa reason=outcome_unknown
    +900 ms  2.9 n2                       event=server_suspended server=s1 for_ms=300
    ");
}

#[test]
fn unknown_request_is_reported() {
    assert_eq!(trace_request(LOGS.as_bytes(), "cc").unwrap(), "no line names request cc\n");
}
