//! The interface to the evacuations that operators of the platform begin and end.

use std::time::Duration;

use evacuation::Snapshot;
use model::Revision;

use crate::object_store::StoreError;

/// Blocking access to the evacuated failure domains.
pub trait EvacuationSource: Send + Sync {
    /// Waits up to `wait` for a change of the failure domains after the revision `since`, and returns
    /// all of them. If the wait times out, the snapshot confirms those that are known. Without
    /// `since`, or if the changes since then are not known, returns at once.
    fn wait_for_change(
        &self,
        since: Option<Revision>,
        wait: Duration,
    ) -> Result<Snapshot, StoreError>;

    /// Number of entries that were skipped because they can't be used.
    fn skipped_entries(&self) -> u64 {
        0
    }
}
