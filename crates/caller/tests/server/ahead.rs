//! Requests that a caller sends before the response to an earlier one.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;

use crate::common::{
    Server, config, read_to_end, read_until, send, start, summarize_responses, wait_until,
};

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi")
}

/// The paths that the responses name, in order.
fn paths(text: &str) -> Vec<&str> {
    let bodies =
        text.split("HTTP/1.1 200").skip(1).filter_map(|response| response.split_once("\r\n\r\n"));
    bodies.map(|(_, body)| body).collect()
}

fn served(server: &Server) -> usize {
    server.handler.served.load(Ordering::SeqCst)
}

/// Guards against a caller that waits for the sum of the durations of its requests, and against
/// responses in another order than the requests: the second one is ready first.
#[tokio::test]
async fn requests_sent_ahead_are_handled_side_by_side() {
    let server = start(config()).await;
    let started = Instant::now();
    let requests =
        [get("/after/300?1"), get("/after/20?2"), get("/after/300?3"), get("/after/1?4")];
    let mut stream = send(server.addr, requests.concat()).await;
    let text = read_until(&mut stream, "/after/1?4").await;
    assert_eq!(paths(&text), ["/after/300?1", "/after/20?2", "/after/300?3", "/after/1?4"]);
    assert!(started.elapsed() < Duration::from_millis(550), "{:?}", started.elapsed());
}

/// Guards against requests that are only noticed if they arrive together with the first one.
#[tokio::test]
async fn requests_sent_one_by_one_are_handled_side_by_side() {
    let server = start(config()).await;
    let started = Instant::now();
    let mut stream = send(server.addr, get("/after/400?1")).await;
    for number in 2..=4 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let (first, second) = (get(&format!("/after/300?{number}")), 20);
        stream.write_all(&first.as_bytes()[..second]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(10)).await;
        stream.write_all(&first.as_bytes()[second..]).await.unwrap();
    }
    let text = read_until(&mut stream, "/after/300?4").await;
    assert_eq!(paths(&text), ["/after/400?1", "/after/300?2", "/after/300?3", "/after/300?4"]);
    assert!(started.elapsed() < Duration::from_millis(700), "{:?}", started.elapsed());
}

/// Guards against a request that may not be repeated and starts behind one whose response may still
/// close the connection, which makes the caller send it again; and against a request behind it that
/// gets the response of another one.
#[tokio::test]
async fn requests_that_must_not_be_repeated_wait_for_their_turn() {
    let server = start(config()).await;
    let requests = [get("/after/200?1"), post("/after/1?2"), get("/after/1?3"), get("/after/1?4")];
    let mut stream = send(server.addr, requests.concat()).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(served(&server), 1);
    let text = read_until(&mut stream, "/after/1?4").await;
    assert_eq!(paths(&text), ["/after/200?1", "/after/1?2", "/after/1?3", "/after/1?4"]);
    assert_eq!(served(&server), 4);
}

/// Guards against a caller that occupies the process with any number of requests on one connection.
#[tokio::test]
async fn the_number_of_requests_started_early_is_bounded() {
    let server = start(config()).await;
    let requests = get("/after/150?1") + &get("/after/100?2").repeat(30);
    let mut stream = send(server.addr, requests).await;
    tokio::time::sleep(Duration::from_millis(75)).await;
    assert_eq!(served(&server), 9);
    stream.write_all(get("/after/1?last").as_bytes()).await.unwrap();
    let text = read_until(&mut stream, "/after/1?last").await;
    assert_eq!(paths(&text).len(), 32);
}

/// Guards against work that goes on for a caller that has left.
#[tokio::test]
async fn requests_sent_ahead_are_cancelled_when_the_caller_leaves() {
    let server = start(config()).await;
    let requests = [get("/after/3000?1"), get("/after/3000?2"), get("/after/3000?3")];
    let stream = send(server.addr, requests.concat()).await;
    wait_until("the requests are started", || served(&server) == 3).await;
    drop(stream);
    let dropped = || server.handler.dropped.load(Ordering::SeqCst) == 3;
    wait_until("the requests are cancelled", dropped).await;
    assert_eq!(server.handler.finished.load(Ordering::SeqCst), 0);
}

/// Guards against a graceful stop that closes the connection before the responses to requests that
/// have been started, and against one that starts further requests.
#[tokio::test]
async fn a_graceful_stop_answers_the_requests_that_were_started() {
    let server = start(config()).await;
    let requests = [get("/after/1500?1"), get("/after/1400?2"), get("/after/1700?3")];
    let mut stream = send(server.addr, requests.concat()).await;
    wait_until("the requests are started", || served(&server) == 3).await;
    server.stop.send(true).unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    stream.write_all(get("/after/1?4").as_bytes()).await.unwrap();
    let text = read_to_end(&mut stream).await;
    assert_eq!(paths(&text), ["/after/1500?1", "/after/1400?2", "/after/1700?3"]);
    assert_eq!(text.matches("connection: close").count(), 1);
    assert_eq!(served(&server), 3);
}

/// Guards against requests that are passed on behind one that ends the connection, or behind a head
/// that is rejected.
#[tokio::test]
async fn nothing_starts_behind_a_request_that_ends_the_connection() {
    let server = start(config()).await;
    let close = "GET /after/100?1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned();
    let mut stream = send(server.addr, close + &get("/after/1?2")).await;
    assert_eq!(paths(&read_to_end(&mut stream).await), ["/after/100?1"]);
    assert_eq!(served(&server), 1);

    let bad = "GET /x HTTP/1.1\r\nbad header\r\n\r\n";
    let requests = [get("/after/100?1"), get("/after/50?2"), bad.to_owned(), get("/after/1?4")];
    let mut stream = send(server.addr, requests.concat()).await;
    assert_eq!(summarize_responses(&read_to_end(&mut stream).await), "200, 200, 400 1014");
    assert_eq!(served(&server), 3);
}

/// Guards against a caller that gets the response of another request after one that was cut.
#[tokio::test]
async fn a_cut_response_ends_the_requests_behind_it() {
    let server = start(config()).await;
    let requests = [get("/cut-known"), get("/after/1?2"), get("/after/1?3")];
    let mut stream = send(server.addr, requests.concat()).await;
    let text = read_to_end(&mut stream).await;
    assert!(!text.contains("/after/"), "{text}");
}
