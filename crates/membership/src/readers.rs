//! Choice of the nodes that follow the stored objects at the platform.
//!
//! Each change wakes every node that waits for it at the platform, and each wait is billed. Only a few
//! nodes of each failure domain wait there, and the others hear of changes from them. Which ones is
//! drawn anew in each period from the names of the members: all nodes with the same view of the
//! membership draw the same ones without talking to each other, and a reader that the platform turns
//! away, or that is frozen or cut off, is replaced in the next period.

use std::time::Duration;

use model::{NodeName, stable_hash};

/// Length of the period for which readers are drawn. It bounds the time without a reader after all
/// readers of a failure domain have failed at once.
pub const READER_PERIOD: Duration = Duration::from_secs(10);

/// Returns whether `own` is one of `count` readers in the period with this number. `others` are the
/// other reachable members of its failure domain.
///
/// ```
/// use membership::is_reader;
/// use model::NodeName;
///
/// let names: Vec<NodeName> = (0..20).map(|n| format!("n{n}").parse().unwrap()).collect();
/// let others = |own| names.iter().filter(move |name| *name != own);
/// let readers = names.iter().filter(|own| is_reader(own, others(*own), 3, 7)).count();
/// assert_eq!(readers, 3);
/// ```
pub fn is_reader<'a>(
    own: &NodeName,
    others: impl Iterator<Item = &'a NodeName>,
    count: usize,
    period: u64,
) -> bool {
    let rank = |name: &NodeName| {
        stable_hash(&[b"reader", &period.to_le_bytes(), name.as_str().as_bytes()])
    };
    let own_rank = (rank(own), own);
    let before = others.filter(|name| (rank(name), *name) < own_rank);
    before.take(count).count() < count
}
