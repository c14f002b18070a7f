//! Identifiers. Text identifiers are validated on construction, so they can be used in paths, log
//! lines and headers without escaping.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Maximum length of a text identifier.
const MAX_ID_BYTES: usize = 128;

/// Error of a text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdError {
    kind: &'static str,
    text: Box<str>,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a valid {}: expected 1 to {MAX_ID_BYTES} characters from a-z, A-Z, 0-9, '-', '_' and '.'",
            self.text, self.kind
        )
    }
}

impl std::error::Error for IdError {}

fn validate_id(kind: &'static str, text: &str) -> Result<Box<str>, IdError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.bytes().all(is_allowed) {
        let truncated: String = text.chars().take(MAX_ID_BYTES).collect();
        return Err(IdError { kind, text: truncated.into() });
    }
    Ok(text.into())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate_id($kind, text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.into()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Name of a node process, unique in the fleet.
    NodeName, "node name");
text_id!(
    /// Name of a service, for example `orders`.
    ServiceName, "service name");
text_id!(
    /// Name of an endpoint, unique in the fleet.
    EndpointName, "endpoint name");
text_id!(
    /// Name of a route.
    RouteName, "route name");
text_id!(
    /// Name of a client account.
    AccountName, "client account name");
text_id!(
    /// Public part of a caller key.
    KeyId, "key id");
text_id!(
    /// Name of a failure domain.
    FailureDomain, "failure domain");
text_id!(
    /// Identifier of a request, returned to the caller in every response.
    RequestId, "request id");
text_id!(
    /// Identifier of an operator's write, stored in the object. If the response to the write is
    /// lost, reading the object tells whether the write took effect.
    WriteId, "write id");

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $int:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_id!(
    /// Position of a write in the order of all writes: the era of the store in which it was made, and
    /// the number that the store gave to it, which is global across all objects. A store that was
    /// restored from a backup is in a later era, and assigns numbers again.
    ///
    /// The era is in the upper 20 bits and the number in the lower 44, so in era 0 the revision equals
    /// the number. The highest bit marks the version that operators give to an imported configuration,
    /// see [`Revision::of_version`].
    ///
    /// ```
    /// use model::Revision;
    ///
    /// assert_eq!(Revision::new(0, 17), Revision(17));
    /// let after_restore = Revision::new(1, 5);
    /// assert!(after_restore > Revision(17));
    /// assert_eq!((after_restore.era(), after_restore.number()), (1, 5));
    /// ```
    Revision, u64);
number_id!(
    /// Random number that identifies one run of a process, generated at startup.
    Incarnation, u64);
number_id!(
    /// Index of a partition.
    PartitionId, u16);

impl Revision {
    /// Revision before the first write.
    pub const ZERO: Revision = Revision(0);

    /// Highest era. The era has 20 bits, of which the highest one marks versions.
    pub const MAX_ERA: u64 = (1 << 19) - 1;

    /// Number of bits of the number that the store gives.
    const NUMBER_BITS: u32 = 44;

    /// Bit that marks a version of the imported configuration.
    const VERSION_BIT: u64 = 1 << 63;

    /// Creates the revision of a write that the store numbered `number` in `era`. Both are limited to
    /// what can be represented.
    pub const fn new(era: u64, number: u64) -> Revision {
        let max_number = (1 << Self::NUMBER_BITS) - 1;
        let era = if era > Self::MAX_ERA { Self::MAX_ERA } else { era };
        let number = if number > max_number { max_number } else { number };
        Revision(era << Self::NUMBER_BITS | number)
    }

    /// Creates the revision of an imported configuration that its operators gave a version to. It is
    /// higher than all revisions of configurations that are ordered by the revision of the store.
    ///
    /// ```
    /// use model::Revision;
    ///
    /// let revision = Revision::of_version(58);
    /// assert!(revision > Revision::of_version(57) && revision > Revision::new(7, 190_000));
    /// assert_eq!((revision.version(), Revision(58).version()), (Some(58), None));
    /// ```
    pub const fn of_version(version: u64) -> Revision {
        Revision(Self::VERSION_BIT | version)
    }

    /// Returns the version of an imported configuration, or `None` for a revision of the store.
    pub const fn version(self) -> Option<u64> {
        match self.0 & Self::VERSION_BIT {
            0 => None,
            _ => Some(self.0 & !Self::VERSION_BIT),
        }
    }

    /// Returns the era of the store in which the write was made; 0 for a version.
    pub const fn era(self) -> u64 {
        match self.version() {
            None => self.0 >> Self::NUMBER_BITS,
            Some(_) => 0,
        }
    }

    /// Returns the number that the store gave to the write.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }
}

/// Identifies one attempt to run a request. The sequence number is unique within the incarnation
/// of the entry node, which received the request and makes the attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Incarnation of the entry node.
    pub entry: Incarnation,
    /// Sequence number within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.entry.0, self.sequence)
    }
}
