//! CBOR encoding of the frames.
//!
//! The wire types are private, so that the encoding can change with the protocol version without
//! changing the rest of the program.

use std::fmt;
use std::time::Duration;

use config::{Chunk as Transfer, Feed, Revisions};
use evacuation::Snapshot;
use model::{
    AttemptId, Incarnation, Kind, LoadReport, Object, ObjectKey, ResultCode, Revision, Slots,
    StoredObject, Time,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::call::WireCall;
use crate::frame::{
    AnswerHead, BodyPart, Call, EndpointLoad, FenceStatus, Frame, Header, Hello, Purpose, Welcome,
};
use crate::service_policy;
use crate::tokens::{self, WireTokenAnswer, WireTokenRequest};
use crate::{MAX_CHUNK_BYTES, MAX_FRAME_BYTES};

/// Error from decoding a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    code: ResultCode,
    reason: Box<str>,
}

impl DecodeError {
    /// Result code of the error.
    pub fn code(&self) -> ResultCode {
        self.code
    }

    pub(crate) fn invalid(reason: impl fmt::Display) -> DecodeError {
        DecodeError { code: ResultCode::FrameInvalid, reason: reason.to_string().into() }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.code, self.reason)
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a frame.
///
/// ```
/// use wire::{Frame, decode, encode};
///
/// let bytes = encode(&Frame::Done);
/// assert_eq!(decode(&bytes).unwrap(), Frame::Done);
/// ```
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(&WireFrame::from(frame), &mut buf)
        .expect("writing to memory does not fail and the wire types hold no unencodable values");
    buf
}

/// Decodes a frame and validates its fields.
pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
    if bytes.len() > MAX_FRAME_BYTES {
        let reason =
            format!("frame of {} bytes; the limit is {MAX_FRAME_BYTES}", bytes.len()).into();
        return Err(DecodeError { code: ResultCode::FrameTooLarge, reason });
    }
    // Without a recursion limit, deeply nested input from the network could exhaust the stack.
    let mut remaining = bytes;
    let frame: WireFrame =
        ciborium::de::from_reader_with_recursion_limit(&mut remaining, MAX_NESTING)
            .map_err(DecodeError::invalid)?;
    if !remaining.is_empty() {
        return Err(DecodeError::invalid(format!("{} bytes after the frame", remaining.len())));
    }
    frame.try_into()
}

/// Maximum nesting depth of a frame; valid frames nest the enum, the frame, a list, its element and
/// its fields.
const MAX_NESTING: usize = 16;

type WireLoad = (String, u32, u32, u32, u64);
pub(crate) type WireRevisions = (u64, u64);
pub(crate) type WireHeader = (String, ByteBuf);
pub(crate) type WireHead = (String, String, Vec<WireHeader>);
pub(crate) type WireAttempt = (u64, u64);
pub(crate) type WireBody = (ByteBuf, bool);
type WireSnapshot = (u64, Vec<String>);
type WireObject = (String, String, u64, String, Option<ByteBuf>);

/// Variants are encoded under names of one or two letters, since a full name would be a large part
/// of a token request.
#[derive(Debug, Serialize, Deserialize)]
enum WireFrame {
    #[serde(rename = "ch")]
    Challenge(ByteBuf),
    #[serde(rename = "he")]
    Hello(u16, String, String, u64, u8, ByteBuf, ByteBuf),
    #[serde(rename = "we")]
    Welcome(String, String, u64, u64, ByteBuf),
    #[serde(rename = "re")]
    Rejected(u16),
    #[serde(rename = "rv")]
    Revisions(WireRevisions),
    #[serde(rename = "cp")]
    Compare(WireRevisions, Option<u64>),
    #[serde(rename = "ev")]
    Evacuations(Option<WireSnapshot>, Option<u64>),
    #[serde(rename = "pe")]
    PullRetainedEvacuations,
    #[serde(rename = "er")]
    RetainedEvacuations(u64, Vec<(String, u64)>),
    #[serde(rename = "pu")]
    Pull(u8, u64),
    #[serde(rename = "pm")]
    PullMore,
    #[serde(rename = "ob")]
    Objects(u8, Option<u64>, u64, u64, u32, bool, Vec<WireObject>),
    #[serde(rename = "po")]
    PullOwnRecord,
    #[serde(rename = "pr")]
    PullRetained(u32),
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "c")]
    Call(Box<WireCall>),
    #[serde(rename = "cb")]
    CallBody(WireBody),
    #[serde(rename = "rf")]
    Refused(WireAttempt, u16, Option<WireLoad>, WireRevisions),
    #[serde(rename = "fa")]
    Failed(WireAttempt, u16),
    #[serde(rename = "a")]
    Answer(WireAttempt, u16, Vec<WireHeader>, WireBody, WireLoad, WireRevisions, u64),
    #[serde(rename = "ab")]
    AnswerBody(WireAttempt, WireBody),
    #[serde(rename = "fe")]
    Fence(WireAttempt, u64),
    #[serde(rename = "fd")]
    Fenced(WireAttempt, u8),
    #[serde(rename = "tr")]
    TokenRequests(Vec<WireTokenRequest>),
    #[serde(rename = "tg")]
    TokenAnswers(Vec<WireTokenAnswer>),
}

impl From<&Frame> for WireFrame {
    fn from(frame: &Frame) -> WireFrame {
        match frame {
            Frame::Challenge(nonce) => WireFrame::Challenge(ByteBuf::from(*nonce)),
            Frame::Hello(hello) => hello_to_wire(hello),
            Frame::Welcome(welcome) => WireFrame::Welcome(
                welcome.node.to_string(),
                welcome.domain.to_string(),
                welcome.incarnation.0,
                welcome.clock.as_micros(),
                ByteBuf::from(welcome.proof),
            ),
            Frame::Rejected(code) => WireFrame::Rejected(code.number()),
            Frame::Revisions(revisions) => WireFrame::Revisions(revisions_to_wire(*revisions)),
            Frame::Compare { revisions, confirmed_ago } => WireFrame::Compare(
                revisions_to_wire(*revisions),
                confirmed_ago.map(|ago| ago.as_micros() as u64),
            ),
            Frame::Evacuations { snapshot, confirmed_ago } => WireFrame::Evacuations(
                snapshot.as_ref().map(snapshot_to_wire),
                confirmed_ago.map(|ago| ago.as_micros() as u64),
            ),
            Frame::PullRetainedEvacuations => WireFrame::PullRetainedEvacuations,
            Frame::RetainedEvacuations { revision, retained } => {
                let retained = retained.iter();
                let retained =
                    retained.map(|(domain, left)| (domain.to_string(), left.as_micros() as u64));
                WireFrame::RetainedEvacuations(revision.0, retained.collect())
            }
            Frame::Pull(feed, from) => WireFrame::Pull(feed_to_wire(*feed, *from), from.0),
            Frame::PullMore => WireFrame::PullMore,
            Frame::Objects(feed, transfer) => transfer_to_wire(*feed, transfer),
            Frame::PullOwnRecord => WireFrame::PullOwnRecord,
            Frame::PullRetained(index) => WireFrame::PullRetained(*index),
            Frame::Done => WireFrame::Done,
            Frame::Call(call) => WireFrame::Call(Box::new(call.as_ref().into())),
            Frame::CallBody(part) => WireFrame::CallBody(body_to_wire(part)),
            Frame::Refused { attempt, code, load, revisions } => WireFrame::Refused(
                attempt_to_wire(attempt),
                code.number(),
                load.as_ref().map(load_to_wire),
                revisions_to_wire(*revisions),
            ),
            Frame::Failed { attempt, code } => {
                WireFrame::Failed(attempt_to_wire(attempt), code.number())
            }
            Frame::Answer(answer) => WireFrame::Answer(
                attempt_to_wire(&answer.attempt),
                answer.status,
                headers_to_wire(&answer.headers),
                body_to_wire(&answer.body),
                load_to_wire(&answer.load),
                revisions_to_wire(answer.revisions),
                answer.took.as_micros() as u64,
            ),
            Frame::AnswerBody { attempt, part } => {
                WireFrame::AnswerBody(attempt_to_wire(attempt), body_to_wire(part))
            }
            Frame::Fence { attempt, start_by } => {
                WireFrame::Fence(attempt_to_wire(attempt), start_by.as_micros())
            }
            Frame::Fenced { attempt, status } => {
                WireFrame::Fenced(attempt_to_wire(attempt), fence_status_to_wire(*status))
            }
            Frame::TokenRequests(requests) => {
                WireFrame::TokenRequests(requests.iter().map(tokens::request_to_wire).collect())
            }
            Frame::TokenAnswers(answers) => {
                WireFrame::TokenAnswers(answers.iter().map(tokens::answer_to_wire).collect())
            }
        }
    }
}

impl TryFrom<WireFrame> for Frame {
    type Error = DecodeError;

    fn try_from(frame: WireFrame) -> Result<Frame, DecodeError> {
        Ok(match frame {
            WireFrame::Challenge(nonce) => Frame::Challenge(fixed_bytes(&nonce)?),
            WireFrame::Hello(version, node, domain, incarnation, purpose, nonce, proof) => {
                Frame::Hello(Hello {
                    version,
                    node: parse_id(node)?,
                    domain: parse_id(domain)?,
                    incarnation: Incarnation(incarnation),
                    purpose: purpose_from_wire(purpose)?,
                    nonce: fixed_bytes(&nonce)?,
                    proof: fixed_bytes(&proof)?,
                })
            }
            WireFrame::Welcome(node, domain, incarnation, clock, proof) => {
                Frame::Welcome(Welcome {
                    node: parse_id(node)?,
                    domain: parse_id(domain)?,
                    incarnation: Incarnation(incarnation),
                    clock: Time::from_micros(clock),
                    proof: fixed_bytes(&proof)?,
                })
            }
            WireFrame::Rejected(number) => Frame::Rejected(result_code(number)?),
            WireFrame::Revisions(revisions) => Frame::Revisions(revisions_from_wire(revisions)),
            WireFrame::Compare(revisions, confirmed_ago) => Frame::Compare {
                revisions: revisions_from_wire(revisions),
                confirmed_ago: confirmed_ago.map(Duration::from_micros),
            },
            WireFrame::Evacuations(snapshot, confirmed_ago) => Frame::Evacuations {
                snapshot: snapshot.map(snapshot_from_wire).transpose()?,
                confirmed_ago: confirmed_ago.map(Duration::from_micros),
            },
            WireFrame::PullRetainedEvacuations => Frame::PullRetainedEvacuations,
            WireFrame::RetainedEvacuations(revision, retained) => {
                let retained = retained
                    .into_iter()
                    .map(|(domain, micros)| Ok((parse_id(domain)?, Duration::from_micros(micros))));
                Frame::RetainedEvacuations {
                    revision: Revision(revision),
                    retained: retained.collect::<Result<_, DecodeError>>()?,
                }
            }
            WireFrame::Pull(feed, from) => Frame::Pull(feed_from_wire(feed)?, Revision(from)),
            WireFrame::PullMore => Frame::PullMore,
            WireFrame::Objects(feed, from, compact_revision, to, index, last, objects) => {
                let feed = feed_from_wire(feed)?;
                let objects = objects.into_iter().map(|object| object_from_wire(feed, object));
                let transfer = Transfer {
                    from: from.map(Revision),
                    compact_revision: Revision(compact_revision),
                    to: Revision(to),
                    index,
                    last,
                    objects: objects.collect::<Result<_, _>>()?,
                };
                Frame::Objects(feed, transfer)
            }
            WireFrame::PullOwnRecord => Frame::PullOwnRecord,
            WireFrame::PullRetained(index) => Frame::PullRetained(index),
            WireFrame::Done => Frame::Done,
            WireFrame::Call(call) => Frame::Call(Box::new(Call::try_from(*call)?)),
            WireFrame::CallBody(part) => Frame::CallBody(body_from_wire(part)?),
            WireFrame::Refused(attempt, number, load, revisions) => Frame::Refused {
                attempt: attempt_from_wire(attempt),
                code: refusal_code(number)?,
                load: load.map(load_from_wire).transpose()?,
                revisions: revisions_from_wire(revisions),
            },
            WireFrame::Failed(attempt, number) => {
                Frame::Failed { attempt: attempt_from_wire(attempt), code: result_code(number)? }
            }
            WireFrame::Answer(attempt, status, headers, body, load, revisions, took) => {
                Frame::Answer(Box::new(AnswerHead {
                    attempt: attempt_from_wire(attempt),
                    status: check_http_status(status)?,
                    headers: headers_from_wire(headers),
                    body: body_from_wire(body)?,
                    load: load_from_wire(load)?,
                    revisions: revisions_from_wire(revisions),
                    took: Duration::from_micros(took),
                }))
            }
            WireFrame::AnswerBody(attempt, part) => Frame::AnswerBody {
                attempt: attempt_from_wire(attempt),
                part: body_from_wire(part)?,
            },
            WireFrame::Fence(attempt, start_by) => Frame::Fence {
                attempt: attempt_from_wire(attempt),
                start_by: Time::from_micros(start_by),
            },
            WireFrame::Fenced(attempt, status) => Frame::Fenced {
                attempt: attempt_from_wire(attempt),
                status: fence_status_from_wire(status)?,
            },
            WireFrame::TokenRequests(requests) => Frame::TokenRequests(
                requests.into_iter().map(tokens::request_from_wire).collect::<Result<_, _>>()?,
            ),
            WireFrame::TokenAnswers(answers) => Frame::TokenAnswers(
                answers.into_iter().map(tokens::answer_from_wire).collect::<Result<_, _>>()?,
            ),
        })
    }
}

fn hello_to_wire(hello: &Hello) -> WireFrame {
    WireFrame::Hello(
        hello.version,
        hello.node.to_string(),
        hello.domain.to_string(),
        hello.incarnation.0,
        match hello.purpose {
            Purpose::Control => 0,
            Purpose::Call => 1,
        },
        ByteBuf::from(hello.nonce),
        ByteBuf::from(hello.proof),
    )
}

fn purpose_from_wire(purpose: u8) -> Result<Purpose, DecodeError> {
    match purpose {
        0 => Ok(Purpose::Control),
        1 => Ok(Purpose::Call),
        other => Err(DecodeError::invalid(format!("unknown purpose {other}"))),
    }
}

/// Number of a feed whose revisions are of the kind of `revision`. Nodes of protocol versions that order
/// the imported configuration by the revision of the store don't know the number 2, and so can't take
/// over a version as one of these.
fn feed_to_wire(feed: Feed, revision: Revision) -> u8 {
    match feed {
        Feed::Objects => 0,
        Feed::Imported if revision.version().is_none() => 1,
        Feed::Imported => 2,
    }
}

fn feed_from_wire(feed: u8) -> Result<Feed, DecodeError> {
    match feed {
        0 => Ok(Feed::Objects),
        1 | 2 => Ok(Feed::Imported),
        other => Err(DecodeError::invalid(format!("unknown feed {other}"))),
    }
}

pub(crate) fn revisions_to_wire(revisions: Revisions) -> WireRevisions {
    (revisions.objects.0, revisions.imported.0)
}

pub(crate) fn revisions_from_wire((objects, imported): WireRevisions) -> Revisions {
    Revisions { objects: Revision(objects), imported: Revision(imported) }
}

fn snapshot_to_wire(snapshot: &Snapshot) -> WireSnapshot {
    let domains = snapshot.domains.iter().map(ToString::to_string);
    (snapshot.revision.0, domains.collect())
}

fn snapshot_from_wire((revision, domains): WireSnapshot) -> Result<Snapshot, DecodeError> {
    let domains = domains.into_iter().map(parse_id);
    Ok(Snapshot { revision: Revision(revision), domains: domains.collect::<Result<_, _>>()? })
}

fn load_to_wire(load: &EndpointLoad) -> WireLoad {
    let LoadReport { slots, running, queued, mean_service } = load.report;
    (load.endpoint.to_string(), slots.0, running, queued, mean_service.as_micros() as u64)
}

fn load_from_wire(load: WireLoad) -> Result<EndpointLoad, DecodeError> {
    let (endpoint, slots, running, queued, micros) = load;
    let mean_service = Duration::from_micros(micros);
    let report = LoadReport { slots: Slots(slots), running, queued, mean_service };
    Ok(EndpointLoad { endpoint: parse_id(endpoint)?, report })
}

fn transfer_to_wire(feed: Feed, transfer: &Transfer) -> WireFrame {
    WireFrame::Objects(
        feed_to_wire(feed, transfer.to),
        transfer.from.map(|from| from.0),
        transfer.compact_revision.0,
        transfer.to.0,
        transfer.index,
        transfer.last,
        transfer.objects.iter().map(|stored| object_to_wire(feed, stored)).collect(),
    )
}

fn object_to_wire(feed: Feed, stored: &StoredObject) -> WireObject {
    let document = |object: &Object| match feed {
        Feed::Objects => object.to_document(),
        Feed::Imported => service_policy::document_to_wire(object),
    };
    let kind = match feed {
        Feed::Objects => stored.key.kind,
        Feed::Imported => service_policy::kind_to_wire(stored.key.kind),
    };
    (
        kind.as_str().to_owned(),
        stored.key.name.to_string(),
        stored.revision.0,
        stored.write_id.to_string(),
        stored.object.as_ref().map(|object| ByteBuf::from(document(object))),
    )
}

fn object_from_wire(
    feed: Feed,
    (kind, name, revision, write_id, document): WireObject,
) -> Result<StoredObject, DecodeError> {
    let kind: Kind = kind.parse().map_err(DecodeError::invalid)?;
    let object = document
        .map(|document| Object::from_document(kind, &document))
        .transpose()
        .map_err(DecodeError::invalid)?;
    let (kind, object) = match (feed, object) {
        (Feed::Objects, object) => (kind, object),
        (Feed::Imported, None) => (service_policy::kind_from_wire(kind), None),
        (Feed::Imported, Some(object)) => {
            let object = service_policy::object_from_wire(object);
            (object.kind(), Some(object))
        }
    };
    let key = ObjectKey::new(kind, &name);
    Ok(StoredObject { key, revision: Revision(revision), write_id: parse_id(write_id)?, object })
}

pub(crate) fn headers_to_wire(headers: &[Header]) -> Vec<WireHeader> {
    headers
        .iter()
        .map(|header| (header.name.to_string(), ByteBuf::from(header.value.clone())))
        .collect()
}

pub(crate) fn headers_from_wire(headers: Vec<WireHeader>) -> Vec<Header> {
    headers
        .into_iter()
        .map(|(name, value)| Header { name: name.into(), value: value.into_vec() })
        .collect()
}

pub(crate) fn body_to_wire(part: &BodyPart) -> WireBody {
    (ByteBuf::from(part.bytes.clone()), part.last)
}

pub(crate) fn body_from_wire((bytes, last): WireBody) -> Result<BodyPart, DecodeError> {
    if bytes.len() > MAX_CHUNK_BYTES {
        let reason =
            format!("body part of {} bytes; the limit is {MAX_CHUNK_BYTES}", bytes.len()).into();
        return Err(DecodeError { code: ResultCode::FrameTooLarge, reason });
    }
    Ok(BodyPart { bytes: bytes.into_vec(), last })
}

pub(crate) fn attempt_to_wire(attempt: &AttemptId) -> WireAttempt {
    (attempt.entry.0, attempt.sequence)
}

pub(crate) fn attempt_from_wire((entry, sequence): WireAttempt) -> AttemptId {
    AttemptId { entry: Incarnation(entry), sequence }
}

fn fence_status_to_wire(status: FenceStatus) -> u8 {
    match status {
        FenceStatus::NotRun => 0,
        FenceStatus::Running => 1,
        FenceStatus::Ran => 2,
        FenceStatus::Unknown => 3,
    }
}

fn fence_status_from_wire(status: u8) -> Result<FenceStatus, DecodeError> {
    match status {
        0 => Ok(FenceStatus::NotRun),
        1 => Ok(FenceStatus::Running),
        2 => Ok(FenceStatus::Ran),
        3 => Ok(FenceStatus::Unknown),
        other => Err(DecodeError::invalid(format!("unknown fence status {other}"))),
    }
}

fn check_http_status(status: u16) -> Result<u16, DecodeError> {
    if (200..=599).contains(&status) {
        return Ok(status);
    }
    Err(DecodeError::invalid(format!("invalid HTTP status {status}")))
}

fn result_code(number: u16) -> Result<ResultCode, DecodeError> {
    ResultCode::from_number(number)
        .ok_or_else(|| DecodeError::invalid(format!("unknown result code {number}")))
}

/// Accepts only codes of the "not run" group. The entry may retry a refused attempt, so a refusal
/// with another code would permit a retry although the outcome is unknown.
fn refusal_code(number: u16) -> Result<ResultCode, DecodeError> {
    let code = result_code(number)?;
    if code.outcome() == model::Outcome::NotRun {
        return Ok(code);
    }
    Err(DecodeError::invalid(format!("result code {number} is not allowed in a refusal")))
}

pub(crate) fn parse_id<T: TryFrom<String>>(text: String) -> Result<T, DecodeError>
where
    T::Error: fmt::Display,
{
    T::try_from(text).map_err(DecodeError::invalid)
}

fn fixed_bytes<const N: usize>(bytes: &[u8]) -> Result<[u8; N], DecodeError> {
    bytes
        .try_into()
        .map_err(|_| DecodeError::invalid(format!("{} bytes instead of {N}", bytes.len())))
}
