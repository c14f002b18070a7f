//! Names and views that the tests share.

use health::{Availability, RouteEndpoint, RouteView};
use model::{EndpointName, Percent, RouteName, Slots};

pub fn endpoint(i: usize) -> EndpointName {
    format!("e{i}").parse().unwrap()
}

pub fn route(i: usize) -> RouteName {
    format!("r{i}").parse().unwrap()
}

pub fn view(r: usize, floor: u8, states: &[Availability]) -> RouteView {
    let endpoints = states.iter().enumerate().map(|(i, &availability)| RouteEndpoint {
        name: endpoint(i),
        slots: Slots(3),
        availability,
    });
    RouteView {
        route: route(r),
        floor: Percent::new(floor).unwrap(),
        endpoints: endpoints.collect(),
    }
}
