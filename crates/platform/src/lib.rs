//! Client of the platform's object API.
//!
//! [`ObjectStore`] is the blocking interface that the rest of the program uses, [`HttpStore`] its
//! client over HTTP. Writes are conditional and carry a [`model::WriteId`], so that
//! [`write_resolved`] can find out what became of a write whose answer was lost.

mod document;
mod http;
mod resolve;
mod store;

pub use http::{HttpStore, HttpStoreConfig};
pub use resolve::{fresh_write_id, write_resolved};
pub use store::{Changes, Listing, ObjectStore, Precondition, StoreError};

/// Largest document of one object, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
