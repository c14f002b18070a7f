//! Finds endpoints that differ from their peers on the same route.

use std::collections::{BTreeMap, BTreeSet};

use model::EndpointName;

use crate::stats::fisher_tail;
use crate::window::{Totals, Window};

/// Evidence that a finding needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evidence {
    /// Largest probability of a false alarm in one comparison.
    alpha: f64,
    /// Fewest bad calls.
    pub(crate) bad: u64,
    /// Fewest slices with a failed call, or newest slices with slow calls only.
    slices: usize,
    /// Fewest slices in which most calls were slow, if any call was not.
    slow_slices: usize,
}

/// A service of 14 endpoints with two routes makes 10^8 comparisons a week for each kind of test;
/// most have no bad call at all. An `alpha` of 1e-7 ejects healthy endpoints now and then. A pause
/// of an upstream for a few hundred milliseconds makes many calls slow in two slices, and two pauses
/// within the window do so in four.
pub(crate) const ALONE: Evidence = Evidence { alpha: 1e-8, bad: 3, slices: 3, slow_slices: 5 };

/// For an endpoint that was just found to be bad in the same way on another route. Few of the
/// endpoints get here without a fault, so a false alarm of one comparison in a thousand is rare.
pub(crate) const SUPPORTED: Evidence = Evidence { alpha: 1e-3, bad: 2, slices: 2, slow_slices: 2 };

/// Fewest calls of the peers that give a reference.
const MIN_PEER_CALLS: u64 = 10;

/// Least difference between the shares of failed calls.
const MIN_FAILURE_EXCESS: f64 = 0.10;

/// Least difference between the shares of slow calls.
const MIN_SLOW_EXCESS: f64 = 0.30;

/// A call is slow from this many buckets above the median of the peers; 4 buckets are a factor
/// of 4.
pub(crate) const SLOW_BUCKETS: usize = 4;

/// A finding against an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Finding {
    pub(crate) kind: FindingKind,
    pub(crate) severity: u16,
    pub(crate) reason: Box<str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FindingKind {
    Failures,
    Latency,
}

/// Endpoints that were just found to be bad on some route.
pub(crate) type Support = BTreeSet<(EndpointName, FindingKind)>;

pub(crate) struct Member<'a> {
    pub(crate) name: &'a EndpointName,
    pub(crate) window: &'a Window,
    pub(crate) totals: Totals,
    pub(crate) median: usize,
    pub(crate) warm: bool,
}

/// Compares each endpoint with the others.
pub(crate) fn add_outliers(
    group: &[Member<'_>],
    support: &Support,
    findings: &mut BTreeMap<EndpointName, Finding>,
) {
    let evidence = |name: &EndpointName, kind| {
        let supported = !support.is_empty() && support.contains(&(name.clone(), kind));
        if supported { SUPPORTED } else { ALONE }
    };
    for at in 0..group.len() {
        let name = group[at].name;
        if findings.contains_key(name) {
            continue;
        }
        let finding = failure_finding(group, at, evidence(name, FindingKind::Failures))
            .or_else(|| latency_finding(group, at, evidence(name, FindingKind::Latency)));
        findings.extend(finding.map(|finding| (name.clone(), finding)));
    }
}

/// Tells whether any endpoint has enough bad calls in the whole window to be compared at all.
/// Most ticks end here. The lowest median is at most the reference of any endpoint.
pub(crate) fn has_suspects(group: &[Member<'_>], least: u64) -> bool {
    let with_calls = group.iter().filter(|member| member.totals.successes > 0);
    let lowest = with_calls.map(|member| member.median).min().unwrap_or(0);
    let slow_from = lowest + SLOW_BUCKETS;
    group
        .iter()
        .any(|member| member.totals.failures >= least || member.totals.at_least(slow_from) >= least)
}

/// Compares the failures of an endpoint with its peers but for the worst third, so that a few sick
/// peers do not hide it. A smaller reference could not tell a rate of one in three on a route with
/// few calls.
fn failure_finding(group: &[Member<'_>], at: usize, needed: Evidence) -> Option<Finding> {
    let own = &group[at].totals;
    if own.failures < needed.bad {
        return None;
    }
    let slices = group[at].window.slices_with_failures();
    let all_failed = own.successes == 0 && slices >= 2;
    if slices < needed.slices && !all_failed {
        return None;
    }
    let mut peers: Vec<&Totals> = others(group, at).map(|m| &m.totals).collect();
    peers.retain(|totals| totals.calls() > 0);
    peers.sort_by(|a, b| a.failure_share().total_cmp(&b.failure_share()));
    peers.truncate(peers.len() - peers.len() / 3);
    let peer_calls: u64 = peers.iter().map(|totals| totals.calls()).sum();
    let peer_failures: u64 = peers.iter().map(|totals| totals.failures).sum();
    if peer_calls < MIN_PEER_CALLS {
        return None;
    }
    let share = own.failure_share();
    let peer_share = peer_failures as f64 / peer_calls as f64;
    if share - peer_share < MIN_FAILURE_EXCESS
        || fisher_tail(own.failures, own.calls(), peer_failures, peer_calls) > needed.alpha
    {
        return None;
    }
    let reason = format!(
        "{} of {} calls failed; {:.1}% of its peers' calls do",
        own.failures,
        own.calls(),
        100.0 * peer_share
    );
    let kind = FindingKind::Failures;
    Some(Finding { kind, severity: thousandths(share), reason: reason.into() })
}

/// Compares the share of slow calls of an endpoint with its peers. A call is slow by the median
/// of the medians of the peers, so a slowdown of all endpoints moves the reference along.
fn latency_finding(group: &[Member<'_>], at: usize, needed: Evidence) -> Option<Finding> {
    let member = &group[at];
    if !member.warm || member.totals.successes < needed.bad {
        return None;
    }
    let mut medians: Vec<usize> = Vec::with_capacity(group.len());
    medians.extend(others(group, at).filter(|m| m.totals.successes > 0).map(|m| m.median));
    if medians.is_empty() {
        return None;
    }
    let middle = medians.len() / 2;
    let reference = *medians.select_nth_unstable(middle).1;
    let slow_from = reference + SLOW_BUCKETS;
    let slow = member.totals.at_least(slow_from);
    if slow < needed.bad {
        return None;
    }
    let slices = member.window.slow_slices(slow_from);
    if slices.most < needed.slow_slices && slices.newest_all < needed.slices {
        return None;
    }
    let peer_calls: u64 = others(group, at).map(|m| m.totals.successes).sum();
    let peer_slow: u64 = others(group, at).map(|m| m.totals.at_least(slow_from)).sum();
    if peer_calls < MIN_PEER_CALLS {
        return None;
    }
    let share = slow as f64 / member.totals.successes as f64;
    let peer_share = peer_slow as f64 / peer_calls as f64;
    if share - peer_share < MIN_SLOW_EXCESS
        || fisher_tail(slow, member.totals.successes, peer_slow, peer_calls) > needed.alpha
    {
        return None;
    }
    let reason = format!(
        "{slow} of {} calls took at least 4 times the median of its peers; {:.1}% of their calls do",
        member.totals.successes,
        100.0 * peer_share
    );
    let kind = FindingKind::Latency;
    Some(Finding { kind, severity: thousandths(share), reason: reason.into() })
}

fn others<'g, 'a>(
    group: &'g [Member<'a>],
    at: usize,
) -> impl Iterator<Item = &'g Member<'a>> + use<'g, 'a> {
    group.iter().enumerate().filter(move |(other, _)| *other != at).map(|(_, member)| member)
}

pub(crate) fn thousandths(share: f64) -> u16 {
    (share * 1000.0).round() as u16
}
