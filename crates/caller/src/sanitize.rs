//! Finds the caller's key and removes it, and everything that concerns only the caller's
//! connection, from the head of a request.

use hyper::http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};
use model::{CallerKey, ResultCode};

/// Headers that are meant to carry a key. They are never passed on, whatever they hold.
const KEY_HEADERS: [&str; 3] = ["authorization", "proxy-authorization", "x-api-key"];

/// Headers that concern one connection only, or that the fleet sets itself. Lengths are dropped
/// because each hop frames the body anew, which rules out request smuggling.
const HOP_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "expect",
    "x-request-id",
    "x-deadline-ms",
];

/// The key that a request carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresentedKey {
    /// None.
    Absent,
    /// Exactly one, perhaps several times.
    One(CallerKey),
    /// A header meant for a key holds something else.
    Malformed,
}

/// The head of a request without key and connection headers.
#[derive(Debug, Clone)]
pub struct SanitizedHead {
    /// Path and query.
    pub target: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// The key that was removed.
    pub key: PresentedKey,
}

/// Removes the key from a head.
///
/// Returns [`ResultCode::KeyConflict`] if there are two different keys,
/// [`ResultCode::KeyMisplaced`] if the path holds one, and [`ResultCode::MalformedRequest`] if the
/// target is not a path or its path could be read in two ways.
///
/// ```
/// use hyper::http::{HeaderMap, Method};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("x-api-key", "not a key".parse().unwrap());
/// let head = caller::sanitize(&Method::GET, &"/orders?x=1".parse().unwrap(), headers).unwrap();
/// assert_eq!(&*head.target, "/orders?x=1");
/// assert!(head.headers.is_empty());
/// assert_eq!(head.key, caller::PresentedKey::Malformed);
/// ```
pub fn sanitize(
    method: &Method,
    uri: &Uri,
    headers: HeaderMap,
) -> Result<SanitizedHead, ResultCode> {
    if *method == Method::CONNECT || !uri.path().starts_with('/') {
        return Err(ResultCode::MalformedRequest);
    }
    if !uri.path().split('/').all(is_plain_segment) {
        return Err(ResultCode::MalformedRequest);
    }
    if holds_key(uri.path()) {
        return Err(ResultCode::KeyMisplaced);
    }
    let mut found = Found::default();
    let target = clean_target(uri, &mut found);
    let headers = clean_headers(headers, &mut found);
    let head = SanitizedHead { target, headers, key: found.key()? };
    match &head.key {
        PresentedKey::One(key) => without_secret(key.clone(), head),
        PresentedKey::Absent | PresentedKey::Malformed => Ok(head),
    }
}

/// Removes the secret part of the key where it stands alone: the id is public, so whoever has the
/// secret has the key.
fn without_secret(key: CallerKey, mut head: SanitizedHead) -> Result<SanitizedHead, ResultCode> {
    let text = key.reveal();
    let secret = text.rsplit('_').next().unwrap_or(&text);
    let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
    if holds_text(path, secret) {
        return Err(ResultCode::KeyMisplaced);
    }
    if holds_text(query, secret) {
        head.target = path.into();
    }
    let carriers: Vec<HeaderName> = head
        .headers
        .iter()
        .filter(|(name, value)| {
            holds_text(name.as_str(), secret)
                || holds_text(&String::from_utf8_lossy(value.as_bytes()), secret)
        })
        .map(|(name, _)| name.clone())
        .collect();
    for name in carriers {
        head.headers.remove(name);
    }
    Ok(head)
}

/// Tells whether a path segment means the same to everybody. An upstream that resolves `..` or an
/// encoded slash could serve a path of a keyed route that was matched as one of an open route.
fn is_plain_segment(segment: &str) -> bool {
    let decoded = percent_decode(segment);
    decoded != "." && decoded != ".." && !decoded.contains(['/', '\\', '\0'])
}

/// Keys found so far.
#[derive(Default)]
struct Found {
    keys: Vec<CallerKey>,
    malformed: usize,
}

impl Found {
    /// Takes the keys out of a value and tells whether the value must not be passed on.
    fn search(&mut self, value: &str) -> Carrier {
        let decoded = percent_decode(value);
        let keys = CallerKey::find_all(&decoded);
        if !keys.is_empty() {
            self.keys.extend(keys);
            return Carrier::Key;
        }
        if holds_key(value) {
            self.malformed += 1;
            return Carrier::Key;
        }
        Carrier::Other
    }

    fn key(self) -> Result<PresentedKey, ResultCode> {
        let mut keys = self.keys.into_iter();
        let Some(first) = keys.next() else {
            let absent = self.malformed == 0;
            return Ok(if absent { PresentedKey::Absent } else { PresentedKey::Malformed });
        };
        if keys.any(|key| key != first) || self.malformed > 0 {
            return Err(ResultCode::KeyConflict);
        }
        Ok(PresentedKey::One(first))
    }
}

/// What a header or query parameter carries.
#[derive(PartialEq, Eq)]
enum Carrier {
    Key,
    Other,
}

/// Tells whether a text holds a key in any letter case, percent-encoded or spaced out.
fn holds_key(text: &str) -> bool {
    !CallerKey::find_all(&plain_text(text)).is_empty()
}

fn holds_text(text: &str, searched: &str) -> bool {
    text.len() >= searched.len() && plain_text(text).contains(searched)
}

fn plain_text(text: &str) -> String {
    let mut plain = percent_decode(text).to_ascii_lowercase();
    plain.retain(|c| !c.is_whitespace());
    plain
}

fn clean_target(uri: &Uri, found: &mut Found) -> Box<str> {
    let Some(query) = uri.query() else { return uri.path().into() };
    let kept: Vec<&str> =
        query.split('&').filter(|pair| found.search(pair) == Carrier::Other).collect();
    let joined = kept.join("&");
    // A key that is split over two parameters is whole again once they are joined.
    if joined.is_empty() || holds_key(&joined) {
        return uri.path().into();
    }
    format!("{}?{joined}", uri.path()).into()
}

fn clean_headers(headers: HeaderMap, found: &mut Found) -> HeaderMap {
    let nominated = nominated_headers(&headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in &headers {
        let text = String::from_utf8_lossy(value.as_bytes());
        let carrier = found.search(&text);
        if KEY_HEADERS.contains(&name.as_str()) {
            if carrier == Carrier::Other {
                found.malformed += 1;
            }
            continue;
        }
        if carrier == Carrier::Key || holds_key(name.as_str()) {
            continue;
        }
        if HOP_HEADERS.contains(&name.as_str()) || nominated.contains(name) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Headers that the caller names in `connection` as meant for this connection only.
fn nominated_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    let texts = values.filter_map(|value: &HeaderValue| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).filter_map(|name| name.trim().parse().ok()).collect()
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.as_bytes();
    while let Some((&first, rest)) = bytes.split_first() {
        let escaped = (first == b'%').then(|| rest.get(..2).and_then(hex_pair)).flatten();
        decoded.push(escaped.unwrap_or(first));
        bytes = if escaped.is_some() { &rest[2..] } else { rest };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_pair(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(text, 16).ok()
}
