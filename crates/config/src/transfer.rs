//! Transfers of objects between replicas, cut into chunks that fit into a frame.

use std::vec;

use model::{Revision, StoredObject};

use crate::entry::Stored;
use crate::replica::{Applied, Replica};

/// What a replica can give to a peer that is behind.
#[derive(Debug)]
pub enum Delta {
    /// The peer is not behind.
    UpToDate,
    /// The changes since the peer's revision.
    Changes(Chunks),
    /// Changes that old have been dropped; the peer needs [`Replica::full_copy`].
    FullCopyNeeded,
}

/// A part of a transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Revision that the changes start after, or `None` in a full copy.
    pub from: Option<Revision>,
    /// Revision from which on the tombstones of a full copy are complete.
    pub floor: Revision,
    /// Revision that the whole transfer leads to.
    pub to: Revision,
    /// Position in the transfer, from 0.
    pub index: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// Objects and tombstones.
    pub objects: Vec<StoredObject>,
}

/// The chunks of one transfer, made as they are asked for. Later changes of the replica don't
/// show in them.
#[derive(Debug)]
pub struct Chunks {
    from: Option<Revision>,
    floor: Revision,
    to: Revision,
    index: u32,
    done: bool,
    objects: vec::IntoIter<Stored>,
    max_bytes: usize,
}

impl Chunks {
    pub(crate) fn new(
        from: Option<Revision>,
        floor: Revision,
        to: Revision,
        objects: Vec<Stored>,
        max_bytes: usize,
    ) -> Chunks {
        Chunks { from, floor, to, index: 0, done: false, objects: objects.into_iter(), max_bytes }
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
            bytes += stored.frame_bytes();
            if bytes > self.max_bytes && !objects.is_empty() {
                break;
            }
            objects.push(stored.to_object());
            self.objects.next();
        }
        self.done = self.objects.as_slice().is_empty();
        let (from, floor, to, index) = (self.from, self.floor, self.to, self.index);
        self.index += 1;
        Some(Chunk { from, floor, to, index, last: self.done, objects })
    }
}

/// What became of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// More chunks are expected; the replica is unchanged.
    Incomplete,
    /// The chunk doesn't follow the one before it; the transfer was dropped.
    OutOfOrder,
    /// The transfer was complete and was applied with this result.
    Complete(Applied),
}

/// Puts the chunks of one link together. The replica changes when the last chunk is in.
#[derive(Debug, Default)]
pub struct Incoming {
    partial: Option<Partial>,
}

#[derive(Debug)]
struct Partial {
    from: Option<Revision>,
    floor: Revision,
    to: Revision,
    next_index: u32,
    changes: Vec<StoredObject>,
    /// A full copy is built in the compact form, since the plain form takes several times the
    /// memory.
    copy: Replica,
}

impl Incoming {
    /// Expects the first chunk of a transfer.
    pub fn new() -> Incoming {
        Incoming::default()
    }

    /// Takes the next chunk. A chunk with index 0 starts a new transfer.
    pub fn receive(&mut self, chunk: Chunk, replica: &mut Replica) -> Received {
        let continues = self.partial.take().filter(|partial| partial.is_followed_by(&chunk));
        let partial = match continues {
            Some(partial) => partial,
            None if chunk.index == 0 => Partial::start(&chunk),
            None => return Received::OutOfOrder,
        };
        let Some(partial) = partial.add(chunk.objects) else {
            return Received::Complete(Applied::Malformed);
        };
        if !chunk.last {
            self.partial = Some(partial);
            return Received::Incomplete;
        }
        Received::Complete(partial.apply(replica))
    }
}

impl Partial {
    fn start(chunk: &Chunk) -> Partial {
        Partial {
            from: chunk.from,
            floor: chunk.floor,
            to: chunk.to,
            next_index: 0,
            changes: Vec::new(),
            copy: Replica::with_floor(chunk.floor.min(chunk.to)),
        }
    }

    fn is_followed_by(&self, chunk: &Chunk) -> bool {
        let same = (self.from, self.floor, self.to) == (chunk.from, chunk.floor, chunk.to);
        same && self.next_index == chunk.index
    }

    /// Adds the objects of a chunk, or gives `None` if one can't be part of the transfer.
    fn add(mut self, objects: Vec<StoredObject>) -> Option<Partial> {
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
            self.copy.put(object);
        }
        Some(self)
    }

    fn apply(mut self, replica: &mut Replica) -> Applied {
        match self.from {
            Some(from) => replica.apply_delta(from, self.to, self.changes),
            None => {
                self.copy.finish_copy(self.to);
                replica.replace(self.copy)
            }
        }
    }
}
