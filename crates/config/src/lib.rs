//! Replica of the platform objects.
