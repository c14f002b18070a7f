//! Announcements of the upstreams of this instance, and the HTTP client that calls them.

mod announce;
mod client;

pub use announce::{
    AnnounceError, AnnounceFormat, AnnounceHandler, NativeFormat, PendingAck, serve_announcements,
};
pub use client::{AnswerIdentity, Reuse, UpstreamAnswer, UpstreamClient, UpstreamError};
