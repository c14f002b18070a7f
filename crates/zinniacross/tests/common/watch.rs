//! What the nodes of a fleet show of ejections: the state at their operator ports and the decision
//! log.

use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};

use model::EndpointState;
use operator::FleetState;
use standins::process::CREDENTIAL;

use super::{Caller, Fleet};

/// Names of endpoints.
pub type Names = BTreeSet<String>;

/// What the operator ports of all nodes show at one time.
pub struct Look {
    pub at: f64,
    /// Endpoints that each node holds as ejected.
    pub ejected: Vec<Names>,
    /// Endpoints that are drained, cold, or behind a node that has ended.
    pub unavailable: Names,
}

impl Look {
    pub fn take(ports: &mut [Caller]) -> Look {
        let mut look = Look { at: unix_time(), ejected: Vec::new(), unavailable: Names::new() };
        let credential = format!("authorization: Bearer {CREDENTIAL}\r\n");
        let states: Vec<Option<FleetState>> = ports
            .iter_mut()
            .map(|port| {
                let answer = port.send("GET", "/state", &credential, b"").ok()?;
                Some(serde_json::from_slice(&answer.body).expect("the state is JSON"))
            })
            .collect();
        let has_ended = |node: &str| {
            (0..states.len()).any(|n| states[n].is_none() && node == format!("node-{n}"))
        };
        for state in &states {
            let mut ejected = Names::new();
            for endpoint in state.iter().flat_map(|state| &state.endpoints) {
                let is_in_service = endpoint.state == EndpointState::Ready && !endpoint.drained;
                if !is_in_service || has_ended(endpoint.node.as_str()) {
                    look.unavailable.insert(endpoint.name.to_string());
                }
                if endpoint.weights.iter().any(|weight| weight.ejected) {
                    ejected.insert(endpoint.name.to_string());
                }
            }
            look.ejected.push(ejected);
        }
        look
    }

    pub fn ejected_anywhere(&self) -> Names {
        self.ejected.iter().flatten().cloned().collect()
    }
}

/// A line of the decision log about an endpoint.
#[derive(Debug)]
pub struct Decided {
    pub at: f64,
    pub node: usize,
    pub endpoint: String,
    pub action: String,
    pub reason: String,
}

impl Decided {
    pub fn is_ejection(&self) -> bool {
        self.action.starts_with("Eject")
    }

    /// Refused because of the floor, not because the arbiter may not eject yet.
    pub fn is_refused_by_floor(&self) -> bool {
        self.action == "KeepBecauseOfFloor" && self.reason.contains("would leave fewer than")
    }

    pub fn ends_ejection(&self) -> bool {
        self.action == "Return" || self.action.starts_with("Probation")
    }
}

/// The decisions about health of all nodes, in the order of time.
pub fn decisions(fleet: &Fleet) -> Vec<Decided> {
    let mut decisions = Vec::new();
    for node in 0..fleet.nodes.len() {
        for line in fleet.log(node).lines().filter(|line| line.contains(r#""health""#)) {
            let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else { continue };
            let event = &line["event"];
            if event["decision"] != "health" {
                continue;
            }
            let text = |field: &str| event[field].as_str().unwrap().to_owned();
            decisions.push(Decided {
                at: line["time"].as_f64().unwrap(),
                node,
                endpoint: text("endpoint"),
                action: text("action"),
                reason: text("reason"),
            });
        }
    }
    decisions.sort_by(|a, b| a.at.total_cmp(&b.at));
    decisions
}

pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}
