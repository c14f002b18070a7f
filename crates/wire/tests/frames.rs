//! Tests of the encoding of frames: round trips, malformed input, and the exact bytes.

use std::time::Duration;

use config::{Feed, Revisions};
use evacuation::Snapshot;
use expect_test::expect_file;
use model::{AttemptId, Incarnation, LoadReport, ResultCode, Revision, Slots, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::{
    AnswerHead, BodyPart, Call, DecodeError, EndpointLoad, FenceStatus, Frame, Head, Header, Hello,
    MAX_CHUNK_BYTES, MAX_FRAME_BYTES, Purpose, Welcome, decode, encode,
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

fn revisions() -> impl Strategy<Value = Revisions> {
    any::<(u64, u64)>().prop_map(|(objects, imported)| Revisions {
        objects: Revision(objects),
        imported: Revision(imported),
    })
}

fn evacuations() -> impl Strategy<Value = Frame> {
    let domains = prop::collection::btree_set(names(), 0..4);
    let snapshot = (any::<u64>(), domains)
        .prop_map(|(revision, domains)| Snapshot { revision: Revision(revision), domains });
    (prop::option::of(snapshot), any::<Option<u64>>()).prop_map(|(snapshot, micros)| {
        Frame::Evacuations { snapshot, confirmed_ago: micros.map(Duration::from_micros) }
    })
}

fn feeds() -> impl Strategy<Value = Feed> {
    prop::sample::select(Feed::ALL.to_vec())
}

fn calls() -> impl Strategy<Value = Call> {
    let ids = (attempts(), names(), names(), names(), prop::option::of((names(), names())));
    let numbers = any::<(u64, Option<u32>, bool, bool, bool, u8)>();
    let from = (prop::option::of(names()), revisions());
    (ids, numbers, from, "[A-Z]{1,7}", "/[ -~]{0,30}", headers(), parts()).prop_map(
        |(ids, numbers, from, method, target, headers, body)| {
            let (attempt, request, endpoint, route, account) = ids;
            let (start_by, max_expected_wait, over_rate, idempotent, accepts_suspect, priority) =
                numbers;
            let (caller_service, revisions) = from;
            Call {
                attempt,
                request,
                endpoint,
                route,
                account,
                start_by: Time::from_micros(start_by),
                queue_until: Time::from_micros(start_by / 3),
                goal_by: max_expected_wait.map(|_| Time::from_micros(start_by / 2)),
                max_expected_wait: max_expected_wait.map(|us| Duration::from_micros(us.into())),
                over_rate,
                idempotent,
                accepts_suspect,
                is_retry: !idempotent,
                retry_origin_percent: model::Percent::new(priority.min(100)).unwrap(),
                priority,
                caller_service,
                revisions,
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
    prop_oneof![
        any::<[u8; 16]>().prop_map(Frame::Challenge),
        hello,
        welcome,
        codes(1001..=5999).prop_map(Frame::Rejected),
        (feeds(), any::<u64>()).prop_map(|(feed, revision)| Frame::Pull(feed, Revision(revision))),
        Just(Frame::PullMore),
        evacuations(),
        revisions().prop_map(Frame::Revisions),
        (revisions(), any::<Option<u64>>()).prop_map(|(revisions, micros)| Frame::Compare {
            revisions,
            confirmed_ago: micros.map(Duration::from_micros),
        }),
        Just(Frame::Done),
    ]
}

fn attempts_and_answers() -> impl Strategy<Value = Frame> {
    let status = prop::sample::select(vec![
        FenceStatus::NotRun,
        FenceStatus::Running,
        FenceStatus::Ran,
        FenceStatus::Unknown,
    ]);
    let answer = (attempts(), 200_u16..600, headers(), parts(), loads(), revisions(), any::<u32>());
    prop_oneof![
        calls().prop_map(|call| Frame::Call(Box::new(call))),
        parts().prop_map(Frame::CallBody),
        (attempts(), codes(1001..=1999), prop::option::of(loads()), revisions()).prop_map(
            |(attempt, code, load, revisions)| Frame::Refused { attempt, code, load, revisions }
        ),
        (attempts(), codes(1001..=2999))
            .prop_map(|(attempt, code)| Frame::Failed { attempt, code }),
        answer.prop_map(|(attempt, status, headers, body, load, revisions, us)| {
            let took = Duration::from_micros(us.into());
            let head = AnswerHead { attempt, status, headers, body, load, revisions, took };
            Frame::Answer(Box::new(head))
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
    let object = model::StoredObject {
        key: model::ObjectKey::new(model::Kind::Route, "orders"),
        revision: Revision(5),
        write_id: id("w1"),
        object: None,
    };
    let objects = config::Chunk {
        from: Some(Revision(1)),
        compact_revision: Revision(1),
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
        ("Pull", Frame::Pull(Feed::Objects, Revision(5))),
        ("Pull", Frame::Pull(Feed::Imported, Revision(5))),
        ("PullMore", Frame::PullMore),
        ("PullOwnRecord", Frame::PullOwnRecord),
        ("PullRetained", Frame::PullRetained(2)),
        ("Revisions", Frame::Revisions(Revisions { objects: Revision(5), imported: Revision(6) })),
        (
            "Compare",
            Frame::Compare {
                revisions: Revisions { objects: Revision(5), imported: Revision(6) },
                confirmed_ago: Some(Duration::from_millis(250)),
            },
        ),
        ("Objects", Frame::Objects(Feed::Imported, objects)),
        (
            "Evacuations",
            Frame::Evacuations {
                snapshot: Some(Snapshot { revision: Revision(9), domains: [id("mid-a")].into() }),
                confirmed_ago: Some(Duration::from_millis(5)),
            },
        ),
        ("PullRetainedEvacuations", Frame::PullRetainedEvacuations),
        (
            "RetainedEvacuations",
            Frame::RetainedEvacuations {
                revision: Revision(9),
                retained: vec![(id("mid-a"), Duration::from_millis(40_000))],
            },
        ),
        ("Done", Frame::Done),
    ]
}

fn call_examples() -> Vec<(&'static str, Frame)> {
    let attempt = attempt();
    let headers = vec![Header { name: "accept".into(), value: b"*/*".to_vec() }];
    let revisions = Revisions { objects: Revision(5), imported: Revision(6) };
    let call = Call {
        attempt,
        request: id("r1"),
        endpoint: id("orders-1"),
        route: id("orders"),
        account: Some((id("club"), id("k1"))),
        start_by: Time::from_micros(2_000_000),
        queue_until: Time::from_micros(1_500_000),
        goal_by: Some(Time::from_micros(1_000_000)),
        max_expected_wait: Some(Duration::from_millis(50)),
        over_rate: false,
        idempotent: true,
        accepts_suspect: false,
        is_retry: false,
        retry_origin_percent: Default::default(),
        priority: 2,
        caller_service: Some(id("catalogue")),
        revisions,
        head: Head { method: "POST".into(), target: "/orders".into(), headers: headers.clone() },
        body: part(),
    };
    let answer = AnswerHead {
        attempt,
        status: 200,
        headers,
        body: part(),
        load: load(),
        revisions,
        took: Duration::from_millis(30),
    };
    let (code, load) = (ResultCode::QueueFull, Some(load()));
    let refused = Frame::Refused { attempt, code, load, revisions };
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
    let partition = model::PartitionId(4);
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
    vec![
        ("TokenRequests", Frame::TokenRequests(vec![request])),
        ("TokenAnswers", Frame::TokenAnswers(vec![answer, not_owner])),
    ]
}

fn check_rejected(bytes: &[u8], expected: ResultCode) {
    let code = decode(bytes).as_ref().map_err(DecodeError::code).err();
    assert_eq!(code, Some(expected), "{:02x?}", &bytes[..bytes.len().min(32)]);
}

/// Guards against an unintended change of the protocol.
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
    fn frames_are_equal_after_a_round_trip(frame in frames()) {
        prop_assert_eq!(decode(&encode(&frame)), Ok(frame));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Err(err) = decode(&bytes) {
            prop_assert_eq!(err.code(), ResultCode::FrameInvalid);
        }
    }

    /// Guards against a decoder that panics on a corrupted frame or accepts a truncated one.
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
        // If the changed bytes still decode, the result must be a frame that this version can send.
        if let Ok(changed) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&changed)), Ok(changed));
        }
        let cut = cut.index(whole.len());
        prop_assert!(decode(&whole[..cut]).is_err(), "truncated to {} bytes", cut);
    }
}

#[test]
fn huge_lengths_are_rejected_without_allocating() {
    // {"cb": [bytes of 2^60, ..]}, and the same for arrays, maps and texts.
    for major in [0x5b_u8, 0x7b, 0x9b, 0xbb] {
        let mut bytes = vec![0xa1, 0x62, b'c', b'b', 0x82, major, 0x10];
        bytes.extend([0; 7]);
        check_rejected(&bytes, ResultCode::FrameInvalid);
        // {"tr": [2^60 elements]}
        let mut bytes = vec![0xa1, 0x62, b't', b'r', major, 0x10];
        bytes.extend([0; 7]);
        check_rejected(&bytes, ResultCode::FrameInvalid);
    }
}

#[test]
fn deep_nesting_is_rejected() {
    for opener in [0x81_u8, 0x9f, 0xd8] {
        check_rejected(&vec![opener; 100_000], ResultCode::FrameInvalid);
        let mut bytes = vec![0xa1, 0x62, b'c', b'b'];
        bytes.extend(vec![opener; 100_000]);
        check_rejected(&bytes, ResultCode::FrameInvalid);
    }
}

#[test]
fn oversized_frames_and_parts_are_rejected() {
    check_rejected(&vec![0; MAX_FRAME_BYTES + 1], ResultCode::FrameTooLarge);
    let part = BodyPart { bytes: vec![0; MAX_CHUNK_BYTES + 1], last: true };
    check_rejected(&encode(&Frame::CallBody(part)), ResultCode::FrameTooLarge);
}

/// Guards against a frame followed by bytes that another decoder would read as a second one.
#[test]
fn bytes_after_a_frame_are_rejected() {
    let mut bytes = encode(&Frame::Done);
    bytes.push(0);
    check_rejected(&bytes, ResultCode::FrameInvalid);
}

/// Guards against an imported configuration with policies of services that ends the links of nodes of the
/// previous version, which know no such kind, and against policies that change on the way.
#[test]
fn policies_of_services_travel_as_marks_of_the_imported_feed() {
    let stored = |object| model::StoredObject {
        key: model::ObjectKey::new(model::Kind::Service, "orders"),
        revision: Revision(5),
        write_id: id("w1"),
        object,
    };
    let policy = br#"{"cold_for_ms":3000,"cold_per_second":"12.5/s"}"#;
    let policy = model::Object::from_document(model::Kind::Service, policy).unwrap();
    let objects = vec![stored(Some(policy)), stored(None)];
    let (from, revision) = (Some(Revision(1)), Revision(5));
    let chunk = config::Chunk {
        from,
        compact_revision: Revision(1),
        to: revision,
        index: 0,
        last: true,
        objects,
    };
    let frame = Frame::Objects(Feed::Imported, chunk);
    let bytes = encode(&frame);
    assert_eq!(decode(&bytes).unwrap(), frame);
    let text = String::from_utf8_lossy(&bytes);
    assert!(!text.contains("service"), "{text}");
    // What a node of the previous version reads from the frame.
    let document =
        br#"{"labels":{"cold_for_ms":"3000","cold_per_second":"12.5/s"},"drained":false}"#;
    assert!(text.contains(std::str::from_utf8(document).unwrap()), "{text}");
    assert!(model::Object::from_document(model::Kind::EndpointMark, document).is_ok());
    assert_eq!(text.matches("endpoint-mark").count(), 2);
}

/// Guards against a node record with a start time that ends the links of nodes of the previous version,
/// which reject documents with unknown fields.
#[test]
fn node_records_travel_without_their_start_time() {
    let document = br#"{"domain":"a","peer_addr":"10.0.0.1:80","operator_addr":"10.0.0.1:1",
        "incarnation":1}"#;
    let kind = model::Kind::Node;
    let frame = |started_ms| {
        let Ok(model::Object::Node(record)) = model::Object::from_document(kind, document) else {
            panic!("a node record");
        };
        let record = model::NodeRecord { started_ms, ..record };
        let object = model::StoredObject {
            key: model::ObjectKey::new(kind, "node-1"),
            revision: Revision(5),
            write_id: id("w1"),
            object: Some(model::Object::Node(record)),
        };
        let chunk = config::Chunk {
            from: None,
            compact_revision: Revision(5),
            to: Revision(5),
            index: 0,
            last: true,
            objects: vec![object],
        };
        Frame::Objects(Feed::Objects, chunk)
    };
    let bytes = encode(&frame(Some(1_700_000_000_000)));
    assert_eq!(bytes, encode(&frame(None)));
    assert_eq!(decode(&bytes), Ok(frame(None)));
}

/// Guards against a mark in the imported feed that ends the link because it holds no valid policy.
#[test]
fn marks_without_a_policy_stay_marks() {
    for rate in ["0/s", "fast", "20000/s"] {
        let mark = format!(r#"{{"labels":{{"cold_for_ms":"3000","cold_per_second":"{rate}"}}}}"#);
        let kind = model::Kind::EndpointMark;
        let object = model::StoredObject {
            key: model::ObjectKey::new(kind, "orders"),
            revision: Revision(5),
            write_id: id("w1"),
            object: Some(model::Object::from_document(kind, mark.as_bytes()).unwrap()),
        };
        let chunk = config::Chunk {
            from: None,
            compact_revision: Revision(5),
            to: Revision(5),
            index: 0,
            last: true,
            objects: vec![object],
        };
        let frame = Frame::Objects(Feed::Imported, chunk);
        assert_eq!(decode(&encode(&frame)).unwrap(), frame);
    }
}

/// Guards against a version that a node of the previous version takes for a revision of the store: it knows
/// the feeds 0 and 1 only, and rejects a frame with another one.
#[test]
fn versions_are_transferred_as_a_feed_of_their_own() {
    let feed_number = |frame: &Frame| {
        let bytes = encode(frame);
        assert_eq!(decode(&bytes), Ok(frame.clone()));
        // {"pu": [feed, ..]}
        bytes[5]
    };
    let version = Revision::of_version(58);
    assert_eq!(feed_number(&Frame::Pull(Feed::Objects, Revision(58))), 0);
    assert_eq!(feed_number(&Frame::Pull(Feed::Imported, Revision(58))), 1);
    assert_eq!(feed_number(&Frame::Pull(Feed::Imported, version)), 2);
}
