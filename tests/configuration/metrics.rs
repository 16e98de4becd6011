//! Format of log lines, and completeness of the operators' page about metrics.

use coriandertide::logging::{Quoted, format_line};
use coriandertide::metrics::{Metrics, encode};
use log::Level;

#[test]
fn operators_page_describes_every_metric() {
    let page = include_str!("../../docs/operators/metrics.md");
    let text = encode(&Metrics::default().registry()).unwrap();
    let types: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("# TYPE ")).collect();
    assert!(types.len() > 10);
    for name in types.iter().filter_map(|name_and_type| name_and_type.split(' ').next()) {
        assert!(page.contains(&format!("`{name}")), "{name} is not described");
    }
}

#[test]
fn log_lines_are_formatted_as_key_value_pairs() {
    let lines = [
        format_line(Level::Info, "x", "event=started a=1"),
        format_line(Level::Warn, "hyper", "connection lost\nagain"),
        format!("fault={} empty={}", Quoted("two words"), Quoted("")),
    ];
    insta::assert_snapshot!(lines.join("\n"), @r#"
    level=info event=started a=1
    level=warn event=message target=hyper text="connection lost\nagain"
    fault="two words" empty=""
    "#);
}
