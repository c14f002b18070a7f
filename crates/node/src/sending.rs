//! Sends one attempt to the guard of its endpoint, and waits for the first of several to end.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use model::{AttemptId, Incarnation, ResultCode, Time};
use payload::Payload;
use peer::{CallAnswer, CallError, CallReply, SentAttempt, SilenceAction};
use routing::{AttemptEnd, Evidence, FenceResult, refusal_evidence};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use wire::{Call, EndpointLoad};

use crate::choice::SelectedEndpoint;
use crate::guard;
use crate::loads::InFlightCall;
use crate::peers::{Peer, catch_up_if_behind};
use crate::shared::Node;

/// Timeout for the response to a fence.
pub(crate) const FENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Extra wait after the deadline. The guard refuses a call that is still queued at the deadline, and
/// the refusal, which proves that the call did not run, needs some time to arrive.
const REFUSAL_GRACE: Duration = Duration::from_millis(20);

/// An attempt that is about to be sent.
pub(crate) struct OutgoingAttempt {
    pub(crate) node: Arc<Node>,
    pub(crate) call: Call,
    pub(crate) body: Payload,
    pub(crate) deadline: Time,
    pub(crate) on_silence: OnSilence,
}

/// What to do when the link of an attempt goes silent. The attempt goes on in either case, since its
/// answer may still arrive.
pub(crate) enum OnSilence {
    /// Report it, so that the request is also sent elsewhere.
    Report(oneshot::Sender<()>),
    /// Fence the attempt over another link. If it has not started, it can be sent elsewhere.
    Fence,
}

/// An attempt that has ended.
pub(crate) struct FinishedAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) start_by: Time,
    pub(crate) target: AttemptTarget,
    pub(crate) result: Result<CallAnswer, AttemptEnd>,
}

/// The guard that an attempt was sent to.
pub(crate) enum AttemptTarget {
    /// The guard of this node.
    Local,
    /// The guard of another node, and the process there that received the attempt.
    Remote(Arc<Peer>, Incarnation),
}

impl OutgoingAttempt {
    /// Sends the attempt to the guard at `peer`, or to that of this node, and waits until it ends.
    /// Dropping the future cancels the attempt.
    pub(crate) async fn send(self, peer: Option<Arc<Peer>>) -> FinishedAttempt {
        match peer {
            Some(peer) => self.send_remote(peer).await,
            None => self.send_local().await,
        }
    }

    async fn send_local(self) -> FinishedAttempt {
        let response_deadline = self.response_deadline();
        let OutgoingAttempt { node, call, body, deadline, .. } = self;
        let attempt = call.attempt;
        let reply = timeout_at(response_deadline, guard::serve(&node, call, body)).await;
        let result = match reply {
            Ok(reply) => {
                // The balancer needs the load of local endpoints as well as that of remote ones.
                node.loads.update(reported_load(&reply), node.now());
                reply_to_result(reply)
            }
            Err(_) => Err(AttemptEnd::Unknown { code: ResultCode::DeadlineAfterStart }),
        };
        FinishedAttempt { attempt, start_by: deadline, target: AttemptTarget::Local, result }
    }

    async fn send_remote(self, peer: Arc<Peer>) -> FinishedAttempt {
        let response_deadline = self.response_deadline();
        let OutgoingAttempt { node, call, body, deadline, on_silence } = self;
        let attempt = call.attempt;
        let (silent_peer, entry_node) = (Arc::clone(&peer), Arc::clone(&node));
        let on_silence = move |sent| handle_silent_link(entry_node, silent_peer, on_silence, sent);
        let sent = node.call_pool.call(peer.addr, call, deadline, body, on_silence);
        let outcome = timeout_at(response_deadline, sent).await;
        let now = node.now();
        let mut sent_attempt = None;
        let result = match outcome {
            Ok(Ok(answer)) => {
                peer.record_success();
                node.loads.update([&answer.load], now);
                catch_up_if_behind(&node, &peer.name, answer.revisions);
                Ok(answer)
            }
            Ok(Err(CallError::NotSent(err))) => {
                peer.record_failure(now, &err);
                let code = ResultCode::LinkUnavailable;
                Err(AttemptEnd::Refused { code, evidence: Evidence::NotRun })
            }
            Ok(Err(CallError::Refused { code, load, revisions })) => {
                if code != ResultCode::AttemptFenced {
                    peer.record_success();
                }
                node.loads.update(&load, now);
                catch_up_if_behind(&node, &peer.name, revisions);
                let same = Incarnation::default();
                Err(AttemptEnd::Refused { code, evidence: refusal_evidence(code, same, same) })
            }
            Ok(Err(CallError::Unknown { code, sent })) => {
                sent_attempt = Some(sent);
                Err(AttemptEnd::Unknown { code })
            }
            Err(_) => Err(AttemptEnd::Unknown { code: ResultCode::DeadlineAfterStart }),
        };
        let (process, start_by) = sent_attempt
            .map_or((Incarnation::default(), deadline), |sent| (sent.process, sent.start_by));
        FinishedAttempt { attempt, start_by, target: AttemptTarget::Remote(peer, process), result }
    }

    /// Time at which the entry stops waiting for a response.
    fn response_deadline(&self) -> Instant {
        self.node.clock.to_instant(self.deadline + REFUSAL_GRACE)
    }
}

/// An attempt in progress. Dropping it cancels the attempt.
pub(crate) struct RunningAttempt<'a> {
    /// Index of the attempt in the record of the request.
    pub(crate) record: usize,
    pub(crate) started: Time,
    /// `None` after the link has gone silent.
    pub(crate) in_flight: Option<InFlightCall<'a>>,
    pub(crate) selected: SelectedEndpoint,
    /// Reports that the link has gone silent. `None` if that can no longer happen.
    pub(crate) silence: Option<oneshot::Receiver<()>>,
    pub(crate) outcome: Pin<Box<dyn Future<Output = FinishedAttempt> + Send>>,
}

impl RunningAttempt<'_> {
    /// Whether nothing has been received for some time. The attempt may still be answered.
    pub(crate) fn is_silent(&self) -> bool {
        self.in_flight.is_none()
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<FinishedAttempt>> {
        if let Poll::Ready(finished) = self.outcome.as_mut().poll(cx) {
            return Poll::Ready(Some(finished));
        }
        let Some(silence) = &mut self.silence else { return Poll::Pending };
        let Poll::Ready(reported) = Pin::new(silence).poll(cx) else { return Poll::Pending };
        self.silence = None;
        match reported {
            Ok(()) => Poll::Ready(None),
            // An attempt that needs no report has dropped the sender.
            Err(_) => Poll::Pending,
        }
    }
}

/// What remains of a [`RunningAttempt`] at its end.
pub(crate) struct EndedAttempt<'a> {
    pub(crate) record: usize,
    pub(crate) started: Time,
    pub(crate) in_flight: Option<InFlightCall<'a>>,
    pub(crate) selected: SelectedEndpoint,
    pub(crate) finished: FinishedAttempt,
}

/// What happened first while attempts were running.
pub(crate) enum RaceEvent<'a> {
    /// An attempt has ended; it is no longer among the running ones.
    Ended(Box<EndedAttempt<'a>>),
    /// The link of the attempt with this index has gone silent.
    Silent(usize),
    /// The time for a second attempt has come.
    HedgeDue,
}

/// Waits until one of the running attempts ends or goes silent, or until `hedge_at`. There must be at
/// least one.
pub(crate) async fn next_event<'a>(
    node: &Node,
    running: &mut Vec<RunningAttempt<'a>>,
    hedge_at: Option<Time>,
) -> RaceEvent<'a> {
    let polled = poll_fn(|cx| {
        let mut polls = running.iter_mut().enumerate();
        let ready = polls.find_map(|(index, attempt)| match attempt.poll(cx) {
            Poll::Ready(finished) => Some((index, finished)),
            Poll::Pending => None,
        });
        ready.map_or(Poll::Pending, Poll::Ready)
    });
    let (index, finished) = match hedge_at {
        None => polled.await,
        Some(at) => tokio::select! {
            biased;
            polled = polled => polled,
            () = sleep_until(node.clock.to_instant(at)) => return RaceEvent::HedgeDue,
        },
    };
    let Some(finished) = finished else { return RaceEvent::Silent(index) };
    let RunningAttempt { record, started, in_flight, selected, .. } = running.swap_remove(index);
    let ended = EndedAttempt { record, started, in_flight, selected, finished };
    RaceEvent::Ended(Box::new(ended))
}

async fn handle_silent_link(
    node: Arc<Node>,
    peer: Arc<Peer>,
    on_silence: OnSilence,
    sent: SentAttempt,
) -> SilenceAction {
    peer.record_failure(node.now(), &"a link went silent during a call");
    match on_silence {
        OnSilence::Report(report) => {
            // The request may have ended meanwhile.
            let _ = report.send(());
            SilenceAction::KeepWaiting
        }
        OnSilence::Fence => {
            node.metrics.fences.inc();
            match timeout(FENCE_TIMEOUT, peer.fence(sent)).await {
                Ok(FenceResult::NotRun) => SilenceAction::NotRun,
                _ => SilenceAction::KeepWaiting,
            }
        }
    }
}

fn reported_load(reply: &CallReply) -> Option<&EndpointLoad> {
    match reply {
        CallReply::Answer { load, .. } => Some(load),
        CallReply::Refused { load, .. } => load.as_ref(),
        CallReply::Failed(_) => None,
    }
}

fn reply_to_result(reply: CallReply) -> Result<CallAnswer, AttemptEnd> {
    match reply {
        CallReply::Answer { status, headers, body, load, revisions, took } => {
            Ok(CallAnswer { status, headers, body, load, revisions, took })
        }
        CallReply::Refused { code, .. } => {
            let same = Incarnation::default();
            Err(AttemptEnd::Refused { code, evidence: refusal_evidence(code, same, same) })
        }
        CallReply::Failed(code) => Err(AttemptEnd::Unknown { code }),
    }
}
