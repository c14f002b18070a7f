//! Table of the endpoints that upstreams announce to this node.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use model::{
    Announcement, DepartedEndpoint, Endpoint, EndpointName, EndpointState, Origin, Report,
    ServiceName, Time,
};

/// Maximum number of ended endpoints to remember, and of notices of leaving ones. They identify messages
/// that arrive after the endpoint has ended or left the table. An address rarely has more than one endpoint replaced per minute, so
/// 64 entries cover about an hour for one address.
const MAX_ENDED_ENDPOINTS: usize = 64;

/// Maximum number of ended endpoints in the record of the node, and of leaving ones. Late messages
/// arrive within seconds, in which an instance has one or two endpoints.
const MAX_RECORDED_ENDED: usize = 4;

/// The effect of an announcement on the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The endpoint is new, was restarted, or differs from its previous announcement in more than
    /// its load, so the table has to be sent to the peers again.
    Changed {
        /// Endpoints that were removed because this one has taken over their address.
        replaced: Vec<EndpointName>,
    },
    /// The endpoint is shutting down and was removed from the table.
    ShutDown(EndpointName),
    /// At most the load changed. It changes with almost every announcement and does not justify a
    /// new version of the table.
    Unchanged,
    /// The message is older than the current state or comes from an upstream process that has ended
    /// (identified by its start time).
    Stale,
}

#[derive(Debug)]
struct Registration {
    endpoint: Endpoint,
    /// Origin of the latest message.
    origin: Origin,
    expires: Time,
}

/// The endpoints of this instance, as announced by their upstreams.
///
/// ```
/// use membership::{AnnounceOutcome, Announcements};
/// use model::{Announcement, Endpoint, EndpointState, Labels, Origin, Report, Slots, Time};
/// use std::time::Duration;
///
/// let mut announcements = Announcements::new(Duration::from_secs(3));
/// let endpoint = Endpoint {
///     name: "orders-1".parse().unwrap(),
///     service: "orders".parse().unwrap(),
///     labels: Labels::new(),
///     addr: "127.0.0.1:9000".parse().unwrap(),
///     slots: Slots(3),
///     state: EndpointState::Ready,
///     load: 10,
/// };
/// let message = Announcement { origin: Origin::default(), report: Report::State(endpoint), cold_left: None };
/// let changed = AnnounceOutcome::Changed { replaced: Vec::new() };
/// assert_eq!(announcements.apply(message.clone(), Time::ZERO), changed);
/// assert_eq!(announcements.apply(message, Time::ZERO), AnnounceOutcome::Unchanged);
/// assert_eq!(announcements.expire(Time::ZERO + Duration::from_secs(3)).len(), 1);
/// ```
#[derive(Debug)]
pub struct Announcements {
    /// Time after its latest announcement at which an endpoint expires.
    ttl: Duration,
    version: u64,
    stopping: bool,
    endpoints: BTreeMap<EndpointName, Registration>,
    /// Latest start time seen at each address, in Unix milliseconds.
    latest_starts: HashMap<SocketAddr, u64>,
    /// Endpoints that have shut down or were replaced at their address, each with the latest
    /// start time of its ended upstream processes, oldest entry first.
    ended: Vec<(EndpointName, Option<u64>)>,
    /// Notices of leaving endpoints that are not in the table, from this process or an earlier one of
    /// this node, oldest entry first.
    notices: Vec<(EndpointName, Origin)>,
}

impl Announcements {
    /// Creates an empty table at version 0, in which an endpoint expires `ttl` after its latest
    /// announcement.
    pub fn new(ttl: Duration) -> Announcements {
        Announcements {
            ttl,
            version: 0,
            stopping: false,
            endpoints: BTreeMap::new(),
            latest_starts: HashMap::new(),
            ended: Vec::new(),
            notices: Vec::new(),
        }
    }

    /// Applies an announcement. A shutdown notice means that an upstream process has ended: the one
    /// with the start time in the notice, or the current one if the notice has no start time. Later
    /// messages from that process or an earlier one of the endpoint are stale.
    pub fn apply(&mut self, announcement: Announcement, now: Time) -> AnnounceOutcome {
        let Announcement { origin, report, .. } = announcement;
        match report {
            Report::State(endpoint) => self.apply_state(endpoint, origin, now),
            Report::Gone(name) => self.apply_shutdown(name, origin),
        }
    }

    fn apply_state(&mut self, endpoint: Endpoint, origin: Origin, now: Time) -> AnnounceOutcome {
        if self.is_stale(&endpoint, origin) {
            return AnnounceOutcome::Stale;
        }
        if let Some(started) = origin.started_ms {
            self.latest_starts.insert(endpoint.addr, started);
        }
        let expires = now + self.ttl;
        if let Some(known) = self.endpoints.get_mut(&endpoint.name) {
            let is_same_start = known.origin.started_ms == origin.started_ms;
            known.expires = expires;
            known.origin = origin;
            known.endpoint.load = endpoint.load;
            if known.endpoint == endpoint && is_same_start {
                return AnnounceOutcome::Unchanged;
            }
        }
        // Only one endpoint can listen on an address, so the previous one there has ended.
        let replaced: Vec<EndpointName> = self
            .endpoints
            .values()
            .filter(|known| known.endpoint.addr == endpoint.addr)
            .filter(|known| known.endpoint.name != endpoint.name && origin.started_ms.is_some())
            .map(|known| known.endpoint.name.clone())
            .collect();
        for name in &replaced {
            let removed = self.endpoints.remove(name);
            self.record_ended(name, removed.and_then(|known| known.origin.started_ms));
        }
        self.version += 1;
        self.endpoints.insert(endpoint.name.clone(), Registration { endpoint, origin, expires });
        AnnounceOutcome::Changed { replaced }
    }

    fn is_stale(&self, endpoint: &Endpoint, origin: Origin) -> bool {
        let has_ended = |(name, started): &(EndpointName, Option<u64>)| {
            *name == endpoint.name && origin.started_ms <= *started
        };
        if origin.started_ms.is_some() && self.ended.iter().any(has_ended) {
            return true;
        }
        let latest = self.latest_starts.get(&endpoint.addr).copied();
        if origin.started_ms.is_some_and(|started| latest.is_some_and(|latest| started < latest)) {
            return true;
        }
        let known = self.endpoints.get(&endpoint.name).map(|known| known.origin);
        let known = known.or_else(|| self.notice(&endpoint.name));
        known.is_some_and(|known| is_before(origin, known))
    }

    /// Returns the endpoints that have left or are leaving, for the record of this node. Only notices
    /// of endpoints that tell when they started can be recognized later.
    pub fn departed(&self) -> Vec<DepartedEndpoint> {
        let is_leaving = |known: &&Registration| known.endpoint.state == EndpointState::Leaving;
        let leaving = self.endpoints.values().filter(is_leaving);
        let leaving = leaving.map(|known| (&known.endpoint.name, known.origin));
        let notices = self.notices.iter().rev();
        let notices = notices.filter(|(name, _)| !self.endpoints.contains_key(name));
        let leaving = leaving.chain(notices.map(|(name, origin)| (name, *origin)));
        let leaving = leaving.filter_map(|(name, origin)| {
            let (started_ms, sequence) = (origin.started_ms?, Some(origin.sequence?));
            Some(DepartedEndpoint { name: name.clone(), started_ms, sequence })
        });
        let gone =
            self.ended.iter().rev().take(MAX_RECORDED_ENDED).filter_map(|(name, started)| {
                Some(DepartedEndpoint {
                    name: name.clone(),
                    started_ms: (*started)?,
                    sequence: None,
                })
            });
        leaving.take(MAX_RECORDED_ENDED).chain(gone).collect()
    }

    /// Returns the latest departure of an endpoint in [`Announcements::departed`].
    pub fn departure(&self, name: &EndpointName) -> Option<DepartedEndpoint> {
        let departed = self.departed().into_iter().filter(|departed| departed.name == *name);
        departed.max_by_key(|departed| (departed.started_ms, departed.sequence.is_none()))
    }

    /// Restores the departures that an earlier process of this node has recorded. Removes and returns
    /// the endpoints that were added by a late message meanwhile.
    pub fn restore_departed(&mut self, departed: &[DepartedEndpoint]) -> Vec<EndpointName> {
        let mut late = Vec::new();
        for DepartedEndpoint { name, started_ms, sequence } in departed {
            let notice = Origin { started_ms: Some(*started_ms), sequence: *sequence };
            let known = self.endpoints.get(name).map(|known| known.origin);
            let is_late = known.is_some_and(|known| match sequence {
                None => known.started_ms <= Some(*started_ms),
                Some(_) => is_before(known, notice),
            });
            match sequence {
                None => self.record_ended(name, Some(*started_ms)),
                Some(_) => self.record_notice(name, notice),
            }
            if is_late && self.remove(name) {
                late.push(name.clone());
            }
        }
        late
    }

    fn apply_shutdown(&mut self, name: EndpointName, origin: Origin) -> AnnounceOutcome {
        if !self.endpoints.contains_key(&name) && !self.ends_newer_start(&name, origin) {
            return AnnounceOutcome::Stale;
        }
        let current = self.endpoints.get(&name).and_then(|known| known.origin.started_ms);
        // Unknown endpoints are recorded too: this process may have started after the endpoint's
        // last message, and a message sent before the notice may still arrive.
        self.record_ended(&name, origin.started_ms.or(current));
        let is_earlier_start = origin
            .started_ms
            .is_some_and(|started| current.is_some_and(|current| started < current));
        if is_earlier_start {
            return AnnounceOutcome::Stale;
        }
        self.endpoints.remove(&name);
        self.version += 1;
        AnnounceOutcome::ShutDown(name)
    }

    /// Records that the upstream process with the start time `started` and all earlier ones of the
    /// endpoint have ended.
    fn record_ended(&mut self, name: &EndpointName, started: Option<u64>) {
        let index = self.ended.iter().position(|(ended, _)| ended == name);
        let previous = index.and_then(|index| self.ended.remove(index).1);
        if self.ended.len() == MAX_ENDED_ENDPOINTS {
            self.ended.remove(0);
        }
        self.ended.push((name.clone(), started.max(previous)));
    }

    /// Records the latest message of a leaving endpoint that is not in the table any more.
    fn record_notice(&mut self, name: &EndpointName, notice: Origin) {
        self.notices.retain(|(known, _)| known != name);
        if self.notices.len() == MAX_ENDED_ENDPOINTS {
            self.notices.remove(0);
        }
        self.notices.push((name.clone(), notice));
    }

    fn notice(&self, name: &EndpointName) -> Option<Origin> {
        self.notices.iter().find(|(known, _)| known == name).map(|(_, notice)| *notice)
    }

    /// Removes an endpoint from the table and keeps its notice if it is leaving. Returns whether it was
    /// in the table.
    fn remove_registration(&mut self, name: &EndpointName) -> bool {
        let Some(known) = self.endpoints.remove(name) else { return false };
        if known.endpoint.state == EndpointState::Leaving {
            self.record_notice(name, known.origin);
        }
        true
    }

    /// Returns whether a shutdown notice for an unknown endpoint names a later start than any that
    /// is recorded as ended.
    fn ends_newer_start(&self, name: &EndpointName, origin: Origin) -> bool {
        let ended = self.ended.iter().find(|(ended, _)| ended == name);
        origin.started_ms.is_some() && ended.is_none_or(|(_, last)| *last < origin.started_ms)
    }

    /// Removes and returns the endpoints that have expired. Increments the version if there are
    /// any.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointName> {
        let is_expired = |(_, known): &(&EndpointName, &Registration)| known.expires <= now;
        let expired: Vec<_> =
            self.endpoints.iter().filter(is_expired).map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.remove_registration(name);
        }
        self.version += u64::from(!expired.is_empty());
        expired
    }

    /// Removes an endpoint that is known to be gone before it expires. Returns whether it was in
    /// the table. Its next announcement adds it again, unless it was sent before a notice that the
    /// endpoint leaves.
    pub fn remove(&mut self, name: &EndpointName) -> bool {
        let removed = self.remove_registration(name);
        self.version += u64::from(removed);
        removed
    }

    /// Marks the node as stopping: the table shows all present and future endpoints as
    /// [`EndpointState::Leaving`]. They have not departed unless they say so themselves.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.version += 1;
    }

    /// The version of the table. It starts again from 0 in each process.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the endpoint with the given name, as it was announced.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name).map(|known| &known.endpoint)
    }

    /// Returns the service of each endpoint.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.endpoints.values().map(|known| &known.endpoint.service)
    }

    /// Returns the number of endpoints of a service.
    pub fn endpoints_of(&self, service: &ServiceName) -> usize {
        self.services().filter(|known| *known == service).count()
    }

    /// Returns the names of the endpoints whose upstream has announced this state, whether or not this node
    /// is stopping.
    pub fn endpoints_in(&self, state: EndpointState) -> impl Iterator<Item = &EndpointName> {
        let endpoints = self.endpoints.values().map(|known| &known.endpoint);
        endpoints.filter(move |endpoint| endpoint.state == state).map(|endpoint| &endpoint.name)
    }

    /// Returns the endpoints to send to the peers, ordered by name.
    pub fn table(&self) -> Vec<Endpoint> {
        let mut table: Vec<Endpoint> =
            self.endpoints.values().map(|known| known.endpoint.clone()).collect();
        if self.stopping {
            table.iter_mut().for_each(|endpoint| endpoint.state = EndpointState::Leaving);
        }
        table
    }
}

/// Returns whether a message was sent before another one of the same endpoint. Messages that can't
/// be ordered are not considered earlier.
fn is_before(origin: Origin, known: Origin) -> bool {
    if origin.started_ms != known.started_ms {
        return matches!((origin.started_ms, known.started_ms), (Some(a), Some(b)) if a < b);
    }
    matches!((origin.sequence, known.sequence), (Some(a), Some(b)) if a < b)
}
