//! Protocol-independent interfaces to the object store of the platform.
//!
//! [`ObjectStore`] holds the product's own objects. [`ConfigSource`] provides the configuration
//! that the platform's operators write, and [`EvacuationSource`] the failure domains that they have
//! evacuated. [`write_and_resolve`] performs a write and determines its
//! outcome if the response is lost.

mod config_source;
mod evacuation_source;
mod object_store;
mod resolve;

pub use config_source::ConfigSource;
pub use evacuation_source::EvacuationSource;
pub use object_store::{Changes, EraSeen, Listing, ObjectStore, Precondition, StoreError};
pub use resolve::{new_write_id, write_and_resolve};
