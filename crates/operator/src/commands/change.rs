//! Commands that change objects.

use std::time::Instant;

use model::{
    Access, Account, AccountName, Burst, CallerKey, EndpointMark, EndpointName, Key, Kind, Object,
    ObjectKey, Percent, Rate, ResultCode, Revision, Route, RouteName, StoredObject,
};
use platform::HttpStore;
use serde_json::{Value, json};
use store::{ObjectStore, Precondition, StoreError, new_write_id, write_and_resolve};

use super::confirm::{Confirmation, confirm};
use super::outcome::{CommandError, Exit};
use super::{Confirm, Failure, MarkChange, Output, RouteFields, Session};

/// Timeout of a route that is created without one.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Retry budget of a route that is created without one, in percent of the calls.
const DEFAULT_RETRY_BUDGET: u8 = 20;

/// Floor of a route that is created without one, in percent of the slots.
const DEFAULT_FLOOR: u8 = 70;

/// Endpoints that a request of a route that is created without a number may be sent to.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Methods that HTTP defines as safe, and that a route is created with as idempotent.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A change that the platform has accepted, or that was not needed.
struct Accepted {
    key: ObjectKey,
    revision: Revision,
    result: &'static str,
    /// A key that was issued.
    issued: Option<CallerKey>,
}

impl Session<'_, '_> {
    pub(super) fn create_route(
        &mut self,
        name: &RouteName,
        fields: &RouteFields,
    ) -> Result<Exit, Failure> {
        let (Some(prefix), Some(service)) = (&fields.prefix, &fields.service) else {
            let detail = "a new route needs --prefix and --service";
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
            retry_budget: percent(DEFAULT_RETRY_BUDGET),
            floor: percent(DEFAULT_FLOOR),
            host: None,
            split: Vec::new(),
            attempts: DEFAULT_ATTEMPTS,
            priority: 0,
        };
        apply_fields(&mut route, fields);
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

    pub(super) fn issue_key(&mut self, account: &AccountName) -> Result<Exit, Failure> {
        let store = self.store()?;
        read_live(&store, &ObjectKey::new(Kind::Account, account.as_str()))?;
        let issued = CallerKey::from_random(rand::random(), rand::random());
        let object = Object::Key(Key { account: account.clone(), digest: issued.digest() });
        let key = ObjectKey::new(Kind::Key, issued.id().as_str());
        let revision = self.write(&store, &key, Precondition::Absent, Some(&object))?;
        self.finish(&store, Accepted { key, revision, result: "accepted", issued: Some(issued) })
    }

    pub(super) fn update_route(
        &mut self,
        name: &RouteName,
        fields: &RouteFields,
        seen: Option<Revision>,
    ) -> Result<Exit, Failure> {
        if *fields == RouteFields::default() {
            return Err(nothing_to_change().into());
        }
        let key = ObjectKey::new(Kind::Route, name.as_str());
        self.update(key, seen, |object| match object {
            Object::Route(route) => apply_fields(route, fields),
            _ => unreachable!("the store checks the kind"),
        })
    }

    pub(super) fn update_account(
        &mut self,
        name: &AccountName,
        rate: Option<Rate>,
        burst: Option<Burst>,
        seen: Option<Revision>,
    ) -> Result<Exit, Failure> {
        if rate.is_none() && burst.is_none() {
            return Err(nothing_to_change().into());
        }
        let key = ObjectKey::new(Kind::Account, name.as_str());
        self.update(key, seen, |object| match object {
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
        seen: Option<Revision>,
    ) -> Result<Exit, Failure> {
        let store = self.store()?;
        let stored = read_live(&store, key)?;
        check_seen(&stored, seen)?;
        let revision = self.write(&store, key, Precondition::At(stored.revision), None)?;
        self.finish(&store, accepted(key, revision))
    }

    /// Changes the mark of an endpoint. A mark that says nothing any more is deleted.
    pub(super) fn mark(
        &mut self,
        name: &EndpointName,
        change: &MarkChange,
        seen: Option<Revision>,
    ) -> Result<Exit, Failure> {
        let store = self.store()?;
        let key = ObjectKey::new(Kind::EndpointMark, name.as_str());
        let stored = store.read(&key).map_err(|err| CommandError::of_store(&err))?;
        if let Some(stored) = &stored {
            check_seen(stored, seen)?;
        }
        let live = stored.as_ref().filter(|stored| stored.object.is_some());
        let before = match live.and_then(|stored| stored.object.clone()) {
            Some(Object::EndpointMark(mark)) => mark,
            _ => EndpointMark::default(),
        };
        let after = apply_mark(before.clone(), change);
        if after == before {
            let revision = stored.map_or(Revision::ZERO, |stored| stored.revision);
            let result = "unchanged";
            return self.finish(&store, Accepted { key, revision, result, issued: None });
        }
        let precondition =
            live.map_or(Precondition::Absent, |stored| Precondition::At(stored.revision));
        let object = (after != EndpointMark::default()).then_some(Object::EndpointMark(after));
        let revision = self.write(&store, &key, precondition, object.as_ref())?;
        self.finish(&store, accepted(&key, revision))
    }

    fn create(&mut self, key: ObjectKey, object: Object) -> Result<Exit, Failure> {
        let object = validated(object)?;
        let store = self.store()?;
        let written = self.write(&store, &key, Precondition::Absent, Some(&object));
        let revision = written.map_err(|err| match err.code {
            ResultCode::WriteConflict => CommandError { code: ResultCode::ObjectExists, ..err },
            _ => err,
        })?;
        self.finish(&store, accepted(&key, revision))
    }

    fn update(
        &mut self,
        key: ObjectKey,
        seen: Option<Revision>,
        change: impl FnOnce(&mut Object),
    ) -> Result<Exit, Failure> {
        let store = self.store()?;
        let stored = read_live(&store, &key)?;
        check_seen(&stored, seen)?;
        let Some(mut object) = stored.object.clone() else {
            return Err(CommandError::of_object(ResultCode::ObjectNotFound, &key).into());
        };
        change(&mut object);
        let object = validated(object)?;
        let precondition = Precondition::At(stored.revision);
        let revision = self.write(&store, &key, precondition, Some(&object))?;
        self.finish(&store, accepted(&key, revision))
    }

    /// Makes one conditional write. A conflict is reported with what the other operator wrote.
    fn write(
        &self,
        store: &HttpStore,
        key: &ObjectKey,
        precondition: Precondition,
        object: Option<&Object>,
    ) -> Result<Revision, CommandError> {
        let write_id = new_write_id();
        let deadline = Instant::now() + self.env.write_within;
        let written = write_and_resolve(store, key, precondition, object, &write_id, deadline);
        written.map_err(|err| match err {
            StoreError::Conflict { .. } => {
                let current = store.read(key).ok().flatten();
                CommandError::of_object(ResultCode::WriteConflict, key).with_current(current)
            }
            StoreError::OutcomeUnknown(_) => {
                let detail = format!("{key}, write {write_id}: {err}");
                CommandError::new(ResultCode::WriteOutcomeUnknown, detail)
            }
            err => CommandError::of_store(&err),
        })
    }

    /// Reports an accepted change, and waits for the nodes if that is asked for.
    fn finish(&mut self, store: &HttpStore, accepted: Accepted) -> Result<Exit, Failure> {
        let json = self.common.output == Output::Json;
        if !json {
            if let Some(key) = &accepted.issued {
                // Printed before the wait: the key works from now on and can't be shown again.
                self.report.line(&format!("key {}: {}", key.id(), key.reveal()))?;
                self.report.line("the key is shown only once")?;
            }
            let Accepted { key, revision, result, .. } = &accepted;
            self.report.line(&format!("{key} {result} at revision {revision}"))?;
        }
        let mut doc = json!({
            "key": accepted.key.to_string(),
            "revision": accepted.revision,
            "result": accepted.result,
        });
        if let Some(key) = &accepted.issued {
            doc["issued"] = json!(key.reveal());
        }
        let confirmation = match self.common.confirm {
            Confirm::Wait => self.wait_for_nodes(store, accepted.revision),
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
                // The change is accepted whatever keeps the nodes from being asked.
                doc["result"] = json!("not confirmed");
                doc["code"] = json!(ResultCode::NotConfirmed.number());
                doc["cause"] = err.to_json()["error"].clone();
                match json {
                    true => self.report.json(&doc)?,
                    false => {
                        self.report.line(&ResultCode::NotConfirmed.to_string())?;
                        self.report.line(&format!("the nodes could not be asked: {err}"))?;
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
        let confirmation = confirm(&client, store, revision, addrs, self.env.confirm_within)?;
        if confirmation.confirmed.is_empty() && confirmation.unconfirmed.is_empty() {
            return Err(CommandError::new(ResultCode::NodeUnavailable, "no node answered"));
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
            self.report.line("these nodes may still serve by the earlier configuration")?;
        }
        Ok(if complete { Exit::Done } else { Exit::NotConfirmed })
    }
}

fn accepted(key: &ObjectKey, revision: Revision) -> Accepted {
    Accepted { key: key.clone(), revision, result: "accepted", issued: None }
}

fn read_live(store: &HttpStore, key: &ObjectKey) -> Result<StoredObject, CommandError> {
    let stored = store.read(key).map_err(|err| CommandError::of_store(&err))?;
    stored
        .filter(|stored| stored.object.is_some())
        .ok_or_else(|| CommandError::of_object(ResultCode::ObjectNotFound, key))
}

fn check_seen(stored: &StoredObject, seen: Option<Revision>) -> Result<(), CommandError> {
    if seen.is_none_or(|seen| seen == stored.revision) {
        return Ok(());
    }
    let conflict = CommandError::of_object(ResultCode::WriteConflict, &stored.key);
    Err(conflict.with_current(Some(stored.clone())))
}

/// Applies the checks that every reader of the object makes.
fn validated(object: Object) -> Result<Object, CommandError> {
    Object::from_document(object.kind(), &object.to_document())
        .map_err(|err| CommandError::new(ResultCode::ObjectInvalid, err))
}

fn nothing_to_change() -> CommandError {
    CommandError::new(ResultCode::CommandInvalid, "no field to change is given")
}

fn apply_fields(route: &mut Route, fields: &RouteFields) {
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

fn apply_mark(mut mark: EndpointMark, change: &MarkChange) -> EndpointMark {
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
