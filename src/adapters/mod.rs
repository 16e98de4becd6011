//! Adapters: the published protocols behind the ports.
