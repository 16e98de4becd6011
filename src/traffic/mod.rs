//! Traffic threads: accept, admit, route, relay and retry.
