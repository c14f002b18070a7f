//! Starts a small fleet as processes, sends requests through it and says what happened to each.

use std::time::Duration;

use eyre::{Result, ensure};
use standins::process::{Signal, wait_until};

use crate::fleet::{Answer, Fleet, Programs, SETTLE_WITHIN, find_key, send};

/// Runs the demo.
pub fn run() -> Result<()> {
    let mut fleet = Fleet::start(Programs::build()?, 3, "")?;
    for index in 0..3 {
        let name = format!("orders-{}", index + 1);
        fleet.start_upstream(&name, index, &["--service", "orders", "--service-ms", "20"])?;
    }
    print!("{}", fleet.operate(&ORDERS_ROUTE)?);
    print!("{}", fleet.operate(&["account", "create", "garden", "--rate", "5/s", "--burst", "6"])?);
    let issued = fleet.operate(&["key", "issue", "garden", "--json"])?;
    let key = find_key(&issued).ok_or_else(|| eyre::eyre!("no key in {issued}"))?;
    println!("a key was issued for the account garden; it is shown once and not repeated here");

    let entry = fleet.nodes[0].caller;
    let usable = wait_until(SETTLE_WITHIN, || {
        send(entry, "GET", "/orders/ready", Some(&key)).is_ok_and(|answer| answer.status == 200)
    });
    ensure!(usable, "the route did not become usable");
    std::thread::sleep(Duration::from_secs(2));

    show("served", send(entry, "GET", "/orders/1", Some(&key))?);
    show(
        "served through another entry",
        send(fleet.nodes[2].caller, "POST", "/orders", Some(&key))?,
    );
    show("without a key", send(entry, "GET", "/orders/1", None)?);
    show("on a path without a route", send(entry, "GET", "/nowhere", Some(&key))?);
    let refused = (0..40)
        .map(|_| send(entry, "GET", "/orders/1", Some(&key)))
        .find(|answer| answer.as_ref().is_ok_and(|answer| answer.status == 429));
    match refused {
        Some(answer) => show("above the rate of the account", answer?),
        None => println!("above the rate of the account: no call was refused"),
    }
    std::thread::sleep(Duration::from_secs(2));
    let explained = send(entry, "GET", "/orders/2", Some(&key))?;
    print!("{}", fleet.operate(&["explain", &explained.id])?);

    println!("stopping node-2 gracefully");
    fleet.nodes[1].process.signal(Signal::Terminate)?;
    show("while node-2 leaves", send(entry, "GET", "/orders/3", Some(&key))?);
    let ended = fleet.nodes[1].process.wait(Duration::from_secs(30));
    ensure!(ended == Some(true), "node-2 did not stop cleanly: {ended:?}");
    println!("node-2 has stopped");
    std::thread::sleep(Duration::from_secs(1));
    show("after node-2 has left", send(entry, "GET", "/orders/4", Some(&key))?);
    print!("{}", fleet.operate(&["fleet", "state"])?);
    println!("stopping everything that was started");
    Ok(())
}

const ORDERS_ROUTE: [&str; 17] = [
    "route",
    "create",
    "orders",
    "--prefix",
    "/orders",
    "--service",
    "orders",
    "--access",
    "keyed",
    "--timeout-ms",
    "2000",
    "--idempotent",
    "GET,HEAD",
    "--retry-budget",
    "20",
    "--floor",
    "50",
];

fn show(what: &str, answer: Answer) {
    println!("request {what}: status {}, id {}, body {}", answer.status, answer.id, answer.body);
}
