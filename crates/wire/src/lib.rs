//! Frames between nodes.
//!
//! [`Frame`] holds checked domain types. Its encoding is a private enum of tuple variants, which
//! CBOR stores as short arrays; the conversion between the two checks every field, so that bytes
//! from the network reach the rest of the program only as valid values.

mod call;
mod encoding;
mod frame;
mod tokens;

pub use encoding::{DecodeError, decode, encode};
pub use frame::{
    AnswerHead, BodyPart, Call, Digest, EndpointLoad, FenceStatus, Frame, Head, Header, Hello,
    Nonce, Purpose, Welcome,
};

/// Version of the protocol. A node refuses a link with another version.
pub const PROTOCOL_VERSION: u16 = 4;

/// Largest frame, in bytes. Transfers and bodies are cut well below it; the rest is room for one
/// large object and for the head of a request.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Size at which a transfer of objects is cut into frames, in bytes.
pub const MAX_TRANSFER_BYTES: usize = 48 * 1024;

/// Largest part of a body in one frame, in bytes. Several calls share the processor, so a large
/// body must not hold it for long.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;
