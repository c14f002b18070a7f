//! Retries of a call.

use model::{Incarnation, ResultCode, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::{
    AttemptEnd, Body, CallAttempts, CallKind, Evidence, FenceResult, FreeRetries, Grant,
    Idempotence, Next, WhenBusy, WhenSuspect, refusal_evidence,
};

const NOT_RUN: AttemptEnd =
    AttemptEnd::Refused { code: ResultCode::UpstreamShed, evidence: Evidence::NotRun };
const UNKNOWN: AttemptEnd = AttemptEnd::Unknown { code: ResultCode::LinkLost };

fn ms(now: u64) -> Time {
    Time::from_micros(now * 1000)
}

#[track_caller]
fn check(idempotence: Idempotence, body: Body, steps: &[(AttemptEnd, u64, Next)]) {
    let mut free = FreeRetries::default();
    let mut attempts = CallAttempts::new(CallKind { idempotence, deadline: ms(1000), attempts: 3 });
    for &(end, now, expected) in steps {
        assert_eq!(attempts.next(end, body, &mut free, ms(now)), expected, "after {end:?}");
    }
}

/// Guards against a second run of a non-idempotent request after a timeout.
#[test]
fn a_non_idempotent_call_is_retried_only_on_evidence() {
    use Idempotence::NonIdempotent;
    let fenced = |result| AttemptEnd::Fenced { result };
    let lost = Next::UnknownToCaller(ResultCode::LinkLost);
    let shed = Next::RefuseToCaller(ResultCode::UpstreamShed);
    let retry = Next::RetryElsewhere;
    check(NonIdempotent, Body::Replayable, &[(NOT_RUN, 1, retry), (NOT_RUN, 2, retry)]);
    check(NonIdempotent, Body::Consumed, &[(NOT_RUN, 1, shed)]);
    let fence = (UNKNOWN, 1, Next::FenceThenDecide);
    let not_run = (fenced(FenceResult::NotRun), 2, retry);
    check(NonIdempotent, Body::Replayable, &[fence, not_run]);
    for result in [FenceResult::MayHaveRun, FenceResult::NoAnswer] {
        check(NonIdempotent, Body::Replayable, &[fence, (fenced(result), 2, lost)]);
    }
    check(NonIdempotent, Body::Replayable, &[(UNKNOWN, 1000, lost)]);
    let repeated =
        AttemptEnd::Refused { code: ResultCode::AttemptRepeated, evidence: Evidence::Missing };
    check(NonIdempotent, Body::Replayable, &[(repeated, 1, Next::FenceThenDecide)]);
}

/// Guards against "not run" for a call of which an earlier attempt may have run.
#[test]
fn an_unknown_attempt_is_not_forgotten() {
    let lost = Next::UnknownToCaller(ResultCode::LinkLost);
    let retry = Next::RetryElsewhere;
    let steps = [(UNKNOWN, 1, retry), (NOT_RUN, 2, retry), (NOT_RUN, 3, lost)];
    check(Idempotence::Idempotent, Body::Replayable, &steps);
}

/// Guards against a server error that goes to the caller while another endpoint could answer, and
/// against a second run of a non-idempotent request.
#[test]
fn a_server_error_is_retried_if_the_call_may_run_again() {
    use Idempotence::{Idempotent, NonIdempotent};
    let (error, retry) = (AttemptEnd::ServerError, Next::RetryElsewhere);
    let steps = [(error, 1, retry), (error, 2, retry), (error, 3, Next::Answer)];
    check(Idempotent, Body::Replayable, &steps);
    check(Idempotent, Body::Consumed, &[(error, 1, Next::Answer)]);
    check(Idempotent, Body::Replayable, &[(error, 1000, Next::Answer)]);
    check(NonIdempotent, Body::Replayable, &[(error, 1, Next::Answer)]);
}

/// Guards against a call that is given up as if every queue were full, when suspect endpoints have
/// refused it and it has not yet waited anywhere.
#[test]
fn refusals_of_suspect_endpoints_are_not_full_queues() {
    let code = ResultCode::EndpointSuspect;
    let suspect = AttemptEnd::Refused { code, evidence: Evidence::NotRun };
    let mut free = FreeRetries::default();
    let kind = CallKind { idempotence: Idempotence::Idempotent, deadline: ms(1000), attempts: 1 };
    let mut attempts = CallAttempts::new(kind);
    let mut next = |end| attempts.next(end, Body::Replayable, &mut free, ms(1));
    for end in [suspect, AttemptEnd::Busy, suspect, AttemptEnd::Busy, suspect, suspect, suspect] {
        assert_eq!(next(end), Next::RetryElsewhere);
    }
    assert_eq!(attempts.when_busy(Body::Replayable), WhenBusy::GoElsewhere);
    let mut next = |end| attempts.next(end, Body::Replayable, &mut free, ms(1));
    assert_eq!([next(suspect), next(suspect)], [Next::RetryElsewhere; 2]);
    assert_eq!(attempts.when_suspect(), WhenSuspect::GoElsewhere);
    let mut next = |end| attempts.next(end, Body::Replayable, &mut free, ms(1));
    assert_eq!(next(suspect), Next::RetryElsewhere);
    assert_eq!(attempts.when_suspect(), WhenSuspect::Insist, "the call has met 8 of them");
    let mut next = |end| attempts.next(end, Body::Replayable, &mut free, ms(1));
    (0..7).for_each(|_| assert_eq!(next(suspect), Next::RetryElsewhere));
    assert_eq!(next(suspect), Next::RefuseToCaller(code));
}

/// Guards against a call that is refused for a full queue, or after it has waited in vain, although other
/// endpoints have room, once the entry has used up its free retries.
#[test]
fn full_queues_are_left_without_free_retries() {
    let mut free = FreeRetries::default();
    while free.request(ms(1)) == Grant::Granted {}
    let refused = |code| AttemptEnd::Refused { code, evidence: Evidence::NotRun };
    let kind = CallKind { idempotence: Idempotence::NonIdempotent, deadline: ms(9), attempts: 1 };
    let mut attempts = CallAttempts::new(kind);
    let mut next = |code| attempts.next(refused(code), Body::Replayable, &mut free, ms(1));
    assert_eq!(next(ResultCode::QueueFull), Next::RetryElsewhere);
    assert_eq!(next(ResultCode::DeadlineBeforeStart), Next::RetryElsewhere);
    let refusal = Next::RefuseToCaller(ResultCode::QueueFull);
    assert_eq!(next(ResultCode::QueueFull), refusal, "the third queue is the last one");
}

/// Guards against retries without bound, after the deadline, or of what no endpoint accepts.
#[test]
fn retries_end() {
    let shed = Next::RefuseToCaller(ResultCode::UpstreamShed);
    let retry = Next::RetryElsewhere;
    let idempotent = Idempotence::Idempotent;
    let steps = [(NOT_RUN, 1, retry), (NOT_RUN, 2, retry), (NOT_RUN, 3, shed)];
    check(idempotent, Body::Replayable, &steps);
    check(idempotent, Body::Replayable, &[(NOT_RUN, 1000, shed)]);
    let rejected =
        AttemptEnd::Refused { code: ResultCode::KeyRejected, evidence: Evidence::NotRun };
    let refuse = Next::RefuseToCaller(ResultCode::KeyRejected);
    check(idempotent, Body::Replayable, &[(rejected, 1, refuse)]);
    let cut = AttemptEnd::AnswerCut { code: ResultCode::UpstreamLost };
    let lost = Next::UnknownToCaller(ResultCode::UpstreamLost);
    check(idempotent, Body::Replayable, &[(cut, 1, lost)]);
}

/// Guards against a call that finds all slots in use and never waits, or waits at the first
/// endpoint though another one may have a free slot.
#[test]
fn a_busy_endpoint_is_left_while_attempts_remain() {
    let retry = Next::RetryElsewhere;
    let busy = AttemptEnd::Busy;
    check(Idempotence::NonIdempotent, Body::Replayable, &[(busy, 1, retry); 5]);
    let deadline = ms(1000);
    let mut attempts = CallAttempts::new(CallKind {
        idempotence: Idempotence::NonIdempotent,
        deadline,
        attempts: 3,
    });
    let mut free = FreeRetries::default();
    for busy_refusals in 0..6 {
        let when_busy = if busy_refusals < 5 { WhenBusy::GoElsewhere } else { WhenBusy::Wait };
        assert_eq!(attempts.when_busy(Body::Replayable), when_busy);
        assert_eq!(attempts.when_busy(Body::Consumed), WhenBusy::Wait);
        attempts.next(busy, Body::Replayable, &mut free, ms(1));
    }
}

/// Guards against busy refusals that use up the attempts which may reach an upstream, or that add
/// to them.
#[test]
fn busy_refusals_leave_the_attempts_that_reach_an_upstream() {
    let retry = Next::RetryElsewhere;
    let busy = (AttemptEnd::Busy, 1, retry);
    let (refused, full) = ((NOT_RUN, 1, retry), Next::RefuseToCaller(ResultCode::QueueFull));
    let shed = Next::RefuseToCaller(ResultCode::UpstreamShed);
    let steps = [busy, busy, refused, busy, refused, (NOT_RUN, 1, shed)];
    check(Idempotence::NonIdempotent, Body::Replayable, &steps);
    let late = (AttemptEnd::Busy, 1000, full);
    check(Idempotence::NonIdempotent, Body::Replayable, &[busy, late]);
    let endless = (AttemptEnd::Busy, 1, full);
    check(Idempotence::NonIdempotent, Body::Replayable, &[busy, busy, busy, busy, busy, endless]);
}

/// Guards against calls that are refused while other endpoints answer, and against trips without end
/// where none does.
#[test]
fn retries_of_attempts_without_cost_are_bounded_by_the_answers() {
    use ResultCode::*;
    let granted = |code, answers| {
        let mut free = FreeRetries::default();
        (0..answers).for_each(|_| free.count_answer(ms(0)));
        let kind =
            CallKind { idempotence: Idempotence::Idempotent, deadline: ms(1000), attempts: 3 };
        let end = AttemptEnd::Refused { code, evidence: Evidence::NotRun };
        let mut next = || CallAttempts::new(kind).next(end, Body::Replayable, &mut free, ms(1));
        (0..100).filter(|_| next() == Next::RetryElsewhere).count()
    };
    // An entry with few calls sees few answers, and has 16 retries all the same.
    let without_cost = [
        ConnectFailed,
        EndpointLeaving,
        EndpointUnknown,
        Stopping,
        LinkUnavailable,
        NotSynced,
        Superseded,
    ];
    for code in without_cost {
        assert_eq!([granted(code, 0), granted(code, 40)], [16, 40], "{code:?}");
    }
    // The first attempt of each call; the guards bound what follows, and each call has its own bounds.
    let others = [
        UpstreamShed,
        TooManyConnections,
        AttemptFenced,
        QueueFull,
        DeadlineBeforeStart,
        RetriesExhausted,
    ];
    for code in others {
        assert_eq!([granted(code, 0), granted(code, 40)], [100, 100], "{code:?}");
    }
    // An answer counts for 4 s.
    let mut free = FreeRetries::default();
    (0..40).for_each(|_| free.count_answer(ms(0)));
    let mut count = |now| (0..100).filter(|_| free.request(ms(now)) == Grant::Granted).count();
    assert_eq!([count(3999), count(4000), count(8000)], [40, 0, 16]);
}

/// Guards against evidence from a process that never had the attempt.
#[test]
fn only_the_same_process_gives_evidence() {
    let (old, new) = (Incarnation(1), Incarnation(2));
    assert_eq!(refusal_evidence(ResultCode::QueueFull, old, old), Evidence::NotRun);
    assert_eq!(refusal_evidence(ResultCode::QueueFull, old, new), Evidence::Missing);
    assert_eq!(refusal_evidence(ResultCode::AttemptRepeated, old, old), Evidence::Missing);
    assert_eq!(refusal_evidence(ResultCode::UpstreamLost, old, old), Evidence::Missing);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(22),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against attempts without bound, whatever ends they have: a call has at most three
    /// that may have reached an endpoint and nine others that are not busy refusals. Retries that cost no
    /// upstream anything stay within one for each answer, and 16 in each 4 s. Those that do are bounded
    /// by the guards, see `admission/tests/retries.rs`.
    #[test]
    fn attempts_are_bounded(
        calls in prop::collection::vec(
            (0..100u64, prop::collection::vec(0..6usize, 1..12)), 1..300),
        answering_until in 0..300usize,
    ) {
        let mut free = FreeRetries::default();
        let (mut now, mut answers, mut retries) = (0, 0, 0);
        let mut retries_of_work = 0;
        let refused = |code| AttemptEnd::Refused { code, evidence: Evidence::NotRun };
        let count = calls.len() as u64;
        for (number, (pause, ends)) in calls.into_iter().enumerate() {
            now += pause;
            let kind =
                CallKind {
                    idempotence: Idempotence::Idempotent,
                    deadline: ms(now + 1000),
                    attempts: 3,
                };
            let (mut attempts, mut reached, mut unsent) = (CallAttempts::new(kind), 0, 0);
            for end in ends {
                if end == 0 && number < answering_until {
                    free.count_answer(ms(now));
                    answers += 1;
                    break;
                }
                let end = match end {
                    0 | 1 => refused(ResultCode::ConnectFailed),
                    2 => refused(ResultCode::EndpointUnknown),
                    3 => refused(ResultCode::UpstreamShed),
                    4 => UNKNOWN,
                    _ => AttemptEnd::Busy,
                };
                let is_of_work = end == UNKNOWN || end == refused(ResultCode::UpstreamShed);
                reached += u64::from(is_of_work);
                unsent += u64::from(!is_of_work && end != AttemptEnd::Busy);
                let next = attempts.next(end, Body::Replayable, &mut free, ms(now));
                if next != Next::RetryElsewhere {
                    break;
                }
                retries += u64::from(end != AttemptEnd::Busy);
                retries_of_work += u64::from(is_of_work);
            }
            prop_assert!(reached <= 3, "{reached} attempts of one call reached an endpoint");
            prop_assert!(unsent <= 9, "{unsent} attempts of one call reached none");
            let bound = answers + 16 * (1 + now / 4000);
            let of_no_work = retries - retries_of_work;
            prop_assert!(of_no_work <= bound, "{of_no_work} free retries, {answers} answers");
        }
        prop_assert!(retries <= 10 * count);
    }
}
