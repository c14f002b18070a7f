//! What an entry knows of an endpoint, and whether it may choose the endpoint for a call.
//!
//! The choice of an endpoint and its explanation both use this module, so that they can't disagree.

use std::fmt;
use std::time::Duration;

use model::{EndpointName, EndpointState, FailureDomain, NodeName, ResultCode, Slots};

use crate::balancer::{Candidate, KnownLoad, Stage};
use crate::usable_slots::usable_slots;

/// Reachability of the node of an endpoint, which decides whether calls are sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// The last exchange succeeded.
    Reachable,
    /// The last exchange failed and the backoff is over; a call that may be repeated can try the
    /// node.
    Retryable,
    /// The last exchange failed and the backoff is not over.
    BackingOff,
}

/// Whether to skip endpoints that are suspect or whose node is unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Avoidance {
    /// They are skipped.
    Enabled,
    /// They are used, because no other endpoint is left or the others are too few.
    Disabled,
    /// They are used, and so are endpoints of this node that are withdrawn.
    DisabledAndWithdrawn,
}

/// Why an endpoint can't be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Exclusion {
    /// Its announced state is not ready.
    NotReady,
    /// Its announced state is that it leaves.
    Leaving,
    /// An operator has drained it.
    Drained,
    /// Its labels don't match the selector of the route.
    NotSelected,
    /// Its node has recently refused a call because the endpoint is unknown, leaving or evacuated.
    Absent,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its guard has recently refused a call of this kind because the endpoint is suspect.
    Suspect,
    /// The last exchange with its node failed.
    NodeUnreachable,
    /// Its traffic weight is 0.
    NoWeight,
    /// It has no slots.
    NoSlots,
    /// Its node may be unreachable, and the call must not be repeated.
    OnProbation,
}

impl Exclusion {
    /// Returns the code with which the endpoint or its node would refuse the call, if it would.
    pub const fn code(self) -> Option<ResultCode> {
        match self {
            Exclusion::NotReady | Exclusion::Absent => Some(ResultCode::EndpointUnknown),
            Exclusion::Leaving | Exclusion::Drained => Some(ResultCode::EndpointLeaving),
            Exclusion::Evacuated => Some(ResultCode::DomainEvacuated),
            Exclusion::Suspect => Some(ResultCode::EndpointSuspect),
            Exclusion::NodeUnreachable | Exclusion::OnProbation => {
                Some(ResultCode::LinkUnavailable)
            }
            Exclusion::NotSelected | Exclusion::NoWeight | Exclusion::NoSlots => None,
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Exclusion::NotReady => "not ready",
            Exclusion::Leaving => "leaving",
            Exclusion::Drained => "drained",
            Exclusion::NotSelected => "not matched by the selector",
            Exclusion::Absent => "refused a call as unknown, leaving or evacuated",
            Exclusion::Evacuated => "failure domain evacuated",
            Exclusion::Suspect => "suspect",
            Exclusion::NodeUnreachable => "node unreachable",
            Exclusion::NoWeight => "no weight",
            Exclusion::NoSlots => "no slots",
            Exclusion::OnProbation => "node on probation, for repeatable requests only",
        })
    }
}

/// What an entry knows of an endpoint with regard to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Number of concurrent calls that the endpoint has announced.
    pub announced_slots: Slots,
    /// Whether endpoints of the service have a limit while they are cold.
    pub has_cold_limit: bool,
    /// State that the endpoint announced.
    pub state: EndpointState,
    /// Whether the endpoint is one of this node that shows it as leaving only because the node leaves. Its
    /// guard still accepts calls.
    pub is_withdrawn: bool,
    /// Whether an operator has drained the endpoint.
    pub is_drained: bool,
    /// Whether the selector of the route matches the endpoint.
    pub is_selected: bool,
    /// Whether its node has recently refused a call because it has no such endpoint.
    pub is_absent: bool,
    /// Whether its failure domain is evacuated.
    pub is_evacuated: bool,
    /// Whether its guard has recently refused a call of this kind because the endpoint is suspect.
    pub is_suspect: bool,
    /// Reachability of its node.
    pub reachability: Reachability,
    /// Cost added for recent failures of the network path to the endpoint.
    pub path_penalty: Duration,
    /// Last known load, if any was reported.
    pub load: Option<KnownLoad>,
}

impl EndpointStatus {
    /// Slots of the endpoint to use in a choice.
    pub fn slots(&self) -> Slots {
        match self.has_cold_limit {
            true => usable_slots(self.announced_slots, self.load),
            false => self.announced_slots,
        }
    }

    /// Why calls of any kind get no endpoint in this state.
    fn obstacle(&self, avoidance: Avoidance) -> Option<Exclusion> {
        let avoided = match avoidance {
            Avoidance::Enabled => [
                (self.is_suspect, Exclusion::Suspect),
                (self.reachability == Reachability::BackingOff, Exclusion::NodeUnreachable),
            ],
            Avoidance::Disabled | Avoidance::DisabledAndWithdrawn => {
                [(false, Exclusion::Suspect), (false, Exclusion::NodeUnreachable)]
            }
        };
        let is_used = self.is_withdrawn && avoidance == Avoidance::DisabledAndWithdrawn;
        let unusable = [
            (self.state == EndpointState::Starting, Exclusion::NotReady),
            (self.state == EndpointState::Leaving && !is_used, Exclusion::Leaving),
            (self.is_drained, Exclusion::Drained),
            (!self.is_selected, Exclusion::NotSelected),
            (self.is_evacuated, Exclusion::Evacuated),
            (self.is_absent, Exclusion::Absent),
        ];
        let mut all = unusable.into_iter().chain(avoided);
        all.find_map(|(applies, exclusion)| applies.then_some(exclusion))
    }
}

/// An endpoint with what an entry knows of it.
#[derive(Debug, Clone, Copy)]
pub struct KnownEndpoint<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a EndpointName,
    /// The node that the endpoint is attached to.
    pub node: &'a NodeName,
    /// The failure domain of the node.
    pub domain: &'a FailureDomain,
    /// What is known of it.
    pub status: EndpointStatus,
}

impl<'a> KnownEndpoint<'a> {
    /// Returns the endpoint as a candidate of a choice.
    ///
    /// ```
    /// use model::{EndpointState, Slots};
    /// use routing::{
    ///     Avoidance, EndpointStatus, Exclusion, Idempotence, KnownEndpoint, Reachability,
    /// };
    ///
    /// let status = EndpointStatus {
    ///     announced_slots: Slots(3),
    ///     has_cold_limit: false,
    ///     state: EndpointState::Ready,
    ///     is_withdrawn: false,
    ///     is_drained: false,
    ///     is_selected: true,
    ///     is_absent: false,
    ///     is_evacuated: false,
    ///     is_suspect: true,
    ///     reachability: Reachability::Reachable,
    ///     path_penalty: Default::default(),
    ///     load: None,
    /// };
    /// let (name, node) = ("orders-1".parse().unwrap(), "node-1".parse().unwrap());
    /// let domain = "mid-a".parse().unwrap();
    /// let known = KnownEndpoint { endpoint: &name, node: &node, domain: &domain, status };
    /// assert_eq!(known.candidate(Avoidance::Enabled).weight, 0);
    /// assert_eq!(known.candidate(Avoidance::Disabled).weight, 100);
    /// let excluded = known.exclusion(Avoidance::Enabled, Idempotence::Idempotent);
    /// assert_eq!(excluded, Some(Exclusion::Suspect));
    /// ```
    pub fn candidate(&self, avoidance: Avoidance) -> Candidate<'a> {
        let status = &self.status;
        Candidate {
            endpoint: self.endpoint,
            node: self.node,
            domain: self.domain,
            slots: status.slots(),
            weight: if status.obstacle(avoidance).is_some() { 0 } else { 100 },
            stage: match (status.reachability, avoidance) {
                (Reachability::Retryable, Avoidance::Enabled) => Stage::Probation,
                _ => Stage::Regular,
            },
            path_penalty: status.path_penalty,
            load: status.load,
        }
    }

    /// Returns why the endpoint can't be chosen, or `None` if it can.
    pub fn exclusion(
        &self,
        avoidance: Avoidance,
        idempotence: crate::Idempotence,
    ) -> Option<Exclusion> {
        let obstacle = self.status.obstacle(avoidance);
        obstacle.or_else(|| self.candidate(avoidance).exclusion(idempotence))
    }
}
