//! Assignment of partitions to nodes, and of addresses to node records.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use model::{NodeName, NodeRecord, PartitionId, Revision, stable_hash};

/// Returns the owner of a partition, chosen by rendezvous hashing. Nodes that have the same view of
/// the membership compute the same owner, and a member that joins or leaves only affects the
/// partitions that it owns.
///
/// ```
/// use model::{NodeName, PartitionId};
///
/// let members: Vec<NodeName> = ["a", "b", "c"].map(|name| name.parse().unwrap()).into();
/// let owner = membership::owner_of(PartitionId(7), members.iter()).unwrap();
/// let others = members.iter().filter(|name| *name != owner);
/// assert_ne!(membership::owner_of(PartitionId(7), others), Some(owner));
/// ```
pub fn owner_of<'a>(
    partition: PartitionId,
    members: impl Iterator<Item = &'a NodeName>,
) -> Option<&'a NodeName> {
    let id = partition.0.to_le_bytes();
    members.max_by_key(|name| (stable_hash(&[b"owner", &id, name.as_str().as_bytes()]), *name))
}

/// Whether the other nodes count a node among the owners of partitions, as far as it knows.
///
/// A node that counts itself although the others don't grants the tokens of its partitions a second time.
/// That lasts for as long as a node that has stopped and started again can't write its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// They don't: its record is absent, or left by a process that has stopped.
    #[default]
    Unlisted,
    /// They do. The record may be that of an earlier process, which was killed.
    Listed,
}

impl Standing {
    /// Returns the standing of a node with this record.
    ///
    /// ```
    /// use membership::Standing;
    ///
    /// assert_eq!(Standing::of(None), Standing::Unlisted);
    /// ```
    pub fn of(record: Option<&NodeRecord>) -> Standing {
        match record {
            Some(record) if !record.stopped => Standing::Listed,
            _ => Standing::Unlisted,
        }
    }

    /// Whether the node counts itself among the owners. One that knows no other member has nobody else to
    /// ask, and would otherwise spend from the buckets for the time without an owner.
    ///
    /// ```
    /// use membership::Standing;
    ///
    /// assert!(!Standing::Unlisted.counts_itself(true));
    /// assert!(Standing::Unlisted.counts_itself(false));
    /// ```
    pub fn counts_itself(self, knows_others: bool) -> bool {
        self == Standing::Listed || !knows_others
    }
}

/// The owners of partitions among one list of members, found on first use. [`owner_of`] hashes the name of
/// every member, 0.24 ms with 2,700 members, and each request for tokens needs an owner.
///
/// ```
/// use membership::Owners;
/// use model::{NodeName, PartitionId};
///
/// let members: Vec<NodeName> = ["a", "b", "c"].map(|name| name.parse().unwrap()).into();
/// let mut owners = Owners::default();
/// let found = owners.find(PartitionId(7), || members.iter()).cloned();
/// assert_eq!(found.as_ref(), membership::owner_of(PartitionId(7), members.iter()));
/// ```
#[derive(Debug, Default)]
pub struct Owners {
    found: HashMap<PartitionId, Option<NodeName>>,
}

impl Owners {
    /// Returns the owner of a partition among `members`, which must be the same in all calls since the
    /// last [`Owners::clear`].
    pub fn find<'a, I>(
        &mut self,
        partition: PartitionId,
        members: impl FnOnce() -> I,
    ) -> Option<&NodeName>
    where
        I: Iterator<Item = &'a NodeName>,
    {
        let found = self.found.entry(partition);
        found.or_insert_with(|| owner_of(partition, members()).cloned()).as_ref()
    }

    /// Forgets the owners, after a change of the members.
    pub fn clear(&mut self) {
        self.found.clear();
    }
}

/// Returns the nodes whose address also appears in a more recent node record. An instance that
/// disappears without deregistering leaves its record behind, and its address may be assigned to
/// another instance.
pub fn displaced_nodes<'a>(
    records: impl Iterator<Item = (&'a NodeName, SocketAddr, Revision)>,
) -> HashSet<&'a NodeName> {
    let mut holders: HashMap<SocketAddr, (&NodeName, Revision)> = HashMap::new();
    let mut displaced = HashSet::new();
    for (name, addr, revision) in records {
        match holders.get_mut(&addr) {
            None => {
                holders.insert(addr, (name, revision));
            }
            Some(holder) if holder.1 < revision => {
                displaced.insert(holder.0);
                *holder = (name, revision);
            }
            Some(_) => {
                displaced.insert(name);
            }
        }
    }
    displaced
}
