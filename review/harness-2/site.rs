//! A deployment of ten nodes with an endpoint each, and clients at all nodes.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{Client, Done, Plan};
use crate::endpoint::Endpoint;
use crate::fleet::{Node, wait_until, wait_until_known};
use crate::proxy::Cut;
use crate::store::Store;
use crate::{Setup, Verdict};

pub const NODES: usize = 10;

/// Bounds of the pages, in seconds.
pub const DRAIN_S: f64 = 2.0;
pub const CONTACT_S: f64 = 3.0;

const CONFIG: &str = r#"{"version":3,
  "routes":[{"name":"stock","host":"shop.example","pathPrefix":"/stock/","kind":"safe","timeoutS":1500,
             "attempts":2,"service":"orders","noAuth":true}],
  "tenants":[{"name":"big","apiKeys":["key-of-big"],"ratePerS":0}]}"#;

/// How nodes reach each other.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Peers {
    Direct,
    BehindProxies,
}

pub struct Site {
    pub store: Store,
    pub cut: Cut,
    pub nodes: Vec<Node>,
    pub endpoints: Vec<Endpoint>,
}

impl Site {
    /// Starts everything, and waits until the nodes know each other.
    pub fn start(setup: &Setup) -> Result<Site, Verdict> {
        Site::start_with(setup, CONFIG, Peers::Direct)
    }

    /// The same with another configuration, and with proxies between the nodes if they are asked for.
    pub fn start_with(setup: &Setup, config: &str, peers: Peers) -> Result<Site, Verdict> {
        let record = &setup.record;
        let store = Store::start(config, record);
        let cut = Cut::default();
        let zone = |index: usize| ["mid-a", "mid-b"][index % 2];
        let nodes: Vec<Node> = (0..NODES)
            .map(|index| {
                let name = format!("node-{index}");
                let proxies = (peers == Peers::BehindProxies).then_some(&cut);
                Node::start(&setup.dir, &name, zone(index), "orders", store.addr, proxies)
            })
            .collect();
        let endpoints: Vec<Endpoint> = (0..NODES)
            .map(|index| {
                let (name, control) = (format!("i-{index}"), nodes[index].control);
                let work = Duration::from_millis(20);
                Endpoint::start(&name, "orders", zone(index), control, work, record)
            })
            .collect();
        endpoints.iter().for_each(Endpoint::begin_beats);
        match wait_until_known(&nodes, record) {
            true => Ok(Site { store, cut, nodes, endpoints }),
            false => Err(Verdict::NotRun("the nodes don't know each other".into())),
        }
    }

    /// Starts clients, more of them at `busy`, and waits until each endpoint gets requests.
    pub fn start_clients(&self, setup: &Setup, busy: usize) -> Result<Clients, Verdict> {
        let count = |index: usize| if index == busy { 4 } else { 1 };
        let at_node = |(index, node): (usize, &Node)| {
            let start = |_| (index, Client::start(plan(node), &setup.record));
            (0..count(index)).map(start).collect::<Vec<_>>()
        };
        let clients = Clients(self.nodes.iter().enumerate().flat_map(at_node).collect());
        let all_used = || self.endpoints.iter().all(|endpoint| !endpoint.runs().is_empty());
        if !wait_until(Duration::from_secs(20), all_used) {
            return Err(Verdict::NotRun("not every endpoint is used".into()));
        }
        sleep(Duration::from_secs(3));
        Ok(clients)
    }
}

/// Clients, each with the index of its node.
pub struct Clients(Vec<(usize, Client)>);

impl Clients {
    /// Ends the clients, and returns what they have sent to which node.
    pub fn finish(self) -> Vec<(usize, Done)> {
        let finish = |(index, client): (usize, Client)| {
            client.finish().into_iter().map(move |done| (index, done))
        };
        self.0.into_iter().flat_map(finish).collect()
    }
}

fn plan(node: &Node) -> Plan {
    Plan {
        entry: node.outbound,
        host: "shop.example",
        method: "GET",
        path: "/stock/1".into(),
        headers: String::new(),
        body: String::new(),
        deadline: Duration::from_millis(1500),
        pause: Duration::from_millis(60),
    }
}
