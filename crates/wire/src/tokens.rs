//! CBOR encoding of token requests, which entries send to the owners of partitions, and of their
//! answers.

use std::time::Duration;

use limits::{ShareIndex, SpentReport, TokenAnswer, TokenRequest, TokenResult, TokensLeft};
use model::{Incarnation, PartitionId, Tokens};

use crate::encoding::{DecodeError, parse_id};

type WireSpent = (u64, u32, bool);
pub(crate) type WireTokenRequest = (String, u8, u16, u64, u64, u32, Vec<WireSpent>);
/// Account, sequence, and the granted tokens with the time until the next token in microseconds;
/// the last is `None` if the receiver of the request is not the owner.
pub(crate) type WireTokenAnswer = (String, u64, Option<(u32, u64)>);

pub(crate) fn request_to_wire(request: &TokenRequest) -> WireTokenRequest {
    let spent = |report: &SpentReport| {
        (report.sequence, report.spent.0, report.rest == TokensLeft::Returned)
    };
    (
        request.account.to_string(),
        request.share.value(),
        request.partition.0,
        request.entry.0,
        request.sequence,
        request.wanted.0,
        request.spent.iter().map(spent).collect(),
    )
}

pub(crate) fn request_from_wire(request: WireTokenRequest) -> Result<TokenRequest, DecodeError> {
    let (account, share, partition, entry, sequence, wanted, spent) = request;
    let report = |(sequence, spent, returned): WireSpent| SpentReport {
        sequence,
        spent: Tokens(spent),
        rest: if returned { TokensLeft::Returned } else { TokensLeft::Kept },
    };
    Ok(TokenRequest {
        account: parse_id(account)?,
        share: share_index(share)?,
        partition: PartitionId(partition),
        entry: Incarnation(entry),
        sequence,
        wanted: Tokens(wanted),
        spent: spent.into_iter().map(report).collect(),
    })
}

pub(crate) fn answer_to_wire(answer: &TokenAnswer) -> WireTokenAnswer {
    let result = match answer.result {
        TokenResult::Decided { granted, next_in } => Some((granted.0, micros(next_in))),
        TokenResult::NotOwner => None,
    };
    (answer.account.to_string(), answer.sequence, result)
}

pub(crate) fn answer_from_wire(answer: WireTokenAnswer) -> Result<TokenAnswer, DecodeError> {
    let (account, sequence, result) = answer;
    let result = match result {
        Some((granted, next_in)) => TokenResult::Decided {
            granted: Tokens(granted),
            next_in: Duration::from_micros(next_in),
        },
        None => TokenResult::NotOwner,
    };
    Ok(TokenAnswer { account: parse_id(account)?, sequence, result })
}

fn share_index(share: u8) -> Result<ShareIndex, DecodeError> {
    ShareIndex::new(share)
        .ok_or_else(|| DecodeError::invalid(format!("invalid share index {share}")))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
