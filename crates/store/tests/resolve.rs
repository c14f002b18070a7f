//! Tests of `write_and_resolve` against a scripted store.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use model::{Kind, Object, ObjectKey, Revision, StoredObject, WriteId};
use store::{Changes, Listing, ObjectStore, Precondition, StoreError, write_and_resolve};

/// How the store handles one write.
enum Step {
    /// Applies the write.
    Apply,
    /// Applies the write, but loses its response.
    ApplyAndLose,
    /// Loses the request.
    Lose,
    /// Applies a write of another writer and loses the request.
    OtherThenLose,
    Fail(StoreError),
}

struct Script {
    steps: Mutex<Vec<Step>>,
    stored: Mutex<Option<StoredObject>>,
    reads: Mutex<Vec<StoreError>>,
    log: Mutex<Vec<&'static str>>,
}

fn stored(revision: u64, write_id: &str, object: Option<&Object>) -> StoredObject {
    StoredObject {
        key: key(),
        revision: Revision(revision),
        write_id: write_id.parse().unwrap(),
        object: object.cloned(),
    }
}

fn key() -> ObjectKey {
    ObjectKey::new(Kind::Account, "big")
}

fn account() -> Object {
    Object::from_document(Kind::Account, br#"{"rate":"5/s","burst":10}"#).unwrap()
}

impl ObjectStore for Script {
    fn list(&self) -> Result<Listing, StoreError> {
        unimplemented!("not used by writes")
    }

    fn watch(&self, _: Revision, _: Duration) -> Result<Changes, StoreError> {
        unimplemented!("not used by writes")
    }

    fn read(&self, _: &ObjectKey) -> Result<Option<StoredObject>, StoreError> {
        self.log.lock().unwrap().push("read");
        match self.reads.lock().unwrap().pop() {
            Some(err) => Err(err),
            None => Ok(self.stored.lock().unwrap().clone()),
        }
    }

    fn write(
        &self,
        _: &ObjectKey,
        precondition: Precondition,
        object: Option<&Object>,
        write_id: &WriteId,
    ) -> Result<Revision, StoreError> {
        self.log.lock().unwrap().push("write");
        let step = self.steps.lock().unwrap().remove(0);
        let mut current = self.stored.lock().unwrap();
        let live = current.as_ref().filter(|s| s.object.is_some()).map(|s| s.revision);
        let next = current.as_ref().map_or(1, |s| s.revision.0 + 1);
        let lost = Err(StoreError::OutcomeUnknown("lost".into()));
        match step {
            Step::Fail(err) => return Err(err),
            Step::Lose => return lost,
            Step::OtherThenLose => {
                *current = Some(stored(next, "other", Some(&account())));
                return lost;
            }
            Step::Apply | Step::ApplyAndLose => {}
        }
        let holds = match precondition {
            Precondition::Absent => live.is_none(),
            Precondition::At(revision) => live == Some(revision),
        };
        if !holds {
            return Err(StoreError::Conflict { current: live });
        }
        *current = Some(stored(next, write_id.as_str(), object));
        if matches!(step, Step::ApplyAndLose) { lost } else { Ok(Revision(next)) }
    }
}

fn check(
    steps: Vec<Step>,
    start: Option<StoredObject>,
    reads: Vec<StoreError>,
    precondition: Precondition,
    object: Option<&Object>,
    expect: Expect,
) {
    let script = Script {
        steps: Mutex::new(steps),
        stored: Mutex::new(start),
        reads: Mutex::new(reads),
        log: Mutex::default(),
    };
    let write_id = "mine".parse().unwrap();
    let deadline = Instant::now() + Duration::from_millis(600);
    let result = write_and_resolve(&script, &key(), precondition, object, &write_id, deadline);
    // The number of consecutive reads depends on timing.
    let mut log = script.log.into_inner().unwrap();
    log.dedup_by(|a, b| a == b && *a == "read");
    let log = log.join(" ");
    expect.assert_eq(&format!("{log}: {result:?}"));
}

/// A write must not be repeated if it took effect and its response was lost.
#[test]
fn applied_write_is_not_repeated() {
    check(
        vec![Step::ApplyAndLose],
        None,
        vec![],
        Precondition::Absent,
        Some(&account()),
        expect!["write read: Ok(Revision(1))"],
    );
    check(
        vec![Step::ApplyAndLose],
        Some(stored(4, "x", Some(&account()))),
        vec![],
        Precondition::At(Revision(4)),
        None,
        expect!["write read: Ok(Revision(5))"],
    );
}

/// A write that never arrived must be repeated and must not be reported as successful before.
#[test]
fn lost_write_is_repeated() {
    check(
        vec![Step::Lose, Step::Apply],
        None,
        vec![],
        Precondition::Absent,
        Some(&account()),
        expect!["write read write: Ok(Revision(1))"],
    );
    check(
        vec![Step::Lose, Step::Lose, Step::ApplyAndLose],
        Some(stored(4, "x", Some(&account()))),
        vec![],
        Precondition::At(Revision(4)),
        Some(&account()),
        expect!["write read write read write read: Ok(Revision(5))"],
    );
}

/// Another operator's write must not be overwritten after a lost response.
#[test]
fn concurrent_write_is_not_overwritten() {
    check(
        vec![Step::OtherThenLose],
        Some(stored(4, "x", Some(&account()))),
        vec![],
        Precondition::At(Revision(4)),
        Some(&account()),
        expect!["write read: Err(Conflict { current: Some(Revision(5)) })"],
    );
    check(
        vec![Step::Apply],
        Some(stored(5, "x", Some(&account()))),
        vec![],
        Precondition::At(Revision(4)),
        Some(&account()),
        expect!["write read: Err(Conflict { current: Some(Revision(5)) })"],
    );
}

/// A write must not fail with a conflict that it caused itself because the transport sent the
/// request twice.
#[test]
fn conflict_with_same_write_is_success() {
    check(
        vec![Step::Apply],
        Some(stored(5, "mine", Some(&account()))),
        vec![],
        Precondition::At(Revision(4)),
        Some(&account()),
        expect!["write read: Ok(Revision(5))"],
    );
}

/// No definite outcome must be reported while the platform is unavailable.
#[test]
fn undetermined_outcome_is_reported_as_unknown() {
    let down = || StoreError::Unavailable("down".into());
    check(
        vec![Step::ApplyAndLose],
        None,
        vec![down(), down()],
        Precondition::Absent,
        Some(&account()),
        expect!["write read: Ok(Revision(1))"],
    );
    check(
        vec![Step::ApplyAndLose],
        None,
        (0..50).map(|_| down()).collect(),
        Precondition::Absent,
        Some(&account()),
        expect![[r#"write read: Err(OutcomeUnknown("lost"))"#]],
    );
}

/// A request must be retried if the platform throttled it, but not if the platform is unavailable.
#[test]
fn only_throttled_requests_are_retried() {
    check(
        vec![Step::Fail(StoreError::Throttled), Step::Apply],
        None,
        vec![],
        Precondition::Absent,
        Some(&account()),
        expect!["write write: Ok(Revision(1))"],
    );
    check(
        vec![Step::Fail(StoreError::Unavailable("down".into()))],
        None,
        vec![],
        Precondition::Absent,
        Some(&account()),
        expect![[r#"write: Err(Unavailable("down"))"#]],
    );
}

/// The outcome of a deletion must not stay unknown forever: the platform may have no
/// tombstone of a deleted object, so the absence of the object after a lost response is all that
/// can be observed. If the object is absent after a lost update, the outcome stays unknown.
#[test]
fn lost_deletion_of_absent_object_is_success() {
    check(
        vec![Step::Lose],
        None,
        vec![],
        Precondition::At(Revision(4)),
        None,
        expect!["write read: Ok(Revision(5))"],
    );
    check(
        vec![Step::Lose],
        None,
        vec![],
        Precondition::At(Revision(4)),
        Some(&account()),
        expect![[r#"write read: Err(OutcomeUnknown("lost"))"#]],
    );
}
