//! Outlier detection: finds unhealthy endpoints and paths from the results of calls.
//!
//! The guard of a node sees every call to its endpoints, so it decides by [`EndpointHealth`] whether an
//! endpoint accepts all calls or only probes. Server errors caused by failed calls of the endpoint to
//! other services, the [`DependencyFailures`], do not count. An entry node lowers the weight of single
//! paths by a [`PathPenalty`].
//!
//! No node collects the health of other nodes' endpoints. An entry node whose call is refused by suspect
//! endpoints tries other endpoints or waits at a trusted one. It sends the call to a suspect endpoint
//! anyway if no other is left, or if the trusted endpoints are below the floor of the route and the
//! wait is long.

mod dependencies;
mod endpoint;
mod path;

pub use dependencies::DependencyFailures;
pub use endpoint::{CallResult, CallRole, EndpointHealth, HealthDecision};
pub use path::{PathPenalty, Weight};
