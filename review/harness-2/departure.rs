//! A node acknowledges that its endpoint is gone, the store goes down, and the process of the node is
//! killed and started again. A heartbeat that the endpoint had sent before arrives late.

use std::thread::sleep;
use std::time::Duration;

use crate::fleet::wait_until;
use crate::site::{CONTACT_S, DRAIN_S, NODES, Site};
use crate::{Setup, Verdict};

/// The node whose endpoint leaves, and another one whose endpoint leaves just before.
const LEAVING: usize = 0;
const OTHER: usize = NODES - 1;

/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(4500);

/// Time for which the endpoint still serves after the acknowledgement.
const STILL_SERVES: Duration = Duration::from_secs(9);

pub fn play(setup: &Setup) -> Verdict {
    try_play(setup).unwrap_or_else(|verdict| verdict)
}

fn try_play(setup: &Setup) -> Result<Verdict, Verdict> {
    let record = &setup.record;
    let not_run = |reason: &str| Verdict::NotRun(reason.into());
    let mut site = Site::start(setup)?;
    let clients = site.start_clients(setup, LEAVING)?;

    let (leaving, other) = (site.endpoints[LEAVING].clone(), site.endpoints[OTHER].clone());
    leaving.end_beats();
    other.end_beats();
    sleep(Duration::from_millis(1600));
    let late = leaving.make_beat("ready");
    record.line(format!("i-{LEAVING} sends beat {} (ready), which is held up", late.seq));
    sleep(Duration::from_millis(50));
    if !other.deregister() {
        return Err(not_run("the first departure is not acknowledged"));
    }
    record.line(format!("node-{OTHER} acknowledges that i-{OTHER} is gone"));
    sleep(Duration::from_millis(100));
    if !leaving.deregister() {
        return Err(not_run("the departure is not acknowledged"));
    }
    let acknowledged = record.now();
    record.line(format!("node-{LEAVING} acknowledges that i-{LEAVING} is gone"));
    if setup.trouble {
        site.store.set_down(true);
    }
    let outage_end = acknowledged + OUTAGE.as_secs_f64();
    sleep(Duration::from_millis(100));
    site.nodes[LEAVING].kill();
    record.line(format!("node-{LEAVING} is killed"));
    sleep(Duration::from_millis(300));
    site.nodes[LEAVING].start_again();
    let started = record.now();
    record.line(format!("node-{LEAVING} starts again"));
    let ready = wait_until(Duration::from_secs(3), || site.nodes[LEAVING].is_ready());
    record.line(format!("node-{LEAVING} is ready: {ready}"));
    sleep(Duration::from_millis(200));
    let taken = leaving.deliver(&late);
    record.line(format!("beat {} of i-{LEAVING} arrives; acknowledged: {taken}", late.seq));
    sleep(Duration::from_secs_f64((outage_end - record.now()).max(0.0)));
    site.store.set_down(false);
    let end = acknowledged + STILL_SERVES.as_secs_f64();
    sleep(Duration::from_secs_f64((end - record.now()).max(0.0)));

    // Requests that the node took from its clients after it was in touch again as far as its process goes,
    // and sent on to its own endpoint.
    let in_touch = started + CONTACT_S;
    let sent = clients.finish();
    let counts = |id: &str| {
        let by_node =
            |(node, done): &&(usize, crate::client::Done)| *node == LEAVING && done.id == id;
        sent.iter().find(by_node).is_some_and(|(_, done)| done.sent > in_touch)
    };
    let late_runs: Vec<_> =
        leaving.runs().into_iter().filter(|run| run.at > acknowledged + DRAIN_S).collect();
    let counted: Vec<_> = late_runs.iter().filter(|run| counts(&run.id)).collect();
    record.say(format!(
        "{} requests ran at i-{LEAVING} later than {DRAIN_S} s after the acknowledgement, {} of them taken \
         by node-{LEAVING} when it had been running for {CONTACT_S} s",
        late_runs.len(),
        counted.len()
    ));
    let (Some(first), Some(last)) = (counted.first(), counted.last()) else {
        return Ok(Verdict::Held);
    };
    record.say(format!(
        "the first of these {:.1} s and the last {:.1} s after it",
        first.at - acknowledged,
        last.at - acknowledged
    ));
    Ok(Verdict::Broken)
}
