//! A node acknowledges that its endpoint is gone. The store comes back from an older copy that lacks this,
//! and the process of the node is killed before it has written it again. A heartbeat that the endpoint had
//! sent before arrives late.

use std::thread::sleep;
use std::time::Duration;

use crate::fleet::wait_until;
use crate::site::{CONTACT_S, DRAIN_S, Site};
use crate::{Setup, Verdict};

/// The node whose endpoint leaves.
const LEAVING: usize = 0;

/// Age of the copy at the time of the departure.
const COPY_AGE: Duration = Duration::from_secs(2);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time for which the endpoint still serves after the acknowledgement.
const STILL_SERVES: Duration = Duration::from_secs(12);

pub fn play(setup: &Setup) -> Verdict {
    try_play(setup).unwrap_or_else(|verdict| verdict)
}

fn try_play(setup: &Setup) -> Result<Verdict, Verdict> {
    let record = &setup.record;
    let mut site = Site::start(setup)?;
    let clients = site.start_clients(setup, LEAVING)?;

    let leaving = site.endpoints[LEAVING].clone();
    leaving.end_beats();
    sleep(Duration::from_millis(1600));
    let late = leaving.make_beat("ready");
    record.line(format!("i-{LEAVING} sends beat {} (ready), which is held up", late.seq));
    sleep(Duration::from_millis(50));
    if !leaving.deregister() {
        return Err(Verdict::NotRun("the departure is not acknowledged".into()));
    }
    let acknowledged = record.now();
    record.line(format!("node-{LEAVING} acknowledges that i-{LEAVING} is gone"));
    sleep(Duration::from_secs(1));
    if setup.trouble {
        site.store.set_down(true);
    }
    sleep(AWAY);
    if setup.trouble {
        let since_departure = Duration::from_secs_f64(record.now() - acknowledged);
        site.store.restore(since_departure + COPY_AGE);
    }
    sleep(Duration::from_millis(100));
    site.nodes[LEAVING].kill();
    record.line(format!("node-{LEAVING} is killed"));
    sleep(Duration::from_millis(300));
    site.nodes[LEAVING].start_again();
    let started = record.now();
    record.line(format!("node-{LEAVING} starts again"));
    let ready = wait_until(Duration::from_secs(3), || site.nodes[LEAVING].is_ready());
    record.line(format!("node-{LEAVING} is ready: {ready}"));
    sleep(Duration::from_secs(2));
    let taken = leaving.deliver(&late);
    record.line(format!("beat {} of i-{LEAVING} arrives; acknowledged: {taken}", late.seq));
    let end = acknowledged + STILL_SERVES.as_secs_f64();
    sleep(Duration::from_secs_f64((end - record.now()).max(0.0)));

    // All machines are in touch again when the node has been running for this long; the store came back
    // before.
    let in_touch = started + CONTACT_S;
    let sent = clients.finish();
    let counts = |id: &str| {
        sent.iter().find(|(_, done)| done.id == id).is_some_and(|(_, done)| done.sent > in_touch)
    };
    let late_runs: Vec<_> =
        leaving.runs().into_iter().filter(|run| run.at > acknowledged + DRAIN_S).collect();
    let counted: Vec<_> = late_runs.iter().filter(|run| counts(&run.id)).collect();
    record.say(format!(
        "{} requests ran at i-{LEAVING} later than {DRAIN_S} s after the acknowledgement, {} of them sent \
         when all machines were in touch",
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
