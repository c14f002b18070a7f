//! Operator port of a node, and the operator commands.
//!
//! [`OperatorPort`] serves a [`NodeView`] over HTTP. [`commands`] parses and runs the commands, which
//! call the platform and the operator ports of the nodes.

pub mod commands;
mod explanation;
mod port;
mod view;

pub use explanation::{
    ExplainedAccount, ExplainedCandidate, ExplainedChoice, ExplainedCold, ExplainedExclusion,
    ExplainedLoad, ExplainedRefusal, ExplainedRoute, ExplainedService, QueryCaller, QueryError,
    RouteExplanation, RouteQuery, TokenOutlook,
};
pub use port::OperatorPort;
pub use view::{
    Decision, EndpointView, FleetState, Liveness, MemberView, NodeView, Push, PushError,
    RequestRecord,
};
