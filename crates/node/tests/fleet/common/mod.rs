//! Test doubles: an in-memory platform and a recorder of frames.

pub mod fleet;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use model::{NodeName, Object, ObjectKey, Revision, StoredObject, WriteId};
use peer::FrameTap;
use store::{Changes, Listing, ObjectStore, Precondition, StoreError};
use wire::{Frame, Header};

/// An in-memory platform.
#[derive(Default)]
pub struct FakeStore {
    state: Mutex<State>,
    written: Condvar,
    is_unavailable: AtomicBool,
    /// Messages recorded so far.
    pub trace: Arc<Trace>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<ObjectKey, StoredObject>,
}

impl FakeStore {
    /// Makes all further calls fail as unavailable.
    pub fn set_unavailable(&self) {
        self.is_unavailable.store(true, Ordering::SeqCst);
    }

    fn check_available(&self) -> Result<(), StoreError> {
        match self.is_unavailable.load(Ordering::SeqCst) {
            true => Err(StoreError::Unavailable("the store is unavailable".into())),
            false => Ok(()),
        }
    }

    /// Creates or replaces an object, as an operator's change does.
    pub fn put(&self, key: ObjectKey, object: Object) -> Revision {
        let current = self.read(&key).expect("reading from memory works");
        let precondition =
            current.map_or(Precondition::Absent, |stored| Precondition::At(stored.revision));
        let id = store::new_write_id();
        self.write(&key, precondition, Some(&object), &id).expect("the precondition holds")
    }
}

impl ObjectStore for FakeStore {
    fn list(&self) -> Result<Listing, StoreError> {
        self.check_available()?;
        let state = lock(&self.state);
        let live = state.objects.values().filter(|stored| stored.object.is_some());
        Ok(Listing { revision: Revision(state.revision), objects: live.cloned().collect() })
    }

    fn watch(&self, since: Revision, wait: Duration) -> Result<Changes, StoreError> {
        self.check_available()?;
        // Short, so that a test does not wait long for watching threads to end.
        let deadline = Instant::now() + wait.min(Duration::from_millis(200));
        let mut state = lock(&self.state);
        while state.revision <= since.0 && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            state =
                self.written.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        let newer = state.objects.values().filter(|stored| stored.revision > since);
        let mut objects: Vec<StoredObject> = newer.cloned().collect();
        objects.sort_by_key(|stored| stored.revision);
        Ok(Changes { revision: Revision(state.revision), objects })
    }

    fn read(&self, key: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        self.check_available()?;
        Ok(lock(&self.state).objects.get(key).cloned())
    }

    fn write(
        &self,
        key: &ObjectKey,
        precondition: Precondition,
        object: Option<&Object>,
        write_id: &WriteId,
    ) -> Result<Revision, StoreError> {
        self.check_available()?;
        let mut state = lock(&self.state);
        let stored = state.objects.get(key).filter(|stored| stored.object.is_some());
        let current = stored.map(|stored| stored.revision);
        let holds = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::At(revision) => current == Some(revision),
        };
        if !holds {
            return Err(StoreError::Conflict { current });
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        let (key, write_id, object) = (key.clone(), write_id.clone(), object.cloned());
        let description = match &object {
            Some(Object::Node(record)) => {
                let state = |e: &model::Endpoint| format!("{} {:?}", e.name, e.state);
                let endpoints: Vec<String> = record.endpoints.iter().map(state).collect();
                format!("write {key} [{}]", endpoints.join(", "))
            }
            Some(_) => format!("write {key}"),
            None => format!("delete {key}"),
        };
        self.trace.add(format!("platform: {description}"));
        state.objects.insert(key.clone(), StoredObject { key, revision, write_id, object });
        self.written.notify_all();
        Ok(revision)
    }
}

/// Recorded messages as text lines, in order.
#[derive(Default)]
pub struct Trace {
    lines: Mutex<Vec<String>>,
}

impl Trace {
    /// Adds a line.
    pub fn add(&self, line: String) {
        lock(&self.lines).push(line);
    }

    /// Removes and returns the lines recorded so far.
    pub fn take(&self) -> Vec<String> {
        std::mem::take(&mut lock(&self.lines))
    }
}

/// Records the frames that one node sends.
pub struct FrameRecorder {
    pub node: &'static str,
    pub trace: Arc<Trace>,
}

impl FrameTap for FrameRecorder {
    fn sent(&self, to: &NodeName, frame: &Frame) {
        if let Some(text) = describe(frame) {
            self.trace.add(format!("{} -> {to}: {text}", self.node));
        }
    }

    fn received(&self, _from: &NodeName, _frame: &Frame) {}
}

/// The parts of a frame that are the same in each run. Revision comparisons and token requests
/// occur at any time and are left out.
fn describe(frame: &Frame) -> Option<String> {
    Some(match frame {
        Frame::Call(call) => format!(
            "Call {} {} to {} on route {} for {:?}, wait {:?}, headers {}, body {} bytes{}",
            call.head.method,
            call.head.target,
            call.endpoint,
            call.route,
            call.account.as_ref().map(|(account, _)| account.as_str()),
            call.max_expected_wait,
            headers(&call.head.headers),
            call.body.bytes.len(),
            end_suffix(call.body.last),
        ),
        Frame::CallBody(part) => {
            format!("CallBody {} bytes{}", part.bytes.len(), end_suffix(part.last))
        }
        Frame::Refused { code, .. } => format!("Refused {code}"),
        Frame::Failed { code, .. } => format!("Failed {code}"),
        Frame::Answer(answer) => format!(
            "Answer {}, headers {}, body {} bytes{}",
            answer.status,
            headers(&answer.headers),
            answer.body.bytes.len(),
            end_suffix(answer.body.last),
        ),
        Frame::AnswerBody { part, .. } => {
            format!("AnswerBody {} bytes{}", part.bytes.len(), end_suffix(part.last))
        }
        Frame::Fence { .. } => "Fence".to_owned(),
        Frame::Fenced { status, .. } => format!("Fenced {status:?}"),
        _ => return None,
    })
}

fn headers(headers: &[Header]) -> String {
    let mut names: Vec<&str> = headers.iter().map(|header| &*header.name).collect();
    names.sort_unstable();
    format!("[{}]", names.join(" "))
}

/// Suffix of the last part of a body.
fn end_suffix(last: bool) -> &'static str {
    if last { ", end" } else { "" }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
