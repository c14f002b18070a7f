//! Frames between nodes.
