//! Endpoints that upstreams have announced to this node.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Endpoint, EndpointName, EndpointState, Time};

/// An endpoint whose announcement is this old is gone.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
    /// The table has a new version, which the peers need.
    Changed,
    /// At most the load changed. It changes with almost every announcement and is not worth a new
    /// version of the table.
    Unchanged,
}

/// The endpoints of the own instance.
///
/// ```
/// use membership::{Announced, Announcements};
/// use model::{Endpoint, EndpointState, Labels, Slots, Time};
/// use std::time::Duration;
///
/// let mut own = Announcements::new();
/// let endpoint = Endpoint {
///     name: "orders-1".parse().unwrap(),
///     service: "orders".parse().unwrap(),
///     labels: Labels::new(),
///     addr: "127.0.0.1:9000".parse().unwrap(),
///     slots: Slots(3),
///     state: EndpointState::Ready,
///     load: 10,
/// };
/// assert_eq!(own.announce(endpoint.clone(), Time::ZERO), Announced::Changed);
/// assert_eq!(own.announce(endpoint, Time::ZERO), Announced::Unchanged);
/// assert_eq!(own.expire(Time::ZERO + Duration::from_secs(3)).len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct Announcements {
    version: u64,
    stopping: bool,
    endpoints: BTreeMap<EndpointName, (Endpoint, Time)>,
}

impl Announcements {
    /// No endpoints, at version 0.
    pub fn new() -> Announcements {
        Announcements::default()
    }

    /// Takes an announcement.
    pub fn announce(&mut self, mut endpoint: Endpoint, now: Time) -> Announced {
        if self.stopping {
            endpoint.state = EndpointState::Leaving;
        }
        let expires = now + ANNOUNCEMENT_TTL;
        if let Some((known, known_expires)) = self.endpoints.get_mut(&endpoint.name) {
            *known_expires = expires;
            known.load = endpoint.load;
            if *known == endpoint {
                return Announced::Unchanged;
            }
        }
        self.version += 1;
        self.endpoints.insert(endpoint.name.clone(), (endpoint, expires));
        Announced::Changed
    }

    /// Removes the endpoints whose announcements are missing, and names them. The version changes
    /// if there are any.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointName> {
        let is_gone = |(_, (_, expires)): &(&EndpointName, &(Endpoint, Time))| *expires <= now;
        let gone: Vec<_> =
            self.endpoints.iter().filter(is_gone).map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.endpoints.remove(name);
        }
        self.version += u64::from(!gone.is_empty());
        gone
    }

    /// Removes an endpoint that is known to be gone before its announcement is missing. The next
    /// announcement brings it back.
    pub fn withdraw(&mut self, name: &EndpointName) -> Announced {
        if self.endpoints.remove(name).is_none() {
            return Announced::Unchanged;
        }
        self.version += 1;
        Announced::Changed
    }

    /// When [`Announcements::expire`] has something to do, if nothing is announced before.
    pub fn next_expiry(&self) -> Option<Time> {
        self.endpoints.values().map(|(_, expires)| *expires).min()
    }

    /// The node stops: from now on every endpoint is leaving.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.version += 1;
        for (endpoint, _) in self.endpoints.values_mut() {
            endpoint.state = EndpointState::Leaving;
        }
    }

    /// Version of the table within this process.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The endpoint with a name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name).map(|(endpoint, _)| endpoint)
    }

    /// The table for the peers, by name.
    pub fn table(&self) -> Vec<Endpoint> {
        self.endpoints.values().map(|(endpoint, _)| endpoint.clone()).collect()
    }
}
