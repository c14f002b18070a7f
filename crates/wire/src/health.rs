//! Encoding of the messages between guards, entries and arbiters.

use std::time::Duration;

use health::{
    EjectionList, HandedEndpoint, Handover, HealthReport, HeldEjection, LatencyCounts, ListEntry,
    ProbeResult, ReportEntry, Stage, Weight,
};
use model::{Epoch, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};

use crate::encoding::{DecodeError, id};
use crate::frame::{HealthReply, HealthUpdate, Probe, ProbeReport};
use crate::tokens::{WireRight, right_from_wire, right_to_wire};

type WireReportEntry = (String, String, u32, Vec<(u8, u32)>);
type WireReport = (u64, u64, Vec<WireReportEntry>);
type WireHeld = (String, String, u64, u8);
type WireListEntry = (String, String, u8, u64, u64, u8);
/// Route, endpoint, number and value of the stage, held, level, severity, time since ready.
type WireHanded = (String, String, (u8, u64), u64, u8, u16, Option<u64>);
/// Service, time until the first ejection, endpoints. Times are in milliseconds.
pub(crate) type WireArbiter = (String, u64, Vec<WireHanded>);
type WireList = (u64, u64, Vec<WireListEntry>);

/// Service, report, held ejections, results of probes, endpoints.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireUpdate(
    String,
    Option<WireReport>,
    Vec<WireHeld>,
    Vec<(String, String, bool)>,
    Vec<String>,
);

/// List, probes to make, handover of the partition.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireReply(Option<WireList>, Vec<(String, String)>, Option<WireRight>);

pub(crate) fn update_to_wire(update: &HealthUpdate) -> WireUpdate {
    let held = |held: &HeldEjection| {
        let HeldEjection { route, endpoint, remaining, level } = held;
        (route.to_string(), endpoint.to_string(), millis(*remaining), *level)
    };
    let probed = |report: &ProbeReport| {
        let is_good = report.result == ProbeResult::Good;
        (report.probe.route.to_string(), report.probe.endpoint.to_string(), is_good)
    };
    WireUpdate(
        update.service.to_string(),
        update.report.as_ref().map(report_to_wire),
        update.held.iter().map(held).collect(),
        update.probed.iter().map(probed).collect(),
        update.endpoints.iter().map(ToString::to_string).collect(),
    )
}

pub(crate) fn update_from_wire(update: WireUpdate) -> Result<HealthUpdate, DecodeError> {
    let WireUpdate(service, report, held, probed, endpoints) = update;
    Ok(HealthUpdate {
        service: id(service)?,
        report: report.map(report_from_wire).transpose()?,
        held: held.into_iter().map(held_from_wire).collect::<Result<_, _>>()?,
        probed: probed.into_iter().map(probed_from_wire).collect::<Result<_, _>>()?,
        endpoints: endpoints.into_iter().map(id).collect::<Result<_, _>>()?,
    })
}

pub(crate) fn reply_to_wire(reply: &HealthReply) -> WireReply {
    let probe = |probe: &Probe| (probe.route.to_string(), probe.endpoint.to_string());
    WireReply(
        reply.list.as_ref().map(list_to_wire),
        reply.probes.iter().map(probe).collect(),
        reply.moved.as_ref().map(right_to_wire),
    )
}

pub(crate) fn reply_from_wire(reply: WireReply) -> Result<HealthReply, DecodeError> {
    let WireReply(list, probes, moved) = reply;
    let probe = |(route, endpoint): (String, String)| -> Result<Probe, DecodeError> {
        Ok(Probe { route: id(route)?, endpoint: id(endpoint)? })
    };
    Ok(HealthReply {
        list: list.map(list_from_wire).transpose()?,
        probes: probes.into_iter().map(probe).collect::<Result<_, _>>()?,
        moved: moved.map(right_from_wire).transpose()?,
    })
}

pub(crate) fn arbiter_to_wire(arbiter: &(ServiceName, Handover)) -> WireArbiter {
    let (service, Handover { wait, endpoints }) = arbiter;
    let handed = |handed: &HandedEndpoint| {
        let HandedEndpoint { route, endpoint, stage, held, level, severity, ready_for } = handed;
        let (route, endpoint) = (route.to_string(), endpoint.to_string());
        let ready_for = ready_for.map(millis);
        let held = millis_rounded_up(*held);
        (route, endpoint, stage_to_wire(*stage), held, *level, *severity, ready_for)
    };
    (service.to_string(), millis_rounded_up(*wait), endpoints.iter().map(handed).collect())
}

pub(crate) fn arbiter_from_wire(
    arbiter: WireArbiter,
) -> Result<(ServiceName, Handover), DecodeError> {
    let (service, wait, endpoints) = arbiter;
    let handed = |handed: WireHanded| -> Result<HandedEndpoint, DecodeError> {
        let (route, endpoint, stage, held, level, severity, ready_for) = handed;
        Ok(HandedEndpoint {
            route: id(route)?,
            endpoint: id(endpoint)?,
            stage: stage_from_wire(stage)?,
            held: Duration::from_millis(held),
            level,
            severity,
            ready_for: ready_for.map(Duration::from_millis),
        })
    };
    let endpoints = endpoints.into_iter().map(handed).collect::<Result<_, _>>()?;
    Ok((id(service)?, Handover { wait: Duration::from_millis(wait), endpoints }))
}

fn stage_to_wire(stage: Stage) -> (u8, u64) {
    match stage {
        Stage::Healthy => (0, 0),
        Stage::Ejected { probe_in } => (1, millis(probe_in)),
        Stage::Kept { probation_in } => (2, millis(probation_in)),
        Stage::Probation => (3, 0),
        Stage::SlowStart { step } => (4, u64::from(step)),
    }
}

fn stage_from_wire((number, value): (u8, u64)) -> Result<Stage, DecodeError> {
    Ok(match number {
        0 => Stage::Healthy,
        1 => Stage::Ejected { probe_in: Duration::from_millis(value) },
        2 => Stage::Kept { probation_in: Duration::from_millis(value) },
        3 => Stage::Probation,
        4 => Stage::SlowStart { step: u8::try_from(value).unwrap_or(u8::MAX) },
        _ => return Err(DecodeError::invalid(format!("stage {number}"))),
    })
}

fn held_from_wire(held: WireHeld) -> Result<HeldEjection, DecodeError> {
    let (route, endpoint, remaining, level) = held;
    let remaining = Duration::from_millis(remaining);
    Ok(HeldEjection { route: id(route)?, endpoint: id(endpoint)?, remaining, level })
}

fn probed_from_wire(probed: (String, String, bool)) -> Result<ProbeReport, DecodeError> {
    let (route, endpoint, is_good) = probed;
    let probe = Probe { route: id(route)?, endpoint: id(endpoint)? };
    let result = if is_good { ProbeResult::Good } else { ProbeResult::Bad };
    Ok(ProbeReport { probe, result })
}

fn report_to_wire(report: &HealthReport) -> WireReport {
    let entry = |entry: &ReportEntry| {
        let ReportEntry { route, endpoint, failures, successes } = entry;
        (route.to_string(), endpoint.to_string(), *failures, successes.pairs().to_vec())
    };
    (report.guard.0, report.sequence, report.entries.iter().map(entry).collect())
}

fn report_from_wire(report: WireReport) -> Result<HealthReport, DecodeError> {
    let (guard, sequence, entries) = report;
    let entry = |entry: WireReportEntry| -> Result<ReportEntry, DecodeError> {
        let (route, endpoint, failures, pairs) = entry;
        let successes = LatencyCounts::from_pairs(pairs);
        Ok(ReportEntry { route: id(route)?, endpoint: id(endpoint)?, failures, successes })
    };
    let entries = entries.into_iter().map(entry).collect::<Result<_, _>>()?;
    Ok(HealthReport { guard: Incarnation(guard), sequence, entries })
}

fn list_to_wire(list: &EjectionList) -> WireList {
    let entry = |entry: &ListEntry| {
        let ListEntry { route, endpoint, weight, remaining, held, level } = entry;
        let (route, endpoint) = (route.to_string(), endpoint.to_string());
        (route, endpoint, weight.value(), millis(*remaining), millis(*held), *level)
    };
    (list.epoch.0, list.sequence, list.entries.iter().map(entry).collect())
}

fn list_from_wire(list: WireList) -> Result<EjectionList, DecodeError> {
    let (epoch, sequence, entries) = list;
    let entry = |entry: WireListEntry| -> Result<ListEntry, DecodeError> {
        let (route, endpoint, weight, remaining, held, level) = entry;
        Ok(ListEntry {
            route: id(route)?,
            endpoint: id(endpoint)?,
            weight: Weight::new(weight),
            remaining: Duration::from_millis(remaining),
            held: Duration::from_millis(held),
            level,
        })
    };
    let entries = entries.into_iter().map(entry).collect::<Result<_, _>>()?;
    Ok(EjectionList { epoch: Epoch(epoch), sequence, entries })
}

/// Rounded down, so that an ejection never lasts longer on the wire than at its arbiter.
/// For leases that must not end early at the receiver.
pub(crate) fn millis_rounded_up(duration: Duration) -> u64 {
    millis(duration.saturating_add(Duration::from_micros(999)))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
