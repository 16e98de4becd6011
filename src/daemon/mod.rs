//! Assembles a node from its settings.
