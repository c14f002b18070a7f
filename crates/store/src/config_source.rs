//! The interface to a configuration that is maintained outside the product.

use std::time::Duration;

use model::Revision;

use crate::object_store::{Listing, StoreError};

/// Blocking access to a configuration document that is always replaced as a whole.
pub trait ConfigSource: Send + Sync {
    /// Waits up to `wait` for a configuration newer than `since` and returns all its routes,
    /// accounts and keys. Returns `None` if the wait times out.
    fn wait_for_newer(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Option<Listing>, StoreError>;

    /// Number of entries of configurations that were skipped because they can't be used.
    fn skipped_entries(&self) -> u64 {
        0
    }
}
