//! Daemon of an entry instance.

fn main() {}
