//! Order of the frames that a caller gets from one or several servers.

use std::fmt;

/// Frames relayed so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FrameOrder {
    next_frame: u64,
}

/// Place of a frame in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FramePosition {
    /// A piece of the answer.
    Piece(u64),
    /// The end of the answer.
    End(u64),
}

/// What is done with a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameAction {
    /// The frame is relayed.
    Relay,
    /// The frame has been relayed before.
    Skip,
    /// The attempt is given up.
    Refuse(FrameOrderError),
}

/// Fault in the order of frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameOrderError {
    /// A frame came before the one that is due.
    Early {
        /// Number of the frame.
        number: u64,
        /// Number that is due.
        due: u64,
    },
    /// The answer ended before what has been relayed already.
    EarlyEnd {
        /// Number of the last frame.
        number: u64,
        /// Number that is due.
        due: u64,
    },
}

impl fmt::Display for FrameOrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Early { number, due } => {
                write!(f, "frame {number} came before frame {due}")
            }
            Self::EarlyEnd { number, due } => {
                write!(f, "answer ended with frame {number}, before frame {due}")
            }
        }
    }
}

impl std::error::Error for FrameOrderError {}

impl FrameOrder {
    /// Returns the number of the frame that is due, which is the number of frames relayed.
    pub fn next_frame(&self) -> u64 {
        self.next_frame
    }

    /// Decides on a frame, and counts it if it is relayed.
    pub fn accept(&mut self, position: FramePosition) -> FrameAction {
        let due = self.next_frame;
        match position {
            FramePosition::Piece(number) | FramePosition::End(number) if number == due => {
                self.next_frame += 1;
                FrameAction::Relay
            }
            FramePosition::Piece(number) if number < due => FrameAction::Skip,
            FramePosition::End(number) if number < due => {
                FrameAction::Refuse(FrameOrderError::EarlyEnd { number, due })
            }
            FramePosition::Piece(number) | FramePosition::End(number) => {
                FrameAction::Refuse(FrameOrderError::Early { number, due })
            }
        }
    }
}
