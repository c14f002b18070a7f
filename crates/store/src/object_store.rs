//! The interface to the object store.

use std::fmt;
use std::time::{Duration, SystemTime};

use model::{Object, ObjectKey, ResultCode, Revision, StoredObject, WriteId};

/// Blocking access to the objects that the platform stores.
pub trait ObjectStore: Send + Sync {
    /// Reads all live objects, without tombstones.
    fn list(&self) -> Result<Listing, StoreError>;

    /// Waits up to `wait` for objects written after `since` and returns their current content.
    /// Deleted objects are returned as tombstones. Returns no objects if the wait times out.
    ///
    /// Returns [`StoreError::RevisionCompacted`] if the store is not in the era of `since`.
    fn watch(&self, since: Revision, wait: Duration) -> Result<Changes, StoreError>;

    /// Reads one object. Returns a tombstone for a deleted object as long as the platform keeps
    /// it, and `None` if the platform has neither the object nor a tombstone.
    fn read(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError>;

    /// Writes one object, or deletes it if `object` is `None`. The write only takes effect if the
    /// precondition holds. Returns the revision of the write.
    fn write(
        &self,
        key: &ObjectKey,
        precondition: Precondition,
        object: Option<&Object>,
        write_id: &WriteId,
    ) -> Result<Revision, StoreError>;

    /// Number of stored entries that were skipped because they can't be used, counted each time
    /// that one is read.
    fn skipped_entries(&self) -> u64 {
        0
    }

    /// The latest era of the platform's store that was seen, or `None` if the store tells none.
    fn era_seen(&self) -> Option<EraSeen> {
        None
    }
}

/// An era of the platform's store. It increases with each restore of the store from a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraSeen {
    /// The era.
    pub era: u64,
    /// When a response of this era was first seen.
    pub at: SystemTime,
}

/// All live objects at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Global revision at the time of the listing.
    pub revision: Revision,
    /// The objects, in no particular order.
    pub objects: Vec<StoredObject>,
}

/// Objects written after the revision that was passed to [`ObjectStore::watch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Global revision up to which the changes are complete.
    pub revision: Revision,
    /// The changed objects, ordered by revision.
    pub objects: Vec<StoredObject>,
}

/// Condition that the stored object must satisfy for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist or is deleted.
    Absent,
    /// The revision of the object's last write is the given one.
    At(Revision),
}

/// Error of a request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The precondition does not hold; nothing was written.
    Conflict {
        /// Revision of the object's last write, or `None` if it does not exist.
        current: Option<Revision>,
    },
    /// The platform rejected the request because of its rate limit; nothing was written.
    Throttled,
    /// The platform is unreachable or rejected the request; nothing was written.
    Unavailable(Box<str>),
    /// The response to a write was lost; the write may have taken effect.
    OutcomeUnknown(Box<str>),
    /// The request or the response is invalid.
    Invalid(Box<str>),
    /// The platform no longer has all changes since the given revision; a full listing is required.
    RevisionCompacted,
}

impl StoreError {
    /// Returns the numbered result code, or `None` for an error that is not shown to operators.
    pub fn code(&self) -> Option<ResultCode> {
        match self {
            StoreError::Conflict { .. } => Some(ResultCode::WriteConflict),
            StoreError::Throttled => Some(ResultCode::PlatformThrottled),
            StoreError::Unavailable(_) => Some(ResultCode::PlatformUnavailable),
            StoreError::OutcomeUnknown(_) => Some(ResultCode::WriteOutcomeUnknown),
            StoreError::Invalid(_) => Some(ResultCode::ObjectInvalid),
            StoreError::RevisionCompacted => None,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Conflict { current: Some(revision) } => {
                write!(f, "the object was changed at revision {revision}")
            }
            StoreError::Conflict { current: None } => f.write_str("the object does not exist"),
            StoreError::Throttled => f.write_str("the platform refuses calls above its rate"),
            StoreError::Unavailable(reason) => write!(f, "the platform is unavailable: {reason}"),
            StoreError::OutcomeUnknown(reason) => {
                write!(f, "the answer of the write was lost: {reason}")
            }
            StoreError::Invalid(reason) => write!(f, "invalid request or answer: {reason}"),
            StoreError::RevisionCompacted => {
                f.write_str("the revision is too old; a full listing is required")
            }
        }
    }
}

impl std::error::Error for StoreError {}
