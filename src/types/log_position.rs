//! Positions of records in the coordination store.
//!
//! A store that is restored from a copy gives out offsets again. Its era tells the records apart:
//! it rises with each restore. A position combines both, so that a position of a later era follows
//! all of the earlier ones.

/// Era of the coordination store: rises by one whenever it is restored from a copy.
pub type StoreEra = u64;

/// Position of a record in the coordination store: the era in the upper bits, the offset within the
/// era in the lower ones.
pub type LogPosition = u64;

/// Bits of the offset. The rest holds the era; together they stay below 2^53 for the first 8,192
/// eras, up to which JSON numbers are exact in all decoders.
const OFFSET_BITS: u32 = 40;

const OFFSET_MASK: u64 = (1 << OFFSET_BITS) - 1;

/// Returns the position of `offset` in `era`.
pub const fn position(era: StoreEra, offset: u64) -> LogPosition {
    (era << OFFSET_BITS) | (offset & OFFSET_MASK)
}

/// Returns the era of a position.
pub const fn era(position: LogPosition) -> StoreEra {
    position >> OFFSET_BITS
}

/// Returns the offset of a position within its era.
pub const fn offset(position: LogPosition) -> u64 {
    position & OFFSET_MASK
}
