//! Health: reports of the guard, ejections held by the entry, and the arbiter of owned services.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use health::{
    Action, Arbiter, Availability, CallResult, Decision, EjectionList, Ejections, Handover,
    HeldEjection, ProbeResult, QuorumLease, Recorder, RouteEndpoint, RouteView, TAKEOVER_WAIT,
    Weight,
};
use hyper::http::Request;
use limits::PARTITIONS;
use log::info;
use model::{
    EndpointName, Epoch, Incarnation, NodeName, PartitionId, RouteName, ServiceName, Time,
    stable_hash,
};
use payload::Payload;
use tokio::time::{sleep, timeout};
use wire::{Frame, HealthReply, HealthUpdate, Probe, ProbeReport};

use crate::owners::{MAX_REDIRECTS, next_to_ask, node_to_ask};
use crate::shared::{Map, Node, lock, read};

/// Interval at which a node and the arbiters exchange reports and ejections.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which an arbiter decides.
const DECIDE_INTERVAL: Duration = Duration::from_millis(250);

/// Time allowed for a probe; one takes about 25 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Path that a probe asks for.
const PROBE_PATH: &str = "/health";

/// Health state of one node.
pub(crate) struct Health {
    incarnation: Incarnation,
    start: Time,
    recorders: Map<ServiceName, Recorder>,
    ejections: Map<ServiceName, Ejections>,
    probed: Map<ServiceName, Vec<ProbeReport>>,
    arbiters: Mutex<Arbiters>,
}

#[derive(Default)]
struct Arbiters {
    /// Partitions that this node owns.
    held: HashMap<PartitionId, Held>,
    services: HashMap<ServiceName, Arbiter>,
    /// Probes that guards have not yet been told of.
    probes: HashMap<EndpointName, Vec<Probe>>,
}

/// A partition that this node owns.
struct Held {
    epoch: Epoch,
    /// When new arbiters in it may make their first ejection. It is set at the first look, so that
    /// the wait is never too short.
    first_ejection: Option<Time>,
}

/// State of the arbiters of a partition, for the next owner.
pub(crate) struct HandedArbiters {
    /// Time until the first ejection of arbiters that are not listed.
    pub(crate) wait: Duration,
    /// The arbiters.
    pub(crate) arbiters: Vec<(ServiceName, Handover)>,
}

/// Weights of endpoints, while they do not change.
pub(crate) struct Weights<'a>(MutexGuard<'a, HashMap<ServiceName, Ejections>>);

impl Weights<'_> {
    /// Weight of an endpoint on a route.
    pub(crate) fn weight(
        &self,
        service: &ServiceName,
        route: &RouteName,
        endpoint: &EndpointName,
        now: Time,
    ) -> Weight {
        let held = self.0.get(service);
        held.map_or(Weight::FULL, |held| held.weight(route, endpoint, now))
    }
}

impl Health {
    pub(crate) fn new(incarnation: Incarnation, start: Time) -> Health {
        Health {
            incarnation,
            start,
            recorders: Map::default(),
            ejections: Map::default(),
            probed: Map::default(),
            arbiters: Mutex::default(),
        }
    }

    /// Records a finished call at the guard.
    pub(crate) fn record(
        &self,
        node: &Node,
        route: &RouteName,
        endpoint: &EndpointName,
        result: CallResult,
        latency: Duration,
    ) {
        let Some(service) = service_of(node, route) else { return };
        let mut recorders = lock(&self.recorders);
        let recorder =
            recorders.entry(service).or_insert_with(|| Recorder::new(self.incarnation, self.start));
        recorder.record(route, endpoint, result, latency);
    }

    /// Locks the ejections, to look up the weights of several endpoints at the entry.
    pub(crate) fn look_up(&self) -> Weights<'_> {
        Weights(lock(&self.ejections))
    }

    /// The own node has become the owner of a partition without a word from the previous one.
    pub(crate) fn gain(&self, id: PartitionId, epoch: Epoch) {
        lock(&self.arbiters).held.insert(id, Held { epoch, first_ejection: None });
    }

    /// The own node has taken a partition over, with the state of its arbiters.
    pub(crate) fn take_over(
        &self,
        node: &Node,
        id: PartitionId,
        epoch: Epoch,
        wait: Duration,
        handed: &[(ServiceName, Handover)],
    ) {
        let own = |(service, _): &&(ServiceName, Handover)| partition_of(service) == id;
        let views: Vec<_> = handed
            .iter()
            .filter(own)
            .map(|(service, handover)| (service, handover, route_views(node, service, node.now())))
            .collect();
        let mut arbiters = lock(&self.arbiters);
        let now = node.now();
        let first_ejection = Some(now + wait.min(TAKEOVER_WAIT));
        arbiters.held.insert(id, Held { epoch, first_ejection });
        for (service, handover, views) in views {
            let arbiter = Arbiter::resume(epoch, handover, views, now);
            arbiters.services.insert(service.clone(), arbiter);
        }
    }

    /// The own node gives a partition up. Its arbiters stop in the same step, so they grant nothing
    /// that the returned state does not contain.
    pub(crate) fn hand_over(&self, id: PartitionId, now: Time) -> HandedArbiters {
        let mut arbiters = lock(&self.arbiters);
        let held = arbiters.held.remove(&id);
        let first_ejection = held.and_then(|held| held.first_ejection);
        let wait = first_ejection.map_or(TAKEOVER_WAIT, |first| first.since(now));
        let of_partition = arbiters.services.extract_if(|service, _| partition_of(service) == id);
        let handed = of_partition.map(|(service, arbiter)| (service, arbiter.hand_over(now)));
        HandedArbiters { wait, arbiters: handed.collect() }
    }

    /// The own node is no longer the owner of a partition.
    pub(crate) fn lose(&self, id: PartitionId) {
        let mut arbiters = lock(&self.arbiters);
        arbiters.held.remove(&id);
        arbiters.services.retain(|service, _| partition_of(service) != id);
    }

    /// Replies to a frame about health, or returns `None` for another one.
    pub(crate) fn control(&self, node: &Node, frame: Frame) -> Option<Frame> {
        let Frame::HealthUpdate(update) = frame else { return None };
        Some(Frame::HealthReply(Box::new(self.take_update(node, *update))))
    }

    fn take_update(&self, node: &Node, update: HealthUpdate) -> HealthReply {
        let now = node.now();
        let mut arbiters = lock(&self.arbiters);
        let Arbiters { services, probes, .. } = &mut *arbiters;
        let Some(arbiter) = services.get_mut(&update.service) else {
            drop(arbiters);
            let moved = lock(&node.ownership).moved(partition_of(&update.service)).cloned();
            return HealthReply { list: None, probes: Vec::new(), moved };
        };
        if let Some(report) = &update.report {
            arbiter.report(report, now);
        }
        for held in &update.held {
            arbiter.adopt(held, now);
        }
        for ProbeReport { probe, result } in update.probed {
            if let Some(decision) = arbiter.probe_result(&probe.route, &probe.endpoint, result, now)
            {
                log_decision(&decision);
            }
        }
        let reported = update.report.iter().flat_map(|report| &report.entries);
        let mut due = Vec::new();
        for endpoint in reported.map(|entry| &entry.endpoint).chain(&update.endpoints) {
            due.extend(probes.remove(endpoint).unwrap_or_default());
        }
        HealthReply { list: Some(arbiter.list(now)), probes: due, moved: None }
    }
}

/// The partition whose owner arbitrates a service.
fn partition_of(service: &ServiceName) -> PartitionId {
    let hash = stable_hash(&[b"health", service.as_str().as_bytes()]);
    PartitionId((hash % u64::from(PARTITIONS)) as u16)
}

fn service_of(node: &Node, route: &RouteName) -> Option<ServiceName> {
    let config = read(&node.config);
    config.route_named(route.as_str()).map(|route| route.policy().service.clone())
}

/// Exchanges reports and ejections with the arbiters of all services.
pub(crate) async fn exchange(node: Arc<Node>) {
    loop {
        sleep(EXCHANGE_INTERVAL).await;
        let routes = node.routes.current(&read(&node.config));
        for service in routes.keys() {
            tokio::spawn(exchange_service(Arc::clone(&node), service.clone()));
        }
        node.loads.sweep(node.now());
    }
}

async fn exchange_service(node: Arc<Node>, service: ServiceName) {
    let update = make_update(&node, &service);
    let mut sent = node.now();
    let Some(mut reply) = send_update(&node, &service, update).await else { return };
    let held = held_before(&node, &service, reply.list.as_ref());
    if !held.is_empty() {
        // A new arbiter must know of the ejections of its predecessor before its list replaces them.
        let update = HealthUpdate {
            service: service.clone(),
            report: None,
            held,
            probed: Vec::new(),
            endpoints: Vec::new(),
        };
        sent = node.now();
        let Some(second) = send_update(&node, &service, update).await else { return };
        reply.list = second.list;
    }
    if let Some(list) = &reply.list {
        apply_list(&node, &service, list, sent);
    }
    for probe in reply.probes {
        tokio::spawn(run_probe(Arc::clone(&node), service.clone(), probe));
    }
}

/// Sends an update to the arbiter of a service and waits for its reply. A node that has handed the
/// service's partition over names the one to ask instead.
async fn send_update(
    node: &Node,
    service: &ServiceName,
    update: HealthUpdate,
) -> Option<HealthReply> {
    let id = partition_of(service);
    let mut owner = node_to_ask(node, id)?;
    for _ in 0..MAX_REDIRECTS {
        let reply = ask_arbiter(node, &owner, update.clone()).await?;
        if reply.list.is_some() {
            return Some(reply);
        }
        let Some(next) = next_to_ask(node, id, &owner, reply.moved.as_ref()) else {
            return Some(reply);
        };
        owner = next;
    }
    ask_arbiter(node, &owner, update).await
}

async fn ask_arbiter(node: &Node, owner: &NodeName, update: HealthUpdate) -> Option<HealthReply> {
    if *owner == node.info().node {
        return Some(node.health.take_update(node, update));
    }
    let peer = node.peers.find(owner.as_str())?;
    match peer.client.request(Frame::HealthUpdate(Box::new(update))).await {
        Ok(Frame::HealthReply(reply)) => Some(*reply),
        _ => None,
    }
}

/// Ejections of an earlier arbiter that a new one, whose list has come, does not know of.
fn held_before(
    node: &Node,
    service: &ServiceName,
    list: Option<&EjectionList>,
) -> Vec<HeldEjection> {
    let ejections = lock(&node.health.ejections);
    let (Some(held), Some(list)) = (ejections.get(service), list) else { return Vec::new() };
    if held.epoch().is_none_or(|epoch| list.epoch <= epoch) {
        return Vec::new();
    }
    held.held(node.now())
}

/// Looks at the floors again after the endpoints of this node's view have changed.
pub(crate) fn review(node: &Node) {
    let now = node.now();
    let services: Vec<ServiceName> = lock(&node.health.ejections).keys().cloned().collect();
    for service in services {
        let views = route_views(node, &service, now);
        let mut ejections = lock(&node.health.ejections);
        let Some(held) = ejections.get_mut(&service) else { continue };
        for view in &views {
            held.review(view, now);
        }
    }
}

fn make_update(node: &Node, service: &ServiceName) -> HealthUpdate {
    let now = node.now();
    let report = lock(&node.health.recorders).get_mut(service).and_then(|r| r.report(now));
    let probed = lock(&node.health.probed).remove(service).unwrap_or_default();
    let own = lock(&node.announcements).table();
    let endpoints = own.into_iter().filter(|endpoint| endpoint.service == *service);
    let endpoints = endpoints.map(|endpoint| endpoint.name).collect();
    HealthUpdate { service: service.clone(), report, held: Vec::new(), probed, endpoints }
}

fn apply_list(node: &Node, service: &ServiceName, list: &EjectionList, sent: Time) {
    let now = node.now();
    let views = route_views(node, service, now);
    let mut ejections = lock(&node.health.ejections);
    let held = ejections.entry(service.clone()).or_default();
    held.apply(list, Some(sent), now);
    for view in &views {
        held.review(view, now);
    }
}

/// The routes of a service with all endpoints that their selectors pick.
fn route_views(node: &Node, service: &ServiceName, now: Time) -> Vec<RouteView> {
    let index = node.routes.current(&read(&node.config));
    let routes = index.get(service).map(Vec::as_slice).unwrap_or_default().iter();
    let directory = read(&node.directory);
    let view = |route: &Arc<config::RouteEntry>| {
        let policy = route.policy();
        let picked =
            directory.all(service).iter().filter(|entry| policy.selector.matches(&entry.labels));
        let endpoints = picked.map(|entry| RouteEndpoint {
            name: entry.name.clone(),
            slots: entry.slots,
            availability: match entry.state.into() {
                _ if !directory.is_reachable(entry, now) => Availability::Unreachable,
                Availability::Available if entry.drained => Availability::Drained,
                availability => availability,
            },
        });
        let name = route.name().parse().ok()?;
        Some(RouteView { route: name, floor: policy.floor, endpoints: endpoints.collect() })
    };
    routes.filter_map(view).collect()
}

/// Probes an endpoint of this instance. The guard keeps no slot for the probe: the calls of the route
/// go elsewhere. If those of other routes take all slots, the upstream sheds the probe, which counts
/// as bad and is repeated later.
async fn run_probe(node: Arc<Node>, service: ServiceName, probe: Probe) {
    let addr = lock(&node.announcements).endpoint(&probe.endpoint).map(|endpoint| endpoint.addr);
    let Some(addr) = addr else { return };
    let req = Request::get(PROBE_PATH).header("host", addr.to_string()).body(Payload::empty());
    let Ok(req) = req else { return };
    let answer = timeout(PROBE_TIMEOUT, node.upstreams.send(addr, req)).await;
    let is_good = matches!(&answer, Ok(Ok(answer)) if answer.status < 500);
    let result = if is_good { ProbeResult::Good } else { ProbeResult::Bad };
    info!("probe of {}: {result:?}", probe.endpoint);
    let report = ProbeReport { probe, result };
    lock(&node.health.probed).entry(service).or_default().push(report);
}

/// Decides as arbiter of the owned services.
pub(crate) async fn arbitrate(node: Arc<Node>) {
    loop {
        sleep(DECIDE_INTERVAL).await;
        let now = node.now();
        let routes = node.routes.current(&read(&node.config));
        for service in routes.keys() {
            arbitrate_service(&node, service, now);
        }
    }
}

fn arbitrate_service(node: &Node, service: &ServiceName, now: Time) {
    let id = partition_of(service);
    if !lock(&node.health.arbiters).held.contains_key(&id) {
        return;
    }
    // In one step with the decision: a process that has lost the partition must not eject.
    let may_grant = {
        let ownership = lock(&node.ownership);
        let lease = lock(&node.lease);
        ownership.may_grant(id, &lease, now)
    };
    let views = route_views(node, service, now);
    let mut arbiters = lock(&node.health.arbiters);
    let Arbiters { held, services, probes } = &mut *arbiters;
    let Some(Held { epoch, first_ejection }) = held.get_mut(&id) else { return };
    let wait = first_ejection.get_or_insert(now + TAKEOVER_WAIT).since(now);
    let handover = Handover { wait, endpoints: Vec::new() };
    let arbiter = services
        .entry(service.clone())
        .or_insert_with(|| Arbiter::resume(*epoch, &handover, Vec::new(), now));
    for view in views {
        arbiter.update_route(view, now);
    }
    let lease = if may_grant { QuorumLease::Valid } else { QuorumLease::Lapsed };
    for decision in arbiter.tick(lease, now) {
        if decision.action == Action::Probe {
            let Decision { route, endpoint, .. } = &decision;
            let probe = Probe { route: route.clone(), endpoint: endpoint.clone() };
            probes.entry(endpoint.clone()).or_default().push(probe);
        }
        if let Action::Eject { .. } = decision.action {
            node.metrics.ejections.inc();
        }
        log_decision(&decision);
    }
}

fn log_decision(decision: &Decision) {
    if let Action::Renew { .. } = decision.action {
        return;
    }
    let document = serde_json::json!({
        "decision": "health",
        "route": decision.route.as_str(),
        "endpoint": decision.endpoint.as_str(),
        "action": format!("{:?}", decision.action),
        "reason": &*decision.reason,
    });
    log::info!(target: crate::logging::DECISIONS, "{document}");
}
