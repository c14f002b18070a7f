//! Slopes of the frames between nodes and of the platform's list: bytes, and time to encode and
//! decode.

use std::hint::black_box;
use std::time::{Duration, Instant};

use ::config::{Feed, Revisions};
use eyre::{Result, ensure};
use limits::{ShareIndex, SpentReport, TokenAnswer, TokenRequest, TokenResult, TokensLeft};
use model::{
    AttemptId, EndpointName, Incarnation, LoadReport, PartitionId, ResultCode, Revision, Slots,
    StoredObject, Time, Tokens,
};
use serde_json::{Value, json};
use wire::{AnswerHead, BodyPart, Call, EndpointLoad, Frame, Head, Hello, Purpose, Welcome};

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
    let kinds: [(&str, Make); 4] = [
        ("route", config::route),
        ("account", config::account),
        ("key", config::key),
        ("node record", config::node_record),
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
    let (compact_revision, to) = (Revision(0), Revision(1_000_000));
    let chunk = ::config::Chunk { from: None, compact_revision, to, index: 0, last: true, objects };
    Frame::Objects(Feed::Objects, chunk)
}

/// Bytes of one object in the platform's list, with the comma that follows it.
fn list_bytes(stored: &StoredObject) -> usize {
    let spec = stored.object.as_ref().map(|object| object.to_document());
    let spec: Option<Value> =
        spec.map(|bytes| serde_json::from_slice(&bytes).expect("documents are JSON"));
    let name = format!("{}.{}", stored.key.kind, stored.key.name);
    let document = json!({
        "meta": {"name": name, "rev": stored.revision.0, "created": 0, "finalizers": [], "deleting": false},
        "spec": {"write_id": stored.write_id.as_str(), "document": spec},
        "status": null,
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
    vec![
        ("Challenge", Frame::Challenge([7; 16])),
        ("Hello", hello()),
        ("Welcome", welcome()),
        ("Revisions", Frame::Revisions(revisions())),
        ("Pull", Frame::Pull(Feed::Imported, REVISION)),
        ("Objects, empty", transfer(Vec::new())),
        ("Done", Frame::Done),
        ("TokenRequests, 1 request with 1 report", token_requests(1)),
        ("TokenRequests, 10 requests with 1 report each", token_requests(10)),
        ("TokenAnswers, 1 answer", token_answers(1)),
        ("TokenAnswers, 10 answers", token_answers(10)),
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

fn revisions() -> Revisions {
    Revisions { objects: REVISION, imported: REVISION }
}

fn load(number: usize) -> EndpointLoad {
    let mean_service = Duration::from_micros(50_000);
    let report = LoadReport { slots: Slots(3), running: 2, queued: 1, mean_service };
    EndpointLoad { endpoint: endpoint_name(number), report }
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
    Frame::TokenAnswers((0..count).map(answer).collect())
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
        queue_until: CLOCK,
        goal_by: Some(CLOCK),
        max_expected_wait: Some(Duration::from_millis(150)),
        over_rate: false,
        idempotent: true,
        accepts_suspect: false,
        is_retry: false,
        retry_origin_percent: Default::default(),
        priority: 1,
        caller_service: Some(name("service-1234")),
        revisions: revisions(),
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
        revisions: revisions(),
        took: Duration::from_millis(50),
    }))
}

fn refused() -> Frame {
    let (code, load) = (ResultCode::QueueFull, Some(load(17)));
    Frame::Refused { attempt: attempt(), code, load, revisions: revisions() }
}
