//! Partner links between nodes.
