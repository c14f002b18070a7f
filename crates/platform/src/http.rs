//! Client of the object API over HTTP.

use std::time::Duration;

use model::{Object, ObjectKey, Revision, StoredObject, WriteId};
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body, Error, Timeout};

use crate::MAX_DOCUMENT_BYTES;
use crate::document::{
    ErrorDocument, ObjectDocument, ObjectsDocument, WriteDocument, WrittenDocument, invalid,
    read_objects,
};
use crate::store::{Changes, Listing, ObjectStore, Precondition, StoreError};

/// Room for the metadata around one object in an answer.
const ENVELOPE_BYTES: u64 = 4096;

/// Longest answer to a list or watch, which holds many objects.
const MAX_LISTING_BYTES: u64 = 256 << 20;

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Longest wait that a watch asks the platform for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Timeouts of [`HttpStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpStoreConfig {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest time for a call of one object, for the start of the answer to a list, and the time
    /// that a watch gets beyond its wait.
    pub call: Duration,
    /// Longest time for a list, of which most is for its body.
    pub list: Duration,
}

impl Default for HttpStoreConfig {
    fn default() -> HttpStoreConfig {
        HttpStoreConfig {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
            list: Duration::from_secs(20),
        }
    }
}

/// Time limits of one call.
#[derive(Clone, Copy)]
struct CallTime {
    /// Longest time between the request and the head of its answer.
    start: Duration,
    /// Longest time for all of the call.
    whole: Duration,
}

impl CallTime {
    /// Limits without an earlier one for the head.
    fn whole(whole: Duration) -> CallTime {
        CallTime { start: whole, whole }
    }
}

/// Client of the object API over HTTP.
pub struct HttpStore {
    agent: Agent,
    base: Box<str>,
    cfg: HttpStoreConfig,
}

impl HttpStore {
    /// Makes a client of the platform at `url`, for example `http://127.0.0.1:7000`.
    ///
    /// Fails with [`StoreError::Invalid`] if the URL is not an `http` URL with a host.
    ///
    /// ```
    /// use platform::{HttpStore, HttpStoreConfig};
    ///
    /// assert!(HttpStore::new("http://127.0.0.1:7000", HttpStoreConfig::default()).is_ok());
    /// assert!(HttpStore::new("ftp://127.0.0.1", HttpStoreConfig::default()).is_err());
    /// ```
    pub fn new(url: &str, cfg: HttpStoreConfig) -> Result<HttpStore, StoreError> {
        let uri: ureq::http::Uri = url.parse().map_err(invalid)?;
        if uri.scheme_str() != Some("http") || uri.host().is_none() || uri.query().is_some() {
            return Err(invalid("the platform's URL must look like http://host:port"));
        }
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_response_header_size(MAX_HEAD_BYTES)
            .timeout_connect(Some(cfg.connect))
            .timeout_global(Some(cfg.call))
            .build()
            .new_agent();
        Ok(HttpStore { agent, base: url.trim_end_matches('/').into(), cfg })
    }

    fn fetch(
        &self,
        path: &str,
        time: CallTime,
        max_bytes: u64,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let answer = self
            .agent
            .get(format!("{}{path}", self.base))
            .config()
            .timeout_recv_response(Some(time.start))
            .timeout_global(Some(time.whole))
            .build()
            .call()
            .map_err(unavailable)?;
        read_answer(answer, max_bytes).map_err(|err| match err {
            Error::BodyExceedsLimit(limit) => invalid(format!("answer above {limit} bytes")),
            err => unavailable(err),
        })
    }

    fn fetch_objects(&self, path: &str, time: CallTime) -> Result<ObjectsDocument, StoreError> {
        let (status, body) = self.fetch(path, time, MAX_LISTING_BYTES)?;
        match status {
            200 => parse(&body),
            status => Err(refusal(status, &body)),
        }
    }

    fn object_url(&self, key: &ObjectKey) -> Result<String, StoreError> {
        Ok(format!("{}{}", self.base, object_path(key)?))
    }
}

impl ObjectStore for HttpStore {
    fn list(&self) -> Result<Listing, StoreError> {
        // One lost answer would otherwise keep a starting node waiting for the time of a whole list.
        let time = CallTime { start: self.cfg.call, whole: self.cfg.list };
        let doc = self.fetch_objects("/v1/objects", time)?;
        Ok(Listing { revision: doc.revision, objects: read_objects(doc.objects) })
    }

    fn watch(&self, since: Revision, wait: Duration) -> Result<Changes, StoreError> {
        let wait = wait.min(MAX_WATCH_WAIT);
        let path = format!("/v1/watch?since={since}&wait_ms={}", wait.as_millis());
        let doc = self.fetch_objects(&path, CallTime::whole(wait + self.cfg.call))?;
        if doc.revision < since {
            return Err(StoreError::ListNeeded);
        }
        let mut objects = read_objects(doc.objects);
        objects.sort_by_key(|stored| stored.revision);
        Ok(Changes { revision: doc.revision, objects })
    }

    fn read(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        let max_bytes = MAX_DOCUMENT_BYTES as u64 + ENVELOPE_BYTES;
        let time = CallTime::whole(self.cfg.call);
        let (status, body) = self.fetch(&object_path(key)?, time, max_bytes)?;
        match status {
            200 => {}
            404 => return Ok(None),
            status => return Err(refusal(status, &body)),
        }
        let stored = StoredObject::try_from(parse::<ObjectDocument>(&body)?.object)?;
        if stored.key != *key {
            return Err(invalid(format!("asked for {key}, got {}", stored.key)));
        }
        Ok(Some(stored))
    }

    fn write(
        &self,
        key: &ObjectKey,
        precondition: Precondition,
        object: Option<&Object>,
        write_id: &WriteId,
    ) -> Result<Revision, StoreError> {
        let url = self.object_url(key)?;
        if object.is_some_and(|object| object.kind() != key.kind) {
            return Err(invalid(format!("the object is not of kind {}", key.kind)));
        }
        let spec = match object {
            Some(object) => Some(serde_json::from_slice(&object.to_document()).map_err(invalid)?),
            None => None,
        };
        let body = serde_json::to_vec(&WriteDocument { write_id, spec }).map_err(invalid)?;
        if body.len() > MAX_DOCUMENT_BYTES {
            return Err(invalid(format!("the document is larger than {MAX_DOCUMENT_BYTES} bytes")));
        }
        let req = match object {
            Some(_) => self.agent.put(url),
            None => self.agent.delete(url).force_send_body(),
        };
        let req = match precondition {
            Precondition::Absent => req.header("if-none-match", "*"),
            Precondition::At(revision) => req.header("if-match", revision.to_string()),
        };
        let answer = req
            .header("content-type", "application/json")
            .send(&body[..])
            .map_err(|err| if is_unsent(&err) { unavailable(err) } else { lost(err) })?;
        let (status, body) = read_answer(answer, ENVELOPE_BYTES).map_err(lost)?;
        match status {
            200 => match parse::<WrittenDocument>(&body) {
                Ok(doc) => Ok(doc.revision),
                Err(err) => Err(lost(err)),
            },
            // Other 5xx answers come from something between here and the platform, which can't
            // tell whether the platform has made the write.
            503 | ..500 => Err(refusal(status, &body)),
            status => Err(lost(format!("status {status}"))),
        }
    }
}

fn object_path(key: &ObjectKey) -> Result<String, StoreError> {
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let name = &*key.name;
    if name.is_empty() || matches!(name, "." | "..") || !name.bytes().all(valid) {
        return Err(invalid(format!("{name:?} can't be the name of an object")));
    }
    Ok(format!("/v1/objects/{}/{name}", key.kind))
}

fn read_answer(mut answer: Response<Body>, max_bytes: u64) -> Result<(u16, Vec<u8>), Error> {
    let status = answer.status().as_u16();
    let body = answer.body_mut().with_config().limit(max_bytes).read_to_vec()?;
    Ok((status, body))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(invalid)
}

/// Reads an answer that says that the platform did nothing.
fn refusal(status: u16, body: &[u8]) -> StoreError {
    let doc: ErrorDocument = serde_json::from_slice(body).unwrap_or_default();
    match status {
        409 | 412 => StoreError::Conflict { current: doc.current },
        410 => StoreError::ListNeeded,
        429 => StoreError::Throttled,
        400..500 => StoreError::Invalid(format!("status {status}: {}", doc.detail).into()),
        _ => StoreError::Unavailable(format!("status {status} {}", doc.error).trim_end().into()),
    }
}

/// Tells whether an error arose before the request was sent.
fn is_unsent(err: &Error) -> bool {
    match err {
        Error::HostNotFound | Error::ConnectionFailed | Error::BadUri(_) => true,
        Error::Timeout(Timeout::Resolve | Timeout::Connect) => true,
        Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn unavailable(err: impl std::fmt::Display) -> StoreError {
    StoreError::Unavailable(err.to_string().into())
}

fn lost(err: impl std::fmt::Display) -> StoreError {
    StoreError::OutcomeUnknown(err.to_string().into())
}
