//! The endpoints of a route as a node sees them.

use model::{EndpointName, EndpointState, Percent, RouteName, Slots};

/// Whether an endpoint can take calls, apart from ejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Availability {
    /// Ready, in use and reachable.
    Available,
    /// The upstream is not warm yet.
    Starting,
    /// The upstream is leaving.
    Leaving,
    /// An operator drained the endpoint.
    Drained,
    /// There is no working link to the node of the endpoint, or its announcements are missing.
    Unreachable,
}

impl From<EndpointState> for Availability {
    fn from(state: EndpointState) -> Availability {
        match state {
            EndpointState::Starting => Availability::Starting,
            EndpointState::Ready => Availability::Available,
            EndpointState::Leaving => Availability::Leaving,
        }
    }
}

/// An endpoint of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEndpoint {
    /// The endpoint.
    pub name: EndpointName,
    /// Calls that it runs at the same time.
    pub slots: Slots,
    /// Whether it can take calls.
    pub availability: Availability,
}

/// A route with its floor and all of its endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteView {
    /// The route.
    pub route: RouteName,
    /// Share of the slots that ejections must leave in use.
    pub floor: Percent,
    /// All endpoints that the selector of the route picks, including those that take no calls.
    pub endpoints: Vec<RouteEndpoint>,
}

impl RouteView {
    /// Slots that ejections must leave in use.
    ///
    /// ```
    /// use health::{Availability, RouteEndpoint, RouteView};
    /// use model::{Percent, Slots};
    ///
    /// let endpoint = |name: &str, availability| RouteEndpoint {
    ///     name: name.parse().unwrap(),
    ///     slots: Slots(3),
    ///     availability,
    /// };
    /// let view = RouteView {
    ///     route: "orders".parse().unwrap(),
    ///     floor: Percent::new(60).unwrap(),
    ///     endpoints: vec![
    ///         endpoint("a", Availability::Available),
    ///         endpoint("b", Availability::Leaving),
    ///     ],
    /// };
    /// assert_eq!(view.floor_slots(), Slots(4));
    /// assert_eq!(view.available_slots(|_| true), 3);
    /// ```
    pub fn floor_slots(&self) -> Slots {
        let total: u64 = self.endpoints.iter().map(|e| u64::from(e.slots.0)).sum();
        self.floor.of_slots(Slots(total.min(u64::from(u32::MAX)) as u32))
    }

    /// Slots of the available endpoints that `keep` accepts.
    pub fn available_slots(&self, keep: impl Fn(&EndpointName) -> bool) -> u64 {
        let available = |e: &&RouteEndpoint| e.availability == Availability::Available;
        let kept = self.endpoints.iter().filter(available).filter(|e| keep(&e.name));
        kept.map(|e| u64::from(e.slots.0)).sum()
    }
}
