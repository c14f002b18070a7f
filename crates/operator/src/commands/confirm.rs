//! Waits until all nodes have applied a change, and pushes it to nodes that are behind, for example
//! because they can't reach the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use model::{NodeName, Revision};
use store::{ObjectStore, StoreError};

use super::nodes::NodeClient;
use super::outcome::CommandError;
use crate::view::{FleetState, Push};

/// Pause between two polling rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of nodes that are polled in one round, concurrently.
const NODES_PER_ROUND: usize = 16;

/// Which members have confirmed that they applied a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Confirmation {
    /// Members that have applied the revision.
    pub confirmed: BTreeSet<NodeName>,
    /// Members that are not known to have applied it.
    pub unconfirmed: BTreeSet<NodeName>,
}

impl Confirmation {
    pub fn is_complete(&self) -> bool {
        self.unconfirmed.is_empty() && !self.confirmed.is_empty()
    }
}

/// State of the polling.
struct Poller<'a> {
    client: &'a NodeClient,
    store: &'a dyn ObjectStore,
    target: Revision,
    /// Operator ports to poll. Those of members are added as the members become known.
    addrs: Vec<SocketAddr>,
    /// Index in `addrs` at which the next round starts.
    next: usize,
    members: BTreeSet<NodeName>,
    /// Whether `members` comes from a node that has applied `target`.
    members_current: bool,
    /// Highest applied revision that is known of each node.
    revisions: BTreeMap<NodeName, Revision>,
}

/// Polls the nodes until every member has applied `target`, or until `timeout`. After each sixth of
/// `timeout`, pushes the changes to the polled nodes that are still behind.
///
/// # Errors
///
/// Fails if a node refuses the operator credential. Nodes that do not respond are not an error.
pub(super) fn confirm(
    client: &NodeClient,
    store: &dyn ObjectStore,
    target: Revision,
    addrs: Vec<SocketAddr>,
    timeout: Duration,
) -> Result<Confirmation, CommandError> {
    let started = Instant::now();
    let mut poller = Poller {
        client,
        store,
        target,
        addrs,
        next: 0,
        members: BTreeSet::new(),
        members_current: false,
        revisions: BTreeMap::new(),
    };
    let mut push_at = started + timeout / 6;
    loop {
        let states = poller.poll_round()?;
        let polled_at = Instant::now();
        for (_, state) in &states {
            poller.record_state(state);
        }
        let confirmation = poller.confirmation();
        if poller.members_current && confirmation.is_complete() {
            return Ok(confirmation);
        }
        if polled_at >= push_at {
            push_at = polled_at + timeout / 6;
            for (addr, state) in &states {
                poller.push_changes(*addr, state);
            }
        }
        if Instant::now() + ROUND_PAUSE >= started + timeout {
            return Ok(poller.confirmation());
        }
        thread::sleep(ROUND_PAUSE);
    }
}

impl Poller<'_> {
    fn poll_round(&mut self) -> Result<Vec<(SocketAddr, FleetState)>, CommandError> {
        let count = self.addrs.len().min(NODES_PER_ROUND);
        let round: Vec<SocketAddr> =
            (0..count).map(|index| self.addrs[(self.next + index) % self.addrs.len()]).collect();
        self.next = self.next.wrapping_add(count) % self.addrs.len().max(1);
        let client = self.client;
        let results = thread::scope(|scope| {
            let threads: Vec<_> =
                round.iter().map(|addr| scope.spawn(move || client.state(*addr))).collect();
            threads.into_iter().map(|thread| thread.join()).collect::<Vec<_>>()
        });
        let mut states = Vec::new();
        for (addr, result) in round.into_iter().zip(results) {
            match result {
                Ok(Ok(state)) => states.push((addr, state)),
                Ok(Err(err)) if err.code == model::ResultCode::CredentialRejected => {
                    return Err(err);
                }
                _ => {}
            }
        }
        Ok(states)
    }

    fn record_state(&mut self, state: &FleetState) {
        self.record_revision(&state.node, state.revision);
        let current = state.revision >= self.target;
        if current || !self.members_current {
            self.members = state.members.iter().map(|m| m.name.clone()).collect();
            self.members_current |= current;
        }
        for member in &state.members {
            if !self.addrs.contains(&member.operator_addr) {
                self.addrs.push(member.operator_addr);
            }
        }
    }

    fn record_revision(&mut self, node: &NodeName, revision: Revision) {
        let known = self.revisions.entry(node.clone()).or_default();
        *known = (*known).max(revision);
    }

    fn has_applied(&self, name: &NodeName) -> bool {
        self.revisions.get(name).is_some_and(|revision| *revision >= self.target)
    }

    fn confirmation(&self) -> Confirmation {
        let (confirmed, unconfirmed) =
            self.members.iter().cloned().partition(|name| self.has_applied(name));
        Confirmation { confirmed, unconfirmed }
    }

    fn push_changes(&mut self, addr: SocketAddr, state: &FleetState) {
        if state.revision >= self.target {
            return;
        }
        let push = match self.store.watch(state.revision, Duration::ZERO) {
            Ok(changes) => Push {
                since: Some(state.revision),
                revision: changes.revision,
                objects: changes.objects,
            },
            Err(StoreError::RevisionCompacted) => match self.store.list() {
                Ok(listing) => {
                    Push { since: None, revision: listing.revision, objects: listing.objects }
                }
                Err(_) => return,
            },
            Err(_) => return,
        };
        if let Ok(revision) = self.client.push(addr, &push) {
            self.record_revision(&state.node, revision);
        }
    }
}
