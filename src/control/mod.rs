//! The control thread: owns all control state and publishes immutable snapshots.
