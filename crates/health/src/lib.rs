//! Outlier detection and ejection.
//!
//! The guard of an instance records finished calls in a [`Recorder`] and sends its
//! [`HealthReport`]s to the owner of the partition of the service. The [`Arbiter`] there compares
//! each endpoint with its peers on the same route and decides which endpoints are ejected from
//! which routes. Entries apply its [`EjectionList`]s to their [`Ejections`], and lower the weight
//! of single paths by a [`PathPenalty`] without ejecting anything.
//!
//! # The floor
//!
//! Ejections must leave `floor` x all slots of a route in use, counted over all entries together.
//! Four rules ensure this while lists are delayed, lost or duplicated:
//!
//! * The arbiter counts an ejection until its lease has run out, even after it returned the
//!   endpoint, and each list names every ejection that any entry may still hold.
//! * An entry counts a lease from the time at which it sent the request that the list answers.
//!   This is before the arbiter wrote the list, so the entry's lease ends first.
//! * An entry suspends all its ejections on a route while the slots that are left by everything
//!   that its newest list names are below the floor in its own view. Among the entries that still
//!   eject anything, the one with the newest list has counted the ejections of all others.
//! * A new arbiter ejects nothing until every lease of its predecessor has run out, unless the
//!   predecessor has stopped and handed its state over.

mod arbiter;
mod ejections;
mod handover;
mod list;
mod outliers;
mod path;
mod phase;
mod recorder;
mod route;
mod stats;
mod view;
mod window;

pub use arbiter::{
    Action, Arbiter, Decision, EJECTION_LEASE, HeldEjection, ProbeResult, QuorumLease,
    TAKEOVER_WAIT,
};
pub use ejections::{Applied, Ejections};
pub use handover::{HandedEndpoint, Handover, Stage};
pub use list::{EjectionList, ListEntry, Weight};
pub use path::PathPenalty;
pub use recorder::{
    CallResult, HealthReport, LatencyCounts, REPORT_INTERVAL, Recorder, ReportEntry,
};
pub use stats::fisher_tail;
pub use view::{Availability, RouteEndpoint, RouteView};
