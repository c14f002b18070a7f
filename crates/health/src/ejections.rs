//! Ejections that an entry holds.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{EndpointName, Epoch, RouteName, Time};

use crate::arbiter::{EJECTION_LEASE, HeldEjection};
use crate::list::{EjectionList, Weight};
use crate::view::RouteView;

/// What became of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The list replaces the one before; call [`Ejections::review`] for the routes.
    Applied,
    /// The list is older than the one held, or the same, and is ignored.
    Older,
}

#[derive(Debug, Clone)]
struct Held {
    weight: Weight,
    /// The weight applies until then.
    expires: Time,
    /// Another entry may hold an ejection until then.
    covered: Time,
    level: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The route has not been reviewed since the list was applied, or the floor forbids the
    /// ejections: ejected endpoints keep the lowest weight.
    Suspended,
    InForce,
}

#[derive(Debug, Clone)]
struct Route {
    standing: Standing,
    endpoints: BTreeMap<EndpointName, Held>,
}

/// Ejections that an entry holds for one service.
///
/// The entry counts a lease from the time at which it sent the request or heartbeat that the list
/// answers, and shortens it by a tenth for clocks that run at different speeds. The arbiter wrote
/// the list after that, so the entry's lease always ends before the arbiter stops counting it. A
/// list that answers nothing may have been under way for any time. Counting from its receipt
/// could keep an ejection alive after the arbiter has given its capacity to another one, so the
/// ejections of such a list get the lowest weight instead.
#[derive(Debug, Clone, Default)]
pub struct Ejections {
    latest: Option<(Epoch, u64)>,
    routes: BTreeMap<RouteName, Route>,
}

impl Ejections {
    /// Makes an empty set.
    pub fn new() -> Ejections {
        Ejections::default()
    }

    /// Applies a list that was received at `now`. `request_sent` is the time at which this entry
    /// sent the request or heartbeat that the list answers, if it answers one.
    pub fn apply(&mut self, list: &EjectionList, request_sent: Option<Time>, now: Time) -> Applied {
        if self.latest.is_some_and(|latest| (list.epoch, list.sequence) <= latest) {
            return Applied::Older;
        }
        self.latest = Some((list.epoch, list.sequence));
        self.routes.clear();
        for entry in &list.entries {
            let remaining = entry.remaining.min(EJECTION_LEASE);
            let (weight, expires) = match request_sent {
                Some(sent) => (entry.weight, sent.min(now) + shortened(remaining)),
                None => (entry.weight.max(Weight::LOWEST), now + remaining),
            };
            let covered = now + lengthened(entry.held.min(EJECTION_LEASE));
            let route = self.routes.entry(entry.route.clone()).or_insert_with(|| Route {
                standing: Standing::Suspended,
                endpoints: BTreeMap::new(),
            });
            let held = Held { weight, expires, covered, level: entry.level };
            route.endpoints.insert(entry.endpoint.clone(), held);
        }
        Applied::Applied
    }

    /// Checks the floor of a route against this entry's own view of it. Ejections on the route
    /// are suspended while the slots left by all ejections that any entry may hold are below the
    /// floor. To be called after each applied list and after each change of the view; an ejection
    /// takes effect only after a review.
    pub fn review(&mut self, view: &RouteView, now: Time) {
        let Some(route) = self.routes.get_mut(&view.route) else { return };
        let counted = |held: &Held| held.covered > now;
        let left = view.available_slots(|name| !route.endpoints.get(name).is_some_and(counted));
        let enough = left >= u64::from(view.floor_slots().0);
        route.standing = if enough { Standing::InForce } else { Standing::Suspended };
    }

    /// The weight of an endpoint on a route.
    pub fn weight(&self, route: &RouteName, endpoint: &EndpointName, now: Time) -> Weight {
        let Some(route) = self.routes.get(route) else { return Weight::FULL };
        let Some(held) = route.endpoints.get(endpoint) else { return Weight::FULL };
        if held.expires <= now {
            return Weight::FULL;
        }
        match route.standing {
            Standing::InForce => held.weight,
            Standing::Suspended => held.weight.max(Weight::LOWEST),
        }
    }

    /// Epoch of the newest list. Only an arbiter with a higher epoch needs [`Ejections::held`].
    pub fn epoch(&self) -> Option<Epoch> {
        self.latest.map(|(epoch, _)| epoch)
    }

    /// Ejections that have not expired, for a new arbiter. Suspended ones are included, because
    /// a change of the view can put them in force again.
    pub fn held(&self, now: Time) -> Vec<HeldEjection> {
        let mut held = Vec::new();
        for (name, route) in &self.routes {
            let live = |held: &Held| held.weight == Weight::EJECTED && held.expires > now;
            let live = route.endpoints.iter().filter(|(_, held)| live(held));
            held.extend(live.map(|(endpoint, held)| HeldEjection {
                route: name.clone(),
                endpoint: endpoint.clone(),
                remaining: held.expires.since(now),
                level: held.level,
            }));
        }
        held
    }
}

fn shortened(duration: Duration) -> Duration {
    duration * 9 / 10
}

fn lengthened(duration: Duration) -> Duration {
    duration * 11 / 10
}
