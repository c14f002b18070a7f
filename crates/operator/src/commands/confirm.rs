//! Waits until the nodes have applied a change, and hands it on where they can't reach the
//! platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use model::{NodeName, Revision};
use store::{ObjectStore, StoreError};

use super::nodes::NodeClient;
use super::outcome::CommandError;
use crate::view::{FleetState, Push};

/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// Nodes that are asked in one round.
const NODES_PER_ROUND: usize = 16;

/// What the nodes have confirmed.
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

struct Poll<'a> {
    client: &'a NodeClient,
    store: &'a dyn ObjectStore,
    target: Revision,
    /// Addresses to ask; those of the members are added as they become known.
    addrs: Vec<SocketAddr>,
    next: usize,
    members: BTreeSet<NodeName>,
    /// Whether the members come from a node that has applied the revision.
    members_current: bool,
    revisions: BTreeMap<NodeName, Revision>,
}

/// Asks the nodes until every member has applied `target`, or `within` has passed. Nodes that
/// are still behind after a sixth of that time get the changes pushed.
pub(super) fn confirm(
    client: &NodeClient,
    store: &dyn ObjectStore,
    target: Revision,
    addrs: Vec<SocketAddr>,
    within: Duration,
) -> Result<Confirmation, CommandError> {
    let started = Instant::now();
    let mut poll = Poll {
        client,
        store,
        target,
        addrs,
        next: 0,
        members: BTreeSet::new(),
        members_current: false,
        revisions: BTreeMap::new(),
    };
    let mut push_at = started + within / 6;
    loop {
        let states = poll.ask_round()?;
        let answered = Instant::now();
        for (_, state) in &states {
            poll.note(state);
        }
        let confirmation = poll.confirmation();
        if poll.members_current && confirmation.is_complete() {
            return Ok(confirmation);
        }
        if answered >= push_at {
            push_at = answered + within / 6;
            for (addr, state) in &states {
                poll.push_to(*addr, state);
            }
        }
        if Instant::now() + PAUSE >= started + within {
            return Ok(poll.confirmation());
        }
        thread::sleep(PAUSE);
    }
}

impl Poll<'_> {
    fn ask_round(&mut self) -> Result<Vec<(SocketAddr, FleetState)>, CommandError> {
        let count = self.addrs.len().min(NODES_PER_ROUND);
        let round: Vec<SocketAddr> =
            (0..count).map(|index| self.addrs[(self.next + index) % self.addrs.len()]).collect();
        self.next = self.next.wrapping_add(count) % self.addrs.len().max(1);
        let client = self.client;
        let answers = thread::scope(|scope| {
            let asked: Vec<_> =
                round.iter().map(|addr| scope.spawn(move || client.state(*addr))).collect();
            asked.into_iter().map(|thread| thread.join()).collect::<Vec<_>>()
        });
        let mut states = Vec::new();
        for (addr, answer) in round.into_iter().zip(answers) {
            match answer {
                Ok(Ok(state)) => states.push((addr, state)),
                Ok(Err(err)) if err.code == model::ResultCode::CredentialRejected => {
                    return Err(err);
                }
                _ => {}
            }
        }
        Ok(states)
    }

    fn note(&mut self, state: &FleetState) {
        let known = self.revisions.entry(state.node.clone()).or_default();
        *known = (*known).max(state.revision);
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

    fn has_applied(&self, name: &NodeName) -> bool {
        self.revisions.get(name).is_some_and(|revision| *revision >= self.target)
    }

    fn confirmation(&self) -> Confirmation {
        let (confirmed, unconfirmed) =
            self.members.iter().cloned().partition(|name| self.has_applied(name));
        Confirmation { confirmed, unconfirmed }
    }

    fn push_to(&mut self, addr: SocketAddr, state: &FleetState) {
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
            let known = self.revisions.entry(state.node.clone()).or_default();
            *known = (*known).max(revision);
        }
    }
}
