//! Removes the API key of the caller and the headers of its connection from the head of a request,
//! and rejects ambiguous paths.

use hyper::http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};
use model::{CallerKey, HeaderNames, ResultCode};

/// Hop-by-hop headers, which are not forwarded in requests or responses.
pub const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Further request headers that are not forwarded. `content-length` is dropped because each hop
/// frames the body itself, which prevents request smuggling.
const HEADERS_NOT_FORWARDED: [&str; 2] = ["content-length", "expect"];

/// Length of a key, in bytes. No encoding makes a key shorter, so shorter texts are not searched.
const MIN_KEY_TEXT_BYTES: usize = 60;

/// Length of the secret part of a key, in bytes.
const SECRET_BYTES: usize = 40;

/// Maximum number of rounds of percent-decoding. It keeps the work linear in the length of a
/// malicious text, and no program that reads a header decodes it more often.
const MAX_PERCENT_DECODINGS: usize = 4;

/// The API key in a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresentedKey {
    /// There is no key.
    Absent,
    /// There is exactly one distinct key, which may occur several times.
    One(CallerKey),
    /// A key header contains something other than a key, or a key is hidden in the head.
    Malformed,
}

/// The head of a request without the API key and hop-by-hop headers.
#[derive(Debug, Clone)]
pub struct SanitizedHead {
    /// Request target: path and query.
    pub target: Box<str>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The API key that was removed.
    pub key: PresentedKey,
}

/// Removes the API key and hop-by-hop headers from the head of a request.
///
/// Returns [`ResultCode::KeyConflict`] if there are two different keys,
/// [`ResultCode::KeyMisplaced`] if the path or the method contains one, and
/// [`ResultCode::MalformedRequest`] if the target is not a path or the path is ambiguous.
///
/// ```
/// use hyper::http::{HeaderMap, Method};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("x-api-key", "not a key".parse().unwrap());
/// let uri = "/orders?x=1".parse().unwrap();
/// let names = model::HeaderNames::NATIVE;
/// let head = caller::sanitize(&Method::GET, &uri, headers, &names).unwrap();
/// assert_eq!(&*head.target, "/orders?x=1");
/// assert!(head.headers.is_empty());
/// assert_eq!(head.key, caller::PresentedKey::Malformed);
/// ```
pub fn sanitize(
    method: &Method,
    uri: &Uri,
    headers: HeaderMap,
    names: &HeaderNames,
) -> Result<SanitizedHead, ResultCode> {
    if *method == Method::CONNECT || !uri.path().starts_with('/') {
        return Err(ResultCode::MalformedRequest);
    }
    if contains_key(uri.path()) || contains_key(method.as_str()) {
        return Err(ResultCode::KeyMisplaced);
    }
    if !is_unambiguous_path(uri.path()) {
        return Err(ResultCode::MalformedRequest);
    }
    let mut key_search = KeySearch::default();
    if let Some(authority) = uri.authority() {
        // The authority is not forwarded, but a key in its user information must match the others.
        key_search.search(authority.as_str());
    }
    let target = sanitize_target(uri, &mut key_search);
    let headers = sanitize_headers(headers, names, &mut key_search);
    let head = SanitizedHead { target, headers, key: key_search.into_key()? };
    match &head.key {
        PresentedKey::One(key) if key.is_native() => remove_secret(key.clone(), head),
        // The text of a key issued elsewhere may occur in a request for other reasons, and the
        // request must arrive unchanged apart from the key header.
        PresentedKey::One(_) | PresentedKey::Absent | PresentedKey::Malformed => Ok(head),
    }
}

/// Removes the headers that contain the secret part of the key without its id, and the query if it
/// does; a path that does is rejected. The id is public, so the secret alone gives away the key.
fn remove_secret(key: CallerKey, mut head: SanitizedHead) -> Result<SanitizedHead, ResultCode> {
    let text = key.reveal();
    let secret = text.rsplit('_').next().unwrap_or(&text);
    let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
    if contains_obfuscated(path, secret) {
        return Err(ResultCode::KeyMisplaced);
    }
    if contains_obfuscated(query, secret) {
        head.target = path.into();
    }
    let names_to_remove: Vec<HeaderName> = head
        .headers
        .iter()
        .filter(|(name, value)| {
            contains_obfuscated(name.as_str(), secret)
                || contains_obfuscated(&String::from_utf8_lossy(value.as_bytes()), secret)
        })
        .map(|(name, _)| name.clone())
        .collect();
    for name in names_to_remove {
        head.headers.remove(name);
    }
    Ok(head)
}

/// Returns whether all HTTP implementations interpret a path in the same way. Routes are matched
/// against the path as sent; an upstream that normalizes it differently could serve a path of a
/// keyed route although the request matched an open one.
fn is_unambiguous_path(path: &str) -> bool {
    // Some upstreams merge consecutive slashes.
    !path.contains("//") && path.split('/').all(is_unambiguous_segment)
}

/// Returns whether a path segment is unambiguous. Upstreams differ in whether they resolve `..`,
/// decode slashes, decode twice, and truncate segments at a semicolon. No encoder needs to escape
/// letters, digits and the other unreserved characters.
fn is_unambiguous_segment(segment: &str) -> bool {
    let decoded = percent_decode(segment);
    let has_needless_escape = escaped_bytes(segment.as_bytes()).any(is_unreserved);
    let is_encoded_twice = escaped_bytes(decoded.as_bytes()).next().is_some();
    let is_dot_segment = decoded == "." || decoded == "..";
    let is_ambiguous = |c: char| matches!(c, '/' | '\\' | ';') || c.is_ascii_control();
    !has_needless_escape && !is_encoded_twice && !is_dot_segment && !decoded.contains(is_ambiguous)
}

fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

/// Collects the keys in the head of a request.
#[derive(Default)]
struct KeySearch {
    keys: Vec<CallerKey>,
    /// Number of places with an obfuscated or invalid key.
    malformed: usize,
}

impl KeySearch {
    /// Records the keys in a value and returns whether the value contains one, in which case it
    /// must not be forwarded.
    fn search(&mut self, value: &str) -> SearchResult {
        let decoded = percent_decode_repeatedly(value);
        let keys = CallerKey::find_all(&decoded);
        if !keys.is_empty() {
            self.keys.extend(keys);
            return SearchResult::Key;
        }
        if contains_key(value) {
            self.malformed += 1;
            return SearchResult::Key;
        }
        SearchResult::NoKey
    }

    fn into_key(self) -> Result<PresentedKey, ResultCode> {
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

/// Whether a header or query parameter contains a key.
#[derive(PartialEq, Eq)]
enum SearchResult {
    Key,
    NoKey,
}

/// Returns whether a text contains a key in any letter case, percent-encoded, Base64-encoded, or
/// with other characters in between.
fn contains_key(text: &str) -> bool {
    text.len() >= MIN_KEY_TEXT_BYTES
        && normalized_forms(text).any(|normalized| !CallerKey::find_all(&normalized).is_empty())
}

/// Returns whether a text contains `needle` in one of the forms in which [`contains_key`] finds
/// keys.
fn contains_obfuscated(text: &str, needle: &str) -> bool {
    text.len() >= needle.len()
        && normalized_forms(text).any(|normalized| normalized.contains(needle))
}

/// Returns the decoded forms of a text in lower case, without characters that can't be part of a
/// key.
fn normalized_forms(text: &str) -> impl Iterator<Item = String> {
    let decoded = percent_decode_repeatedly(text);
    let from_base64: Vec<String> = decode_base64_runs(&decoded).collect();
    std::iter::once(decoded).chain(from_base64).map(|form| {
        let mut normalized = form.to_ascii_lowercase();
        normalized.retain(|c| c.is_ascii_alphanumeric() || c == '_');
        normalized
    })
}

fn sanitize_target(uri: &Uri, key_search: &mut KeySearch) -> Box<str> {
    let Some(query) = uri.query() else { return uri.path().into() };
    let kept_pairs: Vec<&str> =
        query.split('&').filter(|pair| key_search.search(pair) == SearchResult::NoKey).collect();
    let joined = kept_pairs.join("&");
    // A key may be split across several parameters.
    let value = |pair: &&str| pair.split_once('=').map_or(*pair, |(_, value)| value).to_owned();
    let values: String = kept_pairs.iter().map(value).collect();
    if contains_key(&joined.replace(['&', '='], "")) || contains_key(&values) {
        key_search.malformed += 1;
        return uri.path().into();
    }
    if joined.is_empty() {
        return uri.path().into();
    }
    format!("{}?{joined}", uri.path()).into()
}

fn sanitize_headers(
    headers: HeaderMap,
    names: &HeaderNames,
    key_search: &mut KeySearch,
) -> HeaderMap {
    let connection_options = connection_options(&headers);
    let split_key_names: Vec<&HeaderName> =
        headers.keys().filter(|name| contains_split_key(&headers, name)).collect();
    key_search.malformed += split_key_names.len();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in &headers {
        let text = String::from_utf8_lossy(value.as_bytes());
        let search_result = key_search.search(&text);
        if names.key.contains(&name.as_str()) {
            match (search_result, names.foreign_keys) {
                (SearchResult::NoKey, true) => {
                    key_search.keys.push(CallerKey::from_value(text.trim()))
                }
                (SearchResult::NoKey, false) => key_search.malformed += 1,
                (SearchResult::Key, _) => {}
            }
            continue;
        }
        if search_result == SearchResult::Key
            || key_search.search(name.as_str()) == SearchResult::Key
        {
            continue;
        }
        if split_key_names.contains(&name) {
            continue;
        }
        let is_in = |names: &[&str]| names.contains(&name.as_str());
        let is_set_by_fleet = names.is_set_by_fleet(name.as_str());
        if is_set_by_fleet || is_in(&HOP_HEADERS) || is_in(&HEADERS_NOT_FORWARDED) {
            continue;
        }
        if connection_options.contains(name) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Returns whether the concatenated values of a repeated header contain a key, although no single
/// value does.
fn contains_split_key(headers: &HeaderMap, name: &HeaderName) -> bool {
    let values: Vec<_> =
        headers.get_all(name).iter().map(|v| String::from_utf8_lossy(v.as_bytes())).collect();
    values.len() > 1
        && !values.iter().any(|value| contains_key(value))
        && contains_key(&values.concat())
}

/// Returns the headers listed in `connection`, which are hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    let texts = values.filter_map(|value: &HeaderValue| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).filter_map(|name| name.trim().parse().ok()).collect()
}

/// Percent-decodes a text that may be encoded several times, up to [`MAX_PERCENT_DECODINGS`] times.
fn percent_decode_repeatedly(text: &str) -> String {
    let mut decoded = percent_decode(text);
    for _ in 1..MAX_PERCENT_DECODINGS {
        if escaped_bytes(decoded.as_bytes()).next().is_none() {
            break;
        }
        decoded = percent_decode(&decoded);
    }
    decoded
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.as_bytes();
    while let Some((&first, rest)) = bytes.split_first() {
        let escaped = (first == b'%').then(|| rest.get(..2).and_then(parse_hex_pair)).flatten();
        decoded.push(escaped.unwrap_or(first));
        bytes = if escaped.is_some() { &rest[2..] } else { rest };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the bytes that are percent-encoded in a text.
fn escaped_bytes(text: &[u8]) -> impl Iterator<Item = u8> {
    text.windows(3)
        .filter(|window| window[0] == b'%')
        .filter_map(|window| parse_hex_pair(&window[1..]))
}

fn parse_hex_pair(digits: &[u8]) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let value = digit(*digits.first()?)? * 16 + digit(*digits.get(1)?)?;
    u8::try_from(value).ok()
}

/// Decodes the runs of Base64 digits in a text. A run may begin with characters that are not part
/// of the encoded text, so all four alignments are tried.
fn decode_base64_runs(text: &str) -> impl Iterator<Item = String> {
    let runs = text.split(|c: char| !c.is_ascii() || base64_digit_value(c as u8).is_none());
    let long_runs = runs.filter(|run| run.len() >= SECRET_BYTES * 4 / 3);
    long_runs.flat_map(|run| (0..4).map(move |skipped| base64_decode(&run.as_bytes()[skipped..])))
}

fn base64_decode(run: &[u8]) -> String {
    let mut decoded = Vec::with_capacity(run.len());
    for group in run.chunks(4) {
        let bits = group.iter().filter_map(|byte| base64_digit_value(*byte));
        let bits =
            bits.fold(0, |bits, value| bits << 6 | u32::from(value)) << (6 * (4 - group.len()));
        decoded.extend(&bits.to_be_bytes()[1..group.len()]);
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the value of a Base64 digit in the standard or URL-safe alphabet.
fn base64_digit_value(byte: u8) -> Option<u8> {
    match byte {
        b'A'..=b'Z' => Some(byte - b'A'),
        b'a'..=b'z' => Some(byte - b'a' + 26),
        b'0'..=b'9' => Some(byte - b'0' + 52),
        b'+' | b'-' => Some(62),
        b'/' | b'_' => Some(63),
        _ => None,
    }
}
