//! Order of the frames of one answer, which may come from several servers.

use std::fmt;

/// Position in the frame sequence of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FrameOrder {
    next_frame: u64,
}

/// Kind and number of a frame in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FramePosition {
    /// Frame with a piece of the answer.
    Piece(u64),
    /// Last frame of the answer.
    End(u64),
}

/// What to do with a received frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameAction {
    /// Relay the frame to the caller.
    Relay,
    /// Drop the frame, which has been relayed before.
    Skip,
    /// Abort the attempt because of a frame out of order.
    Refuse(FrameOrderError),
}

/// Violation of the frame order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameOrderError {
    /// A frame was received before the one that is due.
    Early {
        /// Number of the received frame.
        number: u64,
        /// Number of the frame that is due.
        due: u64,
    },
    /// The answer ended before a frame that has been relayed.
    EarlyEnd {
        /// Number of the last frame.
        number: u64,
        /// Number of the frame that is due.
        due: u64,
    },
}

impl fmt::Display for FrameOrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Early { number, due } => write!(f, "frame {number} came before frame {due}"),
            Self::EarlyEnd { number, due } => {
                write!(f, "answer ended with frame {number}, before frame {due}")
            }
        }
    }
}

impl std::error::Error for FrameOrderError {}

impl FrameOrder {
    /// Returns the number of the frame that is due, which equals the number of relayed frames.
    pub fn next_frame(&self) -> u64 {
        self.next_frame
    }

    /// Returns what to do with a received frame; counts it if it is to be relayed.
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
