//! Event streams that break anywhere can be resumed after the last complete event.

use super::proptest_config;
use bytes::Bytes;
use coriandertide::decision::relay::EventSplitter;
use proptest::prelude::*;

fn stream(events: usize, line_end: &str) -> String {
    (1..=events)
        .map(|id| format!("id: {id}{line_end}data: piece {id}{line_end}{line_end}"))
        .collect()
}

proptest! {
    #![proptest_config(proptest_config(0x5eed))]

    /// However the bytes are split, the output is a prefix of complete events that ends with the
    /// reported id.
    #[test]
    fn only_complete_events_are_returned(
        events in 1_usize..20,
        cuts in prop::collection::vec(1_usize..40, 1..60),
        crlf in any::<bool>(),
    ) {
        let text = stream(events, if crlf { "\r\n" } else { "\n" });
        let mut splitter = EventSplitter::default();
        let mut output = Vec::new();
        let mut remaining = text.as_bytes();
        for cut in cuts {
            let (head, tail) = remaining.split_at(cut.min(remaining.len()));
            output.extend_from_slice(&splitter.push(Bytes::copy_from_slice(head)).unwrap());
            remaining = tail;
        }
        let complete = String::from_utf8(output).unwrap();
        prop_assert!(text.starts_with(&complete));
        let count = complete.matches("id:").count();
        prop_assert_eq!(complete.matches("data:").count(), count);
        let last = (count > 0).then(|| count.to_string());
        prop_assert_eq!(splitter.last_event_id().map(ToString::to_string), last);
        let sent = text.len() - remaining.len();
        prop_assert_eq!(splitter.take_partial().len(), sent - complete.len());
    }
}

#[test]
fn an_endless_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    let long = Bytes::from(vec![b'x'; 800 * 1024]);
    assert!(splitter.push(long.clone()).unwrap().is_empty());
    assert!(splitter.push(long).is_err());
}

/// Guards against taking an answer without events for a whole stream: comments and blank lines keep
/// a connection alive, and the events before an interruption are those of another answer.
#[test]
fn only_an_event_of_the_current_answer_counts() {
    let mut splitter = EventSplitter::default();
    let mut has_event_after = |text: &'static str| {
        splitter.push(Bytes::from_static(text.as_bytes())).unwrap();
        (splitter.has_event(), splitter.is_inside_event())
    };
    assert_eq!(has_event_after("\n: waiting\r\n\r\n"), (false, false));
    assert_eq!(has_event_after("id: 7\nda"), (false, true));
    assert_eq!(has_event_after("ta: x\n\nid: 8\n"), (true, true));
    splitter.begin_answer();
    assert_eq!((splitter.has_event(), splitter.is_inside_event()), (false, false));
    assert!(splitter.take_partial().is_empty());
    assert_eq!(splitter.last_event_id().unwrap(), "7");
}

/// Guards against the text of an error among the events of a stream.
#[test]
fn events_end_where_other_text_begins() {
    let texts = [
        "HTTP/1.1 500 Internal Server Error\r\nretry-after: 1\r\n\r\nfailed\r\n\r\n",
        "{\"error\": \"failed\"}\n\n",
        "<html>\n\n</html>\n\n",
    ];
    for text in texts {
        for cut in 0..text.len() {
            let mut splitter = EventSplitter::default();
            let mut output = Vec::new();
            for part in
                ["\n: waiting\n\nid: 1\ndata: a\n\nretry: 5\n\n", &text[..cut], &text[cut..]]
            {
                let part = Bytes::copy_from_slice(part.as_bytes());
                output.extend_from_slice(&splitter.push(part).unwrap());
            }
            assert_eq!(
                output, b"\n: waiting\n\nid: 1\ndata: a\n\nretry: 5\n\n",
                "{text:?} at {cut}"
            );
            assert!(splitter.has_foreign_text());
            splitter.begin_answer();
            assert!(!splitter.has_foreign_text());
        }
    }
}

/// Guards against an answer that repeats a stream, or says something else, instead of going on.
#[test]
fn a_resumed_answer_goes_on_with_a_later_event() {
    let goes_on = |after: &str, text: &'static str| {
        let mut splitter = EventSplitter::resumed_after(Some(after.into()));
        splitter.push(Bytes::from_static(text.as_bytes())).unwrap();
        !splitter.has_foreign_text()
    };
    assert!(goes_on("9", ": waiting\n\nversion: 3\nid: 10\ndata: a\n\ndata: without an id\n\n"));
    assert!(goes_on("a", "id: b\ndata: a\n\n"));
    assert!(!goes_on("9", "id: 9\ndata: a\n\n"));
    assert!(!goes_on("9", "id: 1\ndata: a\n\n"));
    assert!(!goes_on("a", "id: a\ndata: a\n\n"));
    assert!(!goes_on("9", "event: error\ndata: failed\n\n"));
}
