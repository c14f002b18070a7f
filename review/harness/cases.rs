//! The cases.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Endpoint, Fleet, Random, Record, SIGKILL, answer, request};
use crate::http::{self, Outcome};

pub enum Verdict {
    Held,
    Broken,
}

pub fn run(case: &str, record: &Record, trouble: bool) -> Result<Verdict, String> {
    record.line(&format!("case {case}, trouble: {trouble}"));
    match case {
        "late-refusal" => late_refusal(record, trouble),
        "rate-over-restarts" => rate_over_restarts(record, trouble),
        "leave-and-restart" => leave_and_restart(record, trouble, Restart::Planned),
        "leave-and-kill" => leave_and_restart(record, trouble, Restart::Killed),
        "endless-body" => endless_body(record, trouble),
        _ => Err(format!("unknown case {case}")),
    }
}

const KEY: &str = "6wsjnbanfqasnmgkcuyj";

/// A configuration like that of the sites, with one tenant.
fn config(routes: &str, rate: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{routes}],"services":[{{"name":"orders","healthPath":"/healthz","maxConns":390,"proto":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3000,"idleTimeoutS":15000}},"tenants":[{{"name":"pulo780","apiKeys":["{KEY}"],"priority":1{rate}}}]}}"#
    )
}

fn route(kind: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"r-m2d54xb","host":"shop.example","pathPrefix":"/buy/","kind":"{kind}","timeoutS":{timeout_ms},"goalS":800,"priority":1,"service":"orders","attempts":2,"noAuth":false}}"#
    )
}

/// How often requests ran, by id.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// An endpoint refuses some requests, and sends the answers of some requests once more when the next
/// request has arrived on the connection.
fn late_refusal(record: &Record, trouble: bool) -> Result<Verdict, String> {
    const SHED: f64 = 0.4;
    const COPIED: f64 = 0.03;
    const WORK: Duration = Duration::from_millis(25);
    let fleet = Fleet::start(record, &["orders"; 5], &config(&route("unsafe", 3000), ""))?;
    let runs: Runs = Arc::default();
    let active = Arc::new(Mutex::new(false));
    let mut endpoints = Vec::new();
    for (index, node) in fleet.nodes.iter().enumerate() {
        let id = format!("i-7f3a91c{index}");
        let (runs, active, own, record2) =
            (Arc::clone(&runs), Arc::clone(&active), id.clone(), record.clone());
        let random = Mutex::new(Random(index as u64 + 1));
        // Three of the five endpoints are in trouble.
        let is_faulty = trouble && index < 3;
        let behaviour = move |id: &str, stream: &mut TcpStream, late: &mut Option<Vec<u8>>| {
            let is_faulty = is_faulty && *active.lock().unwrap();
            if let Some(copy) = late.take() {
                record2.line(&format!(
                    "{own} sends an earlier answer once more, after request {id} has arrived"
                ));
                if stream.write_all(&copy).is_err() {
                    return false;
                }
            }
            let (is_shed, is_copied) = {
                let mut random = random.lock().unwrap();
                (is_faulty && random.chance(SHED), is_faulty && random.chance(COPIED))
            };
            let answer = if is_shed {
                record2.line(&format!("{own} refuses {id} (Not-Executed)"));
                answer("503 Service Unavailable", id, "Not-Executed: 1\r\n", "")
            } else {
                record2.line(&format!("{own} runs {id}"));
                runs.lock().unwrap().entry(id.to_owned()).or_default().push(own.clone());
                thread::sleep(WORK);
                answer("200 OK", id, "Response-Stamp: 3e1b.07.5a2\r\n", &format!("done {id}"))
            };
            if is_copied {
                *late = Some(answer.clone());
            }
            stream.write_all(&answer).is_ok()
        };
        endpoints.push(Endpoint::start(node, &id, "orders", 3, Arc::new(behaviour)));
    }
    settle(&fleet)?;
    let outcomes: Arc<Mutex<Vec<(String, Outcome)>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(36);
    let started = Instant::now();
    let mut clients = Vec::new();
    for client in 0..15 {
        let (to, outcomes, record) =
            (fleet.nodes[client % 5].outbound(), Arc::clone(&outcomes), record.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let id = format!("9c41d07b{client:02}{number:06}");
                let req = request("POST", &format!("/buy/{number}"), &id, 3000, KEY, "order");
                let outcome = send(&record, client, &id, to, &req, Duration::from_millis(3000));
                outcomes.lock().unwrap().push((id, outcome));
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    // Trouble of 5 s at a time, with pauses.
    while Instant::now() < end {
        let phase = started.elapsed().as_secs() % 7;
        *active.lock().unwrap() = phase >= 2;
        thread::sleep(Duration::from_millis(50));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    thread::sleep(Duration::from_millis(500));
    let runs = runs.lock().unwrap();
    let outcomes = outcomes.lock().unwrap();
    let (mut twice, mut refused) = (0, 0);
    for (id, outcome) in outcomes.iter() {
        let ran = runs.get(id).map_or(0, Vec::len);
        if ran > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {id} ran at {:?}, the client got {}",
                runs[id],
                outcome.text()
            ));
        }
        if ran > 0 && matches!(outcome.status(), 408 | 421 | 429 | 503) {
            refused += 1;
            record.line(&format!(
                "REFUSED: {id} ran at {:?}, the client got {}",
                runs[id],
                outcome.text()
            ));
        }
    }
    let served = outcomes.iter().filter(|(_, outcome)| outcome.status() == 200).count();
    record.line(&format!(
        "{} requests, {served} served, {twice} ran twice, {refused} were refused and ran",
        outcomes.len()
    ));
    Ok(if twice + refused > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends a request of a client, and records that and what the client got.
fn send(
    record: &Record,
    client: usize,
    id: &str,
    to: SocketAddr,
    req: &[u8],
    wait: Duration,
) -> Outcome {
    record.line(&format!("client {client} sends {id}"));
    let started = Instant::now();
    let outcome = http::call(to, req, wait);
    let took = started.elapsed().as_secs_f64();
    record.line(&format!("client {client}: {id} got {} after {took:.3} s", outcome.text()));
    outcome
}

/// Waits until every node serves.
fn settle(fleet: &Fleet) -> Result<(), String> {
    for (index, node) in fleet.nodes.iter().enumerate() {
        let mut number = 0;
        let served = crate::fleet::wait_until(Duration::from_secs(15), || {
            number += 1;
            let id = format!("settle{index}x{number}");
            let req = request("POST", "/buy/0", &id, 1000, KEY, "");
            http::call(node.outbound(), &req, Duration::from_secs(1)).status() == 200
        });
        if !served {
            return Err(format!("{} does not serve: {}", node.name, node.log_text()));
        }
    }
    // The records of all endpoints reach all nodes.
    thread::sleep(Duration::from_secs(3));
    Ok(())
}

/// All nodes are restarted in turn while a tenant sends many times its usual.
fn rate_over_restarts(record: &Record, trouble: bool) -> Result<Verdict, String> {
    const RATE: usize = 60;
    const BURST: usize = 60;
    const WINDOW: Duration = Duration::from_secs(5);
    const NODES: usize = 6;
    const WORK: Duration = Duration::from_millis(30);
    const ROUNDS: usize = 1;
    const CLIENTS_PER_NODE: usize = 10;
    /// Nodes that are stopped at a time.
    const TOGETHER: usize = 2;
    const GAP: Duration = Duration::from_millis(1300);
    let rate = format!(r#","ratePerS":{RATE},"burst":{BURST}"#);
    let mut fleet =
        Fleet::start(record, &["orders"; NODES], &config(&route("unsafe", 3000), &rate))?;
    let origin = Instant::now();
    let runs: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    for (index, node) in fleet.nodes.iter().enumerate() {
        let (runs, record) = (Arc::clone(&runs), record.clone());
        let behaviour = move |id: &str, stream: &mut TcpStream, _: &mut Option<Vec<u8>>| {
            record.line(&format!("i-7f3a91c{index} runs {id}"));
            runs.lock().unwrap().insert(id.to_owned(), origin.elapsed());
            thread::sleep(WORK);
            stream
                .write_all(&answer("200 OK", id, "Response-Stamp: 3e1b.07.5a2\r\n", "done"))
                .is_ok()
        };
        Endpoint::start(node, &format!("i-7f3a91c{index}"), "orders", 3, Arc::new(behaviour));
    }
    settle(&fleet)?;
    let sent: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(20);
    let mut clients = Vec::new();
    for client in 0..NODES * CLIENTS_PER_NODE {
        let (to, sent, record) =
            (fleet.nodes[client % NODES].outbound(), Arc::clone(&sent), record.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let id = format!("9c41d07b{client:02}{number:06}");
                sent.lock().unwrap().insert(id.clone(), origin.elapsed());
                let req = request("POST", &format!("/buy/{number}"), &id, 3000, KEY, "order");
                send(&record, client, &id, to, &req, Duration::from_millis(3000));
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    thread::sleep(Duration::from_secs(8));
    for round in 0..ROUNDS {
        for group in fleet.nodes.chunks_mut(TOGETHER) {
            let next = Instant::now() + GAP;
            if trouble {
                thread::scope(|scope| {
                    for node in group {
                        scope.spawn(|| {
                            record.line(&format!("round {round}: SIGTERM to {}", node.name));
                            node.restart(Duration::from_secs(6), Duration::from_millis(300));
                            record.line(&format!("round {round}: {} is started again", node.name));
                        });
                    }
                });
            }
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    thread::sleep(Duration::from_millis(300));
    let (runs, sent) = (runs.lock().unwrap(), sent.lock().unwrap());
    let mut pairs: Vec<(Duration, Duration)> =
        runs.iter().filter_map(|(id, at)| Some((*sent.get(id)?, *at))).collect();
    pairs.sort();
    // Every window begins, at best, with the sending of a request.
    let count = |start: Duration| {
        pairs.iter().filter(|(sent, ran)| *sent >= start && *ran <= start + WINDOW).count()
    };
    let worst = pairs.iter().map(|(sent, _)| (count(*sent), *sent)).max().unwrap_or_default();
    let limit = (RATE * 5 + BURST) as f64 * 1.1 + 20.0;
    for second in 0..36 {
        let start = Duration::from_secs(second);
        record.line(&format!("window from {second} s: {} requests", count(start)));
    }
    record.line(&format!(
        "most in a window of 5 s: {} from {:.3} s, limit {limit}; {} sent, {} ran",
        worst.0,
        worst.1.as_secs_f64(),
        sent.len(),
        pairs.len()
    ));
    Ok(if worst.0 as f64 > limit { Verdict::Broken } else { Verdict::Held })
}

/// How the node ends in [`leave_and_restart`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Restart {
    /// By SIGTERM, some time after it has acknowledged that the endpoint leaves.
    Planned,
    /// By SIGKILL, right after it has acknowledged that.
    Killed,
}

/// An endpoint leaves, the node beside it ends and is started again, and a heartbeat that the endpoint
/// sent before it left arrives seconds late.
fn leave_and_restart(record: &Record, trouble: bool, restart: Restart) -> Result<Verdict, String> {
    const SERVICES: [&str; 4] = ["orders", "orders", "catalogue", "catalogue"];
    const DRAIN: Duration = Duration::from_secs(2);
    const CONTACT: Duration = Duration::from_secs(3);
    const LATE: Duration = Duration::from_secs(4);
    const STAYS: Duration = Duration::from_secs(15);
    let mut fleet = Fleet::start(record, &SERVICES, &config(&route("unsafe", 3000), ""))?;
    let origin = Instant::now();
    let arrivals: Arc<Mutex<Vec<(Duration, String)>>> = Arc::default();
    let has_left = Arc::new(AtomicBool::new(false));
    let mut endpoints = Vec::new();
    for (index, node) in fleet.nodes.iter().enumerate() {
        let arrivals = Arc::clone(&arrivals);
        let (has_left, record) = (Arc::clone(&has_left), record.clone());
        let behaviour = move |id: &str, stream: &mut TcpStream, _: &mut Option<Vec<u8>>| {
            record.line(&format!("i-7f3a91c{index} runs {id}"));
            if index == 0 {
                arrivals.lock().unwrap().push((origin.elapsed(), id.to_owned()));
            }
            thread::sleep(Duration::from_millis(20));
            // An endpoint that is leaving closes its connections.
            let closes = index == 0 && has_left.load(Ordering::Relaxed);
            let close = if closes { "Connection: close\r\n" } else { "" };
            let extra = format!("Response-Stamp: 3e1b.07.5a2\r\n{close}");
            stream.write_all(&answer("200 OK", id, &extra, "done")).is_ok() && !closes
        };
        endpoints.push(Endpoint::start(
            node,
            &format!("i-7f3a91c{index}"),
            SERVICES[index],
            3,
            Arc::new(behaviour),
        ));
    }
    settle(&fleet)?;
    // Clients send to the machines that are not restarted.
    let end = Instant::now() + Duration::from_secs(22);
    let mut clients = Vec::new();
    for client in 0..6 {
        let (to, record) = (fleet.nodes[2 + client % 2].outbound(), record.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let id = format!("9c41d07b{client:02}{number:06}");
                let req = request("POST", &format!("/buy/{number}"), &id, 3000, KEY, "order");
                send(&record, client, &id, to, &req, Duration::from_millis(3000));
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let leaving = &endpoints[0];
    leaving.stop_beats();
    thread::sleep(crate::fleet::BEAT + Duration::from_millis(200));
    let late = leaving.next_beat("ready");
    let sent = Instant::now();
    record.line(&format!("{} sends a heartbeat, which is delayed", leaving.id));
    thread::sleep(Duration::from_millis(300));
    has_left.store(true, Ordering::Relaxed);
    if !leaving.send(&leaving.leaving()) {
        return Err("the notice is not acknowledged".to_owned());
    }
    let acknowledged = origin.elapsed();
    match restart {
        Restart::Planned => {
            record.line(&format!("{} has left: its DELETE is acknowledged", leaving.id));
            thread::sleep(Duration::from_millis(500));
            record.line("SIGTERM to node 0");
            fleet.nodes[0].restart(Duration::from_secs(6), Duration::from_millis(300));
        }
        Restart::Killed => {
            fleet.nodes[0].signal(SIGKILL);
            let after = origin.elapsed() - acknowledged;
            record.line(&format!("{} has left: its DELETE is acknowledged", leaving.id));
            record.line(&format!(
                "SIGKILL to node 0, {} us after the acknowledgement",
                after.as_micros()
            ));
            fleet.nodes[0].wait(Duration::from_secs(5));
            thread::sleep(Duration::from_millis(300));
            fleet.nodes[0].start().map_err(|err| err.to_string())?;
        }
    }
    let started = origin.elapsed();
    record.line("node 0 is started again");
    if !crate::fleet::wait_until(Duration::from_secs(5), || fleet.nodes[0].is_ready()) {
        return Err("node 0 is not ready again".to_owned());
    }
    thread::sleep((sent + LATE).saturating_duration_since(Instant::now()));
    if trouble {
        let acknowledged = endpoints[0].send(&late);
        record.line(&format!("the delayed heartbeat arrives, acknowledged: {acknowledged}"));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    // Requests that reach the endpoint while all machines are in touch again and it still serves.
    let judged = (acknowledged + DRAIN).max(started + CONTACT)..acknowledged + STAYS;
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| judged.contains(at)).collect();
    for (at, id) in &late {
        record.line(&format!(
            "DRAIN: {id} reached the endpoint {:.3} s after its leaving was acknowledged",
            (*at - acknowledged).as_secs_f64()
        ));
    }
    record.line(&format!(
        "{} requests reached the endpoint, {} of them too late",
        arrivals.len(),
        late.len()
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// An endpoint sends answers whose body has no end.
fn endless_body(record: &Record, trouble: bool) -> Result<Verdict, String> {
    const TIMEOUT: Duration = Duration::from_millis(1500);
    const LATEST: Duration = Duration::from_millis(2000);
    const DEADLINE: Duration = Duration::from_millis(3000);
    const FAULTY: f64 = 0.4;
    let fleet = Fleet::start(record, &["orders"; 3], &config(&route("unsafe", 1500), ""))?;
    let active = Arc::new(Mutex::new(false));
    for (index, node) in fleet.nodes.iter().enumerate() {
        let (active, record) = (Arc::clone(&active), record.clone());
        let random = Mutex::new(Random(index as u64 + 1));
        let behaviour = move |id: &str, stream: &mut TcpStream, _: &mut Option<Vec<u8>>| {
            let is_faulty = *active.lock().unwrap() && random.lock().unwrap().chance(FAULTY);
            record.line(&format!("i-7f3a91c{index} runs {id}"));
            thread::sleep(Duration::from_millis(50));
            if !is_faulty {
                return stream
                    .write_all(&answer("200 OK", id, "Response-Stamp: 3e1b.07.5a2\r\n", "done"))
                    .is_ok();
            }
            record.line(&format!("{id} gets a body without end"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: 3e1b.07.5a2\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let chunk = format!("2000\r\n{}\r\n", "x".repeat(0x2000));
            let _ = stream.write_all(head.as_bytes());
            let end = Instant::now() + Duration::from_secs(60);
            while Instant::now() < end && stream.write_all(chunk.as_bytes()).is_ok() {
                thread::sleep(Duration::from_millis(10));
            }
            record.line(&format!("the body for {id} was taken until now"));
            false
        };
        Endpoint::start(node, &format!("i-7f3a91c{index}"), "orders", 3, Arc::new(behaviour));
    }
    settle(&fleet)?;
    *active.lock().unwrap() = trouble;
    let started = Instant::now();
    let times: Arc<Mutex<Vec<(String, Duration, Outcome)>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(12);
    let mut clients = Vec::new();
    for client in 0..9 {
        let (to, times, record) =
            (fleet.nodes[client % 3].outbound(), Arc::clone(&times), record.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let id = format!("9c41d07b{client:02}{number:06}");
                let req = request(
                    "POST",
                    &format!("/buy/{number}"),
                    &id,
                    DEADLINE.as_millis() as u64,
                    KEY,
                    "order",
                );
                let started = Instant::now();
                let outcome = send(&record, client, &id, to, &req, DEADLINE);
                let took = started.elapsed();
                times.lock().unwrap().push((id, took, outcome));
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    // The trouble lasts 8 s.
    thread::sleep((started + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    *active.lock().unwrap() = false;
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let times = times.lock().unwrap();
    let at_timeout = times.iter().filter(|(_, took, _)| *took > TIMEOUT).count();
    let later = times.iter().filter(|(_, took, _)| *took > LATEST).count();
    let served = times.iter().filter(|(_, _, outcome)| outcome.status() == 200).count();
    record.line(&format!(
        "{} requests, {served} served, {at_timeout} without a final answer at the timeout of the route, {later} of them 0.5 s later too",
        times.len()
    ));
    Ok(if later >= 8 && later * 2 > at_timeout { Verdict::Broken } else { Verdict::Held })
}
