//! Power account.
