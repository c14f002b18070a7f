//! Three of ten machines are cut off from the others, and a tenant sends many times its usual at all of
//! them.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{Client, Done, Plan};
use crate::site::{Peers, Site};
use crate::{Setup, Verdict};

/// Limit of the tenant.
const RATE_PER_S: f64 = 100.0;
const BURST: f64 = 100.0;

/// Bounds of the pages.
const WINDOW_S: f64 = 5.0;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Machines that are cut off: a share of 0.3.
const CUT_OFF: [&str; 3] = ["node-1", "node-3", "node-8"];

/// Time for which they are.
const CUT_TIME: Duration = Duration::from_secs(12);

/// Clients of the tenant at each node, and the pause between two requests of a client.
const CLIENTS: usize = 5;
const PAUSE: Duration = Duration::from_millis(110);

const CONFIG: &str = r#"{"version":3,
  "routes":[{"name":"stock","host":"shop.example","pathPrefix":"/stock/","kind":"safe","timeoutS":1500,
             "attempts":2,"service":"orders"}],
  "tenants":[{"name":"harbor","apiKeys":["key-of-harbor"],"ratePerS":100,"burst":100}]}"#;

pub fn play(setup: &Setup) -> Verdict {
    try_play(setup).unwrap_or_else(|verdict| verdict)
}

fn try_play(setup: &Setup) -> Result<Verdict, Verdict> {
    let record = &setup.record;
    let site = Site::start_with(setup, CONFIG, Peers::BehindProxies)?;
    sleep(Duration::from_secs(4));
    if setup.trouble {
        site.cut.set(&CUT_OFF);
        record.line(format!("{CUT_OFF:?} are cut off from the other machines"));
    }
    sleep(Duration::from_secs(4));
    record.line("the tenant begins to send many times its usual");
    let start = |node: &crate::fleet::Node| {
        (0..CLIENTS).map(|_| Client::start(plan(node.outbound), record)).collect::<Vec<_>>()
    };
    let clients: Vec<Client> = site.nodes.iter().flat_map(start).collect();
    sleep(CUT_TIME - Duration::from_secs(4));
    site.cut.set(&[]);
    record.line("the cut has ended");
    sleep(Duration::from_secs(4));
    let sent: Vec<Done> = clients.into_iter().flat_map(Client::finish).collect();
    sleep(Duration::from_secs(2));

    let mut runs: Vec<(f64, f64)> = Vec::new();
    for endpoint in &site.endpoints {
        for run in endpoint.runs() {
            let sent_at = sent.iter().find(|done| done.id == run.id).map(|done| done.sent);
            runs.push((sent_at.unwrap_or(run.at), run.at));
        }
    }
    let in_window = |start: f64| {
        let is_in = |(sent, ran): &&(f64, f64)| *sent >= start && *ran <= start + WINDOW_S;
        runs.iter().filter(is_in).count()
    };
    let most =
        runs.iter().map(|(sent, _)| (in_window(*sent), *sent)).max_by_key(|(count, _)| *count);
    let Some((most, from)) = most else { return Err(Verdict::NotRun("nothing ran".into())) };
    let allowed = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK;
    record.say(format!(
        "{} requests of the tenant were sent and {} ran; at most {most} were sent and ran within \
         {WINDOW_S} s, from {from:.1} s on; allowed are {allowed:.0}",
        sent.len(),
        runs.len()
    ));
    match most as f64 > allowed {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}

fn plan(entry: std::net::SocketAddr) -> Plan {
    Plan {
        entry,
        host: "shop.example",
        method: "GET",
        path: "/stock/1".into(),
        headers: "Api-Key: key-of-harbor\r\n".into(),
        body: String::new(),
        deadline: Duration::from_millis(1500),
        pause: PAUSE,
    }
}
