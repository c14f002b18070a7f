//! Division of an account's rate and burst into shares, and assignment of the shares to partitions.

use std::fmt;

use model::{Account, AccountName, Burst, PartitionId, Rate, stable_hash};

/// Number of partitions of the fleet.
///
/// All nodes must use the same number: a node that assigned a share to another partition would use
/// a second bucket for the same share.
pub const PARTITION_COUNT: u16 = 256;

/// Maximum number of shares of an account.
pub const MAX_SHARES: u8 = 6;

/// Minimum burst of a share, unless the account has a burst of 1. A share with a burst of 1 loses
/// refill from the time it is full until its token has been spent and reported. For an account at
/// 80% of a rate of 2 per second, this would refuse one call in six.
const MIN_SHARE_BURST: u32 = 2;

/// Distance between the partitions of consecutive shares. Ensures that each share of an account is
/// in a different partition.
const PARTITION_STRIDE: u16 = PARTITION_COUNT / MAX_SHARES as u16;

/// Position of a share in its account, from 0 to [`MAX_SHARES`] - 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ShareIndex(u8);

impl ShareIndex {
    /// Creates an index. Returns `None` if it is [`MAX_SHARES`] or more.
    pub const fn new(index: u8) -> Option<ShareIndex> {
        if index < MAX_SHARES { Some(ShareIndex(index)) } else { None }
    }

    /// Returns the index as a number.
    pub const fn value(self) -> u8 {
        self.0
    }
}

impl fmt::Display for ShareIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A part of an account's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Position in the account.
    pub index: ShareIndex,
    /// The partition whose owner grants the tokens of the share.
    pub partition: PartitionId,
    /// Part of the rate.
    pub rate: Rate,
    /// Part of the burst, at least 1.
    pub burst: Burst,
}

/// Divides the rate and burst of an account into shares. Their sums are exactly the rate and burst
/// of the account.
///
/// An account with a burst below twice [`MAX_SHARES`] has fewer shares, each with a burst of at
/// least 2 tokens. A burst of 1 results in one share, and a burst of 0 in none.
///
/// ```
/// use model::{Account, Burst, Rate};
///
/// let account = Account { rate: Rate::per_second(10), burst: Burst(20), priority: None };
/// let name = "acme".parse().unwrap();
/// let bursts: Vec<u32> = limits::shares(&name, &account).map(|share| share.burst.0).collect();
/// assert_eq!(bursts, [4, 4, 3, 3, 3, 3]);
/// ```
pub fn shares(name: &AccountName, account: &Account) -> impl Iterator<Item = Share> + use<> {
    let base = base_partition(name);
    let account = account.clone();
    (0..MAX_SHARES).map_while(move |index| share_at(base, &account, ShareIndex(index)))
}

/// Returns the partition of an account's first share.
pub(crate) fn base_partition(name: &AccountName) -> PartitionId {
    let hash = stable_hash(&[b"limits", name.as_str().as_bytes()]);
    PartitionId((hash % u64::from(PARTITION_COUNT)) as u16)
}

/// Returns the number of shares of an account.
pub(crate) fn share_count(account: &Account) -> u32 {
    let burst = account.burst.0;
    (burst / MIN_SHARE_BURST).max(burst.min(1)).min(u32::from(MAX_SHARES))
}

/// Returns the share at an index, or `None` if the account has fewer shares.
pub(crate) fn share_at(base: PartitionId, account: &Account, index: ShareIndex) -> Option<Share> {
    let count = share_count(account);
    let position = u32::from(index.0);
    if position >= count {
        return None;
    }
    let burst = account.burst.0 / count + u32::from(position < account.burst.0 % count);
    let rate = account.rate.milli_per_second();
    let (count, position) = (u64::from(count), u64::from(position));
    let rate = rate / count + u64::from(position < rate % count);
    Some(Share {
        index,
        partition: PartitionId((base.0 + u16::from(index.0) * PARTITION_STRIDE) % PARTITION_COUNT),
        rate: Rate::from_milli_per_second(rate),
        burst: Burst(burst),
    })
}
