//! Frame order of an answer whose frames are lost, repeated or swapped over several attempts.

use super::proptest_config;
use coriandertide::decision::frame_order::{FrameAction, FrameOrder, FramePosition};
use proptest::prelude::*;

const PIECES: u64 = 12;

/// Attempt that may restart at an earlier frame, break off, and lose, repeat or swap frames.
#[derive(Clone, Debug)]
struct Attempt {
    starts_early_by: u64,
    breaks_after: u64,
    lost: Option<u64>,
    repeated: Option<u64>,
    swapped: Option<u64>,
}

fn attempt() -> impl Strategy<Value = Attempt> {
    let number = || prop::option::of(0..PIECES);
    (0..4_u64, 0..20_u64, number(), number(), number()).prop_map(
        |(starts_early_by, breaks_after, lost, repeated, swapped)| Attempt {
            starts_early_by,
            breaks_after,
            lost,
            repeated,
            swapped,
        },
    )
}

impl Attempt {
    fn frames(&self, resume_from: u64) -> Vec<FramePosition> {
        let start = resume_from.saturating_sub(self.starts_early_by);
        let mut numbers: Vec<u64> = (start..=PIECES).collect();
        if let Some(index) = self.swapped.map(|index| index as usize)
            && index + 1 < numbers.len()
        {
            numbers.swap(index, index + 1);
        }
        numbers
            .into_iter()
            .filter(|number| Some(*number) != self.lost)
            .flat_map(|number| {
                let times = if Some(number) == self.repeated { 2 } else { 1 };
                std::iter::repeat_n(number, times)
            })
            .take(self.breaks_after as usize)
            .map(|number| match number {
                PIECES => FramePosition::End(number),
                _ => FramePosition::Piece(number),
            })
            .collect()
    }
}

proptest! {
    #![proptest_config(proptest_config(44))]

    #[test]
    fn the_caller_gets_each_frame_once_and_in_order(
        attempts in proptest::collection::vec(attempt(), 1..8),
    ) {
        let mut order = FrameOrder::default();
        let mut relayed = Vec::new();
        'attempts: for attempt in attempts {
            for position in attempt.frames(order.next_frame()) {
                match order.accept(position) {
                    FrameAction::Relay => relayed.push(position),
                    FrameAction::Skip => {}
                    FrameAction::Refuse(_) => continue 'attempts,
                }
                if relayed.last() == Some(&FramePosition::End(PIECES)) {
                    break 'attempts;
                }
            }
        }
        for (number, position) in (0..).zip(&relayed) {
            let expected = if number == PIECES {
                FramePosition::End(number)
            } else {
                FramePosition::Piece(number)
            };
            prop_assert_eq!(*position, expected);
        }
        prop_assert_eq!(order.next_frame(), relayed.len() as u64);
    }
}

#[test]
fn an_answer_that_ends_before_what_was_relayed_is_refused() {
    let mut order = FrameOrder::default();
    for number in 0..3 {
        assert_eq!(order.accept(FramePosition::Piece(number)), FrameAction::Relay);
    }
    let FrameAction::Refuse(error) = order.accept(FramePosition::End(1)) else {
        panic!("not refused")
    };
    insta::assert_snapshot!(error, @"answer ended with frame 1, before frame 3");
}
