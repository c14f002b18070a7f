//! Transfers of objects between replicas, split into chunks that fit into a frame.

use std::vec;

use model::{Revision, StoredObject};

use crate::entry::StoredEntry;
use crate::replica::{Applied, Replica};

/// Result of [`Replica::delta_since`].
#[derive(Debug)]
pub enum Delta {
    /// The peer has no changes to receive.
    UpToDate,
    /// The changes since the peer's revision.
    Changes(Chunks),
    /// The changes since the peer's revision were compacted; it needs [`Replica::full_copy`].
    FullCopyNeeded,
}

/// One part of a transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Revision after which the changes start, or `None` in a full copy.
    pub from: Option<Revision>,
    /// Revision after which the tombstones of a full copy are complete.
    pub compact_revision: Revision,
    /// Revision of the replica after the whole transfer.
    pub to: Revision,
    /// Zero-based position in the transfer.
    pub index: u32,
    /// Whether this is the last chunk.
    pub last: bool,
    /// Objects and tombstones.
    pub objects: Vec<StoredObject>,
}

/// Iterator over the chunks of one transfer, which creates them lazily. The transfer is a snapshot:
/// later changes to the replica don't affect it.
#[derive(Debug)]
pub struct Chunks {
    from: Option<Revision>,
    compact_revision: Revision,
    to: Revision,
    index: u32,
    done: bool,
    objects: vec::IntoIter<StoredEntry>,
    max_bytes: usize,
}

impl Chunks {
    pub(crate) fn new(
        from: Option<Revision>,
        compact_revision: Revision,
        to: Revision,
        objects: Vec<StoredEntry>,
        max_bytes: usize,
    ) -> Chunks {
        let objects = objects.into_iter();
        Chunks { from, compact_revision, to, index: 0, done: false, objects, max_bytes }
    }
}

impl Iterator for Chunks {
    type Item = Chunk;

    fn next(&mut self) -> Option<Chunk> {
        if self.done {
            return None;
        }
        let mut objects = Vec::new();
        let mut bytes = 0;
        while let Some(stored) = self.objects.as_slice().first() {
            bytes += stored.max_frame_bytes();
            if bytes > self.max_bytes && !objects.is_empty() {
                break;
            }
            objects.push(stored.to_stored_object());
            self.objects.next();
        }
        self.done = self.objects.as_slice().is_empty();
        let index = self.index;
        self.index += 1;
        Some(Chunk {
            from: self.from,
            compact_revision: self.compact_revision,
            to: self.to,
            index,
            last: self.done,
            objects,
        })
    }
}

/// Result of [`TransferReceiver::receive`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// More chunks are expected; the replica has not changed yet.
    Incomplete,
    /// The chunk doesn't follow the previous one; the transfer was discarded.
    OutOfOrder,
    /// The transfer has ended, with the given result.
    Complete(Applied),
}

/// Reassembles the chunks received on one connection. The replica changes when the last chunk of a
/// transfer has arrived.
#[derive(Debug, Default)]
pub struct TransferReceiver {
    pending: Option<PendingTransfer>,
}

#[derive(Debug)]
struct PendingTransfer {
    from: Option<Revision>,
    compact_revision: Revision,
    to: Revision,
    next_index: u32,
    changes: Vec<StoredObject>,
    /// A full copy is converted to the compact form as it arrives, because the objects would take
    /// several times the memory otherwise.
    copy: Replica,
}

impl TransferReceiver {
    /// Creates an assembler without a pending transfer.
    pub fn new() -> TransferReceiver {
        TransferReceiver::default()
    }

    /// Handles the next chunk. A chunk with index 0 starts a new transfer.
    pub fn receive(&mut self, chunk: Chunk, replica: &mut Replica) -> ReceiveOutcome {
        let continued = self.pending.take().filter(|pending| pending.is_followed_by(&chunk));
        let pending = match continued {
            Some(pending) => pending,
            None if chunk.index == 0 => PendingTransfer::start(&chunk),
            None => return ReceiveOutcome::OutOfOrder,
        };
        let Some(pending) = pending.add(chunk.objects) else {
            return ReceiveOutcome::Complete(Applied::Malformed);
        };
        if !chunk.last {
            self.pending = Some(pending);
            return ReceiveOutcome::Incomplete;
        }
        ReceiveOutcome::Complete(pending.apply(replica))
    }
}

impl PendingTransfer {
    fn start(chunk: &Chunk) -> PendingTransfer {
        PendingTransfer {
            from: chunk.from,
            compact_revision: chunk.compact_revision,
            to: chunk.to,
            next_index: 0,
            changes: Vec::new(),
            copy: Replica::with_compact_revision(chunk.compact_revision.min(chunk.to)),
        }
    }

    fn is_followed_by(&self, chunk: &Chunk) -> bool {
        let is_same_transfer = (self.from, self.compact_revision, self.to)
            == (chunk.from, chunk.compact_revision, chunk.to);
        is_same_transfer && self.next_index == chunk.index
    }

    /// Adds the objects of a chunk. Returns `None` if one of them can't be part of the transfer.
    fn add(mut self, objects: Vec<StoredObject>) -> Option<PendingTransfer> {
        self.next_index += 1;
        if self.from.is_some() {
            self.changes.extend(objects);
            return Some(self);
        }
        for object in objects {
            let kind_matches = object.object.as_ref().is_none_or(|o| o.kind() == object.key.kind);
            if !kind_matches || object.revision > self.to {
                return None;
            }
            self.copy.insert(object);
        }
        Some(self)
    }

    fn apply(mut self, replica: &mut Replica) -> Applied {
        match self.from {
            Some(from) => replica.apply_delta(from, self.to, self.changes),
            None => {
                self.copy.finish_snapshot(self.to);
                replica.replace(self.copy)
            }
        }
    }
}
