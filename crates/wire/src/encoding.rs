//! CBOR encoding of the frames.
//!
//! The wire types are private, so their shape can change with the protocol version without a change
//! to the rest of the program.

use std::fmt;
use std::time::Duration;

use config::Chunk as Transfer;
use model::{
    AttemptId, Endpoint, Incarnation, Kind, LoadReport, Object, ObjectKey, ResultCode, Revision,
    Slots, StoredObject, Time,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::frame::{
    AnswerHead, BodyPart, Call, EndpointLoad, FenceStatus, Frame, HandoverReply, Head, Header,
    Hello, Ping, Pong, Purpose, Table, TokenAnswers, Welcome,
};
use crate::health::{self, WireReply, WireUpdate};
use crate::tokens::{self, WireHandover, WireRight, WireTokenAnswer, WireTokenRequest};
use crate::{MAX_CHUNK_BYTES, MAX_FRAME_BYTES};

/// A frame could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    code: ResultCode,
    reason: Box<str>,
}

impl DecodeError {
    /// The numbered result.
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

/// Decodes a frame and checks its fields.
pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
    if bytes.len() > MAX_FRAME_BYTES {
        let reason = format!("{} bytes, at most {MAX_FRAME_BYTES}", bytes.len()).into();
        return Err(DecodeError { code: ResultCode::FrameTooLarge, reason });
    }
    // The recursion limit keeps hostile nesting from exhausting the stack.
    let mut rest = bytes;
    let frame: WireFrame = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_NESTING)
        .map_err(DecodeError::invalid)?;
    if !rest.is_empty() {
        return Err(DecodeError::invalid(format!("{} bytes after the frame", rest.len())));
    }
    frame.try_into()
}

/// Deepest nesting of a frame: the enum, the frame, a list, its element and its fields.
const MAX_NESTING: usize = 16;

type WireLoad = (String, u32, u32, u32, u64);
type WireHeader = (String, ByteBuf);
type WireHead = (String, String, Vec<WireHeader>);
type WireAttempt = (u64, u64);
type WireBody = (ByteBuf, bool);
type WireObject = (String, String, u64, String, Option<ByteBuf>);

/// The variants are renamed to one or two letters, since heartbeats are the bulk of the control
/// traffic and a name would be a third of one.
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
    #[serde(rename = "p")]
    Ping(u64, u64, u64),
    #[serde(rename = "q")]
    Pong(u64, u64, u64, bool, bool, Option<u64>, u64, Vec<WireLoad>),
    #[serde(rename = "pu")]
    Pull(u64),
    #[serde(rename = "pm")]
    PullMore,
    #[serde(rename = "ob")]
    Objects(Option<u64>, u64, u64, u32, bool, Vec<WireObject>),
    #[serde(rename = "pt")]
    PullTable,
    #[serde(rename = "ta")]
    Table(u64, Vec<ByteBuf>),
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "c")]
    Call(Box<WireCall>),
    #[serde(rename = "cb")]
    CallBody(WireBody),
    #[serde(rename = "rf")]
    Refused(WireAttempt, u16, Option<WireLoad>),
    #[serde(rename = "fa")]
    Failed(WireAttempt, u16),
    #[serde(rename = "a")]
    Answer(WireAttempt, u16, Vec<WireHeader>, WireBody, WireLoad),
    #[serde(rename = "ab")]
    AnswerBody(WireAttempt, WireBody),
    #[serde(rename = "fe")]
    Fence(WireAttempt, u64),
    #[serde(rename = "fd")]
    Fenced(WireAttempt, u8),
    #[serde(rename = "tr")]
    TokenRequests(Vec<WireTokenRequest>),
    #[serde(rename = "tg")]
    TokenAnswers(Vec<WireTokenAnswer>, Vec<WireRight>),
    #[serde(rename = "ho")]
    Handover(Box<WireHandover>),
    #[serde(rename = "hr")]
    HandoverReply(bool),
    #[serde(rename = "hu")]
    HealthUpdate(Box<WireUpdate>),
    #[serde(rename = "hy")]
    HealthReply(Box<WireReply>),
}

#[derive(Debug, Serialize, Deserialize)]
struct WireCall(
    WireAttempt,
    String,
    String,
    String,
    Option<(String, String)>,
    u64,
    Option<u64>,
    bool,
    u64,
    WireHead,
    WireBody,
);

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
            Frame::Ping(ping) => {
                WireFrame::Ping(ping.sequence, ping.revision.0, ping.table_version)
            }
            Frame::Pong(pong) => pong_to_wire(pong),
            Frame::Pull(from) => WireFrame::Pull(from.0),
            Frame::PullMore => WireFrame::PullMore,
            Frame::Objects(transfer) => transfer_to_wire(transfer),
            Frame::PullTable => WireFrame::PullTable,
            Frame::Table(table) => table_to_wire(table),
            Frame::Done => WireFrame::Done,
            Frame::Call(call) => WireFrame::Call(Box::new(call_to_wire(call))),
            Frame::CallBody(part) => WireFrame::CallBody(body_to_wire(part)),
            Frame::Refused { attempt, code, load } => WireFrame::Refused(
                attempt_to_wire(attempt),
                code.number(),
                load.as_ref().map(load_to_wire),
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
            Frame::TokenAnswers(TokenAnswers { answers, moved }) => WireFrame::TokenAnswers(
                answers.iter().map(tokens::answer_to_wire).collect(),
                moved.iter().map(tokens::right_to_wire).collect(),
            ),
            Frame::Handover(handover) => {
                WireFrame::Handover(Box::new(tokens::handover_to_wire(handover)))
            }
            Frame::HandoverReply(reply) => WireFrame::HandoverReply(*reply == HandoverReply::Taken),
            Frame::HealthUpdate(update) => {
                WireFrame::HealthUpdate(Box::new(health::update_to_wire(update)))
            }
            Frame::HealthReply(reply) => {
                WireFrame::HealthReply(Box::new(health::reply_to_wire(reply)))
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
                    node: id(node)?,
                    domain: id(domain)?,
                    incarnation: Incarnation(incarnation),
                    purpose: purpose_from_wire(purpose)?,
                    nonce: fixed_bytes(&nonce)?,
                    proof: fixed_bytes(&proof)?,
                })
            }
            WireFrame::Welcome(node, domain, incarnation, clock, proof) => {
                Frame::Welcome(Welcome {
                    node: id(node)?,
                    domain: id(domain)?,
                    incarnation: Incarnation(incarnation),
                    clock: Time::from_micros(clock),
                    proof: fixed_bytes(&proof)?,
                })
            }
            WireFrame::Rejected(number) => Frame::Rejected(code(number)?),
            WireFrame::Ping(sequence, revision, table_version) => {
                Frame::Ping(Ping { sequence, revision: Revision(revision), table_version })
            }
            WireFrame::Pong(
                sequence,
                revision,
                table_version,
                synced,
                stopping,
                age,
                clock,
                loads,
            ) => Frame::Pong(Pong {
                sequence,
                revision: Revision(revision),
                table_version,
                synced,
                stopping,
                platform_age: age.map(Duration::from_millis),
                clock: Time::from_micros(clock),
                loads: loads.into_iter().map(load_from_wire).collect::<Result<_, _>>()?,
            }),
            WireFrame::Pull(from) => Frame::Pull(Revision(from)),
            WireFrame::PullMore => Frame::PullMore,
            WireFrame::Objects(from, floor, to, index, last, objects) => Frame::Objects(Transfer {
                from: from.map(Revision),
                floor: Revision(floor),
                to: Revision(to),
                index,
                last,
                objects: objects.into_iter().map(object_from_wire).collect::<Result<_, _>>()?,
            }),
            WireFrame::PullTable => Frame::PullTable,
            WireFrame::Table(version, endpoints) => Frame::Table(Table {
                version,
                endpoints: endpoints
                    .iter()
                    .map(|bytes| {
                        serde_json::from_slice::<Endpoint>(bytes).map_err(DecodeError::invalid)
                    })
                    .collect::<Result<_, _>>()?,
            }),
            WireFrame::Done => Frame::Done,
            WireFrame::Call(call) => Frame::Call(Box::new(call_from_wire(*call)?)),
            WireFrame::CallBody(part) => Frame::CallBody(body_from_wire(part)?),
            WireFrame::Refused(attempt, number, load) => Frame::Refused {
                attempt: attempt_from_wire(attempt),
                code: refusal(number)?,
                load: load.map(load_from_wire).transpose()?,
            },
            WireFrame::Failed(attempt, number) => {
                Frame::Failed { attempt: attempt_from_wire(attempt), code: code(number)? }
            }
            WireFrame::Answer(attempt, status, headers, body, load) => {
                Frame::Answer(Box::new(AnswerHead {
                    attempt: attempt_from_wire(attempt),
                    status: http_status(status)?,
                    headers: headers_from_wire(headers),
                    body: body_from_wire(body)?,
                    load: load_from_wire(load)?,
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
            WireFrame::TokenAnswers(answers, moved) => Frame::TokenAnswers(TokenAnswers {
                answers: answers
                    .into_iter()
                    .map(tokens::answer_from_wire)
                    .collect::<Result<_, _>>()?,
                moved: moved.into_iter().map(tokens::right_from_wire).collect::<Result<_, _>>()?,
            }),
            WireFrame::Handover(handover) => {
                Frame::Handover(Box::new(tokens::handover_from_wire(*handover)?))
            }
            WireFrame::HandoverReply(true) => Frame::HandoverReply(HandoverReply::Taken),
            WireFrame::HandoverReply(false) => Frame::HandoverReply(HandoverReply::Refused),
            WireFrame::HealthUpdate(update) => {
                Frame::HealthUpdate(Box::new(health::update_from_wire(*update)?))
            }
            WireFrame::HealthReply(reply) => {
                Frame::HealthReply(Box::new(health::reply_from_wire(*reply)?))
            }
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

fn pong_to_wire(pong: &Pong) -> WireFrame {
    WireFrame::Pong(
        pong.sequence,
        pong.revision.0,
        pong.table_version,
        pong.synced,
        pong.stopping,
        pong.platform_age.map(|age| age.as_millis() as u64),
        pong.clock.as_micros(),
        pong.loads.iter().map(load_to_wire).collect(),
    )
}

fn load_to_wire(load: &EndpointLoad) -> WireLoad {
    let LoadReport { slots, running, queued, mean_service } = load.report;
    (load.endpoint.to_string(), slots.0, running, queued, mean_service.as_micros() as u64)
}

fn load_from_wire(load: WireLoad) -> Result<EndpointLoad, DecodeError> {
    let (endpoint, slots, running, queued, micros) = load;
    let mean_service = Duration::from_micros(micros);
    let report = LoadReport { slots: Slots(slots), running, queued, mean_service };
    Ok(EndpointLoad { endpoint: id(endpoint)?, report })
}

fn transfer_to_wire(transfer: &Transfer) -> WireFrame {
    WireFrame::Objects(
        transfer.from.map(|from| from.0),
        transfer.floor.0,
        transfer.to.0,
        transfer.index,
        transfer.last,
        transfer.objects.iter().map(object_to_wire).collect(),
    )
}

fn object_to_wire(stored: &StoredObject) -> WireObject {
    (
        stored.key.kind.as_str().to_owned(),
        stored.key.name.to_string(),
        stored.revision.0,
        stored.write_id.to_string(),
        stored.object.as_ref().map(|object| ByteBuf::from(object.to_document())),
    )
}

fn object_from_wire(
    (kind, name, revision, write_id, document): WireObject,
) -> Result<StoredObject, DecodeError> {
    let kind: Kind = kind.parse().map_err(DecodeError::invalid)?;
    let object = document
        .map(|document| Object::from_document(kind, &document))
        .transpose()
        .map_err(DecodeError::invalid)?;
    let key = ObjectKey::new(kind, &name);
    Ok(StoredObject { key, revision: Revision(revision), write_id: id(write_id)?, object })
}

fn table_to_wire(table: &Table) -> WireFrame {
    let document = |endpoint: &Endpoint| {
        let json = serde_json::to_vec(endpoint);
        ByteBuf::from(json.expect("endpoints hold only types that JSON can represent"))
    };
    WireFrame::Table(table.version, table.endpoints.iter().map(document).collect())
}

fn call_to_wire(call: &Call) -> WireCall {
    let account = call.account.as_ref();
    WireCall(
        attempt_to_wire(&call.attempt),
        call.request.to_string(),
        call.endpoint.to_string(),
        call.route.to_string(),
        account.map(|(account, key)| (account.to_string(), key.to_string())),
        call.start_by.as_micros(),
        call.patience.map(|patience| patience.as_micros() as u64),
        call.over_rate,
        call.revision.0,
        (
            call.head.method.to_string(),
            call.head.target.to_string(),
            headers_to_wire(&call.head.headers),
        ),
        body_to_wire(&call.body),
    )
}

fn call_from_wire(call: WireCall) -> Result<Call, DecodeError> {
    let WireCall(
        attempt,
        request,
        endpoint,
        route,
        account,
        start_by,
        patience,
        over_rate,
        revision,
        head,
        body,
    ) = call;
    let account =
        account.map(|(account, key)| Ok::<_, DecodeError>((id(account)?, id(key)?))).transpose()?;
    Ok(Call {
        attempt: attempt_from_wire(attempt),
        request: id(request)?,
        endpoint: id(endpoint)?,
        route: id(route)?,
        account,
        start_by: Time::from_micros(start_by),
        patience: patience.map(Duration::from_micros),
        over_rate,
        revision: Revision(revision),
        head: Head {
            method: head.0.into(),
            target: head.1.into(),
            headers: headers_from_wire(head.2),
        },
        body: body_from_wire(body)?,
    })
}

fn headers_to_wire(headers: &[Header]) -> Vec<WireHeader> {
    headers
        .iter()
        .map(|header| (header.name.to_string(), ByteBuf::from(header.value.clone())))
        .collect()
}

fn headers_from_wire(headers: Vec<WireHeader>) -> Vec<Header> {
    headers
        .into_iter()
        .map(|(name, value)| Header { name: name.into(), value: value.into_vec() })
        .collect()
}

fn body_to_wire(part: &BodyPart) -> WireBody {
    (ByteBuf::from(part.bytes.clone()), part.last)
}

fn body_from_wire((bytes, last): WireBody) -> Result<BodyPart, DecodeError> {
    if bytes.len() > MAX_CHUNK_BYTES {
        let reason = format!("a chunk of {} bytes", bytes.len()).into();
        return Err(DecodeError { code: ResultCode::FrameTooLarge, reason });
    }
    Ok(BodyPart { bytes: bytes.into_vec(), last })
}

fn attempt_to_wire(attempt: &AttemptId) -> WireAttempt {
    (attempt.entry.0, attempt.sequence)
}

fn attempt_from_wire((entry, sequence): WireAttempt) -> AttemptId {
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

fn http_status(status: u16) -> Result<u16, DecodeError> {
    if (200..=599).contains(&status) {
        return Ok(status);
    }
    Err(DecodeError::invalid(format!("HTTP status {status}")))
}

fn code(number: u16) -> Result<ResultCode, DecodeError> {
    ResultCode::from_number(number)
        .ok_or_else(|| DecodeError::invalid(format!("unknown result code {number}")))
}

/// A refusal must carry a code of the "not run" group; anything else would let a peer turn an
/// unknown outcome into permission to retry.
fn refusal(number: u16) -> Result<ResultCode, DecodeError> {
    let code = code(number)?;
    if code.outcome() == model::Outcome::NotRun {
        return Ok(code);
    }
    Err(DecodeError::invalid(format!("refusal with result code {number}")))
}

pub(crate) fn id<T: TryFrom<String>>(text: String) -> Result<T, DecodeError>
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
