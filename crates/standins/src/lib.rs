//! Stand-ins of the platform and of upstreams, for tests and the demo.

pub mod cut;
pub mod platform;
pub mod process;
pub mod upstream;
