//! Links to other nodes.
