//! Objects, history, rates and faults of the stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use serde::Serialize;
use serde_json::json;
use serde_json::value::{RawValue, to_raw_value};

use super::{Answer, Call, Counts, Faults, json_answer};

pub(super) struct State {
    pub(super) revision: u64,
    pub(super) objects: BTreeMap<ObjectId, Stored>,
    /// Latest changes, oldest first.
    pub(super) history: VecDeque<Change>,
    /// Revision of the newest change that is no longer in the history.
    pub(super) forgotten: u64,
    pub(super) faults: Faults,
    pub(super) counts: Counts,
    /// The watches among `counts` by the kind of the objects.
    pub(super) watches: BTreeMap<Box<str>, u64>,
    pub(super) read_tokens: Bucket,
    pub(super) write_tokens: Bucket,
    /// Number of restores that the answers tell; `None` until a test asks for them.
    pub(super) era: Option<u64>,
    /// What writes have replaced since then, oldest first.
    replaced: Vec<Replaced>,
}

/// State before a write.
struct Replaced {
    at: Instant,
    /// Revision of the store.
    revision: u64,
    id: ObjectId,
    stored: Option<Stored>,
}

pub(super) type ObjectId = (Box<str>, Box<str>);

#[derive(Clone)]
pub(super) struct Stored {
    pub(super) revision: u64,
    pub(super) spec: Box<RawValue>,
}

/// A change as a watch returns it.
#[derive(Serialize)]
pub(super) struct Event {
    deleted: bool,
    object: Box<RawValue>,
}

#[derive(Serialize)]
struct ListBody {
    #[serde(rename = "currentRev")]
    revision: u64,
    #[serde(rename = "hasMore")]
    has_more: bool,
    items: Vec<Box<RawValue>>,
}

#[derive(Serialize)]
struct Document<'a> {
    meta: Meta<'a>,
    spec: &'a RawValue,
    status: (),
}

#[derive(Serialize)]
struct Meta<'a> {
    created: u64,
    deleting: bool,
    finalizers: [(); 0],
    name: &'a str,
    rev: u64,
}

pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) kind: Box<str>,
    pub(super) object: Box<RawValue>,
    pub(super) deleted: bool,
}

pub(super) struct Bucket {
    pub(super) per_second: f64,
    pub(super) level: f64,
    pub(super) filled: Instant,
}

impl Bucket {
    pub(super) fn new(per_second: u32) -> Bucket {
        let per_second = f64::from(per_second);
        Bucket { per_second, level: per_second, filled: Instant::now() }
    }

    pub(super) fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.filled).as_secs_f64() * self.per_second;
        self.level = (self.level + refill).min(self.per_second);
        self.filled = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

impl State {
    pub(super) fn new(reads_per_second: u32, writes_per_second: u32) -> State {
        State {
            revision: 0,
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            forgotten: 0,
            faults: Faults::default(),
            counts: Counts::default(),
            watches: BTreeMap::new(),
            read_tokens: Bucket::new(reads_per_second),
            write_tokens: Bucket::new(writes_per_second),
            era: None,
            replaced: Vec::new(),
        }
    }

    /// Goes back to the state at a time, and begins the next era. Its revisions are given again.
    pub(super) fn restore(&mut self, backup_at: Instant) {
        let first_lost = self.replaced.partition_point(|replaced| replaced.at <= backup_at);
        for Replaced { revision, id, stored, .. } in self.replaced.drain(first_lost..).rev() {
            self.revision = revision;
            match stored {
                Some(stored) => self.objects.insert(id, stored),
                None => self.objects.remove(&id),
            };
        }
        let revision = self.revision;
        self.history.retain(|change| change.revision <= revision);
        self.forgotten = self.forgotten.min(revision);
        self.era = Some(self.era.unwrap_or(0) + 1);
    }

    /// Remembers the state before a write, for a restore.
    fn remember(&mut self, id: &ObjectId) {
        if self.era.is_some() {
            let stored = self.objects.get(id).cloned();
            let (at, revision, id) = (Instant::now(), self.revision, id.clone());
            self.replaced.push(Replaced { at, revision, id, stored });
        }
    }

    pub(super) fn admit(&mut self, call: &Call) -> Option<Answer> {
        let (count, tokens) = match call {
            Call::List { .. } => (&mut self.counts.lists, &mut self.read_tokens),
            Call::Watch { .. } => (&mut self.counts.watches, &mut self.read_tokens),
            Call::Read(_) => (&mut self.counts.reads, &mut self.read_tokens),
            Call::Create(_) | Call::Replace(_) | Call::Delete(..) => {
                (&mut self.counts.writes, &mut self.write_tokens)
            }
        };
        *count += 1;
        if let Call::Watch { kind, .. } = call {
            *self.watches.entry(kind.clone()).or_default() += 1;
        }
        if self.faults.down {
            return Some(self.refuse(503, "unavailable", ""));
        }
        if !tokens.take() {
            self.counts.throttled += 1;
            return Some(self.refuse(429, "throttled", ""));
        }
        None
    }

    pub(super) fn refuse(&self, status: u16, error: &str, detail: &str) -> Answer {
        let body = json!({"currentRev": self.revision, "error": error, "detail": detail});
        json_answer(status, &body)
    }

    pub(super) fn list(&self, kind: &str, after: Option<&str>, page: usize) -> Answer {
        let of_kind = self.objects.iter().filter(|((k, _), _)| &**k == kind);
        let mut rest = of_kind.filter(|((_, name), _)| after.is_none_or(|after| &**name > after));
        let items = rest.by_ref().take(page).map(|(id, stored)| document(id, stored)).collect();
        let has_more = rest.next().is_some();
        json_answer(200, &ListBody { items, has_more, revision: self.revision })
    }

    pub(super) fn events(&self, kind: &str, since: u64) -> Vec<Event> {
        let newer = self.history.iter().filter(|change| change.revision > since);
        let of_kind = newer.filter(|change| &*change.kind == kind);
        of_kind.map(|c| Event { object: c.object.clone(), deleted: c.deleted }).collect()
    }

    pub(super) fn read(&self, id: &ObjectId) -> Answer {
        match self.objects.get(id) {
            Some(stored) => json_answer(200, &document(id, stored)),
            None => self.refuse(404, "unknown object", ""),
        }
    }

    pub(super) fn create(&mut self, id: ObjectId, spec: Box<RawValue>) -> Answer {
        match self.objects.get(&id) {
            Some(stored) => json_answer(409, &document(&id, stored)),
            None => self.put(id, spec),
        }
    }

    pub(super) fn replace(
        &mut self,
        id: ObjectId,
        rev: Option<u64>,
        spec: Box<RawValue>,
    ) -> Answer {
        match self.objects.get(&id) {
            None => self.refuse(404, "unknown object", ""),
            Some(stored) if rev.is_some_and(|rev| rev != stored.revision) => {
                json_answer(409, &document(&id, stored))
            }
            Some(stored) if stored.spec.get() == spec.get() => {
                json_answer(200, &document(&id, stored))
            }
            Some(_) => self.put(id, spec),
        }
    }

    pub(super) fn put(&mut self, id: ObjectId, spec: Box<RawValue>) -> Answer {
        self.remember(&id);
        self.revision += 1;
        let stored = Stored { revision: self.revision, spec };
        let object = document(&id, &stored);
        self.note(&id.0, &object, false);
        self.objects.insert(id, stored);
        json_answer(200, &object)
    }

    pub(super) fn delete(&mut self, id: ObjectId, rev: Option<u64>) -> Answer {
        let Some(stored) = self.objects.get(&id).cloned() else {
            return self.refuse(404, "unknown object", "");
        };
        if rev.is_some_and(|rev| rev != stored.revision) {
            return json_answer(409, &document(&id, &stored));
        }
        self.remember(&id);
        self.objects.remove(&id);
        self.revision += 1;
        let object = document(&id, &Stored { revision: self.revision, ..stored });
        self.note(&id.0, &object, true);
        json_answer(200, &object)
    }

    pub(super) fn note(&mut self, kind: &str, object: &RawValue, deleted: bool) {
        let (kind, object) = (kind.into(), object.to_owned());
        self.history.push_back(Change { revision: self.revision, kind, object, deleted });
    }
}

pub(super) fn document(id: &ObjectId, stored: &Stored) -> Box<RawValue> {
    let meta =
        Meta { name: &id.1, rev: stored.revision, created: 0, finalizers: [], deleting: false };
    let document = Document { meta, spec: &stored.spec, status: () };
    to_raw_value(&document).expect("the document is valid JSON")
}
