//! Stand-ins of platform and upstream for tests and demo.

pub mod platform;
