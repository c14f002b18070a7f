//! Quorum lease, peers, relays, partitions.
