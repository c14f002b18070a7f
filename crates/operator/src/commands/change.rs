//! Subcommands that change objects.

use std::time::Instant;

use model::{
    Access, Account, AccountName, Burst, CallerKey, EndpointMark, EndpointName, Evacuation,
    FailureDomain, Key, Kind, Object, ObjectKey, Percent, Rate, ResultCode, Revision, Route,
    RouteName, StoredObject,
};
use platform::HttpStore;
use serde_json::{Value, json};
use store::{ObjectStore, Precondition, StoreError, new_write_id, write_and_resolve};

use super::confirm::{Confirmation, confirm};
use super::outcome::{CommandError, Exit};
use super::{Confirm, Failure, MarkChange, Output, RouteFields, Session};

/// Default timeout of a new route.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Default retry budget of a new route, in percent of the calls.
const DEFAULT_RETRY_BUDGET_PERCENT: u8 = 20;

/// Default share of the slots that ejections must leave healthy, in percent.
const DEFAULT_FLOOR_PERCENT: u8 = 70;

/// Default limit of the number of endpoints that a request is sent to.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Methods that HTTP defines as safe, which are idempotent by default on a new route.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A change that the platform has accepted, or that was not needed.
struct AcceptedChange {
    key: ObjectKey,
    revision: Revision,
    /// Value of `result` in the output: `accepted` or `unchanged`.
    result: &'static str,
    /// The key that the change issued, with its secret.
    issued: Option<CallerKey>,
}

impl Session<'_, '_> {
    pub(super) fn create_route(
        &mut self,
        name: &RouteName,
        fields: &RouteFields,
    ) -> Result<Exit, Failure> {
        let (Some(prefix), Some(service)) = (&fields.prefix, &fields.service) else {
            let detail = "--prefix and --service are required for a new route";
            return Err(CommandError::new(ResultCode::CommandInvalid, detail).into());
        };
        let percent = |percent| Percent::new(percent).unwrap_or_default();
        let mut route = Route {
            prefix: prefix.as_str().into(),
            service: service.clone(),
            selector: Default::default(),
            access: Access::Keyed,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            goal_ms: None,
            idempotent: SAFE_METHODS.map(Into::into).to_vec(),
            retry_budget: percent(DEFAULT_RETRY_BUDGET_PERCENT),
            floor: percent(DEFAULT_FLOOR_PERCENT),
            host: None,
            split: Vec::new(),
            attempts: DEFAULT_ATTEMPTS,
            priority: 0,
        };
        apply_route_fields(&mut route, fields);
        self.create(ObjectKey::new(Kind::Route, name.as_str()), Object::Route(route))
    }

    pub(super) fn create_account(
        &mut self,
        name: &AccountName,
        rate: Rate,
        burst: Burst,
    ) -> Result<Exit, Failure> {
        let key = ObjectKey::new(Kind::Account, name.as_str());
        self.create(key, Object::Account(Account { rate, burst, priority: None }))
    }

    /// Creates the object of an evacuation. It is never replaced, so that an operator learns of another
    /// one who has evacuated the failure domain before.
    pub(super) fn start_evacuation(&mut self, domain: &FailureDomain) -> Result<Exit, Failure> {
        let key = ObjectKey::new(Kind::Evacuation, domain.as_str());
        self.create(key, Object::Evacuation(Evacuation {}))
    }

    pub(super) fn issue_key(&mut self, account: &AccountName) -> Result<Exit, Failure> {
        let store = self.store()?;
        read_existing(&store, &ObjectKey::new(Kind::Account, account.as_str()))?;
        let issued = CallerKey::from_random(rand::random(), rand::random());
        let object = Object::Key(Key { account: account.clone(), digest: issued.digest() });
        let key = ObjectKey::new(Kind::Key, issued.id().as_str());
        let revision = self.write(&store, &key, Precondition::Absent, Some(&object))?;
        let change = AcceptedChange { key, revision, result: "accepted", issued: Some(issued) };
        self.report_change(&store, change)
    }

    pub(super) fn update_route(
        &mut self,
        name: &RouteName,
        fields: &RouteFields,
        expected_revision: Option<Revision>,
    ) -> Result<Exit, Failure> {
        if *fields == RouteFields::default() {
            return Err(no_field_given().into());
        }
        let key = ObjectKey::new(Kind::Route, name.as_str());
        self.update(key, expected_revision, |object| match object {
            Object::Route(route) => apply_route_fields(route, fields),
            _ => unreachable!("the store checks the kind"),
        })
    }

    pub(super) fn update_account(
        &mut self,
        name: &AccountName,
        rate: Option<Rate>,
        burst: Option<Burst>,
        expected_revision: Option<Revision>,
    ) -> Result<Exit, Failure> {
        if rate.is_none() && burst.is_none() {
            return Err(no_field_given().into());
        }
        let key = ObjectKey::new(Kind::Account, name.as_str());
        self.update(key, expected_revision, |object| match object {
            Object::Account(account) => {
                account.rate = rate.unwrap_or(account.rate);
                account.burst = burst.unwrap_or(account.burst);
            }
            _ => unreachable!("the store checks the kind"),
        })
    }

    pub(super) fn delete(
        &mut self,
        key: &ObjectKey,
        expected_revision: Option<Revision>,
    ) -> Result<Exit, Failure> {
        let store = self.store()?;
        let stored = read_existing(&store, key)?;
        check_revision(&stored, expected_revision)?;
        let revision = self.write(&store, key, Precondition::At(stored.revision), None)?;
        self.report_change(&store, accepted(key, revision))
    }

    /// Changes the mark of an endpoint, and deletes the mark if it becomes empty.
    pub(super) fn update_mark(
        &mut self,
        name: &EndpointName,
        change: &MarkChange,
        expected_revision: Option<Revision>,
    ) -> Result<Exit, Failure> {
        let store = self.store()?;
        let key = ObjectKey::new(Kind::EndpointMark, name.as_str());
        let stored = store.read(&key).map_err(|err| CommandError::from_store(&err))?;
        if let Some(stored) = &stored {
            check_revision(stored, expected_revision)?;
        }
        let live = stored.as_ref().filter(|stored| stored.object.is_some());
        let before = match live.and_then(|stored| stored.object.clone()) {
            Some(Object::EndpointMark(mark)) => mark,
            _ => EndpointMark::default(),
        };
        let after = apply_mark_change(before.clone(), change);
        if after == before {
            let revision = stored.map_or(Revision::ZERO, |stored| stored.revision);
            let result = "unchanged";
            let change = AcceptedChange { key, revision, result, issued: None };
            return self.report_change(&store, change);
        }
        let precondition =
            live.map_or(Precondition::Absent, |stored| Precondition::At(stored.revision));
        let object = (after != EndpointMark::default()).then_some(Object::EndpointMark(after));
        let revision = self.write(&store, &key, precondition, object.as_ref())?;
        self.report_change(&store, accepted(&key, revision))
    }

    fn create(&mut self, key: ObjectKey, object: Object) -> Result<Exit, Failure> {
        let object = validate(object)?;
        let store = self.store()?;
        let written = self.write(&store, &key, Precondition::Absent, Some(&object));
        let revision = written.map_err(|err| match err.code {
            ResultCode::WriteConflict => CommandError { code: ResultCode::ObjectExists, ..err },
            _ => err,
        })?;
        self.report_change(&store, accepted(&key, revision))
    }

    fn update(
        &mut self,
        key: ObjectKey,
        expected_revision: Option<Revision>,
        change: impl FnOnce(&mut Object),
    ) -> Result<Exit, Failure> {
        let store = self.store()?;
        let stored = read_existing(&store, &key)?;
        check_revision(&stored, expected_revision)?;
        let Some(mut object) = stored.object.clone() else {
            return Err(CommandError::for_object(ResultCode::ObjectNotFound, &key).into());
        };
        change(&mut object);
        let object = validate(object)?;
        let precondition = Precondition::At(stored.revision);
        let revision = self.write(&store, &key, precondition, Some(&object))?;
        self.report_change(&store, accepted(&key, revision))
    }

    /// Makes one conditional write. The error of a conflict contains the current object.
    fn write(
        &self,
        store: &HttpStore,
        key: &ObjectKey,
        precondition: Precondition,
        object: Option<&Object>,
    ) -> Result<Revision, CommandError> {
        let write_id = new_write_id();
        let deadline = Instant::now() + self.env.write_timeout;
        let written = write_and_resolve(store, key, precondition, object, &write_id, deadline);
        written.map_err(|err| match err {
            StoreError::Conflict { .. } => {
                let current = store.read(key).ok().flatten();
                CommandError::for_object(ResultCode::WriteConflict, key).with_current(current)
            }
            StoreError::OutcomeUnknown(_) => {
                let detail = format!("{key}, write {write_id}: {err}");
                CommandError::new(ResultCode::WriteOutcomeUnknown, detail)
            }
            err => CommandError::from_store(&err),
        })
    }

    /// Reports an accepted change and, with `--wait`, waits until the nodes have applied it.
    fn report_change(
        &mut self,
        store: &HttpStore,
        change: AcceptedChange,
    ) -> Result<Exit, Failure> {
        let json = self.common.output == Output::Json;
        if !json {
            if let Some(key) = &change.issued {
                // Printed before the wait, since the key is already valid and its secret is not stored.
                self.report.line(&format!("key {}: {}", key.id(), key.reveal()))?;
                self.report.line("store the key now: it can't be shown again")?;
            }
            let AcceptedChange { key, revision, result, .. } = &change;
            self.report.line(&format!("{key} {result} at revision {revision}"))?;
        }
        let mut doc = json!({
            "key": change.key.to_string(),
            "revision": change.revision,
            "result": change.result,
        });
        if let Some(key) = &change.issued {
            doc["issued"] = json!(key.reveal());
        }
        let confirmation = match self.common.confirm {
            Confirm::Wait => self.wait_for_nodes(store, change.revision),
            Confirm::Skip => {
                if json {
                    self.report.json(&doc)?;
                }
                return Ok(Exit::Done);
            }
        };
        match confirmation {
            Ok(confirmation) => self.report_confirmation(doc, &confirmation),
            Err(err) => {
                // The platform has accepted the change, so this error must not look like a refusal.
                doc["result"] = json!("not confirmed");
                doc["code"] = json!(ResultCode::NotConfirmed.number());
                doc["cause"] = err.to_json()["error"].clone();
                match json {
                    true => self.report.json(&doc)?,
                    false => {
                        self.report.line(&ResultCode::NotConfirmed.to_string())?;
                        self.report.line(&format!("can't query the nodes: {err}"))?;
                    }
                }
                Ok(Exit::NotConfirmed)
            }
        }
    }

    fn wait_for_nodes(
        &self,
        store: &HttpStore,
        revision: Revision,
    ) -> Result<Confirmation, CommandError> {
        let client = self.node_client()?;
        let addrs = self.operator_addrs()?;
        let confirmation = confirm(&client, store, revision, addrs, self.env.confirm_timeout)?;
        if confirmation.confirmed.is_empty() && confirmation.unconfirmed.is_empty() {
            return Err(CommandError::new(ResultCode::NodeUnavailable, "no node responded"));
        }
        Ok(confirmation)
    }

    fn report_confirmation(
        &mut self,
        mut doc: Value,
        confirmation: &Confirmation,
    ) -> Result<Exit, Failure> {
        let complete = confirmation.is_complete();
        let code = ResultCode::NotConfirmed;
        if self.common.output == Output::Json {
            doc["result"] = json!(if complete { "in force" } else { "not confirmed" });
            doc["confirmed"] = json!(confirmation.confirmed);
            doc["unconfirmed"] = json!(confirmation.unconfirmed);
            if !complete {
                doc["code"] = json!(code.number());
            }
            self.report.json(&doc)?;
        } else if complete {
            self.report.line(&format!("in force on {} nodes", confirmation.confirmed.len()))?;
        } else {
            self.report.line(&code.to_string())?;
            let rows = confirmation.unconfirmed.iter().map(|name| [name.to_string()]);
            self.report.table(["NOT CONFIRMED BY"], rows.collect())?;
            self.report.line("these nodes may still use an earlier configuration")?;
        }
        Ok(if complete { Exit::Done } else { Exit::NotConfirmed })
    }
}

fn accepted(key: &ObjectKey, revision: Revision) -> AcceptedChange {
    AcceptedChange { key: key.clone(), revision, result: "accepted", issued: None }
}

/// Reads an object that must exist.
fn read_existing(store: &HttpStore, key: &ObjectKey) -> Result<StoredObject, CommandError> {
    let stored = store.read(key).map_err(|err| CommandError::from_store(&err))?;
    stored
        .filter(|stored| stored.object.is_some())
        .ok_or_else(|| CommandError::for_object(ResultCode::ObjectNotFound, key))
}

/// Checks that the object has the revision given with `--if-revision`, if any.
fn check_revision(stored: &StoredObject, expected: Option<Revision>) -> Result<(), CommandError> {
    if expected.is_none_or(|expected| expected == stored.revision) {
        return Ok(());
    }
    let conflict = CommandError::for_object(ResultCode::WriteConflict, &stored.key);
    Err(conflict.with_current(Some(stored.clone())))
}

/// Checks an object by parsing its document, as every reader of the object does.
fn validate(object: Object) -> Result<Object, CommandError> {
    Object::from_document(object.kind(), &object.to_document())
        .map_err(|err| CommandError::new(ResultCode::ObjectInvalid, err))
}

fn no_field_given() -> CommandError {
    CommandError::new(ResultCode::CommandInvalid, "at least one field to change is required")
}

fn apply_route_fields(route: &mut Route, fields: &RouteFields) {
    let fields = fields.clone();
    if let Some(prefix) = fields.prefix {
        route.prefix = prefix.into();
    }
    route.service = fields.service.unwrap_or_else(|| route.service.clone());
    route.selector = fields.selector.unwrap_or_else(|| route.selector.clone());
    route.access = fields.access.unwrap_or(route.access);
    route.timeout_ms = fields.timeout_ms.unwrap_or(route.timeout_ms);
    route.goal_ms = fields.goal_ms.or(route.goal_ms);
    if let Some(idempotent) = fields.idempotent {
        route.idempotent = idempotent;
    }
    route.retry_budget = fields.retry_budget.unwrap_or(route.retry_budget);
    route.floor = fields.floor.unwrap_or(route.floor);
}

fn apply_mark_change(mut mark: EndpointMark, change: &MarkChange) -> EndpointMark {
    match change {
        MarkChange::SetLabels(labels) => {
            let pairs = labels.iter().map(|label| (label.key.clone(), label.value.clone()));
            mark.labels.extend(pairs);
        }
        MarkChange::RemoveLabels(keys) => {
            mark.labels.retain(|key, _| !keys.iter().any(|removed| **removed == **key));
        }
        MarkChange::Drain => mark.drained = true,
        MarkChange::Undrain => mark.drained = false,
    }
    mark
}
