//! Endpoints of the whole fleet, from the tables that the nodes publish.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use model::{
    Endpoint, EndpointMark, EndpointName, EndpointState, Incarnation, Labels, NodeName, Selector,
    ServiceName, Slots,
};

use crate::incarnations::{IncarnationHistory, IncarnationStatus};

/// Minimum number of interned label sets before unused ones are purged.
const MIN_LABEL_SETS_BEFORE_PURGE: usize = 64;

/// Result of [`Directory::apply_table`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableApplied {
    /// The table has replaced the previous one of the node.
    Replaced,
    /// The table is not newer than the current one and was ignored.
    Stale,
}

/// An endpoint with its [`EndpointMark`] applied.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// The node that announced the endpoint.
    pub node: Arc<NodeName>,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Address on which the upstream accepts requests from its node.
    pub addr: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: Slots,
    /// State in the announcement.
    pub state: EndpointState,
    /// Whether an operator has drained the endpoint.
    pub drained: bool,
    /// Latest load report of the upstream when the table was created.
    pub load: u8,
    /// Labels in the announcement, extended and overridden by those that operators have set.
    pub labels: Arc<Labels>,
    announced_labels: Arc<Labels>,
    node_index: u32,
}

impl EndpointEntry {
    /// Returns whether the endpoint accepts new requests, which means that it is ready and not
    /// drained. Does not consider whether its node is reachable.
    pub fn accepts_calls(&self) -> bool {
        self.state == EndpointState::Ready && !self.drained
    }
}

#[derive(Debug)]
struct Node {
    name: Arc<NodeName>,
    incarnations: IncarnationHistory,
    version: Option<u64>,
    /// Services in the current table, without duplicates.
    services: Vec<ServiceName>,
}

/// The endpoints of all nodes, indexed by service.
///
/// ```
/// use membership::Directory;
/// use model::{Endpoint, EndpointState, Incarnation, Labels, Selector, Slots};
///
/// let endpoint = Endpoint {
///     name: "orders-1".parse().unwrap(),
///     service: "orders".parse().unwrap(),
///     labels: Labels::new(),
///     addr: "127.0.0.1:9000".parse().unwrap(),
///     slots: Slots(3),
///     state: EndpointState::Ready,
///     load: 10,
/// };
/// let (service, peer) = (endpoint.service.clone(), "node-2".parse().unwrap());
/// let mut directory = Directory::new();
/// directory.apply_table(&peer, Incarnation(7), 1, vec![endpoint]);
/// let any = Selector::default();
/// assert_eq!(directory.available_endpoints(&service, &any).count(), 1);
/// directory.remove_node(&peer);
/// assert_eq!(directory.available_endpoints(&service, &any).count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Directory {
    node_indexes: HashMap<Arc<NodeName>, u32>,
    /// Slots of removed nodes are `None` and are reused.
    nodes: Vec<Option<Node>>,
    services: HashMap<ServiceName, Vec<EndpointEntry>>,
    marks: HashMap<EndpointName, EndpointMark>,
    label_sets: HashSet<Arc<Labels>>,
    /// Size of `label_sets` at which unused ones are purged.
    label_sets_limit: usize,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Directory {
        Directory { label_sets_limit: MIN_LABEL_SETS_BEFORE_PURGE, ..Directory::default() }
    }

    /// Replaces the table of a node unless the given one is stale. Versions are only comparable
    /// within an incarnation. Tables from an incarnation that was replaced are always stale.
    pub fn apply_table(
        &mut self,
        node: &NodeName,
        incarnation: Incarnation,
        version: u64,
        endpoints: Vec<Endpoint>,
    ) -> TableApplied {
        let index = self.node_index_or_insert(node);
        let entry = self.node_mut(index);
        match entry.incarnations.observe(incarnation) {
            IncarnationStatus::Retired => return TableApplied::Stale,
            IncarnationStatus::Current if entry.version.is_some_and(|known| version <= known) => {
                return TableApplied::Stale;
            }
            IncarnationStatus::Current | IncarnationStatus::New => entry.version = Some(version),
        }
        self.remove_endpoints(index);
        let name = self.node_mut(index).name.clone();
        let mut services = Vec::new();
        for endpoint in endpoints {
            let labels = self.intern_labels(endpoint.labels);
            let mut new = EndpointEntry {
                name: endpoint.name,
                node: name.clone(),
                incarnation,
                addr: endpoint.addr,
                slots: endpoint.slots,
                state: endpoint.state,
                drained: false,
                load: endpoint.load,
                labels: labels.clone(),
                announced_labels: labels,
                node_index: index,
            };
            self.apply_mark(&mut new);
            if !services.contains(&endpoint.service) {
                services.push(endpoint.service.clone());
            }
            self.services.entry(endpoint.service).or_default().push(new);
        }
        self.node_mut(index).services = services;
        TableApplied::Replaced
    }

    /// Removes a node that is no longer a member, with its endpoints.
    pub fn remove_node(&mut self, node: &NodeName) {
        let Some(index) = self.node_indexes.get(node).copied() else { return };
        self.remove_endpoints(index);
        self.node_indexes.remove(node);
        self.nodes[index as usize] = None;
    }

    /// Sets marks, or removes them where the value is `None`. Iterates over all endpoints once per
    /// batch.
    pub fn set_marks(
        &mut self,
        marks: impl IntoIterator<Item = (EndpointName, Option<EndpointMark>)>,
    ) {
        let mut changed = HashSet::new();
        for (name, mark) in marks {
            match mark {
                Some(mark) => self.marks.insert(name.clone(), mark),
                None => self.marks.remove(&name),
            };
            changed.insert(name);
        }
        let mut services = std::mem::take(&mut self.services);
        for entry in services.values_mut().flatten() {
            if changed.contains(&entry.name) {
                self.apply_mark(entry);
            }
        }
        self.services = services;
    }

    /// Returns the endpoints of a service that accept new requests and match the selector.
    pub fn available_endpoints<'a>(
        &'a self,
        service: &ServiceName,
        selector: &'a Selector,
    ) -> impl Iterator<Item = &'a EndpointEntry> + use<'a> {
        // Label sets are interned, so the result for the previous pointer can be reused.
        let mut last: Option<(&Arc<Labels>, bool)> = None;
        let mut is_selected = move |labels: &'a Arc<Labels>| match last {
            Some((known, selected)) if Arc::ptr_eq(known, labels) => selected,
            _ => {
                let selected = selector.matches(labels);
                last = Some((labels, selected));
                selected
            }
        };
        let entries = self.endpoints_of(service).iter();
        entries.filter(move |entry| entry.accepts_calls() && is_selected(&entry.labels))
    }

    /// Returns all endpoints of a service, regardless of their state.
    pub fn endpoints_of(&self, service: &ServiceName) -> &[EndpointEntry] {
        self.services.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// Iterates over all services and their endpoints, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[EndpointEntry])> {
        self.services.iter().map(|(name, entries)| (name, entries.as_slice()))
    }

    fn node_mut(&mut self, index: u32) -> &mut Node {
        self.nodes[index as usize].as_mut().expect("the index of a known node must be occupied")
    }

    fn node_index_or_insert(&mut self, name: &NodeName) -> u32 {
        if let Some(index) = self.node_indexes.get(name) {
            return *index;
        }
        let name = Arc::new(name.clone());
        let node = Node {
            name: name.clone(),
            incarnations: IncarnationHistory::default(),
            version: None,
            services: Vec::new(),
        };
        let free = self.nodes.iter().position(Option::is_none);
        let index = free.unwrap_or(self.nodes.len());
        match free {
            Some(index) => self.nodes[index] = Some(node),
            None => self.nodes.push(Some(node)),
        }
        self.node_indexes.insert(name, index as u32);
        index as u32
    }

    fn remove_endpoints(&mut self, index: u32) {
        for service in std::mem::take(&mut self.node_mut(index).services) {
            let Entry::Occupied(mut entries) = self.services.entry(service) else { continue };
            entries.get_mut().retain(|entry| entry.node_index != index);
            if entries.get().is_empty() {
                entries.remove();
            }
        }
    }

    fn apply_mark(&mut self, entry: &mut EndpointEntry) {
        let Some(mark) = self.marks.get(&entry.name) else {
            entry.drained = false;
            entry.labels = entry.announced_labels.clone();
            return;
        };
        entry.drained = mark.drained;
        let mut labels = Labels::clone(&entry.announced_labels);
        labels.extend(mark.labels.iter().map(|(key, value)| (key.clone(), value.clone())));
        entry.labels = self.intern_labels(labels);
    }

    /// Returns a shared copy of a label set. Most endpoints of a service have equal labels, and one
    /// map takes several hundred bytes.
    fn intern_labels(&mut self, labels: Labels) -> Arc<Labels> {
        if let Some(known) = self.label_sets.get(&labels) {
            return known.clone();
        }
        if self.label_sets.len() >= self.label_sets_limit {
            self.label_sets.retain(|labels| Arc::strong_count(labels) > 1);
            self.label_sets_limit = 2 * self.label_sets.len() + MIN_LABEL_SETS_BEFORE_PURGE;
        }
        let labels = Arc::new(labels);
        self.label_sets.insert(labels.clone());
        labels
    }
}
