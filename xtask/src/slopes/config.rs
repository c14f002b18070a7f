//! Slopes of the replica and membership: memory per object, time per lookup and per message.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use config::{Applied, Chunk, Incoming, Received, Replica};
use eyre::{Context, Result, ensure};
use membership::{
    Candidate, Directory, LiveNodes, OwnerView, Ownership, PlatformState, Pong, QuorumLease,
};
use model::{
    Access, Account, Burst, Endpoint, EndpointState, Epoch, Incarnation, Key, KeyDigest, Labels,
    NodeName, NodeRecord, Object, ObjectKey, PartitionId, PartitionRecord, Percent, Rate, Revision,
    Route, Selector, Slots, StoredObject, Time,
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

/// Partitions in one timing of ownership.
const PARTITIONS: usize = 1000;

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    println!("replica and membership");
    // Kept until the end, since freed memory would be used again and spoil the next figure.
    let built = memory()?;
    route_lookups()?;
    route_scans()?;
    key_lookups()?;
    changes()?;
    pongs()?;
    directory_lookups()?;
    ownership_steps()?;
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
        let nanos = median(|at| black_box(replica.route(&paths[at % paths.len()])).is_some());
        print("route lookup, 100 paths", size, nanos, "ns");
        let all: Vec<_> = (0..LOOKUPS).map(|at| prefix(at * 7919 % size)).collect();
        let nanos = median(|at| black_box(replica.route(&all[at])).is_some());
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

fn pongs() -> Result<()> {
    for members in [30, NODES] {
        let names: Vec<NodeName> = (0..members).map(node_name).collect::<Result<_>>()?;
        let mut lease = QuorumLease::new(names[0].clone());
        lease.set_members(names.iter().cloned());
        lease.applied_listing(Revision(1));
        let rounds = (LOOKUPS / members).max(20) as u64;
        let mut spent = Duration::ZERO;
        for round in 0..rounds {
            let start = Instant::now();
            for (at, name) in names[1..].iter().enumerate() {
                let sent = Time::from_micros(1_000_000 * round + 300 * at as u64);
                lease.ping_sent(name, round, sent);
            }
            for (at, name) in names[1..].iter().enumerate() {
                let received = Time::from_micros(1_000_000 * round + 300 * at as u64 + 2_000);
                let (incarnation, revision) = (Incarnation(at as u64), Revision(1));
                let pong = Pong { incarnation, sequence: round, revision, synced: true };
                black_box(lease.pong(name, &pong, received));
            }
            spent += start.elapsed();
        }
        ensure!(lease.is_valid(Time::from_micros(1_000_000 * rounds)), "no lease");
        let count = rounds as f64 * (members - 1) as f64;
        print(
            "ping sent and pong handled, members",
            members,
            spent.as_nanos() as f64 / count,
            "ns",
        );
        let nanos = median(|at| black_box(lease.is_valid(Time::from_micros(at as u64))));
        print("lease check, members", members, nanos, "ns");
    }
    Ok(())
}

fn directory_lookups() -> Result<()> {
    let selector: Selector = "tier=gold".parse()?;
    let service = "service-0".parse()?;
    for size in [10, 100, 1000] {
        let directory = directory(size * 100, 100);
        let now = Time::from_micros(1);
        let found = directory.usable(&service, &selector, now).count();
        ensure!(found == size, "{found} of {size} endpoints found");
        let lookups = LOOKUPS / size;
        let mut timings: Vec<_> = (0..TIMINGS)
            .map(|_| {
                let start = Instant::now();
                for _ in 0..lookups {
                    black_box(directory.usable(&service, &selector, now).count());
                }
                start.elapsed().as_nanos() as f64 / lookups as f64
            })
            .collect();
        timings.sort_by(f64::total_cmp);
        print("directory lookup, endpoints in the service", size, timings[TIMINGS / 2], "ns");
    }
    Ok(())
}

fn ownership_steps() -> Result<()> {
    for members in [30, NODES] {
        let names: Vec<NodeName> = (0..members).map(node_name).collect::<Result<_>>()?;
        let own = &names[0];
        let mut live = LiveNodes::new();
        let (incarnation, alive_since) = (Incarnation(1), Time::ZERO);
        names.iter().for_each(|name| {
            live.insert(Candidate { name: name.clone(), incarnation, alive_since });
        });
        let mut lease = QuorumLease::new(own.clone());
        lease.set_members([own.clone()]);
        lease.applied_listing(Revision(1));
        let platform = PlatformState::Reachable;
        let view = OwnerView { lease: &lease, live: &live, platform };
        let rounds = LOOKUPS / PARTITIONS;
        for (what, owner) in [("alive", &names[1]), ("gone", &"node-gone".parse()?)] {
            let ids = (0..PARTITIONS as u16).map(PartitionId);
            let mut ownership = Ownership::new(own.clone(), incarnation, ids.clone());
            let record = PartitionRecord { owner: owner.clone(), incarnation, epoch: Epoch(1) };
            ids.clone().for_each(|id| ownership.set_record(id, &record, Revision(1)));
            let start = Instant::now();
            for _ in 0..rounds {
                for id in ids.clone() {
                    black_box(ownership.next(id, &view, Time::ZERO));
                }
            }
            let nanos = start.elapsed().as_nanos() as f64 / (rounds * PARTITIONS) as f64;
            print(&format!("step of a partition, owner {what}, members"), members, nanos, "ns");
        }
    }
    Ok(())
}

/// Nanoseconds for one call, as the median of several timings.
fn median(f: impl Fn(usize) -> bool) -> f64 {
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
    let mut incoming = Incoming::new();
    let mut received = Received::Incomplete;
    for (index, start) in (0..size).step_by(BATCH).enumerate() {
        let end = (start + BATCH).min(size);
        let objects = (start..end).map(make).collect();
        let (index, last) = (index as u32, end == size);
        let chunk = Chunk { from: None, floor: to, to, index, last, objects };
        received = incoming.receive(chunk, &mut replica);
    }
    ensure!(received == Received::Complete(Applied::Applied), "copy ended as {received:?}");
    ensure!(replica.len() == size, "{} of {size} objects", replica.len());
    Ok(replica)
}

fn directory(endpoints: usize, services: usize) -> Directory {
    let own = node_name(0).expect("the name of a node is valid");
    let mut directory = Directory::new(own);
    let per_node = endpoints.div_ceil(NODES);
    for node in 0..NODES {
        let names = (node * per_node)..((node + 1) * per_node).min(endpoints);
        let table = names.map(|at| endpoint(at, services)).collect();
        let name = node_name(node).expect("the name of a node is valid");
        let incarnation = Incarnation(node as u64);
        directory.apply_table(&name, incarnation, 1, table);
        directory.pong(&name, incarnation, Time::ZERO);
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
        idempotent: vec!["GET".into(), "HEAD".into(), "PUT".into()],
        retry_budget: Percent::new(20).expect("at most 100"),
        floor: Percent::new(60).expect("at most 100"),
    };
    stored(number, &format!("route-{number}"), Object::Route(route))
}

fn account_name(number: usize) -> String {
    format!("account-{number}")
}

pub(super) fn account(number: usize) -> StoredObject {
    let account = Account { rate: Rate::per_second(50), burst: Burst(100) };
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
    };
    stored(number, &format!("node-{number}"), Object::Node(record))
}

pub(super) fn partition_record(number: usize) -> StoredObject {
    let owner = format!("node-{number}").parse().expect("valid in an id");
    let incarnation = Incarnation(0x1234_5678_9abc_def0);
    let record = PartitionRecord { owner, incarnation, epoch: Epoch(3) };
    let id = PartitionId(number as u16).to_string();
    stored(number, &id, Object::Partition(record))
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
