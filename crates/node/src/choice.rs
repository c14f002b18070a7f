//! Choice of the endpoint for the next attempt of a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use membership::EndpointEntry;
use model::{EndpointName, FailureDomain, NodeName, Selector, Time};
use routing::{
    CallAttempts, Candidate, Candidates, Choice, PATIENCE, Stage, WhenBusy, WhenSuspect,
};

use crate::attempts::Run;
use crate::loads::KnownLoads;
use crate::peers::{Peer, Reach};
use crate::shared::{lock, read};

/// Part of its time, as a divisor, that a call waits at a trusted endpoint although these are below the
/// floor. Most routes aim at an answer in half of their time.
const SHORT_WAIT_DIVISOR: u32 = 4;

/// Part of its time, as a divisor, that a call is expected to wait at any endpoint in an overload. In a
/// crowd four of five calls with a longer expected wait find no free slot.
const OVERLOAD_DIVISOR: u32 = 10;

/// Endpoints without a free slot that a call asks in an overload before it waits at one. Each further one
/// is a wasted trip, mostly to another failure domain.
const BUSY_IN_OVERLOAD: usize = 2;

/// Where the next attempt goes.
pub(crate) struct Chosen {
    pub(crate) choice: Choice,
    pub(crate) entry: EndpointEntry,
    /// How long it may wait there, if there is a limit.
    pub(crate) patience: Option<Duration>,
    /// Whether it is also for a suspect endpoint.
    pub(crate) insists: bool,
}

/// The endpoints of a service. Each is looked up only when the balancer draws it, so that the cost
/// of a choice does not grow with the number of endpoints.
struct ServiceCandidates<'a> {
    now: Time,
    entries: &'a [EndpointEntry],
    selector: &'a Selector,
    own_domain: &'a FailureDomain,
    members: &'a HashMap<NodeName, Arc<Peer>>,
    loads: KnownLoads<'a>,
    /// Whether endpoints count that are avoided for their path or their health.
    avoidance: Avoidance,
}

/// Whether endpoints are avoided for what was lately seen of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Avoidance {
    Usual,
    /// No other endpoint is left.
    Off,
}

impl Candidates for ServiceCandidates<'_> {
    fn count(&self) -> usize {
        self.entries.len()
    }

    fn candidate(&self, index: usize) -> Candidate<'_> {
        let entry = &self.entries[index];
        let known = self.loads.at(&entry.name, self.now);
        let is_usable = entry.is_open() && self.selector.matches(&entry.labels) && !known.is_absent;
        let member = self.members.get(&*entry.node);
        let reach = member.map_or(Reach::Good, |peer| peer.reach(self.now));
        let is_avoided = known.is_suspect || reach == Reach::Bad;
        let weight = match (is_usable, is_avoided, self.avoidance) {
            (false, ..) | (true, true, Avoidance::Usual) => 0,
            _ => 100,
        };
        Candidate {
            endpoint: &entry.name,
            node: &entry.node,
            domain: member.map_or(self.own_domain, |peer| &peer.domain),
            slots: entry.slots,
            weight,
            stage: match (reach, self.avoidance) {
                (Reach::Uncertain, Avoidance::Usual) => Stage::Probation,
                _ => Stage::Regular,
            },
            path_penalty: known.path_penalty,
            load: known.load,
        }
    }
}

impl Run<'_> {
    /// Chooses an endpoint: a trusted one that is not known to be busy, then a busy one, where the call
    /// waits. A suspect one is chosen if no other is left, or if the trusted ones are below the floor and
    /// the wait is long. It has free slots because it fails, so that calls must not turn to it for room.
    pub(crate) fn choose(&self, attempts: &CallAttempts) -> Option<Chosen> {
        let patience = match attempts.when_busy(self.replayable()) {
            WhenBusy::GoElsewhere => Some(PATIENCE),
            WhenBusy::Wait => None,
        };
        let refused = [&self.tried[..], &self.suspects].concat();
        let avoided = [&refused[..], &self.busy].concat();
        let chosen =
            |(choice, entry), patience, insists| Some(Chosen { choice, entry, patience, insists });
        if attempts.when_suspect() == WhenSuspect::GoElsewhere
            && let Some(found) = self.choose_among(&avoided, Avoidance::Usual)
            && (self.busy.len() < BUSY_IN_OVERLOAD || !self.is_overload(found.0.cost))
        {
            return chosen(found, patience, false);
        }
        if let Some(found) = self.choose_among(&refused, Avoidance::Usual)
            && (!self.is_below_floor() || self.is_short_wait(found.0.cost))
        {
            return chosen(found, None, false);
        }
        chosen(self.choose_among(&self.tried, Avoidance::Off)?, None, !self.suspects.is_empty())
    }

    fn choose_among(
        &self,
        avoided: &[EndpointName],
        avoidance: Avoidance,
    ) -> Option<(Choice, EndpointEntry)> {
        let node = self.node;
        // The locks are taken in the order in which the loop that follows the members takes them.
        let members = node.peers.members();
        let directory = read(&node.directory);
        let candidates = ServiceCandidates {
            now: node.now(),
            entries: directory.all(&self.service),
            selector: &self.route.policy().selector,
            own_domain: &node.info().domain,
            members: &members,
            loads: node.loads.look_up(),
            avoidance,
        };
        let mut random = lock(&node.random);
        let choice = self.balancer.choose(&candidates, avoided, self.idempotence, &mut *random)?;
        let entry = candidates.entries[choice.index].clone();
        Some((choice, entry))
    }

    /// Tells whether so many endpoints have refused as suspect that those left are fewer than the
    /// floor of the route.
    fn is_below_floor(&self) -> bool {
        let entries = read(&self.node.directory).all(&self.service).len();
        let floor = usize::from(self.route.policy().floor.value());
        !self.suspects.is_empty() && self.suspects.len() * 100 > entries * (100 - floor)
    }

    /// Tells whether all endpoints are likely to be busy, by the least expected wait.
    fn is_overload(&self, wait: Duration) -> bool {
        wait > self.deadline.since(self.node.now()) / OVERLOAD_DIVISOR
    }

    /// Tells whether a call can well wait for so long.
    fn is_short_wait(&self, wait: Duration) -> bool {
        wait < self.deadline.since(self.node.now()) / SHORT_WAIT_DIVISOR
    }
}
