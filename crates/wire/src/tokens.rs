//! Encoding of the messages between entries and owners.

use std::time::Duration;

use limits::{
    BucketState, GrantState, ShareIndex, SpentReport, TokenAnswer, TokenRequest, TokenResult,
    TokensLeft,
};
use model::{Burst, Epoch, Incarnation, PartitionId, Rate, Tokens};
use serde::{Deserialize, Serialize};

use crate::encoding::{DecodeError, id};
use crate::frame::PartitionHandover;
use crate::health::{WireArbiter, arbiter_from_wire, arbiter_to_wire, millis_rounded_up};

type WireSpent = (u64, u32, bool);
pub(crate) type WireTokenRequest = (String, u8, u16, u64, u64, u32, Vec<WireSpent>);
/// Account, sequence, and granted tokens with the time to the next in microseconds; none if the
/// asked node is not the owner.
pub(crate) type WireTokenAnswer = (String, u64, Option<(u32, u64)>);
type WireGrant = (u64, u64, u32, u32, u64);
type WireBucket = (String, u8, u64, u32, u64, Vec<WireGrant>);

/// Partition, epoch, hop, receiver and its incarnation.
pub(crate) type WireRight = (u16, u64, u32, String, u64);

/// Partition, epoch of the record, hop, receiver and its incarnation, epoch and age in microseconds
/// of the buckets, buckets, time until the first ejection in milliseconds, arbiters.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireHandover(
    u16,
    u64,
    u32,
    String,
    u64,
    u64,
    u64,
    Vec<WireBucket>,
    u64,
    Vec<WireArbiter>,
);

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
        account: id(account)?,
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
    Ok(TokenAnswer { account: id(account)?, sequence, result })
}

pub(crate) fn right_to_wire(right: &membership::Handover) -> WireRight {
    let membership::Handover { partition, epoch, hop, to, to_incarnation } = right;
    (partition.0, epoch.0, *hop, to.to_string(), to_incarnation.0)
}

pub(crate) fn right_from_wire(right: WireRight) -> Result<membership::Handover, DecodeError> {
    let (partition, epoch, hop, to, to_incarnation) = right;
    Ok(membership::Handover {
        partition: PartitionId(partition),
        epoch: Epoch(epoch),
        hop,
        to: id(to)?,
        to_incarnation: Incarnation(to_incarnation),
    })
}

pub(crate) fn handover_to_wire(handover: &PartitionHandover) -> WireHandover {
    let PartitionHandover { right, buckets, ejection_wait, arbiters } = handover;
    WireHandover(
        right.partition.0,
        right.epoch.0,
        right.hop,
        right.to.to_string(),
        right.to_incarnation.0,
        buckets.epoch.0,
        micros(buckets.age),
        buckets.buckets.iter().map(bucket_to_wire).collect(),
        millis_rounded_up(*ejection_wait),
        arbiters.iter().map(arbiter_to_wire).collect(),
    )
}

pub(crate) fn handover_from_wire(handover: WireHandover) -> Result<PartitionHandover, DecodeError> {
    let WireHandover(
        partition,
        epoch,
        hop,
        to,
        to_incarnation,
        bucket_epoch,
        age,
        buckets,
        wait,
        arbiters,
    ) = handover;
    let partition = PartitionId(partition);
    let right = membership::Handover {
        partition,
        epoch: Epoch(epoch),
        hop,
        to: id(to)?,
        to_incarnation: Incarnation(to_incarnation),
    };
    let buckets = limits::Handover {
        partition,
        epoch: Epoch(bucket_epoch),
        age: Duration::from_micros(age),
        buckets: buckets.into_iter().map(bucket_from_wire).collect::<Result<_, _>>()?,
    };
    Ok(PartitionHandover {
        right,
        buckets,
        ejection_wait: Duration::from_millis(wait),
        arbiters: arbiters.into_iter().map(arbiter_from_wire).collect::<Result<_, _>>()?,
    })
}

fn bucket_to_wire(bucket: &BucketState) -> WireBucket {
    let grant = |grant: &GrantState| {
        let GrantState { entry, sequence, granted, settled, expires_in } = grant;
        (entry.0, *sequence, granted.0, settled.0, micros(*expires_in))
    };
    (
        bucket.account.to_string(),
        bucket.share.value(),
        bucket.rate.milli_per_second(),
        bucket.burst.0,
        bucket.level_nano,
        bucket.grants.iter().map(grant).collect(),
    )
}

fn bucket_from_wire(bucket: WireBucket) -> Result<BucketState, DecodeError> {
    let (account, share, rate, burst, level_nano, grants) = bucket;
    let grant = |(entry, sequence, granted, settled, expires_in): WireGrant| GrantState {
        entry: Incarnation(entry),
        sequence,
        granted: Tokens(granted),
        settled: Tokens(settled),
        expires_in: Duration::from_micros(expires_in),
    };
    Ok(BucketState {
        account: id(account)?,
        share: share_index(share)?,
        rate: Rate::from_milli_per_second(rate),
        burst: Burst(burst),
        level_nano,
        grants: grants.into_iter().map(grant).collect(),
    })
}

fn share_index(share: u8) -> Result<ShareIndex, DecodeError> {
    ShareIndex::new(share).ok_or_else(|| DecodeError::invalid(format!("share {share}")))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
