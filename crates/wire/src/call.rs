//! CBOR encoding of a call.

use std::time::Duration;

use model::{Percent, Time};
use serde::{Deserialize, Serialize};

use crate::encoding::{
    DecodeError, WireAttempt, WireBody, WireHead, WireRevisions, attempt_from_wire,
    attempt_to_wire, body_from_wire, body_to_wire, headers_from_wire, headers_to_wire, parse_id,
    revisions_from_wire, revisions_to_wire,
};
use crate::frame::{Call, Head};

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireCall(
    WireAttempt,
    String,
    String,
    String,
    Option<(String, String)>,
    u64,
    u64,
    Option<u64>,
    Option<u64>,
    u8,
    u8,
    u8,
    Option<String>,
    WireRevisions,
    WireHead,
    WireBody,
);

// Bits of the flags field of a call.
const OVER_RATE: u8 = 1;
const IDEMPOTENT: u8 = 2;
const ACCEPTS_SUSPECT: u8 = 4;
const RETRY: u8 = 8;

impl From<&Call> for WireCall {
    fn from(call: &Call) -> WireCall {
        let account = call.account.as_ref();
        WireCall(
            attempt_to_wire(&call.attempt),
            call.request.to_string(),
            call.endpoint.to_string(),
            call.route.to_string(),
            account.map(|(account, key)| (account.to_string(), key.to_string())),
            call.start_by.as_micros(),
            call.queue_until.as_micros(),
            call.goal_by.map(|goal_by| goal_by.as_micros()),
            call.max_expected_wait.map(|max_expected_wait| max_expected_wait.as_micros() as u64),
            flags_of(call),
            call.priority,
            call.retry_origin_percent.value(),
            call.caller_service.as_ref().map(ToString::to_string),
            revisions_to_wire(call.revisions),
            (
                call.head.method.to_string(),
                call.head.target.to_string(),
                headers_to_wire(&call.head.headers),
            ),
            body_to_wire(&call.body),
        )
    }
}

fn flags_of(call: &Call) -> u8 {
    let flag = |set: bool, bit: u8| if set { bit } else { 0 };
    flag(call.over_rate, OVER_RATE)
        | flag(call.idempotent, IDEMPOTENT)
        | flag(call.accepts_suspect, ACCEPTS_SUSPECT)
        | flag(call.is_retry, RETRY)
}

impl TryFrom<WireCall> for Call {
    type Error = DecodeError;

    fn try_from(call: WireCall) -> Result<Call, DecodeError> {
        let WireCall(
            attempt,
            request,
            endpoint,
            route,
            account,
            start_by,
            queue_until,
            goal_by,
            max_expected_wait,
            flags,
            priority,
            retry_origin_percent,
            caller_service,
            revisions,
            head,
            body,
        ) = call;
        let account = account
            .map(|(account, key)| Ok::<_, DecodeError>((parse_id(account)?, parse_id(key)?)))
            .transpose()?;
        Ok(Call {
            attempt: attempt_from_wire(attempt),
            request: parse_id(request)?,
            endpoint: parse_id(endpoint)?,
            route: parse_id(route)?,
            account,
            start_by: Time::from_micros(start_by),
            queue_until: Time::from_micros(queue_until),
            goal_by: goal_by.map(Time::from_micros),
            max_expected_wait: max_expected_wait.map(Duration::from_micros),
            over_rate: flags & OVER_RATE != 0,
            idempotent: flags & IDEMPOTENT != 0,
            accepts_suspect: flags & ACCEPTS_SUSPECT != 0,
            is_retry: flags & RETRY != 0,
            retry_origin_percent: Percent::new(retry_origin_percent).unwrap_or_default(),
            priority,
            caller_service: caller_service.map(parse_id).transpose()?,
            revisions: revisions_from_wire(revisions),
            head: Head {
                method: head.0.into(),
                target: head.1.into(),
                headers: headers_from_wire(head.2),
            },
            body: body_from_wire(body)?,
        })
    }
}
