//! Tests of `explain --log`, which reconstructs the history of a request from log files.

mod common;

use std::path::PathBuf;

use common::run_command;
use expect_test::expect;
use standins::process::TempDir;

/// Log of the entry node. The first line has the prefix of a log collector.
const ENTRY_LOG: &str = r#"2026-12-04T10:00:00Z node-1 {"time":100.0,"level":"INFO","node":"node-1","target":"node","message":"node node-1 starts with incarnation 7"}
{"time":110.007,"level":"INFO","node":"node-1","target":"decision","event":{"account":"acme","attempts":[{"at_ms":4,"considered":2,"end":"unknown 2003 The connection to the upstream was lost after the request was sent.","endpoint":"orders-1","node":"node-2","reason":"LeastCost, cost 0ns"}],"code":2003,"config":"5/9","decision":"request","host":"shop.example","method":"POST","outcome":"outcome unknown","path":"/orders/1","reason":"The connection to the upstream was lost after the request was sent.","request_id":"req-1","route":"orders","status":502,"took_ms":6.5}}
{"time":110.5,"level":"INFO","node":"node-1","target":"decision","event":{"account":"acme","attempts":[],"code":1006,"config":"5/9","decision":"request","host":"shop.example","method":"POST","outcome":"not run","path":"/orders/2","reason":"The account has no rate left.","request_id":"req-12","route":"orders","status":429,"took_ms":1.0}}
"#;

/// Log of the endpoint's node. One line is truncated, and one is before the time range.
const GUARD_LOG: &str = r#"{"time":90.0,"level":"INFO","node":"node-2","target":"node::announce","message":"endpoint orders-1 is Some(Ready) at 10.0.0.2:80 (start None, message None)"}
{"time":30.0,"level":"INFO","node":"node-2","target":"node::guard","message":"endpoint orders-1 is trusted again after 2s"}
this line is cut {"time":1
{"time":110.004,"level":"INFO","node":"node-2","target":"node::guard","message":"endpoint orders-1 is suspect after request req-1 was Broken"}
{"time":110.005,"level":"INFO","node":"node-2","target":"decision","event":{"attempt":"7-1","config":"5/9","decision":"call","endpoint":"orders-1","entry_config":"5/9","idempotent":false,"insists":false,"left_ms":1995,"outcome":"unknown 2003 The connection to the upstream was lost after the request was sent.","queued":0,"request_id":"req-1","route":"orders","running":1,"suspect_ms":1,"took_ms":2}}
{"time":110.006,"level":"INFO","node":"node-2","target":"node::guard","message":"endpoint orders-2 is suspect after request req-9 was Broken"}
"#;

/// Writes both logs to `dir` and returns the options that name them.
fn log_options(dir: &TempDir) -> String {
    let write = |name: &str, text: &str| -> PathBuf {
        let file = dir.path().join(name);
        std::fs::write(&file, text).unwrap();
        file
    };
    let entry = write("entry.log", ENTRY_LOG);
    let guard = write("guard.log", GUARD_LOG);
    format!("--log {} --log {}", entry.display(), guard.display())
}

/// Guards against a history that misses the log lines of the endpoint's node or of its health, against
/// lines of a request whose id has the same prefix, and against a search that ends at a truncated line.
#[test]
fn history_from_entry_node_to_endpoint() {
    let dir = TempDir::new("history").unwrap();
    let logs = log_options(&dir);
    expect![[r#"
        AT MS     NODE    WHAT
        -20005.0  node-2  endpoint orders-1 is Some(Ready) at 10.0.0.2:80 (start None, message None)
        -1.0      node-2  endpoint orders-1 is suspect after request req-1 was Broken
        0.0       node-2    call to orders-1 (suspect for 1 ms, 1 running, 0 queued, 1995 ms left, configuration 5/9, entry node's 5/9): unknown 2003 The connection to the upstream was lost after the request was sent. after 2 ms
        2.0       node-1    attempt ended 4 ms after arrival: orders-1 on node-2 (LeastCost, cost 0ns of 2 endpoints): unknown 2003 The connection to the upstream was lost after the request was sent.
        2.0       node-1  request POST shop.example/orders/1 (route orders, account acme, configuration 5/9): outcome unknown, status 502, code 2003, The connection to the upstream was lost after the request was sent., after 6.5 ms
        lines that are not valid log lines: 1
        exit 0
    "#]].assert_eq(&run_command(None, &[], &format!("explain {logs} req-1")).text());
    expect![[r#"
        AT MS  NODE    WHAT
        0.0    node-1  request POST shop.example/orders/2 (route orders, account acme, configuration 5/9): not run, status 429, code 1006, The account has no rate left., after 1.0 ms
        lines that are not valid log lines: 1
        exit 0
    "#]].assert_eq(&run_command(None, &[], &format!("explain {logs} req-12")).text());
}

/// Guards against empty output for an id that no log file contains, and for a file that does not exist.
#[test]
fn missing_requests_and_files_are_errors() {
    let dir = TempDir::new("history").unwrap();
    let logs = log_options(&dir);
    expect![[r#"
        error: 3009 No reached node has a record of the request. (request req-7; searched 2 log files)
        exit 2
    "#]]
    .assert_eq(&run_command(None, &[], &format!("explain {logs} req-7")).text());
    let text = run_command(None, &[], "explain --log no-such.log req-1").text();
    assert!(text.contains("3012") && text.contains("no-such.log"), "{text}");
}
