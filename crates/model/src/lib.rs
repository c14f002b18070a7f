//! Domain types shared by all crates: identifiers, rates, labels, stored objects and result codes.
//!
//! This crate does no I/O and reads no clock. [`Time`] values are passed in by the caller, so that
//! logic built on this crate also runs under virtual time in tests.

mod announcement;
mod hash;
mod headers;
mod ids;
mod key;
mod labels;
mod latency;
mod load;
mod object;
mod result_code;
mod time;
mod units;

pub use announcement::{Announcement, Origin, Report};
pub use hash::stable_hash;
pub use headers::HeaderNames;
pub use ids::{
    AccountName, AttemptId, EndpointName, FailureDomain, IdError, Incarnation, KeyId, NodeName,
    PartitionId, RequestId, Revision, RouteName, ServiceName, WriteId,
};
pub use key::{CallerKey, KeyDigest, KeyError};
pub use labels::{Labels, Selector, SelectorError};
pub use latency::LatencyEstimate;
pub use load::LoadReport;
pub use object::{
    ANY_METHOD, Access, Account, CallerLimits, DepartedEndpoint, DocumentError, Endpoint,
    EndpointMark, EndpointState, Evacuation, Key, Kind, NodeRecord, Object, ObjectKey, Route,
    ServicePolicy, ServiceShare, StoredObject,
};
pub use result_code::{Outcome, ResultCode};
pub use time::Time;
pub use units::{Burst, Percent, Rate, Slots, Tokens, UnitError};
