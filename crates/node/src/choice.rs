//! Selects the endpoint for the next attempt of a request.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use membership::EndpointEntry;
use model::{EndpointName, EndpointState, FailureDomain, NodeName, Selector, Time};
use routing::{
    Avoidance, CallAttempts, Candidate, Candidates, Choice, EndpointChooser, EndpointStatus,
    Idempotence, KnownEndpoint, MAX_EXPECTED_WAIT, OnBusy, Selected, SelectionRules,
};

use crate::attempts::RequestExecution;
use crate::loads::LockedLoads;
use crate::peers::{Peer, Reachability};
use crate::shared::{Node, Phase, lock, read};

/// The endpoint selected for an attempt.
pub(crate) struct SelectedEndpoint {
    pub(crate) choice: Choice,
    pub(crate) entry: EndpointEntry,
    /// Expected wait for a slot above which the guard refuses the attempt. `None` accepts any wait.
    pub(crate) max_expected_wait: Option<Duration>,
    /// Whether the guard runs the attempt even if the endpoint is suspect.
    pub(crate) accepts_suspect: bool,
}

/// What this node knows of the endpoints of a service, with regard to one call. An endpoint is looked up
/// only on demand, so the cost of a choice does not grow with the number of endpoints.
pub(crate) struct ServiceView<'a> {
    pub(crate) now: Time,
    pub(crate) entries: &'a [EndpointEntry],
    pub(crate) selector: &'a Selector,
    pub(crate) own_domain: &'a FailureDomain,
    pub(crate) members: &'a HashMap<NodeName, Arc<Peer>>,
    pub(crate) loads: LockedLoads<'a>,
    pub(crate) idempotence: Idempotence,
    pub(crate) evacuated: Arc<BTreeSet<FailureDomain>>,
    /// Endpoints of this node that accept calls although the directory shows them as leaving.
    pub(crate) withdrawn: &'a [EndpointName],
    /// Whether endpoints of the service have a limit while they are cold.
    pub(crate) has_cold_limit: bool,
}

impl ServiceView<'_> {
    pub(crate) fn endpoint(&self, index: usize) -> KnownEndpoint<'_> {
        let entry = &self.entries[index];
        let known = self.loads.get(&entry.name, self.now);
        let member = self.members.get(&*entry.node);
        let domain = member.map_or(self.own_domain, |peer| &peer.domain);
        KnownEndpoint {
            endpoint: &entry.name,
            node: &entry.node,
            domain,
            status: EndpointStatus {
                announced_slots: entry.slots,
                has_cold_limit: self.has_cold_limit,
                state: entry.state,
                is_withdrawn: member.is_none() && self.withdrawn.contains(&entry.name),
                is_drained: entry.drained,
                is_selected: self.selector.matches(&entry.labels),
                is_absent: known.is_absent,
                is_evacuated: self.evacuated.contains(domain),
                is_suspect: known.is_suspect_for(self.idempotence),
                reachability: member
                    .map_or(Reachability::Reachable, |peer| peer.reachability(self.now)),
                path_penalty: known.path_penalty,
                load: known.load,
            },
        }
    }
}

/// The endpoints of a service for one choice.
struct ServiceCandidates<'a> {
    view: ServiceView<'a>,
    avoidance: Avoidance,
    on_busy: OnBusy,
}

impl Candidates for ServiceCandidates<'_> {
    fn count(&self) -> usize {
        self.view.entries.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        self.view.endpoint(index).candidate(self.avoidance)
    }

    fn competitors(&self) -> usize {
        self.view.members.len()
    }

    fn on_busy(&self) -> OnBusy {
        self.on_busy
    }
}

impl EndpointChooser for &RequestExecution<'_> {
    type Target = EndpointEntry;

    fn choose(
        &mut self,
        excluded: &[EndpointName],
        avoidance: Avoidance,
        on_busy: OnBusy,
    ) -> Option<(Choice, EndpointEntry)> {
        self.choose_excluding(excluded, avoidance, on_busy)
    }

    fn is_below_floor(&self) -> bool {
        let entries = read(&self.node.directory).endpoints_of(&self.service).len();
        let floor = usize::from(self.route.policy().floor.value());
        !self.suspects.is_empty() && self.suspects.len() * 100 > entries * (100 - floor)
    }

    fn time_left(&self) -> Duration {
        self.deadline.since(self.node.now())
    }
}

impl RequestExecution<'_> {
    /// Selects an endpoint for the next attempt, see [`routing::select_endpoint`].
    pub(crate) fn select_endpoint(&self, attempts: &CallAttempts) -> Option<SelectedEndpoint> {
        let rules = SelectionRules {
            busy_policy: attempts.busy_policy(self.body_state()),
            suspect_policy: attempts.suspect_policy(),
            tried: &self.tried,
            busy: &self.busy,
            suspects: &self.suspects,
        };
        let Selected { choice, target: entry, max_expected_wait, accepts_suspect, .. } =
            routing::select_endpoint(&mut { self }, &rules)?;
        Some(SelectedEndpoint { choice, entry, max_expected_wait, accepts_suspect })
    }

    /// Selects an endpoint for a second attempt beside those at the endpoints `in_use`. It must be
    /// trusted and refuses the attempt if it has no free slot.
    pub(crate) fn select_hedge(&self, in_use: Vec<EndpointName>) -> Option<SelectedEndpoint> {
        let excluded = [&in_use[..], &self.tried, &self.suspects, &self.busy].concat();
        let (choice, entry) =
            self.choose_excluding(&excluded, Avoidance::Enabled, OnBusy::Refuse)?;
        let max_expected_wait = Some(MAX_EXPECTED_WAIT);
        Some(SelectedEndpoint { choice, entry, max_expected_wait, accepts_suspect: false })
    }

    fn choose_excluding(
        &self,
        excluded: &[EndpointName],
        avoidance: Avoidance,
        on_busy: OnBusy,
    ) -> Option<(Choice, EndpointEntry)> {
        let node = self.node;
        let withdrawn = withdrawn_endpoints(node);
        if avoidance == Avoidance::DisabledAndWithdrawn && withdrawn.is_empty() {
            return None;
        }
        let has_cold_limit = read(&node.config).service_policy(&self.service).is_some();
        // The lock order is the same as in `Peers::set_members`.
        let members = node.peers.members();
        let directory = read(&node.directory);
        let view = ServiceView {
            now: node.now(),
            entries: directory.endpoints_of(&self.service),
            selector: &self.route.policy().selector,
            own_domain: &node.info().domain,
            members: &members,
            loads: node.loads.lock_all(),
            idempotence: self.idempotence,
            evacuated: self.evacuated_domains(),
            withdrawn: &withdrawn,
            has_cold_limit,
        };
        let candidates = ServiceCandidates { view, avoidance, on_busy };
        let mut rng = lock(&node.rng);
        let choice = self.balancer.choose(&candidates, excluded, self.idempotence, &mut *rng)?;
        let entry = candidates.view.entries[choice.index].clone();
        Some((choice, entry))
    }

    /// Failure domains whose endpoints get no attempt of this request: the evacuated ones, and those that
    /// have refused an attempt because they are, which this node may learn later.
    fn evacuated_domains(&self) -> Arc<BTreeSet<FailureDomain>> {
        let mut domains = self.node.evacuations.domains();
        if !self.evacuated.is_empty() {
            Arc::make_mut(&mut domains).extend(self.evacuated.iter().cloned());
        }
        domains
    }

    /// Returns whether all endpoints of the service are in evacuated failure domains.
    pub(crate) fn is_evacuated(&self) -> bool {
        let domains = self.evacuated_domains();
        let members = self.node.peers.members();
        let directory = read(&self.node.directory);
        let entries = directory.endpoints_of(&self.service);
        let is_evacuated = |entry: &EndpointEntry| {
            let member = members.get(&*entry.node);
            domains.contains(member.map_or(&self.node.info().domain, |peer| &peer.domain))
        };
        !entries.is_empty() && entries.iter().all(is_evacuated)
    }
}

/// Endpoints that this node shows to the fleet as leaving only because it leaves itself. Its guard accepts
/// calls until the node is draining. An upstream that has announced that it leaves is not among them.
pub(crate) fn withdrawn_endpoints(node: &Node) -> Vec<EndpointName> {
    if node.phase() != Phase::Leaving {
        return Vec::new();
    }
    lock(&node.announcements).endpoints_in(EndpointState::Ready).cloned().collect()
}
