//! Slopes of the frames between nodes and of the platform's list: bytes, and time to encode and
//! decode.

use std::hint::black_box;
use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use health::{EjectionList, HealthReport, LatencyCounts, ListEntry, ReportEntry, Weight};
use limits::{ShareIndex, SpentReport, TokenAnswer, TokenRequest, TokenResult, TokensLeft};
use model::{
    AttemptId, EndpointName, Epoch, Incarnation, LoadReport, PartitionId, ResultCode, Revision,
    RouteName, Slots, StoredObject, Time, Tokens,
};
use serde_json::{Value, json};
use wire::{
    AnswerHead, BodyPart, Call, EndpointLoad, Frame, Head, HealthReply, HealthUpdate, Hello, Ping,
    Pong, Probe, ProbeReport, Purpose, Table, TokenAnswers, Welcome,
};

use super::config;

/// Time spent on each figure of encoding or decoding.
const TIMING: Duration = Duration::from_millis(50);

/// Objects in the transfers from which the bytes of one object are taken.
const OBJECTS: usize = 100;

/// Incarnations, clocks and sequence numbers take their full width after some days of work.
const INCARNATION: Incarnation = Incarnation(0x1234_5678_9abc_def0);
const CLOCK: Time = Time::from_micros(5 * 86_400 * 1_000_000);
const SEQUENCE: u64 = 432_000;
const REVISION: Revision = Revision(190_000);

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    println!("\nframes: bytes without WebSocket and TCP headers, and processor time");
    println!("{:<52} {:>8} {:>10} {:>10}", "frame", "bytes", "encode ns", "decode ns");
    for (what, frame) in frames() {
        row(what, &frame)?;
    }
    println!("\ntransfers and platform list: per object, from {OBJECTS} objects");
    println!(
        "{:<20} {:>12} {:>10} {:>10} {:>12}",
        "object", "frame bytes", "encode ns", "decode ns", "list bytes"
    );
    type Make = fn(usize) -> StoredObject;
    let kinds: [(&str, Make); 5] = [
        ("route", config::route),
        ("account", config::account),
        ("key", config::key),
        ("node record", config::node_record),
        ("partition record", config::partition_record),
    ];
    for (what, make) in kinds {
        object_row(what, make)?;
    }
    Ok(())
}

fn row(what: &str, frame: &Frame) -> Result<()> {
    let bytes = wire::encode(frame);
    ensure!(wire::decode(&bytes)? == *frame, "{what} changes on the wire");
    let encode = nanos(|| wire::encode(black_box(frame)).len());
    let decode = nanos(|| usize::from(wire::decode(black_box(&bytes)).is_ok()));
    println!("{what:<52} {:>8} {encode:>10.0} {decode:>10.0}", bytes.len());
    Ok(())
}

fn object_row(what: &str, make: fn(usize) -> StoredObject) -> Result<()> {
    let empty = wire::encode(&transfer(Vec::new())).len();
    let objects: Vec<StoredObject> = (0..OBJECTS).map(make).collect();
    let list: usize = objects.iter().map(list_bytes).sum();
    let frame = transfer(objects);
    let bytes = wire::encode(&frame);
    ensure!(wire::decode(&bytes)? == frame, "a transfer of {what} objects changes on the wire");
    let count = OBJECTS as f64;
    let encode = nanos(|| wire::encode(black_box(&frame)).len()) / count;
    let decode = nanos(|| usize::from(wire::decode(black_box(&bytes)).is_ok())) / count;
    println!(
        "{what:<20} {:>12.0} {encode:>10.0} {decode:>10.0} {:>12.0}",
        (bytes.len() - empty) as f64 / count,
        list as f64 / count,
    );
    Ok(())
}

fn transfer(objects: Vec<StoredObject>) -> Frame {
    let (floor, to) = (Revision(0), Revision(1_000_000));
    Frame::Objects(::config::Chunk { from: None, floor, to, index: 0, last: true, objects })
}

/// Bytes of one object in the platform's list, with the comma that follows it.
fn list_bytes(stored: &StoredObject) -> usize {
    let spec = stored.object.as_ref().map(|object| object.to_document());
    let spec: Option<Value> =
        spec.map(|bytes| serde_json::from_slice(&bytes).expect("documents are JSON"));
    let document = json!({
        "kind": stored.key.kind.as_str(),
        "name": &*stored.key.name,
        "revision": stored.revision.0,
        "write_id": stored.write_id.as_str(),
        "spec": spec,
    });
    document.to_string().len() + 1
}

/// Nanoseconds for one step, over as many steps as fit into [`TIMING`].
fn nanos(mut step: impl FnMut() -> usize) -> f64 {
    let start = Instant::now();
    let mut count: u32 = 0;
    while start.elapsed() < TIMING {
        for _ in 0..16 {
            black_box(step());
        }
        count += 16;
    }
    start.elapsed().as_nanos() as f64 / f64::from(count)
}

fn frames() -> Vec<(&'static str, Frame)> {
    let update = |report, reported| Frame::HealthUpdate(Box::new(health_update(report, reported)));
    vec![
        ("Challenge", Frame::Challenge([7; 16])),
        ("Hello", hello()),
        ("Welcome", welcome()),
        ("Ping", ping()),
        ("Pong, 0 endpoints", pong(0)),
        ("Pong, 1 endpoint", pong(1)),
        ("Pong, 10 endpoints", pong(10)),
        ("Pong, 48 endpoints", pong(48)),
        ("Pull", Frame::Pull(REVISION)),
        ("PullTable", Frame::PullTable),
        ("Table, 1 endpoint", table(1)),
        ("Table, 48 endpoints", table(48)),
        ("Objects, empty", transfer(Vec::new())),
        ("Done", Frame::Done),
        ("TokenRequests, 1 request with 1 report", token_requests(1)),
        ("TokenRequests, 10 requests with 1 report each", token_requests(10)),
        ("TokenAnswers, 1 answer", token_answers(1)),
        ("TokenAnswers, 10 answers", token_answers(10)),
        ("HealthUpdate, 0 endpoints, no report", update(None, 0)),
        ("HealthUpdate, 1 endpoint, no report", update(None, 1)),
        ("HealthUpdate, 1 endpoint, report of 1", update(Some(1), 1)),
        ("HealthUpdate, 10 endpoints, report of 10", update(Some(10), 10)),
        ("HealthReply, not the arbiter", health_reply(None)),
        ("HealthReply, empty list", health_reply(Some(0))),
        ("HealthReply, list of 3 ejections", health_reply(Some(3))),
        ("Call, keyed GET, no headers, no body", call(0, 0)),
        ("Call, keyed GET, 8 headers of 30 bytes", call(8, 0)),
        ("Call, keyed, 8 headers, 1 KB body", call(8, 1024)),
        ("Answer, no headers, no body", answer(0, 0)),
        ("Answer, 4 headers of 30 bytes, 1 KB body", answer(4, 1024)),
        ("Refused, with load", refused()),
        ("Fence", Frame::Fence { attempt: attempt(), start_by: CLOCK }),
    ]
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("generated names are valid")
}

fn attempt() -> AttemptId {
    AttemptId { entry: INCARNATION, sequence: SEQUENCE }
}

fn endpoint_name(number: usize) -> EndpointName {
    name(&format!("endpoint-{number}"))
}

fn hello() -> Frame {
    Frame::Hello(Hello {
        version: wire::PROTOCOL_VERSION,
        node: name("node-1234"),
        domain: name("domain-10"),
        incarnation: INCARNATION,
        purpose: Purpose::Control,
        nonce: [7; 16],
        proof: [200; 32],
    })
}

fn welcome() -> Frame {
    Frame::Welcome(Welcome {
        node: name("node-1234"),
        domain: name("domain-10"),
        incarnation: INCARNATION,
        clock: CLOCK,
        proof: [200; 32],
    })
}

fn ping() -> Frame {
    Frame::Ping(Ping { sequence: SEQUENCE, revision: REVISION, table_version: 1000 })
}

fn load(number: usize) -> EndpointLoad {
    let mean_service = Duration::from_micros(50_000);
    let report = LoadReport { slots: Slots(3), running: 2, queued: 1, mean_service };
    EndpointLoad { endpoint: endpoint_name(number), report }
}

fn pong(endpoints: usize) -> Frame {
    Frame::Pong(Pong {
        sequence: SEQUENCE,
        revision: REVISION,
        table_version: 1000,
        synced: true,
        stopping: false,
        platform_age: Some(Duration::from_millis(900)),
        clock: CLOCK,
        loads: (0..endpoints).map(load).collect(),
    })
}

fn table(endpoints: usize) -> Frame {
    let endpoints = (0..endpoints).map(|number| config::endpoint(number, 48)).collect();
    Frame::Table(Table { version: 1000, endpoints })
}

fn token_requests(count: usize) -> Frame {
    let report = SpentReport { sequence: SEQUENCE, spent: Tokens(20), rest: TokensLeft::Kept };
    let request = |number: usize| TokenRequest {
        account: name(&format!("account-{number}")),
        share: ShareIndex::new(3).expect("below the number of shares"),
        partition: PartitionId(200),
        entry: INCARNATION,
        sequence: SEQUENCE,
        wanted: Tokens(25),
        spent: vec![report],
    };
    Frame::TokenRequests((0..count).map(request).collect())
}

fn token_answers(count: usize) -> Frame {
    let (granted, next_in) = (Tokens(25), Duration::from_millis(20));
    let answer = |number: usize| TokenAnswer {
        account: name(&format!("account-{number}")),
        sequence: SEQUENCE,
        result: TokenResult::Decided { granted, next_in },
    };
    let (answers, moved) = ((0..count).map(answer).collect(), Vec::new());
    Frame::TokenAnswers(TokenAnswers { answers, moved })
}

fn health_update(reported: Option<usize>, endpoints: usize) -> HealthUpdate {
    let entry = |number: usize| ReportEntry {
        route: name::<RouteName>("route-0"),
        endpoint: endpoint_name(number),
        failures: 0,
        successes: LatencyCounts::from_pairs([(10, 2), (11, 3), (12, 2), (13, 1)]),
    };
    let report = reported.map(|count| HealthReport {
        guard: INCARNATION,
        sequence: SEQUENCE,
        entries: (0..count).map(entry).collect(),
    });
    HealthUpdate {
        service: name("service-1234"),
        report,
        held: Vec::new(),
        probed: Vec::<ProbeReport>::new(),
        endpoints: (0..endpoints).map(endpoint_name).collect(),
    }
}

fn health_reply(ejections: Option<usize>) -> Frame {
    let entry = |number: usize| ListEntry {
        route: name::<RouteName>("route-0"),
        endpoint: endpoint_name(number),
        weight: Weight::new(0),
        remaining: Duration::from_millis(4500),
        held: Duration::from_millis(12_000),
        level: 1,
    };
    let list = ejections.map(|count| EjectionList {
        epoch: Epoch(3 << 16),
        sequence: SEQUENCE,
        entries: (0..count).map(entry).collect(),
    });
    let (probes, moved) = (Vec::<Probe>::new(), None);
    Frame::HealthReply(Box::new(HealthReply { list, probes, moved }))
}

/// Headers of 30 bytes, name and value together.
fn headers(count: usize) -> Vec<wire::Header> {
    let header = |number: usize| wire::Header {
        name: format!("x-header-{number:03}").into(),
        value: vec![b'v'; 18],
    };
    (0..count).map(header).collect()
}

fn call(header_count: usize, body: usize) -> Frame {
    Frame::Call(Box::new(Call {
        attempt: attempt(),
        request: name("0123456789abcdef0123456789abcdef"),
        endpoint: endpoint_name(17),
        route: name("route-0"),
        account: Some((name("account-17"), name("0123456789abcdef"))),
        start_by: CLOCK,
        patience: Some(Duration::from_millis(150)),
        over_rate: false,
        revision: REVISION,
        head: Head {
            method: "GET".into(),
            target: "/orders/17".into(),
            headers: headers(header_count),
        },
        body: BodyPart { bytes: vec![b'b'; body], last: true },
    }))
}

fn answer(header_count: usize, body: usize) -> Frame {
    Frame::Answer(Box::new(AnswerHead {
        attempt: attempt(),
        status: 200,
        headers: headers(header_count),
        body: BodyPart { bytes: vec![b'b'; body], last: true },
        load: load(17),
    }))
}

fn refused() -> Frame {
    Frame::Refused { attempt: attempt(), code: ResultCode::QueueFull, load: Some(load(17)) }
}
