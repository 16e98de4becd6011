//! Settings file of a node.
