//! Reconstructs the history of a request from log files of several nodes.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use model::{RequestId, ResultCode};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{CommandError, Exit, Failure, Output, Session};

/// Seconds before the first line of the request in which lines about its endpoints are shown.
/// Endpoints stay suspect for a few seconds to some tens of seconds.
const CONTEXT_BEFORE_SECS: f64 = 30.0;

/// Seconds after the last line of the request in which lines about its endpoints are shown. The entry
/// node's line is the last one of the request; only consequences of a failure are logged later.
const CONTEXT_AFTER_SECS: f64 = 1.0;

/// A log line of a node.
#[derive(Debug, Deserialize)]
struct LogLine {
    time: f64,
    node: String,
    #[serde(default)]
    target: String,
    #[serde(default)]
    message: Option<String>,
    #[serde(default)]
    event: Option<Value>,
}

/// Time range and endpoints of a request, by which related log lines are found.
#[derive(Debug)]
struct RequestScope {
    from: f64,
    until: f64,
    endpoints: BTreeSet<String>,
}

impl Session<'_, '_> {
    /// Shows the log lines about a request and about the endpoints that it was sent to.
    pub(super) fn explain_from_logs(
        &mut self,
        id: &RequestId,
        logs: &[PathBuf],
    ) -> Result<Exit, Failure> {
        let mut lines = Vec::new();
        let mut unreadable = 0;
        for log in logs {
            unreadable += scan_log(log, |line| {
                if mentions_request(&line, id.as_str()) {
                    lines.push(line);
                }
            })?;
        }
        if lines.is_empty() {
            let detail = format!("request {id}; searched {} log files", logs.len());
            return Err(CommandError::new(ResultCode::RequestNotRecorded, detail).into());
        }
        let scope = RequestScope::from_lines(&lines);
        for log in logs {
            scan_log(log, |line| {
                if !mentions_request(&line, id.as_str()) && scope.is_related(&line) {
                    lines.push(line);
                }
            })?;
        }
        lines.sort_by(|a, b| a.time.total_cmp(&b.time));
        self.show_history(&lines, unreadable)?;
        Ok(Exit::Done)
    }

    fn show_history(&mut self, lines: &[LogLine], unreadable: usize) -> Result<(), Failure> {
        if self.common.output == Output::Json {
            let lines: Vec<Value> = lines.iter().map(to_json).collect();
            return Ok(self.report.json(&json!({"lines": lines, "unreadable": unreadable}))?);
        }
        let start = lines.iter().find(|line| line.event.is_some()).map_or(0.0, |line| line.time);
        let rows = lines.iter().flat_map(|line| table_rows(line, start)).collect();
        self.report.table(["AT MS", "NODE", "WHAT"], rows)?;
        if unreadable > 0 {
            self.report.line(&format!("lines that are not valid log lines: {unreadable}"))?;
        }
        Ok(())
    }
}

/// Parses a log file, calls `handle` with each line, and returns the number of lines that can't be
/// parsed. Text before the JSON document of a line, such as the prefix of a log collector, is skipped.
fn scan_log(path: &Path, mut handle: impl FnMut(LogLine)) -> Result<usize, Failure> {
    let read_error = |err: io::Error| {
        let detail = format!("can't read {}: {err}", path.display());
        CommandError::new(ResultCode::CommandInvalid, detail)
    };
    let mut unreadable = 0;
    for line in BufReader::new(File::open(path).map_err(read_error)?).split(b'\n') {
        let line = line.map_err(read_error)?;
        let text = String::from_utf8_lossy(&line);
        let document = text.find('{').map_or("", |start| &text[start..]);
        match serde_json::from_str(document) {
            Ok(line) => handle(line),
            Err(_) if text.trim().is_empty() => {}
            Err(_) => unreadable += 1,
        }
    }
    Ok(unreadable)
}

/// Returns whether the event of a line has the request id, or its message contains it as a word.
fn mentions_request(line: &LogLine, id: &str) -> bool {
    let contains_id = |text: &str| text.split_whitespace().any(|word| word.trim_matches(',') == id);
    let event = line.event.as_ref();
    event.is_some_and(|event| event["request_id"] == id)
        || line.message.as_deref().is_some_and(contains_id)
}

impl RequestScope {
    fn from_lines(lines: &[LogLine]) -> RequestScope {
        let times = || lines.iter().map(|line| line.time);
        let events = lines.iter().filter_map(|line| line.event.as_ref());
        let attempts = |event: &Value| event["attempts"].as_array().cloned().unwrap_or_default();
        let endpoints = events
            .flat_map(|event| attempts(event).into_iter().chain([event.clone()]))
            .filter_map(|event| event["endpoint"].as_str().map(str::to_owned));
        RequestScope {
            from: times().fold(f64::INFINITY, f64::min) - CONTEXT_BEFORE_SECS,
            until: times().fold(0.0, f64::max) + CONTEXT_AFTER_SECS,
            endpoints: endpoints.collect(),
        }
    }

    /// Returns whether a line in the time range is a message about an endpoint of the request.
    fn is_related(&self, line: &LogLine) -> bool {
        let Some(message) = &line.message else { return false };
        let mut words = message.split_whitespace();
        (self.from..=self.until).contains(&line.time)
            && words.any(|word| self.endpoints.contains(word))
    }
}

fn to_json(line: &LogLine) -> Value {
    json!({
        "time": line.time,
        "node": line.node,
        "target": line.target,
        "message": line.message,
        "event": line.event,
    })
}

/// Returns the table rows of a log line. The line of an entry node has a row for each attempt and one
/// for the end of the request. Times are relative to `start`.
fn table_rows(line: &LogLine, start: f64) -> Vec<[String; 3]> {
    let at = format!("{:.1}", (line.time - start) * 1e3);
    let row = |text: String| [at.clone(), line.node.clone(), text];
    let Some(event) = &line.event else {
        return vec![row(line.message.clone().unwrap_or_default())];
    };
    if event["decision"] == "call" {
        return vec![row(describe_call(event))];
    }
    let took = event["took_ms"].as_f64().unwrap_or_default();
    let attempts = event["attempts"].as_array().cloned().unwrap_or_default();
    let attempts = attempts.iter().map(|attempt| {
        let text = |name: &str| attempt[name].as_str().unwrap_or("-").to_owned();
        row(format!(
            "  attempt ended {} ms after arrival: {} on {} ({} of {} endpoints): {}",
            attempt["at_ms"],
            text("endpoint"),
            text("node"),
            text("reason"),
            attempt["considered"],
            text("end"),
        ))
    });
    let text = |name: &str| event[name].as_str().unwrap_or("-").to_owned();
    let end = row(format!(
        "request {} {}{} (route {}, account {}, configuration {}): {}, status {}, code {}, {}, \
         after {took:.1} ms",
        text("method"),
        text("host"),
        text("path"),
        text("route"),
        text("account"),
        text("config"),
        text("outcome"),
        event["status"],
        event["code"],
        text("reason"),
    ));
    attempts.chain([end]).collect()
}

/// Describes a call to an endpoint, from the event that the endpoint's node logs.
fn describe_call(event: &Value) -> String {
    let text = |name: &str| event[name].as_str().unwrap_or("-").to_owned();
    let suspect = match event["suspect_ms"].as_u64() {
        Some(ms) => format!("suspect for {ms} ms"),
        None => "trusted".to_owned(),
    };
    format!(
        "  call to {} ({suspect}, {} running, {} queued, {} ms left, configuration {}, entry node's {}): \
         {} after {} ms",
        text("endpoint"),
        event["running"],
        event["queued"],
        event["left_ms"],
        text("config"),
        text("entry_config"),
        text("outcome"),
        event["took_ms"],
    )
}
