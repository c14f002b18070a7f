//! Decoders that are plain functions.

use std::fmt::{Debug, Display};
use std::str::FromStr;
use std::time::Duration;

use evacuation::Snapshot;
use hyper::Method;
use hyper::http::{HeaderMap, HeaderName, HeaderValue, Uri};
use model::{CallerKey, HeaderNames, Kind, Object, Percent, Rate, Revision, Selector};
use platform::Heartbeats;
use settings::Settings;
use upstream::{AnnounceFormat, NativeFormat};
use wire::{BodyPart, Frame};

use crate::Target;

pub(crate) fn targets() -> Vec<Box<dyn Target>> {
    vec![
        Box::new(Frames),
        Box::new(Objects),
        Box::new(Announcements),
        Box::new(SettingsFile),
        Box::new(Texts),
        Box::new(Heads),
    ]
}

/// Frames of other nodes. An accepted frame is the same after another round trip.
struct Frames;

impl Target for Frames {
    fn name(&self) -> &'static str {
        "frames"
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let part = BodyPart { bytes: b"body".to_vec(), last: true };
        let domains = ["mid-a".parse().expect("the name is valid")].into();
        let snapshot = Some(Snapshot { revision: Revision(7), domains });
        let confirmed_ago = Some(Duration::from_millis(5));
        let evacuations = Frame::Evacuations { snapshot, confirmed_ago };
        [Frame::Done, Frame::CallBody(part), evacuations].iter().map(wire::encode).collect()
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        let Ok(frame) = wire::decode(input) else { return Ok(()) };
        match wire::decode(&wire::encode(&frame)) {
            Ok(again) if again == frame => Ok(()),
            again => Err(format!("{frame:?} became {again:?}")),
        }
    }
}

/// Documents of objects, of each kind. An accepted document can be written and read again.
struct Objects;

impl Target for Objects {
    fn name(&self) -> &'static str {
        "objects"
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let documents = [
            r#"{"prefix":"/a","service":"a","access":"open","timeout_ms":3000,"idempotent":["GET"]}"#,
            r#"{"rate":"5/s","burst":10}"#,
            r#"{"domain":"a","peer_addr":"10.0.0.1:1","operator_addr":"10.0.0.1:2","incarnation":1,
                "endpoints":[{"name":"e1","service":"s","addr":"10.0.0.1:80","slots":3,"state":"ready"}]}"#,
            r#"{"labels":{"tier":"gold"},"drain":"none"}"#,
            r#"{"max_head_bytes":65536,"head_timeout_ms":3000,"idle_timeout_ms":90000}"#,
            r#"{"cold_for_ms":3000,"cold_per_second":"13/s"}"#,
        ];
        documents.iter().map(|document| document.as_bytes().to_vec()).collect()
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        for kind in Kind::ALL {
            let Ok(object) = Object::from_document(kind, input) else { continue };
            if let Err(err) = Object::from_document(kind, &object.to_document()) {
                return Err(format!("an accepted {kind:?} can't be read again: {err}"));
            }
        }
        Ok(())
    }
}

/// Announcements of upstreams. The first line of an input is the path.
struct Announcements;

impl Target for Announcements {
    fn name(&self) -> &'static str {
        "announcements"
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        vec![
            br#"/api/endpoints/e1
{"service":"s","addr":"10.0.0.1:80","slots":3,"state":"ready","coldLeftS":2.5,"seq":1,"born":5}"#
                .to_vec(),
            br#"/v1/announce
{"name":"e1","service":"s","addr":"10.0.0.1:80","slots":3,"state":"ready"}"#
                .to_vec(),
        ]
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        let line = input.iter().position(|byte| *byte == b'\n').unwrap_or(input.len());
        let path = String::from_utf8_lossy(&input[..line]);
        let body = input.get(line + 1..).unwrap_or_default();
        for method in [Method::PUT, Method::DELETE, Method::POST] {
            let _ = Heartbeats::default().parse(&method, &path, body);
            let _ = NativeFormat.parse(&method, &path, body);
        }
        Ok(())
    }
}

/// Settings files.
struct SettingsFile;

impl Target for SettingsFile {
    fn name(&self) -> &'static str {
        "settings"
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        vec![include_bytes!("../../../deploy/node.ini").to_vec()]
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        let text = String::from_utf8_lossy(input);
        match Settings::parse("node.ini", &text) {
            Err(mistakes) if mistakes.to_string().is_empty() => {
                Err("no reason is given".to_owned())
            }
            _ => Ok(()),
        }
    }
}

/// Texts of small types. An accepted text is the same value after another round trip.
struct Texts;

fn check_text<T: FromStr + Display + Debug + PartialEq>(text: &str) -> Result<(), String> {
    let Ok(value) = text.parse::<T>() else { return Ok(()) };
    match value.to_string().parse::<T>() {
        Ok(again) if again == value => Ok(()),
        _ => Err(format!("{value:?} changes in a round trip")),
    }
}

impl Target for Texts {
    fn name(&self) -> &'static str {
        "texts"
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let key = CallerKey::from_random([7; 8], [9; 20]);
        ["12.5/s", "20", "tier=gold,!old", "tier=gold", &key.reveal()]
            .iter()
            .map(|text| text.as_bytes().to_vec())
            .collect()
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        let text = String::from_utf8_lossy(input);
        let _ = CallerKey::parse(&text);
        check_text::<Rate>(&text)?;
        check_text::<Percent>(&text)?;
        check_text::<Selector>(&text)
    }
}

/// Heads of callers after their parse: the first line is the target, the others are headers. No header of
/// a single connection and no key is passed on.
struct Heads;

impl Target for Heads {
    fn name(&self) -> &'static str {
        "heads"
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let key = CallerKey::from_random([7; 8], [9; 20]);
        vec![
            format!("/a?x=1\nx-api-key: {}\nconnection: close, x-b\nx-b: 1", key.reveal())
                .into_bytes(),
            format!("/a/../b%2f?key=1\nauthorization: Bearer {}", key.reveal()).into_bytes(),
        ]
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        let text = String::from_utf8_lossy(input);
        let mut lines = text.lines();
        let Ok(uri) = lines.next().unwrap_or_default().parse::<Uri>() else { return Ok(()) };
        let mut headers = HeaderMap::new();
        for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                headers.append(name, value);
            }
        }
        let Ok(head) = caller::sanitize(&Method::GET, &uri, headers, &HeaderNames::NATIVE) else {
            return Ok(());
        };
        match caller::HOP_HEADERS.iter().find(|name| head.headers.contains_key(**name)) {
            Some(name) => Err(format!("{name} is passed on")),
            None => Ok(()),
        }
    }
}
