//! Order of the frames that a caller gets from one or several servers.

use std::fmt;

/// Frames relayed so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FrameOrder {
    next_frame: u64,
}

/// Place of a frame in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FramePlace {
    /// A piece of the answer.
    Piece(u64),
    /// The end of the answer.
    End(u64),
}

/// What is done with a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameVerdict {
    /// The frame is relayed.
    Relay,
    /// The frame has been relayed before.
    Skip,
    /// The attempt is given up.
    Refuse(FrameFault),
}

/// Fault in the order of frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameFault {
    /// A frame came before the one that is due.
    Early {
        /// Number of the frame.
        number: u64,
        /// Number that is due.
        due: u64,
    },
    /// The answer ended before what has been relayed already.
    ShortEnd {
        /// Number of the last frame.
        number: u64,
        /// Number that is due.
        due: u64,
    },
}

impl fmt::Display for FrameFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Early { number, due } => write!(f, "frame {number} came before frame {due}"),
            Self::ShortEnd { number, due } => {
                write!(f, "answer ended with frame {number}, before frame {due}")
            }
        }
    }
}

impl std::error::Error for FrameFault {}

impl FrameOrder {
    /// Returns the number of the frame that is due, which is the number of frames relayed.
    pub fn next_frame(&self) -> u64 {
        self.next_frame
    }

    /// Decides on a frame, and counts it if it is relayed.
    pub fn judge(&mut self, place: FramePlace) -> FrameVerdict {
        let due = self.next_frame;
        match place {
            FramePlace::Piece(number) | FramePlace::End(number) if number == due => {
                self.next_frame += 1;
                FrameVerdict::Relay
            }
            FramePlace::Piece(number) if number < due => FrameVerdict::Skip,
            FramePlace::End(number) if number < due => {
                FrameVerdict::Refuse(FrameFault::ShortEnd { number, due })
            }
            FramePlace::Piece(number) | FramePlace::End(number) => {
                FrameVerdict::Refuse(FrameFault::Early { number, due })
            }
        }
    }
}
