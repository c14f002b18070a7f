//! Slopes of the replica and membership: memory per object, time per lookup and per message.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use config::{Applied, Chunk, ReceiveOutcome, Replica, TransferReceiver};
use eyre::{Context, Result, ensure};
use membership::{Directory, Owners, owner_of};
use model::{
    Access, Account, Burst, Endpoint, EndpointState, Incarnation, Key, KeyDigest, Labels, NodeName,
    NodeRecord, Object, ObjectKey, PartitionId, Percent, Rate, Revision, Route, Selector, Slots,
    StoredObject,
};

/// Objects that are made at a time, so that the memory of the plain form stays small beside that
/// of the replica.
const BATCH: usize = 1000;

/// Lookups in one timing; the figure is the median of several timings.
const LOOKUPS: usize = 200_000;
const TIMINGS: usize = 5;

/// Sizes of the design page.
const ROUTES: usize = 180_000;
const ACCOUNTS: usize = 330_000;
const NODES: usize = 2_700;
const ENDPOINTS: usize = 130_000;
const SERVICES: usize = 6_500;

/// Look-ups of an owner in one timing.
const OWNERS: usize = 200;

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    println!("replica and membership");
    // Kept until the end, since freed memory would be used again and spoil the next figure.
    let built = memory()?;
    route_lookups()?;
    route_scans()?;
    key_lookups()?;
    changes()?;
    directory_lookups()?;
    owner_lookups()?;
    drop(built);
    Ok(())
}

fn print(what: &str, size: usize, figure: f64, unit: &str) {
    println!("  {what:<44} {size:>9} {figure:>10.1} {unit}");
}

/// Memory of the process, in bytes.
fn resident() -> Result<usize> {
    let status = fs::read_to_string("/proc/self/status").wrap_err("memory of the process")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes: usize = text.unwrap_or_default().parse().wrap_err("no VmRSS in the status")?;
    Ok(kilobytes * 1024)
}

fn memory() -> Result<(Vec<Replica>, Directory)> {
    type Make = fn(usize) -> StoredObject;
    let kinds: [(&str, usize, Make); 4] = [
        ("memory per route", ROUTES, route),
        ("memory per client account", ACCOUNTS, account),
        ("memory per key", ACCOUNTS, key),
        ("memory per node record", NODES, node_record),
    ];
    let mut replicas = Vec::new();
    for (what, size, make) in kinds {
        let before = resident()?;
        replicas.push(replica(size, make)?);
        print(what, size, (resident()? - before) as f64 / size as f64, "bytes");
    }
    let before = resident()?;
    let directory = directory(ENDPOINTS, SERVICES);
    let bytes = (resident()? - before) as f64;
    print("memory per endpoint", ENDPOINTS, bytes / ENDPOINTS as f64, "bytes");
    Ok((replicas, directory))
}

fn route_lookups() -> Result<()> {
    for size in [100, 10_000, ROUTES] {
        let replica = replica(size, route)?;
        let paths: Vec<_> = (0..size)
            .step_by(size / 100)
            .map(|n| format!("{}/item/17?page=2", prefix(n)))
            .collect();
        let nanos = median(|at| black_box(replica.route(HOST, &paths[at % paths.len()])).is_some());
        print("route lookup, 100 paths", size, nanos, "ns");
        let all: Vec<_> = (0..LOOKUPS).map(|at| prefix(at * 7919 % size)).collect();
        let nanos = median(|at| black_box(replica.route(HOST, &all[at])).is_some());
        print("route lookup, all paths", size, nanos, "ns");
    }
    Ok(())
}

/// The routes of one service, as the health code looks for them.
fn route_scans() -> Result<()> {
    for size in [100, 10_000, ROUTES] {
        let replica = replica(size, route)?;
        let service = "service-17".parse()?;
        let rounds = (2_000_000 / size).min(2_000);
        let start = Instant::now();
        for _ in 0..rounds {
            let found = replica.routes().filter(|route| route.policy().service == service);
            black_box(found.count());
        }
        let nanos = start.elapsed().as_nanos() as f64 / rounds as f64;
        print("scan for the routes of a service", size, nanos, "ns");
    }
    Ok(())
}

fn key_lookups() -> Result<()> {
    for size in [100, 10_000, ACCOUNTS] {
        let replica = replica(size, key)?;
        let ids: Vec<_> = (0..LOOKUPS).map(|at| key_id(at * 7919 % size)).collect();
        let nanos = median(|at| black_box(replica.key(&ids[at])).is_some());
        print("key lookup, all keys", size, nanos, "ns");
    }
    Ok(())
}

fn changes() -> Result<()> {
    type Make = fn(usize) -> StoredObject;
    let kinds: [(&str, usize, Make); 2] =
        [("change of an account", ACCOUNTS, account), ("change of a route", ROUTES, route)];
    for (what, size, make) in kinds {
        for size in [100, size] {
            let mut replica = replica(size, make)?;
            let mut applied = 0;
            let mut spent = Duration::ZERO;
            for at in 0..20_000 {
                let from = replica.revision();
                let to = Revision(from.0 + 1);
                let change = StoredObject { revision: to, ..make(at * 7919 % size) };
                let start = Instant::now();
                let result = replica.apply_delta(from, to, vec![change]);
                spent += start.elapsed();
                applied += usize::from(result == Applied::Applied);
            }
            ensure!(applied == 20_000, "a change was not applied");
            print(what, size, spent.as_nanos() as f64 / applied as f64, "ns");
        }
    }
    Ok(())
}

fn directory_lookups() -> Result<()> {
    let selector: Selector = "tier=gold".parse()?;
    let service = "service-0".parse()?;
    for size in [10, 100, 1000] {
        let directory = directory(size * 100, 100);
        let found = directory.available_endpoints(&service, &selector).count();
        ensure!(found == size, "{found} of {size} endpoints found");
        let lookups = LOOKUPS / size;
        let mut timings: Vec<_> = (0..TIMINGS)
            .map(|_| {
                let start = Instant::now();
                for _ in 0..lookups {
                    black_box(directory.available_endpoints(&service, &selector).count());
                }
                start.elapsed().as_nanos() as f64 / lookups as f64
            })
            .collect();
        timings.sort_by(f64::total_cmp);
        print("directory lookup, endpoints in the service", size, timings[TIMINGS / 2], "ns");
    }
    Ok(())
}

/// The owner of a partition is looked up for each request to an owner.
fn owner_lookups() -> Result<()> {
    for nodes in [38, 300, NODES] {
        let names = (0..nodes).map(node_name).collect::<Result<Vec<_>>>()?;
        let mut timings: Vec<f64> = (0..TIMINGS)
            .map(|_| {
                let start = Instant::now();
                for at in 0..OWNERS {
                    black_box(owner_of(PartitionId(at as u16), names.iter()));
                }
                start.elapsed().as_nanos() as f64 / OWNERS as f64
            })
            .collect();
        timings.sort_by(f64::total_cmp);
        print("owner of a partition, nodes", nodes, timings[TIMINGS / 2], "ns");
        let mut owners = Owners::default();
        let kept =
            median(|at| owners.find(PartitionId((at % OWNERS) as u16), || names.iter()).is_some());
        print("owner of a partition, kept, nodes", nodes, kept, "ns");
    }
    Ok(())
}

/// Nanoseconds for one call, as the median of several timings.
fn median(mut f: impl FnMut(usize) -> bool) -> f64 {
    let mut timings: Vec<_> = (0..TIMINGS)
        .map(|_| {
            let start = Instant::now();
            let found = (0..LOOKUPS).filter(|at| f(*at)).count();
            black_box(found);
            start.elapsed().as_nanos() as f64 / LOOKUPS as f64
        })
        .collect();
    timings.sort_by(f64::total_cmp);
    timings[TIMINGS / 2]
}

fn replica(size: usize, make: fn(usize) -> StoredObject) -> Result<Replica> {
    let to = Revision(size as u64);
    let mut replica = Replica::new();
    let mut receiver = TransferReceiver::new();
    let mut received = ReceiveOutcome::Incomplete;
    for (index, start) in (0..size).step_by(BATCH).enumerate() {
        let end = (start + BATCH).min(size);
        let objects = (start..end).map(make).collect();
        let (index, last) = (index as u32, end == size);
        let chunk = Chunk { from: None, compact_revision: to, to, index, last, objects };
        received = receiver.receive(chunk, &mut replica);
    }
    ensure!(received == ReceiveOutcome::Complete(Applied::Applied), "copy ended as {received:?}");
    ensure!(replica.len() == size, "{} of {size} objects", replica.len());
    Ok(replica)
}

fn directory(endpoints: usize, services: usize) -> Directory {
    let mut directory = Directory::new();
    let per_node = endpoints.div_ceil(NODES);
    for node in 0..NODES {
        let names = (node * per_node)..((node + 1) * per_node).min(endpoints);
        let table = names.map(|at| endpoint(at, services)).collect();
        let name = node_name(node).expect("the name of a node is valid");
        let incarnation = Incarnation(node as u64);
        directory.apply_table(&name, incarnation, 1, table);
    }
    directory
}

fn stored(number: usize, name: &str, object: Object) -> StoredObject {
    StoredObject {
        key: ObjectKey::new(object.kind(), name),
        revision: Revision(number as u64 + 1),
        write_id: format!("w-{number:032x}").parse().expect("digits are valid in an id"),
        object: Some(object),
    }
}

/// Host of the requests; the routes name none.
const HOST: &str = "shop.example";

fn prefix(number: usize) -> String {
    format!("/region-{}/shop-{}/orders-{number}", number % 3, number % 1000)
}

pub(super) fn route(number: usize) -> StoredObject {
    let route = Route {
        prefix: prefix(number).into(),
        service: format!("service-{}", number % SERVICES).parse().expect("valid in an id"),
        selector: "tier=gold".parse().expect("the selector is valid"),
        access: Access::Keyed,
        timeout_ms: 2000,
        goal_ms: None,
        idempotent: vec!["GET".into(), "HEAD".into(), "PUT".into()],
        retry_budget: Percent::new(20).expect("at most 100"),
        floor: Percent::new(60).expect("at most 100"),
        host: None,
        split: Vec::new(),
        attempts: 3,
        priority: 0,
    };
    stored(number, &format!("route-{number}"), Object::Route(route))
}

fn account_name(number: usize) -> String {
    format!("account-{number}")
}

pub(super) fn account(number: usize) -> StoredObject {
    let account = Account { rate: Rate::per_second(50), burst: Burst(100), priority: None };
    stored(number, &account_name(number), Object::Account(account))
}

fn key_id(number: usize) -> String {
    format!("{:016x}", (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub(super) fn key(number: usize) -> StoredObject {
    let digest = KeyDigest::try_from(format!("{number:064x}")).expect("64 digits are a digest");
    let account = account_name(number).parse().expect("valid in an id");
    stored(number, &key_id(number), Object::Key(Key { account, digest }))
}

fn node_name(number: usize) -> Result<NodeName> {
    Ok(format!("node-{number}").parse()?)
}

pub(super) fn node_record(number: usize) -> StoredObject {
    let address = |port: u16| ([10, 0, (number / 256) as u8, (number % 256) as u8], port).into();
    let record = NodeRecord {
        domain: format!("domain-{}", number % 11).parse().expect("valid in an id"),
        peer_addr: address(7000),
        operator_addr: address(7001),
        incarnation: Incarnation(number as u64),
        table_version: 12,
        endpoints: vec![endpoint(number, 48)],
        departed: Vec::new(),
        stopped: false,
        started_ms: None,
    };
    stored(number, &format!("node-{number}"), Object::Node(record))
}

pub(super) fn endpoint(number: usize, services: usize) -> Endpoint {
    Endpoint {
        name: format!("endpoint-{number}").parse().expect("valid in an id"),
        service: format!("service-{}", number % services).parse().expect("valid in an id"),
        labels: Labels::from([("tier".into(), "gold".into()), ("zone".into(), "a".into())]),
        addr: ([10, 0, 0, 1], 9000).into(),
        slots: Slots(3),
        state: EndpointState::Ready,
        load: 10,
    }
}
