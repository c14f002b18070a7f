//! Decides which lost writes a node writes again, and when.
//!
//! After a restore of the store all nodes retain about the same writes that it lacks. If each wrote all
//! of them at once, the store would refuse most calls because of its rate limits. So each write has one
//! node that makes it first, after a random delay, and the others follow one after the other as long as
//! the store still lacks it.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Kind, NodeName, Object, ObjectKey, Time, stable_hash};

use crate::replica::Retained;

/// Longest random delay of a write, so that the owners don't all write at the same moment.
pub const MAX_REWRITE_DELAY: Duration = Duration::from_secs(2);

/// Time after which the next node by rank writes, longer than the delay and the way of the first write
/// through the feed.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);

/// Number of takeovers that are that far apart. Nodes of a higher rank follow by [`HIGH_RANK_DELAY`], so
/// that a write that few nodes know of is made soon as well.
const SLOW_TAKEOVERS: u32 = 3;

/// Time between nodes of higher ranks.
const HIGH_RANK_DELAY: Duration = Duration::from_millis(20);

/// Time after an attempt until the next one of the same node.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// What a node does next about lost writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RewriteStep {
    /// Nothing is lost, as far as this node is concerned.
    Idle,
    /// Check again at this time, or when the retained writes change.
    WaitUntil(Time),
    /// Write this object again, or delete it again.
    Write(ObjectKey),
}

/// When this node writes each of the lost writes.
#[derive(Debug, Default)]
pub struct Rewrites {
    due: BTreeMap<ObjectKey, Time>,
}

impl Rewrites {
    /// Decides what the node `own` does about the writes that its replica retains. `members` are the other
    /// nodes that it reaches, and `random` returns a random delay up to the given one.
    pub fn next_step<'a>(
        &mut self,
        retained: impl IntoIterator<Item = &'a Retained>,
        own: &NodeName,
        members: &[NodeName],
        now: Time,
        mut random: impl FnMut(Duration) -> Duration,
    ) -> RewriteStep {
        let mut due = BTreeMap::new();
        for lost in retained.into_iter().filter(|lost| is_written_by_others(lost, own)) {
            let key = lost.write.key.clone();
            let at = self.due.get(&key).copied().unwrap_or_else(|| {
                now + rank_delay(rank(&key, own, members)) + random(MAX_REWRITE_DELAY)
            });
            due.insert(key, at);
        }
        self.due = due;
        let next = self.due.iter().min_by_key(|(_, at)| **at);
        match next {
            None => RewriteStep::Idle,
            Some((key, at)) if *at <= now => RewriteStep::Write(key.clone()),
            Some((_, at)) => RewriteStep::WaitUntil(*at),
        }
    }

    /// Records that the node has tried to write an object again. The feed shows whether it has succeeded.
    pub fn record_attempt(&mut self, key: &ObjectKey, now: Time) {
        if let Some(at) = self.due.get_mut(key) {
            *at = now + RETRY_DELAY;
        }
    }

    /// Forgets all times because the store can't be reached. When it is back, the owners write first again.
    pub fn restart(&mut self) {
        self.due.clear();
    }
}

/// Whether a node other than the one that has made a write may make it again. A node that is a member
/// writes its own record, which nobody else knows to be current.
fn is_written_by_others(lost: &Retained, own: &NodeName) -> bool {
    let is_own_record = lost.write.key.kind == Kind::Node && *lost.write.key.name == *own.as_str();
    match &lost.write.object {
        _ if is_own_record => false,
        Some(Object::Node(record)) => record.stopped,
        Some(_) | None => true,
    }
}

/// Number of members that write an object again before `own`, by rendezvous hashing.
fn rank(key: &ObjectKey, own: &NodeName, members: &[NodeName]) -> u32 {
    let hash = |node: &NodeName| {
        let parts = [key.kind.as_str().as_bytes(), key.name.as_bytes(), node.as_str().as_bytes()];
        (stable_hash(&[b"lost", parts[0], parts[1], parts[2]]), node.clone())
    };
    let of_own = hash(own);
    members.iter().filter(|member| *member != own && hash(member) > of_own).count() as u32
}

fn rank_delay(rank: u32) -> Duration {
    let slow = TAKEOVER_DELAY * rank.min(SLOW_TAKEOVERS);
    slow + HIGH_RANK_DELAY * rank.saturating_sub(SLOW_TAKEOVERS)
}
