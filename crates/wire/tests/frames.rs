//! Encoding of the frames: round trips, hostile bytes, and the bytes themselves.

use std::time::Duration;

use expect_test::expect_file;
use model::{AttemptId, Incarnation, LoadReport, ResultCode, Revision, Slots, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::{
    AnswerHead, BodyPart, Call, DecodeError, EndpointLoad, FenceStatus, Frame, HandoverReply, Head,
    Header, HealthReply, HealthUpdate, Hello, MAX_CHUNK_BYTES, MAX_FRAME_BYTES, PartitionHandover,
    Ping, Pong, Probe, ProbeReport, Purpose, Table, TokenAnswers, Welcome, decode, encode,
};

fn seeded(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { rng_seed, failure_persistence: None, cases: 1024, ..ProptestConfig::default() }
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid id")
}

fn names<T: std::str::FromStr + std::fmt::Debug>() -> impl Strategy<Value = T>
where
    T::Err: std::fmt::Debug,
{
    "[a-z][a-z0-9-]{0,12}".prop_map(|text| id(&text))
}

fn attempts() -> impl Strategy<Value = AttemptId> {
    any::<(u64, u64)>()
        .prop_map(|(entry, sequence)| AttemptId { entry: Incarnation(entry), sequence })
}

fn parts() -> impl Strategy<Value = BodyPart> {
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    (bytes, any::<bool>()).prop_map(|(bytes, last)| BodyPart { bytes, last })
}

fn loads() -> impl Strategy<Value = EndpointLoad> {
    (names(), any::<(u32, u32, u32, u32)>()).prop_map(|(endpoint, (slots, running, queued, us))| {
        let mean_service = Duration::from_micros(us.into());
        EndpointLoad {
            endpoint,
            report: LoadReport { slots: Slots(slots), running, queued, mean_service },
        }
    })
}

fn headers() -> impl Strategy<Value = Vec<Header>> {
    let value = prop::collection::vec(any::<u8>(), 0..20);
    let header = ("[a-z-]{1,10}", value)
        .prop_map(|(name, value): (String, _)| Header { name: name.into(), value });
    prop::collection::vec(header, 0..4)
}

fn codes(range: std::ops::RangeInclusive<u16>) -> impl Strategy<Value = ResultCode> {
    range.prop_filter_map("a known code", ResultCode::from_number)
}

fn calls() -> impl Strategy<Value = Call> {
    let ids = (attempts(), names(), names(), names(), prop::option::of((names(), names())));
    let numbers = any::<(u64, Option<u32>, bool, u64)>();
    (ids, numbers, "[A-Z]{1,7}", "/[ -~]{0,30}", headers(), parts()).prop_map(
        |(ids, numbers, method, target, headers, body)| {
            let (attempt, request, endpoint, route, account) = ids;
            let (start_by, patience, over_rate, revision) = numbers;
            Call {
                attempt,
                request,
                endpoint,
                route,
                account,
                start_by: Time::from_micros(start_by),
                patience: patience.map(|us| Duration::from_micros(us.into())),
                over_rate,
                revision: Revision(revision),
                head: Head { method: method.into(), target: target.into(), headers },
                body,
            }
        },
    )
}

fn links() -> impl Strategy<Value = Frame> {
    let hello = (names(), names(), any::<(u16, u64, bool, [u8; 16], [u8; 32])>()).prop_map(
        |(node, domain, (version, incarnation, control, nonce, proof))| {
            let purpose = if control { Purpose::Control } else { Purpose::Call };
            let incarnation = Incarnation(incarnation);
            Frame::Hello(Hello { version, node, domain, incarnation, purpose, nonce, proof })
        },
    );
    let welcome = (names(), names(), any::<(u64, u64, [u8; 32])>()).prop_map(
        |(node, domain, (incarnation, clock, proof))| {
            let (incarnation, clock) = (Incarnation(incarnation), Time::from_micros(clock));
            Frame::Welcome(Welcome { node, domain, incarnation, clock, proof })
        },
    );
    let pong = any::<(u64, u64, u64, bool, bool, Option<u32>, u64)>();
    let pong = (pong, prop::collection::vec(loads(), 0..4)).prop_map(|(numbers, loads)| {
        let (sequence, revision, table_version, synced, stopping, age, clock) = numbers;
        let platform_age = age.map(|ms| Duration::from_millis(ms.into()));
        let (revision, clock) = (Revision(revision), Time::from_micros(clock));
        Frame::Pong(Pong {
            sequence,
            revision,
            table_version,
            synced,
            stopping,
            platform_age,
            clock,
            loads,
        })
    });
    prop_oneof![
        any::<[u8; 16]>().prop_map(Frame::Challenge),
        hello,
        welcome,
        codes(1001..=5999).prop_map(Frame::Rejected),
        any::<(u64, u64, u64)>().prop_map(|(sequence, revision, table_version)| {
            Frame::Ping(Ping { sequence, revision: Revision(revision), table_version })
        }),
        pong,
        any::<u64>().prop_map(|revision| Frame::Pull(Revision(revision))),
        Just(Frame::PullMore),
        Just(Frame::PullTable),
        Just(Frame::Done),
        any::<u64>().prop_map(|version| Frame::Table(Table { version, endpoints: Vec::new() })),
        any::<bool>().prop_map(|taken| {
            Frame::HandoverReply(if taken { HandoverReply::Taken } else { HandoverReply::Refused })
        }),
    ]
}

fn attempts_and_answers() -> impl Strategy<Value = Frame> {
    let status = prop::sample::select(vec![
        FenceStatus::NotRun,
        FenceStatus::Running,
        FenceStatus::Ran,
        FenceStatus::Unknown,
    ]);
    let answer = (attempts(), 200_u16..600, headers(), parts(), loads());
    prop_oneof![
        calls().prop_map(|call| Frame::Call(Box::new(call))),
        parts().prop_map(Frame::CallBody),
        (attempts(), codes(1001..=1999), prop::option::of(loads()))
            .prop_map(|(attempt, code, load)| Frame::Refused { attempt, code, load }),
        (attempts(), codes(1001..=2999))
            .prop_map(|(attempt, code)| Frame::Failed { attempt, code }),
        answer.prop_map(|(attempt, status, headers, body, load)| {
            Frame::Answer(Box::new(AnswerHead { attempt, status, headers, body, load }))
        }),
        (attempts(), parts()).prop_map(|(attempt, part)| Frame::AnswerBody { attempt, part }),
        (attempts(), any::<u64>()).prop_map(|(attempt, start_by)| {
            Frame::Fence { attempt, start_by: Time::from_micros(start_by) }
        }),
        (attempts(), status).prop_map(|(attempt, status)| Frame::Fenced { attempt, status }),
    ]
}

fn frames() -> impl Strategy<Value = Frame> {
    let listed = prop::sample::select(examples()).prop_map(|(_, frame)| frame);
    prop_oneof![links(), attempts_and_answers(), listed]
}

fn attempt() -> AttemptId {
    AttemptId { entry: Incarnation(7), sequence: 9 }
}

fn load() -> EndpointLoad {
    let mean_service = Duration::from_millis(25);
    let report = LoadReport { slots: Slots(3), running: 2, queued: 1, mean_service };
    EndpointLoad { endpoint: id("orders-1"), report }
}

fn part() -> BodyPart {
    BodyPart { bytes: b"body".to_vec(), last: true }
}

/// One example of each frame.
fn examples() -> Vec<(&'static str, Frame)> {
    let mut all = link_examples();
    all.extend(call_examples());
    all.extend(owner_examples());
    all
}

fn link_examples() -> Vec<(&'static str, Frame)> {
    let (node, domain, incarnation) = (id("node-1"), id("mid-a"), Incarnation(7));
    let (nonce, proof) = ([1; 16], [2; 32]);
    let clock = Time::from_micros(1_000_000);
    let version = wire::PROTOCOL_VERSION;
    let purpose = Purpose::Call;
    let hello = Hello {
        version,
        node: id("node-1"),
        domain: id("mid-a"),
        incarnation,
        purpose,
        nonce,
        proof,
    };
    let pong = Pong {
        sequence: 1,
        revision: Revision(2),
        table_version: 3,
        synced: true,
        stopping: false,
        platform_age: Some(Duration::from_millis(40)),
        clock,
        loads: vec![load()],
    };
    let object = model::StoredObject {
        key: model::ObjectKey::new(model::Kind::Route, "orders"),
        revision: Revision(5),
        write_id: id("w1"),
        object: None,
    };
    let objects = config::Chunk {
        from: Some(Revision(1)),
        floor: Revision(1),
        to: Revision(5),
        index: 0,
        last: true,
        objects: vec![object],
    };
    vec![
        ("Challenge", Frame::Challenge(nonce)),
        ("Hello", Frame::Hello(hello)),
        ("Welcome", Frame::Welcome(Welcome { node, domain, incarnation, clock, proof })),
        ("Rejected", Frame::Rejected(ResultCode::VersionUnsupported)),
        ("Ping", Frame::Ping(Ping { sequence: 1, revision: Revision(2), table_version: 3 })),
        ("Pong", Frame::Pong(pong)),
        ("Pull", Frame::Pull(Revision(5))),
        ("PullMore", Frame::PullMore),
        ("Objects", Frame::Objects(objects)),
        ("PullTable", Frame::PullTable),
        ("Table", Frame::Table(Table { version: 3, endpoints: Vec::new() })),
        ("Done", Frame::Done),
    ]
}

fn call_examples() -> Vec<(&'static str, Frame)> {
    let attempt = attempt();
    let headers = vec![Header { name: "accept".into(), value: b"*/*".to_vec() }];
    let call = Call {
        attempt,
        request: id("r1"),
        endpoint: id("orders-1"),
        route: id("orders"),
        account: Some((id("club"), id("k1"))),
        start_by: Time::from_micros(2_000_000),
        patience: Some(Duration::from_millis(50)),
        over_rate: false,
        revision: Revision(5),
        head: Head { method: "POST".into(), target: "/orders".into(), headers: headers.clone() },
        body: part(),
    };
    let answer = AnswerHead { attempt, status: 200, headers, body: part(), load: load() };
    let refused = Frame::Refused { attempt, code: ResultCode::QueueFull, load: Some(load()) };
    vec![
        ("Call", Frame::Call(Box::new(call))),
        ("CallBody", Frame::CallBody(part())),
        ("Refused", refused),
        ("Failed", Frame::Failed { attempt, code: ResultCode::UpstreamLost }),
        ("Answer", Frame::Answer(Box::new(answer))),
        ("AnswerBody", Frame::AnswerBody { attempt, part: part() }),
        ("Fence", Frame::Fence { attempt, start_by: Time::from_micros(2_000_000) }),
        ("Fenced", Frame::Fenced { attempt, status: FenceStatus::Ran }),
    ]
}

fn owner_examples() -> Vec<(&'static str, Frame)> {
    let (partition, epoch) = (model::PartitionId(4), model::Epoch(6));
    let share = limits::ShareIndex::new(2).expect("a valid share");
    let request = limits::TokenRequest {
        account: id("club"),
        share,
        partition,
        entry: Incarnation(7),
        sequence: 8,
        wanted: model::Tokens(5),
        spent: vec![limits::SpentReport {
            sequence: 7,
            spent: model::Tokens(3),
            rest: limits::TokensLeft::Returned,
        }],
    };
    let next_in = Duration::from_millis(100);
    let result = limits::TokenResult::Decided { granted: model::Tokens(5), next_in };
    let answer = limits::TokenAnswer { account: id("club"), sequence: 8, result };
    let result = limits::TokenResult::NotOwner;
    let not_owner = limits::TokenAnswer { account: id("club"), sequence: 9, result };
    let bucket = limits::BucketState {
        account: id("club"),
        share,
        rate: model::Rate::from_milli_per_second(1500),
        burst: model::Burst(10),
        level_nano: 3,
        grants: Vec::new(),
    };
    let to_incarnation = Incarnation(9);
    let right = membership::Handover { partition, epoch, hop: 1, to: id("node-2"), to_incarnation };
    let age = Duration::from_millis(2);
    // The buckets count handovers in their epoch, which an arbiter's lists are ordered by.
    let bucket_epoch = model::Epoch(epoch.0 << 16);
    let buckets = limits::Handover { partition, epoch: bucket_epoch, age, buckets: vec![bucket] };
    let handed = |stage| health::HandedEndpoint {
        route: id("orders"),
        endpoint: id("orders-1"),
        stage,
        held: Duration::from_millis(4200),
        level: 2,
        severity: 350,
        ready_for: Some(Duration::from_secs(7)),
    };
    let stages = [
        health::Stage::Healthy,
        health::Stage::Ejected { probe_in: Duration::from_secs(3) },
        health::Stage::Kept { probation_in: Duration::from_secs(2) },
        health::Stage::Probation,
        health::Stage::SlowStart { step: 2 },
    ];
    let ejection_wait = Duration::from_secs(8);
    let endpoints = stages.map(handed).into();
    let arbiters = vec![(id("orders"), health::Handover { wait: ejection_wait, endpoints })];
    let handover = PartitionHandover { right: right.clone(), buckets, ejection_wait, arbiters };
    let probe = Probe { route: id("orders"), endpoint: id("orders-1") };
    let result = health::ProbeResult::Good;
    let update = HealthUpdate {
        service: id("orders"),
        report: None,
        held: vec![health::HeldEjection {
            route: id("orders"),
            endpoint: id("orders-1"),
            remaining: Duration::from_secs(5),
            level: 1,
        }],
        probed: vec![ProbeReport { probe: probe.clone(), result }],
        endpoints: vec![id("orders-1")],
    };
    let list = health::EjectionList { epoch, sequence: 1, entries: Vec::new() };
    let reply = HealthReply { list: Some(list), probes: vec![probe], moved: None };
    let moved = right;
    let no_arbiter = HealthReply { list: None, probes: Vec::new(), moved: Some(moved.clone()) };
    let answers = TokenAnswers { answers: vec![answer, not_owner], moved: vec![moved] };
    vec![
        ("TokenRequests", Frame::TokenRequests(vec![request])),
        ("TokenAnswers", Frame::TokenAnswers(answers)),
        ("Handover", Frame::Handover(Box::new(handover))),
        ("HandoverReply", Frame::HandoverReply(HandoverReply::Taken)),
        ("HealthUpdate", Frame::HealthUpdate(Box::new(update))),
        ("HealthReply", Frame::HealthReply(Box::new(reply))),
        ("HealthReply", Frame::HealthReply(Box::new(no_arbiter))),
    ]
}

fn check(bytes: &[u8], expected: ResultCode) {
    let code = decode(bytes).as_ref().map_err(DecodeError::code).err();
    assert_eq!(code, Some(expected), "{:02x?}", &bytes[..bytes.len().min(32)]);
}

/// Shows an unintended change of the protocol.
#[test]
fn encoding_of_each_frame_is_stable() {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let lines: String = examples()
        .iter()
        .map(|(name, frame)| format!("{name} {}\n", hex(&encode(frame))))
        .collect();
    expect_file!["frames.txt"].assert_eq(&lines);
}

proptest! {
    #![proptest_config(seeded(3))]

    #[test]
    fn frames_survive_a_round_trip(frame in frames()) {
        prop_assert_eq!(decode(&encode(&frame)), Ok(frame));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Err(err) = decode(&bytes) {
            prop_assert_eq!(err.code(), ResultCode::FrameInvalid);
        }
    }

    /// Guards against a frame that is taken although part of it was lost or changed on the way to
    /// something that is no frame.
    #[test]
    fn mutated_frames_never_panic(
        frame in frames(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let whole = encode(&frame);
        let mut bytes = whole.clone();
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        // What is still a frame must be one that this version could have sent.
        if let Ok(changed) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&changed)), Ok(changed));
        }
        let cut = cut.index(whole.len());
        prop_assert!(decode(&whole[..cut]).is_err(), "cut at {}", cut);
    }
}

#[test]
fn hostile_lengths_are_refused_without_allocating() {
    // {"cb": [bytes of 2^60, ..]}, and the same for arrays, maps and texts.
    for major in [0x5b_u8, 0x7b, 0x9b, 0xbb] {
        let mut bytes = vec![0xa1, 0x62, b'c', b'b', 0x82, major, 0x10];
        bytes.extend([0; 7]);
        check(&bytes, ResultCode::FrameInvalid);
        // {"ta": [1, [2^60 elements]]}
        let mut bytes = vec![0xa1, 0x62, b't', b'a', 0x82, 0x01, major, 0x10];
        bytes.extend([0; 7]);
        check(&bytes, ResultCode::FrameInvalid);
    }
}

#[test]
fn deep_nesting_is_refused() {
    for opener in [0x81_u8, 0x9f, 0xd8] {
        check(&vec![opener; 100_000], ResultCode::FrameInvalid);
        let mut bytes = vec![0xa1, 0x62, b'c', b'b'];
        bytes.extend(vec![opener; 100_000]);
        check(&bytes, ResultCode::FrameInvalid);
    }
}

#[test]
fn oversized_frames_and_parts_are_refused() {
    check(&vec![0; MAX_FRAME_BYTES + 1], ResultCode::FrameTooLarge);
    let part = BodyPart { bytes: vec![0; MAX_CHUNK_BYTES + 1], last: true };
    check(&encode(&Frame::CallBody(part)), ResultCode::FrameTooLarge);
}

/// Guards against a frame followed by bytes that another decoder would read as a second one.
#[test]
fn bytes_after_a_frame_are_refused() {
    let mut bytes = encode(&Frame::Done);
    bytes.push(0);
    check(&bytes, ResultCode::FrameInvalid);
}
