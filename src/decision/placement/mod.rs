//! Placement of models on servers.
