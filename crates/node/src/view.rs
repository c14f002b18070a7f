//! Operator port: state, request records, object pushes and drain requests.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use config::{Applied, Feed};
use eyre::Result;
use log::{LevelFilter, info};
use membership::EndpointEntry;
use model::{RequestId, ResultCode, Revision, ServiceName, Time};
use operator::{
    Decision, EndpointView, FleetState, Liveness, MemberView, NodeView, OperatorPort, Push,
    QueryError, RequestRecord, RouteExplanation, RouteQuery,
};
use settings::LogLevel;
use tokio::time::sleep;

use crate::peers::Reachability;
use crate::records::{self, RequestEnd};
use crate::shared::{Node, Phase, lock, read, write};
use crate::{explain, logging, status, sync};

/// Interval between updates of the gauges. Metrics are scraped less often.
const GAUGE_INTERVAL: Duration = Duration::from_secs(2);

/// Starts the operator port.
pub(crate) fn start_operator_port(node: &Arc<Node>) -> Result<OperatorPort> {
    let view = Arc::new(OperatorView { node: Arc::clone(node) });
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

/// Updates the gauges periodically, and removes stale endpoint loads.
pub(crate) async fn refresh_gauges(node: Arc<Node>) {
    loop {
        let now = node.now();
        let metrics = &node.metrics;
        let peers = node.peers.all();
        let unreachable =
            peers.iter().filter(|peer| peer.reachability(now) != Reachability::Reachable).count();
        metrics.members.set(peers.len() as i64);
        metrics.members_unreachable.set(unreachable as i64);
        let is_reachable = node.platform.is_reachable();
        metrics.platform_reachable.set(i64::from(is_reachable));
        let (imported, retained) = {
            let config = read(&node.config);
            (config.imported.revision(), config.objects.retained_len())
        };
        metrics.objects_retained.set(retained as i64);
        if let Some(seen) = node.interfaces.store.era_seen() {
            let at = seen.at.duration_since(UNIX_EPOCH).unwrap_or_default();
            metrics.store_era.set(seen.era as i64);
            metrics.store_era_seen_seconds.set(at.as_secs() as i64);
        }
        let age = node.platform.config_age(imported);
        metrics.imported_age_ms.set(age.map_or(-1, |age| age.as_millis() as i64));
        let withheld = node.guard.withholds_initial_retries(now);
        metrics.initial_retries_withheld.set(i64::from(withheld));
        metrics.endpoints_known.set(node.loads.len() as i64);
        metrics.entries_skipped.set(node.skipped_entries() as i64);
        let age = node.evacuations.age(now);
        metrics.evacuations_age_ms.set(age.map_or(-1, |age| age.as_millis() as i64));
        node.loads.remove_stale(now);
        let counted = metrics.log_lines_dropped.get();
        metrics.log_lines_dropped.inc_by(logging::dropped_lines().saturating_sub(counted));
        sleep(GAUGE_INTERVAL).await;
    }
}

struct OperatorView {
    node: Arc<Node>,
}

impl NodeView for OperatorView {
    fn ready(&self) -> Result<(), ResultCode> {
        match status::is_ready(&self.node) {
            true => Ok(()),
            false if self.node.phase() != Phase::Serving => Err(ResultCode::Stopping),
            false => Err(ResultCode::NotSynced),
        }
    }

    fn state(&self) -> FleetState {
        let node = &self.node;
        let now = node.now();
        let revisions = read(&node.config).revisions();
        FleetState {
            node: node.info().node.clone(),
            domain: node.info().domain.clone(),
            incarnation: node.info().incarnation,
            revision: revisions.objects,
            imported_revision: Revision(
                revisions.imported.version().unwrap_or(revisions.imported.0),
            ),
            synced: node.is_synced(),
            platform_reachable: node.platform.is_reachable(),
            evacuated: node.evacuations.domains().iter().cloned().collect(),
            members: self.members(now),
            endpoints: self.endpoints(now),
        }
    }

    fn request(&self, id: &RequestId) -> Option<RequestRecord> {
        self.node.recent_requests.find(id).map(|record| to_operator_record(&self.node, record))
    }

    fn explain_route(&self, query: &RouteQuery) -> Result<RouteExplanation, QueryError> {
        self.node.metrics.route_queries.inc();
        explain::explain_route(&self.node, query)
    }

    fn push(&self, push: Push) -> Result<Revision, ResultCode> {
        let node = &self.node;
        let outcome = {
            let mut config = write(&node.config);
            match push.since {
                Some(since) => config.objects.apply_delta(since, push.revision, push.objects),
                None => config.objects.apply_listing(push.revision, push.objects),
            }
        };
        match outcome {
            Applied::Applied | Applied::AlreadyKnown => {
                sync::update_dependents(node, Feed::Objects, outcome, "an operator");
                Ok(read(&node.config).objects.revision())
            }
            Applied::Gap | Applied::Malformed => Err(ResultCode::ObjectInvalid),
        }
    }

    fn drain(&self) {
        info!("graceful stop requested by an operator");
        self.node.stop_requested.notify_one();
    }
}

impl OperatorView {
    fn members(&self, now: Time) -> Vec<MemberView> {
        let node = &self.node;
        let records: Vec<_> = {
            let config = read(&node.config);
            let members = config.objects.members();
            members.map(|(name, record)| (name.clone(), record.value().clone())).collect()
        };
        records
            .into_iter()
            .map(|(name, record)| {
                let peer = node.peers.find(name.as_str());
                let is_reachable =
                    peer.is_none_or(|peer| peer.reachability(now) == Reachability::Reachable);
                MemberView {
                    liveness: if is_reachable { Liveness::Reached } else { Liveness::Unreachable },
                    domain: record.domain,
                    operator_addr: record.operator_addr,
                    name,
                }
            })
            .collect()
    }

    fn endpoints(&self, now: Time) -> Vec<EndpointView> {
        let entries: Vec<(ServiceName, EndpointEntry)> = {
            let directory = read(&self.node.directory);
            let services = directory.services();
            services
                .flat_map(|(service, entries)| {
                    entries.iter().map(|entry| (service.clone(), entry.clone()))
                })
                .collect()
        };
        entries.into_iter().map(|(service, entry)| self.endpoint(service, entry, now)).collect()
    }

    fn endpoint(&self, service: ServiceName, entry: EndpointEntry, now: Time) -> EndpointView {
        let snapshot = self.node.loads.lock_all().get(&entry.name, now);
        let report = snapshot.load.map(|load| load.report);
        // A change of the load alone does not update the directory, so the load of a local endpoint is
        // taken from its announcement.
        let local_load =
            lock(&self.node.announcements).endpoint(&entry.name).map(|local| local.load);
        EndpointView {
            suspect: snapshot.is_suspect || self.node.guard.suspect_since(&entry.name).is_some(),
            name: entry.name,
            service,
            node: (*entry.node).clone(),
            labels: (*entry.labels).clone(),
            state: entry.state,
            drained: entry.drained,
            load: local_load.unwrap_or(entry.load),
            slots: entry.slots,
            running: report.map_or(0, |report| report.running),
            queued: report.map_or(0, |report| report.queued),
        }
    }
}

/// Converts a request record into the list of decisions that operators see.
fn to_operator_record(node: &Node, record: records::RequestRecord) -> RequestRecord {
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
        RequestEnd::Answered(status) => {
            (Some(status), None, format!("answered with status {status}"))
        }
        RequestEnd::CallerGone => (None, None, "the caller went away".to_owned()),
        RequestEnd::Coded(code) => {
            let detail = format!("{code} ({})", code.outcome());
            (Some(code.status()), Some(code.number()), detail)
        }
    };
    let at_us = record.duration.as_micros() as u64;
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
