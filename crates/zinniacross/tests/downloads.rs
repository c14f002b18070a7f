//! Large responses whose callers read slowly.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::{Fleet, millis, seconds};
use standins::upstream::Behaviour;

/// Number of downloads at the same time.
const DOWNLOADS: usize = 50;

/// Size of each, far more than all buffers on its way can hold.
const DOWNLOAD_BYTES: usize = 40_000_000;

/// Memory that the downloads may take in each node. An instance has at least 160 MB for everything.
const MAX_GROWTH_KB: u64 = 64 * 1024;

/// Number of small calls whose latencies are compared.
const SMALL_CALLS: usize = 200;

/// How many times as long a small call may take beside the downloads. The latency added for 99 in 100
/// requests is 4 ms, and a small call here takes 1 to 2 ms.
const MAX_LATENCY_RATIO: f64 = 3.0;

fn resident_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Median latency of small calls through the entry to the other node.
fn median_latency(fleet: &Fleet) -> Duration {
    let mut caller = fleet.caller(0);
    let mut latencies: Vec<Duration> = (0..SMALL_CALLS)
        .map(|number| {
            let started = Instant::now();
            let answer = caller.get(&format!("/files/small-{number}"), None).unwrap();
            assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
            started.elapsed()
        })
        .collect();
    latencies.sort();
    latencies[SMALL_CALLS / 2]
}

/// Guards against downloads that fill the memory of the nodes on their way because their callers read
/// slowly, against small calls that wait behind them between the same nodes, and against a download
/// that is not complete in the end.
#[test]
fn slow_downloads_take_bounded_memory_and_delay_no_other_call() {
    let mut fleet = Fleet::start(2);
    let behaviour = Behaviour { service_ms: 1, ..Behaviour::default() };
    fleet.upstream(1, "files", 2 * DOWNLOADS as u32, behaviour);
    fleet.route("files", "open", 60_000);
    fleet.wait_served("/files/ready", None);
    let alone = median_latency(&fleet);
    let pids: Vec<u32> = fleet.nodes.iter().map(|node| node.process.id()).collect();
    let before: Vec<u64> = pids.iter().map(|pid| resident_kb(*pid)).collect();

    let mut downloads: Vec<TcpStream> = (0..DOWNLOADS)
        .map(|number| {
            let mut stream = TcpStream::connect(fleet.nodes[0].caller).unwrap();
            let head = format!(
                "GET /files/chunked/{DOWNLOAD_BYTES}?{number} HTTP/1.1\r\nhost: fleet\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).unwrap();
            stream.set_read_timeout(Some(seconds(20))).unwrap();
            stream
        })
        .collect();
    for stream in &mut downloads {
        let mut start = [0; 1024];
        stream.read_exact(&mut start).unwrap();
        assert!(start.starts_with(b"HTTP/1.1 200"));
    }
    // The buffers on the way fill up.
    std::thread::sleep(millis(1500));
    let beside = median_latency(&fleet);
    let grown: Vec<u64> = pids
        .iter()
        .zip(&before)
        .map(|(pid, before)| resident_kb(*pid).saturating_sub(*before))
        .collect();
    println!("{DOWNLOADS} downloads: {grown:?} KB more; small calls {alone:?}, beside {beside:?}");
    assert!(grown.iter().all(|kb| *kb < MAX_GROWTH_KB), "{grown:?} KB more in the nodes");
    let ratio = beside.as_secs_f64() / alone.as_secs_f64();
    assert!(ratio < MAX_LATENCY_RATIO, "small calls took {beside:?} instead of {alone:?}");

    // Longer than the kernel lets single frames between nodes stay unacknowledged.
    std::thread::sleep(seconds(4));
    let mut received = 1024;
    let mut buf = vec![0; 1 << 16];
    let deadline = Instant::now() + seconds(20);
    while received <= DOWNLOAD_BYTES && Instant::now() < deadline {
        received += downloads[0].read(&mut buf).unwrap();
    }
    let complete = received > DOWNLOAD_BYTES;
    assert!(complete, "only {received} bytes arrived");
}

/// Guards against a response whose rest never comes and never breaks off: the host of the endpoint is
/// lost without closing its connections. The caller would wait for good, and the stop of its entry too.
#[test]
fn a_response_breaks_off_when_its_link_stays_silent() {
    let mut fleet = Fleet::start(2);
    let behaviour = Behaviour { service_ms: 1, part_ms: 250, ..Behaviour::default() };
    fleet.upstream(1, "files", 4, behaviour);
    fleet.route("files", "open", 60_000);
    fleet.wait_served("/files/ready", None);
    let addr = fleet.nodes[0].caller;
    let download = std::thread::spawn(move || {
        let result = common::Caller::new(addr).get("/files/chunked/320000", None);
        (result, Instant::now())
    });
    std::thread::sleep(seconds(2));
    fleet.cut_link(0, 1, standins::cut::Direction::ToDialer);
    let cut_at = Instant::now();
    let (result, ended) = download.join().unwrap();
    let after = ended.saturating_duration_since(cut_at);
    println!("ended {after:?} after the cut");
    assert!(matches!(result, Err(common::caller::Lost::Cut { status: 200, .. })), "{result:?}");
    assert!(after > seconds(8) && after < seconds(20), "ended {after:?} after the cut");
}
