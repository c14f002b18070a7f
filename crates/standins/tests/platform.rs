//! Tests of the platform's stand-in over its HTTP protocol.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use standins::platform::{Faults, PlatformConfig, PlatformStandin};
use ureq::Agent;

fn start(cfg: PlatformConfig) -> PlatformStandin {
    PlatformStandin::start("127.0.0.1:0".parse().unwrap(), cfg).unwrap()
}

fn agent() -> Agent {
    let timeout = Some(Duration::from_secs(5));
    Agent::config_builder().http_status_as_error(false).timeout_global(timeout).build().new_agent()
}

fn get(standin: &PlatformStandin, path: &str) -> String {
    let mut answer = agent().get(format!("{}{path}", standin.url())).call().unwrap();
    format!("{} {}", answer.status().as_u16(), answer.body_mut().read_to_string().unwrap())
}

fn write(standin: &PlatformStandin, name: &str, condition: (&str, &str), spec: &str) -> String {
    let url = format!("{}/v1/objects/account/{name}", standin.url());
    let (req, body) = match spec {
        "" => (agent().delete(url).force_send_body(), r#"{"write_id":"w"}"#.to_owned()),
        spec => (agent().put(url), format!(r#"{{"write_id":"w","spec":{spec}}}"#)),
    };
    let mut answer = req.header(condition.0, condition.1).send(body).unwrap();
    format!("{} {}", answer.status().as_u16(), answer.body_mut().read_to_string().unwrap())
}

fn check(actual: String, expect: Expect) {
    expect.assert_eq(&actual);
}

const ABSENT: (&str, &str) = ("If-None-Match", "*");

/// Guards against a lost update: of two writes from the same revision, the second must fail.
#[test]
fn conditional_writes() {
    let standin = start(PlatformConfig::default());
    check(write(&standin, "a", ABSENT, r#"{"x":1}"#), expect![[r#"200 {"revision":1}"#]]);
    check(
        write(&standin, "a", ABSENT, r#"{"x":2}"#),
        expect![[r#"412 {"current":1,"error":"conflict","revision":1}"#]],
    );
    check(
        write(&standin, "a", ("If-Match", "1"), r#"{"x":3}"#),
        expect![[r#"200 {"revision":2}"#]],
    );
    check(
        write(&standin, "a", ("If-Match", "1"), r#"{"x":4}"#),
        expect![[r#"412 {"current":2,"error":"conflict","revision":2}"#]],
    );
    check(
        get(&standin, "/v1/objects/account/a"),
        expect![[
            r#"200 {"object":{"kind":"account","name":"a","revision":2,"spec":{"x":3},"write_id":"w"},"revision":2}"#
        ]],
    );
    check(write(&standin, "a", ("If-Match", "2"), ""), expect![[r#"200 {"revision":3}"#]]);
    check(get(&standin, "/v1/objects"), expect![[r#"200 {"objects":[],"revision":3}"#]]);
    check(
        get(&standin, "/v1/watch?since=2&wait_ms=0"),
        expect![[
            r#"200 {"objects":[{"kind":"account","name":"a","revision":3,"spec":null,"write_id":"w"}],"revision":3}"#
        ]],
    );
}

/// Guards against a watch that misses a deletion whose tombstone is gone.
#[test]
fn dropped_tombstones_need_a_list() {
    let standin = start(PlatformConfig { tombstones: 0, ..PlatformConfig::default() });
    write(&standin, "a", ABSENT, "{}");
    write(&standin, "a", ("If-Match", "1"), "");
    check(
        get(&standin, "/v1/watch?since=1&wait_ms=0"),
        expect![[r#"410 {"detail":"","error":"list needed","revision":2}"#]],
    );
    check(
        get(&standin, "/v1/watch?since=2&wait_ms=0"),
        expect![[r#"200 {"objects":[],"revision":2}"#]],
    );
    check(
        get(&standin, "/v1/watch?since=3&wait_ms=0"),
        expect![[r#"410 {"detail":"","error":"list needed","revision":2}"#]],
    );
}

/// Guards against watches that poll, or that stay open through an outage or a stop.
#[test]
fn waiting_watches_end() {
    let mut standin = start(PlatformConfig::default());
    let url = format!("{}/v1/watch?since=0&wait_ms=20000", standin.url());
    let watch = || {
        let url = url.clone();
        let watcher = thread::spawn(move || agent().get(url).call().unwrap().status().as_u16());
        thread::sleep(Duration::from_millis(50));
        watcher
    };
    let started = Instant::now();
    let watcher = watch();
    standin.set_faults(Faults { down: true, ..Faults::default() });
    assert_eq!(watcher.join().unwrap(), 503);
    standin.set_faults(Faults::default());
    let watcher = watch();
    write(&standin, "a", ABSENT, "{}");
    assert_eq!(watcher.join().unwrap(), 200);
    assert_eq!(standin.counts().watches, 2);
    standin.stop();
    assert!(started.elapsed() < Duration::from_secs(4));
    assert!(agent().get(url).call().is_err());
}

/// Guards against faults or limits that can't be switched over HTTP.
#[test]
fn faults_and_limits() {
    let cfg = PlatformConfig { writes_per_second: 1, ..PlatformConfig::default() };
    let standin = start(cfg);
    let set = |body: &str| {
        let url = format!("{}/faults", standin.url());
        agent().post(url).send(body).unwrap().status().as_u16()
    };
    assert_eq!(set(r#"{"lose_answers":1}"#), 200);
    assert_eq!(set(r#"{"unknown":1}"#), 400);
    check(write(&standin, "a", ABSENT, "{}"), expect!["504 answer lost"]);
    check(
        write(&standin, "b", ABSENT, "{}"),
        expect![[r#"429 {"detail":"","error":"throttled","revision":1}"#]],
    );
    assert_eq!(set(r#"{"slow_ms":30}"#), 200);
    let started = Instant::now();
    get(&standin, "/v1/objects");
    assert!(started.elapsed() >= Duration::from_millis(30));
    check(
        get(&standin, "/counts"),
        expect![[r#"200 {"lists":1,"watches":0,"reads":0,"writes":2,"throttled":1}"#]],
    );
}

/// Guards against a connection that stays without an answer as long as the other connections are
/// open. The HTTP client of a node keeps its connections open between calls.
#[test]
fn connections_opened_together_are_all_answered() {
    for round in 0..50 {
        let standin = start(PlatformConfig::default());
        let mut connections: Vec<TcpStream> =
            (0..12).map(|_| TcpStream::connect(standin.addr()).unwrap()).collect();
        for connection in &mut connections {
            connection.write_all(b"GET /counts HTTP/1.1\r\nhost: platform\r\n\r\n").unwrap();
        }
        for (index, connection) in connections.iter_mut().enumerate() {
            connection.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
            let read = connection.read(&mut [0; 1024]);
            let is_answered = matches!(read, Ok(length) if length > 0);
            assert!(is_answered, "round {round}, connection {index}: {read:?}");
        }
    }
}
