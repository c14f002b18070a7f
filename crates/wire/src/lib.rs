//! Frames between nodes.
//!
//! [`Frame`] holds validated domain types. Its encoding is a private enum of tuple variants, which
//! CBOR stores as short arrays. Decoding validates every field, so that the rest of the program
//! only handles valid values.

mod call;
mod encoding;
mod frame;
mod service_policy;
mod tokens;

pub use encoding::{DecodeError, decode, encode};
pub use frame::{
    AnswerHead, BodyPart, Call, Digest, EndpointLoad, FenceStatus, Frame, Head, Header, Hello,
    Nonce, Purpose, Welcome,
};

/// Version of the protocol. A node rejects links from peers with another version.
pub const PROTOCOL_VERSION: u16 = 4;

/// Maximum size of a frame, in bytes. Transfers and bodies are split into much smaller parts; the
/// limit leaves room for one large object or for the head of a request.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Size at which a transfer of objects is split into frames, in bytes.
pub const MAX_TRANSFER_BYTES: usize = 48 * 1024;

/// Maximum size of a body part in one frame, in bytes. Small parts keep a large body from delaying
/// the other calls that share the processor.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;
