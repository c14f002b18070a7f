//! The upstreams of this instance: what they announce, and calls to them.

mod announce;
mod client;

pub use announce::{AnnounceHandler, serve_announcements};
pub use client::{UpstreamAnswer, UpstreamClient, UpstreamError};
