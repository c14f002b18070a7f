//! Caller keys. The platform stores only a digest; the secret is shown once, when the key is
//! issued.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::KeyId;

/// Prefix of every native key, which makes keys recognizable wherever a caller puts them, so that
/// they can be removed.
const KEY_PREFIX: &str = "zx_";

/// Length of the key id.
const ID_HEX_DIGITS: usize = 16;

/// Domain separator of the hash that derives the id of an external key, so that the id reveals
/// nothing about the digest of the secret.
const EXTERNAL_ID_DOMAIN: &str = "key id:";

/// Length of the secret.
const SECRET_HEX_DIGITS: usize = 40;

/// Length of a [`KeyDigest`] in text form.
const DIGEST_HEX_DIGITS: usize = 64;

/// Error of a text that is not a well-formed key. It omits the text, because errors are logged and
/// the text may contain a secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a well-formed caller key")
    }
}

impl std::error::Error for KeyError {}

/// A caller key: a public id and a secret, written as `zx_<id>_<secret>`.
///
/// `Debug` and `Display` print only the id, so that the secret does not leak into logs.
///
/// ```
/// let key = model::CallerKey::from_random([7; 8], [9; 20]);
/// let text = key.reveal();
/// let found = model::CallerKey::find_all(&format!("Bearer {text}"));
/// assert_eq!(found, vec![key.clone()]);
/// assert!(key.digest().matches(&found[0]));
/// assert!(!key.to_string().contains(&text));
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey {
    id: KeyId,
    secret: Box<str>,
}

impl CallerKey {
    /// Creates a key from random bytes.
    pub fn from_random(id: [u8; 8], secret: [u8; 20]) -> CallerKey {
        let id = hex(&id).parse().expect("hexadecimal digits are valid in an id");
        CallerKey { id, secret: hex(&secret).into() }
    }

    /// Parses a text that consists of exactly one native key.
    pub fn parse(text: &str) -> Result<CallerKey, KeyError> {
        let rest = text.strip_prefix(KEY_PREFIX).ok_or(KeyError)?;
        let (id, secret) = rest.split_once('_').ok_or(KeyError)?;
        if !is_hex(id, ID_HEX_DIGITS) || !is_hex(secret, SECRET_HEX_DIGITS) {
            return Err(KeyError);
        }
        Ok(CallerKey { id: id.parse().map_err(|_| KeyError)?, secret: secret.into() })
    }

    /// Parses the value of a header that contains only a key. A value that is not of the form
    /// `zx_<id>_<secret>` is an external key, issued by another system: the whole value is the
    /// secret, and the id is derived from it by hashing.
    ///
    /// ```
    /// let key = model::CallerKey::from_value("6wsjnbanfqasnmgkcuyj");
    /// assert_eq!(key.reveal(), "6wsjnbanfqasnmgkcuyj");
    /// assert!(!key.to_string().contains("6wsj"));
    /// ```
    pub fn from_value(text: &str) -> CallerKey {
        CallerKey::parse(text).unwrap_or_else(|KeyError| {
            let digest =
                Sha256::new().chain_update(EXTERNAL_ID_DOMAIN).chain_update(text).finalize();
            let id = hex(&digest[..ID_HEX_DIGITS / 2]).parse();
            CallerKey {
                id: id.expect("hexadecimal digits are valid in an id"),
                secret: text.into(),
            }
        })
    }

    /// Finds all native keys in a text, in order of position, whatever surrounds them.
    pub fn find_all(text: &str) -> Vec<CallerKey> {
        let key_bytes = KEY_PREFIX.len() + ID_HEX_DIGITS + 1 + SECRET_HEX_DIGITS;
        text.match_indices(KEY_PREFIX)
            .filter_map(|(start, _)| text.get(start..start + key_bytes))
            .filter_map(|candidate| CallerKey::parse(candidate).ok())
            .collect()
    }

    /// Returns whether a text has the form of the id of a key, which no key has.
    ///
    /// ```
    /// use model::CallerKey;
    ///
    /// let key = CallerKey::from_value("6wsjnbanfqasnmgkcuyj");
    /// assert_eq!(key.id().as_str(), "0793d7bce5b8d088");
    /// assert!(CallerKey::is_id(key.id().as_str()));
    /// assert!(!CallerKey::is_id(&key.reveal()));
    /// ```
    pub fn is_id(text: &str) -> bool {
        is_hex(text, ID_HEX_DIGITS)
    }

    /// Returns the public part of the key.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Returns the key as the caller sends it, including the secret.
    pub fn reveal(&self) -> String {
        match self.is_native() {
            true => format!("{KEY_PREFIX}{}_{}", self.id, self.secret),
            false => self.secret.to_string(),
        }
    }

    /// Returns whether the key has the form `zx_<id>_<secret>`.
    pub fn is_native(&self) -> bool {
        is_hex(&self.secret, SECRET_HEX_DIGITS)
    }

    /// Computes the digest that the platform stores.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.secret.as_bytes()).into())
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerKey({})", self.id)
    }
}

impl fmt::Display for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key {}", self.id)
    }
}

/// SHA-256 digest of the secret part of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Compares in constant time, so that response times leak nothing about the digest.
    pub fn matches(&self, key: &CallerKey) -> bool {
        bool::from(self.0.ct_eq(&key.digest().0))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = KeyError;

    fn try_from(text: String) -> Result<KeyDigest, KeyError> {
        if !is_hex(&text, DIGEST_HEX_DIGITS) {
            return Err(KeyError);
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = text.get(2 * index..2 * index + 2).ok_or(KeyError)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyError)?;
        }
        Ok(KeyDigest(digest))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        hex(&digest.0)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn is_hex(text: &str, digits: usize) -> bool {
    text.len() == digits && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}
