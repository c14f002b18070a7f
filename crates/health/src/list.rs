//! The list of ejections that an arbiter sends to the entries.

use std::fmt;
use std::time::Duration;

use model::{EndpointName, Epoch, RouteName};

/// Share of the usual load that an endpoint gets, from 0 (ejected) to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weight(u8);

impl Weight {
    /// No calls at all.
    pub const EJECTED: Weight = Weight(0);
    /// The least weight with which an endpoint stays in use.
    pub const LOWEST: Weight = Weight(1);
    /// The usual load.
    pub const FULL: Weight = Weight(100);

    /// Makes a weight; values above 100 count as 100.
    pub const fn new(weight: u8) -> Weight {
        if weight > 100 { Weight::FULL } else { Weight(weight) }
    }

    /// The weight as a number from 0 to 100.
    pub const fn value(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// Weight of an endpoint on a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListEntry {
    /// The route.
    pub route: RouteName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its weight.
    pub weight: Weight,
    /// How long the weight applies, from the time at which the list was written.
    pub remaining: Duration,
    /// How long any entry may hold an ejection of the endpoint, from the same time.
    pub held: Duration,
    /// Earlier ejections that lengthen the backoff.
    pub level: u8,
}

/// The complete list of the endpoints of a service that do not have full weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EjectionList {
    /// Epoch of the partition that the arbiter owns.
    pub epoch: Epoch,
    /// Grows with each list of the arbiter.
    pub sequence: u64,
    /// The endpoints with less than full weight, and those with an unexpired ejection.
    pub entries: Vec<ListEntry>,
}
