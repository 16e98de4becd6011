//! Where in an event a stream ends, for each kind of line end.

use super::proptest_config;
use coriandertide::decision::relay::EventPosition;
use proptest::prelude::*;

/// Returns the offset after the last whole event, and whether the text ends inside an event.
fn examine(text: &str) -> (Option<usize>, bool) {
    let mut position = EventPosition::default();
    let end = position.advance(text.as_bytes());
    (end, position.is_inside_event())
}

#[test]
fn only_a_blank_line_ends_an_event() {
    let texts = [
        "",
        "id: 1",
        "id: 1\n",
        "id: 1\n\n",
        "id: 1\r\n\r\n",
        "id: 1\r\r",
        "id: 1\r",
        "id: 1\n\r",
        "id: 1\r\n",
        "id: 1\r\n\r",
        "id: 1\n\n\n\n",
        "id: 1\n\ndata: x",
        "\n: comment\n\nid: 1\n\n",
    ];
    let examined = texts.map(|text| {
        let (end, is_inside) = examine(text);
        format!("{text:?}: last end {end:?}, inside {is_inside}")
    });
    insta::assert_debug_snapshot!(examined, @r#"
    [
        "\"\": last end None, inside false",
        "\"id: 1\": last end None, inside true",
        "\"id: 1\\n\": last end None, inside true",
        "\"id: 1\\n\\n\": last end Some(7), inside false",
        "\"id: 1\\r\\n\\r\\n\": last end Some(9), inside false",
        "\"id: 1\\r\\r\": last end Some(7), inside false",
        "\"id: 1\\r\": last end None, inside true",
        "\"id: 1\\n\\r\": last end None, inside false",
        "\"id: 1\\r\\n\": last end None, inside true",
        "\"id: 1\\r\\n\\r\": last end None, inside false",
        "\"id: 1\\n\\n\\n\\n\": last end Some(9), inside false",
        "\"id: 1\\n\\ndata: x\": last end Some(7), inside true",
        "\"\\n: comment\\n\\nid: 1\\n\\n\": last end Some(19), inside false",
    ]
    "#);
}

proptest! {
    #![proptest_config(proptest_config(0xe7e7))]

    /// However the bytes are split, the position is the same.
    #[test]
    fn the_position_does_not_depend_on_how_data_is_split(
        text in "[a\r\n]{0,60}",
        cuts in prop::collection::vec(0_usize..10, 0..30),
    ) {
        let mut position = EventPosition::default();
        let (mut offset, mut end) = (0, None);
        for cut in cuts.into_iter().chain([text.len()]) {
            let next = (offset + cut).min(text.len());
            end = position.advance(&text.as_bytes()[offset..next]).map(|at| offset + at).or(end);
            offset = next;
        }
        prop_assert_eq!((end, position.is_inside_event()), examine(&text));
    }
}
