//! Event streams that are cut anywhere go on after the last whole event.

use super::proptest_config;
use coriandertide::decision::relay::EventSplitter;
use proptest::prelude::*;

fn stream(events: usize, line_end: &str) -> String {
    (1..=events)
        .map(|id| format!("id: {id}{line_end}data: piece {id}{line_end}{line_end}"))
        .collect()
}

proptest! {
    #![proptest_config(proptest_config(0x5eed))]

    /// However the bytes are split, what is passed on is a prefix of whole events, and its last id is
    /// the id to go on after.
    #[test]
    fn only_whole_events_are_passed_on(
        events in 1_usize..20,
        cuts in prop::collection::vec(1_usize..40, 1..60),
        crlf in any::<bool>(),
    ) {
        let text = stream(events, if crlf { "\r\n" } else { "\n" });
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (head, tail) = rest.split_at(cut.min(rest.len()));
            passed.extend_from_slice(&splitter.push(head).unwrap());
            rest = tail;
        }
        let whole = String::from_utf8(passed).unwrap();
        prop_assert!(text.starts_with(&whole));
        let count = whole.matches("id:").count();
        prop_assert_eq!(whole.matches("data:").count(), count);
        let last = (count > 0).then(|| count.to_string());
        prop_assert_eq!(splitter.last_event_id().map(ToString::to_string), last);
        let sent = text.len() - rest.len();
        prop_assert_eq!(splitter.take_partial().len(), sent - whole.len());
    }
}

#[test]
fn an_event_without_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let long = vec![b'x'; 800 * 1024];
    assert!(splitter.push(&long).unwrap().is_empty());
    assert!(splitter.push(&long).is_err());
}
