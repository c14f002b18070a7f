//! Determines the outcome of writes whose response was lost.

use std::thread;
use std::time::{Duration, Instant};

use model::{Object, ObjectKey, Revision, WriteId};

use crate::object_store::{ObjectStore, Precondition, StoreError};

/// Delay before the first retry. It doubles with each retry, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum delay between two retries.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Generates a random write id that is unique to one write.
///
/// ```
/// assert_ne!(store::new_write_id(), store::new_write_id());
/// ```
pub fn new_write_id() -> WriteId {
    let text = format!("w-{:032x}", rand::random::<u128>());
    text.parse().expect("a write id may contain hexadecimal digits")
}

/// Performs a conditional write like [`ObjectStore::write`]. If the response is lost, reads the
/// object and compares its write id to determine the outcome. The write is only repeated if the
/// object shows that it did not take effect. Requests that exceed the platform's rate limit are
/// retried until `deadline`.
///
/// After a lost response, [`StoreError::Conflict`] means that the object's current content is not
/// from this write, which may have taken effect and been overwritten since. The error is
/// [`StoreError::OutcomeUnknown`] if the outcome could not be determined before `deadline`.
pub fn write_and_resolve(
    store: &dyn ObjectStore,
    key: &ObjectKey,
    precondition: Precondition,
    object: Option<&Object>,
    write_id: &WriteId,
    deadline: Instant,
) -> Result<Revision, StoreError> {
    let mut backoff = INITIAL_BACKOFF;
    let mut lost_response: Option<StoreError> = None;
    loop {
        let err = match store.write(key, precondition, object, write_id) {
            Ok(revision) => return Ok(revision),
            Err(err) => err,
        };
        let unresolved = match err {
            StoreError::OutcomeUnknown(_) => {
                lost_response = Some(err.clone());
                err
            }
            // The transport may have resent the request, so even the first conflict can be caused
            // by this write itself.
            StoreError::Conflict { .. } | StoreError::Throttled => err,
            StoreError::Unavailable(_) if lost_response.is_some() => err,
            err => return Err(lost_response.unwrap_or(err)),
        };
        if unresolved != StoreError::Throttled {
            match find_outcome(store, key, precondition, write_id, deadline) {
                Ok(WriteOutcome::Applied(revision)) => return Ok(revision),
                Ok(WriteOutcome::Superseded(current)) => {
                    return Err(StoreError::Conflict { current });
                }
                Ok(WriteOutcome::NotApplied) => {}
                // The store keeps no tombstone of a deleted object. If the response to a deletion
                // was lost, the absence of the object is the requested state, whichever writer
                // caused it. The returned revision is the lowest that the deletion can have.
                Ok(WriteOutcome::ObjectMissing) if lost_response.is_some() => {
                    return match (object, precondition) {
                        (None, Precondition::At(revision)) => Ok(Revision(revision.0 + 1)),
                        _ => Err(lost_response.unwrap_or(unresolved)),
                    };
                }
                Ok(WriteOutcome::ObjectMissing) => {
                    return Err(StoreError::Conflict { current: None });
                }
                Err(_) => return Err(lost_response.unwrap_or(unresolved)),
            }
        }
        if Instant::now() + backoff >= deadline {
            return Err(lost_response.unwrap_or(unresolved));
        }
        thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Outcome of a write, as far as the stored object shows it.
enum WriteOutcome {
    /// The write took effect and is the last one.
    Applied(Revision),
    /// Another write is the last one. Contains its revision unless it deleted the object.
    Superseded(Option<Revision>),
    /// The object is still in the state that the precondition requires.
    NotApplied,
    /// The precondition requires a revision, but the platform has neither the object nor its
    /// tombstone, which would identify the writer.
    ObjectMissing,
}

/// Reads the object, with retries until `deadline`, and determines the outcome of a write.
fn find_outcome(
    store: &dyn ObjectStore,
    key: &ObjectKey,
    precondition: Precondition,
    write_id: &WriteId,
    deadline: Instant,
) -> Result<WriteOutcome, StoreError> {
    let mut backoff = INITIAL_BACKOFF;
    let stored = loop {
        match store.read(key) {
            Ok(stored) => break stored,
            Err(err @ StoreError::Invalid(_)) => return Err(err),
            Err(err) if Instant::now() + backoff >= deadline => return Err(err),
            Err(_) => {}
        }
        thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_BACKOFF);
    };
    let Some(stored) = stored else {
        return Ok(match precondition {
            Precondition::Absent => WriteOutcome::NotApplied,
            Precondition::At(_) => WriteOutcome::ObjectMissing,
        });
    };
    if stored.write_id == *write_id {
        return Ok(WriteOutcome::Applied(stored.revision));
    }
    let unchanged = match precondition {
        Precondition::Absent => stored.object.is_none(),
        Precondition::At(revision) => stored.revision == revision,
    };
    Ok(match unchanged {
        true => WriteOutcome::NotApplied,
        false => WriteOutcome::Superseded(stored.object.is_some().then_some(stored.revision)),
    })
}
