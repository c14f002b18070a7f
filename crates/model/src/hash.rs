//! Hashing that is stable across nodes and releases.

use sha2::{Digest, Sha256};

/// Hashes a sequence of byte strings. Placement decisions depend on the result, so it must be the
/// same on every node and in every release. Each part is prefixed with its length, so that
/// different splits of the same bytes give different hashes.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(prefix)
}
