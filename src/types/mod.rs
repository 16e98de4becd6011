//! Types that all modules share: ids, request priority, configuration faults and peer errors.

pub mod error;
pub mod faults;
pub mod ids;
pub mod log_position;
pub mod priority;

pub use error::{DeadlinePassed, Delivery, NoRoom, PeerError, PeerResult, Step};
pub use faults::{Fault, Faults};
pub use ids::*;
pub use log_position::{LogPosition, StoreEra};
pub use priority::Priority;
