//! What operators see of the node.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use config::Applied;
use eyre::Result;
use log::{LevelFilter, info};
use membership::EndpointEntry;
use model::{EndpointName, Kind, NodeName, ObjectKey, RequestId, ResultCode, Revision, Time};
use operator::{
    Decision, EndpointView, FleetState, Liveness, MemberView, NodeView, OperatorPort,
    PartitionView, Push, RequestRecord, RouteWeight,
};
use settings::LogLevel;
use tokio::time::sleep;

use crate::guard::require_lease;
use crate::records::{self, End};
use crate::shared::{Node, Phase, lock, read, write};
use crate::sync::{self, Source};

/// Interval at which gauges are set; metrics are read less often.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the operator port.
pub(crate) fn start(node: &Arc<Node>) -> Result<OperatorPort> {
    let view = Arc::new(View { node: Arc::clone(node) });
    let settings = &node.settings.operator;
    let registry = Arc::clone(&node.metrics.registry);
    OperatorPort::start(settings.listen, settings.credential.reveal(), view, registry)
}

pub(crate) fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Keeps the gauges up to date that show state rather than events.
pub(crate) async fn refresh_gauges(node: Arc<Node>) {
    loop {
        let now = node.now();
        let metrics = &node.metrics;
        let is_valid = lock(&node.lease).is_valid(now);
        metrics.lease_valid.set(i64::from(is_valid));
        metrics.members_alive.set(node.peers.alive(&node) as i64);
        metrics.platform_silence.set(lock(&node.relays).contact_age(now).as_secs_f64());
        metrics.partitions.set(lock(&node.limiter.owner).partitions().count() as i64);
        metrics.loads.set(node.loads.len() as i64);
        sleep(GAUGE_INTERVAL).await;
    }
}

struct View {
    node: Arc<Node>,
}

impl NodeView for View {
    fn ready(&self) -> Result<(), ResultCode> {
        if self.node.phase() != Phase::Serving {
            return Err(ResultCode::Stopping);
        }
        require_lease(&self.node)
    }

    fn state(&self) -> FleetState {
        let node = &self.node;
        let now = node.now();
        let (valid_until, synced, revision) = {
            let lease = lock(&node.lease);
            (lease.valid_until(now), lease.is_synced(), lease.revision())
        };
        let silence = lock(&node.relays).contact_age(now);
        FleetState {
            node: node.info().node.clone(),
            domain: node.info().domain.clone(),
            incarnation: node.info().incarnation,
            revision,
            synced,
            lease_ms: valid_until.map_or(0, |until| until.since(now).as_millis() as u64),
            platform_age_ms: Some(silence.as_millis() as u64),
            members: self.members(now),
            partitions: self.partitions(now),
            endpoints: self.endpoints(now),
        }
    }

    fn request(&self, id: &RequestId) -> Option<RequestRecord> {
        self.node.records.find(id).map(|record| to_view(&self.node, record))
    }

    fn push(&self, push: Push) -> Result<Revision, ResultCode> {
        let node = &self.node;
        let outcome = {
            let mut config = write(&node.config);
            match push.since {
                Some(since) => config.apply_delta(since, push.revision, push.objects),
                None => config.apply_listing(push.revision, push.objects),
            }
        };
        match outcome {
            Applied::Applied | Applied::AlreadyKnown => {
                info!("an operator handed on revision {}", push.revision);
                sync::finish_change(node, outcome, Source::Peer);
                Ok(read(&node.config).revision())
            }
            Applied::Gap | Applied::Malformed => Err(ResultCode::ObjectInvalid),
        }
    }

    fn drain(&self) {
        info!("an operator asked for a graceful stop");
        self.node.stop_requested.notify_one();
    }
}

impl View {
    fn liveness(&self, name: &NodeName, now: Time) -> Liveness {
        let lease = lock(&self.node.lease);
        match lease.is_alive(name, now) {
            true => Liveness::Alive,
            false if lease.incarnation(name).is_some() => Liveness::Silent,
            false => Liveness::Unknown,
        }
    }

    fn members(&self, now: Time) -> Vec<MemberView> {
        let node = &self.node;
        let known: Vec<_> = {
            let config = read(&node.config);
            let members = config.members();
            members.map(|(name, record)| (name.clone(), record.value().clone())).collect()
        };
        known
            .into_iter()
            .map(|(name, record)| {
                let is_own = name == node.info().node;
                let peer = node.peers.find(name.as_str());
                let pong = peer.and_then(|peer| peer.last_pong());
                let own = is_own.then(|| lock(&node.lease).revision());
                MemberView {
                    liveness: self.liveness(&name, now),
                    pong_age_ms: pong.map(|pong| now.since(pong.at).as_millis() as u64),
                    revision: own.or(pong.map(|pong| pong.revision)),
                    synced: match is_own {
                        true => lock(&node.lease).is_synced(),
                        false => pong.is_some_and(|pong| pong.synced),
                    },
                    relay: is_own && node.platform_reachable.load(Ordering::Relaxed),
                    domain: record.domain,
                    operator_addr: record.operator_addr,
                    name,
                }
            })
            .collect()
    }

    fn partitions(&self, now: Time) -> Vec<PartitionView> {
        let records: Vec<_> = {
            let config = read(&self.node.config);
            let partitions = config.partitions();
            partitions.map(|(id, record)| (id, record.value().clone())).collect()
        };
        let view = |(id, record): (_, model::PartitionRecord)| PartitionView {
            id,
            owner_liveness: self.liveness(&record.owner, now),
            owner: record.owner,
            epoch: record.epoch,
        };
        records.into_iter().map(view).collect()
    }

    fn endpoints(&self, now: Time) -> Vec<EndpointView> {
        let known: Vec<(model::ServiceName, EndpointEntry)> = {
            let directory = read(&self.node.directory);
            let services = directory.services();
            services.flat_map(|(s, all)| all.iter().map(|e| (s.clone(), e.clone()))).collect()
        };
        known.into_iter().map(|(service, entry)| self.endpoint(service, entry, now)).collect()
    }

    fn endpoint(
        &self,
        service: model::ServiceName,
        entry: EndpointEntry,
        now: Time,
    ) -> EndpointView {
        let (load, _) = self.node.loads.look_up().at(&entry.name, now);
        let report = load.map(|known| known.report);
        EndpointView {
            weights: self.weights(&service, &entry.name, now),
            name: entry.name,
            service,
            node: (*entry.node).clone(),
            labels: (*entry.labels).clone(),
            state: entry.state,
            drained: entry.drained,
            load: entry.load,
            slots: entry.slots,
            running: report.map_or(0, |report| report.running),
            queued: report.map_or(0, |report| report.queued),
        }
    }

    fn weights(
        &self,
        service: &model::ServiceName,
        endpoint: &EndpointName,
        now: Time,
    ) -> Vec<RouteWeight> {
        let routes: Vec<model::RouteName> = {
            let config = read(&self.node.config);
            let routes = config.routes().filter(|route| route.policy().service == *service);
            routes.filter_map(|route| route.name().parse().ok()).collect()
        };
        let weight = |route: model::RouteName| {
            let weight = self.node.health.look_up().weight(service, &route, endpoint, now);
            let weight_milli = u32::from(weight.value()) * 10;
            RouteWeight { route, weight_milli, ejected: weight_milli == 0 }
        };
        routes.into_iter().map(weight).collect()
    }
}

fn to_view(node: &Node, record: records::RequestRecord) -> RequestRecord {
    let mut decisions = vec![Decision {
        at_us: 0,
        step: "route".into(),
        detail: match &record.route {
            Some(route) => format!("{} {} matched {route}", record.method, record.path).into(),
            None => format!("{} {} matched no route", record.method, record.path).into(),
        },
    }];
    for attempt in &record.attempts {
        decisions.push(Decision {
            at_us: attempt.at.as_micros() as u64,
            step: "attempt".into(),
            detail: format!(
                "{} on {} of {} considered ({}): {}",
                attempt.endpoint, attempt.node, attempt.considered, attempt.reason, attempt.end
            )
            .into(),
        });
    }
    let (status, code, detail) = match record.end {
        End::Answered(status) => (Some(status), None, format!("answered with status {status}")),
        End::CallerGone => (None, None, "the caller went away".to_owned()),
        End::Coded(code) => {
            let detail = format!("{code} ({})", code.outcome());
            (Some(code.status()), Some(code.number()), detail)
        }
    };
    let at_us = record.took.as_micros() as u64;
    decisions.push(Decision { at_us, step: "end".into(), detail: detail.into() });
    RequestRecord {
        id: record.id,
        node: node.info().node.clone(),
        route: record.route,
        account: record.account,
        status,
        code,
        decisions,
    }
}

/// The key of a node's record.
pub(crate) fn node_key(name: &NodeName) -> ObjectKey {
    ObjectKey::new(Kind::Node, name.as_str())
}
