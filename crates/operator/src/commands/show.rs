//! Subcommands that show objects, the fleet and requests.

use std::thread;

use model::{
    AccountName, EndpointName, FailureDomain, Kind, Object, ObjectKey, RequestId, ResultCode,
    ServiceName, StoredObject,
};
use serde_json::{Value, json};
use store::ObjectStore;

use super::outcome::{CommandError, Exit};
use super::{Failure, Output, Session};
use crate::view::{EndpointView, FleetState, RequestRecord, StoredDocument};

/// Number of nodes that `explain` queries concurrently.
const CONCURRENT_QUERIES: usize = 16;

impl Session<'_, '_> {
    pub(super) fn list(
        &mut self,
        kind: Kind,
        account: Option<&AccountName>,
    ) -> Result<Exit, Failure> {
        let mut listing = self.store()?.list().map_err(|err| CommandError::from_store(&err))?;
        listing.objects.retain(|stored| {
            stored.key.kind == kind && account.is_none_or(|account| is_key_of(stored, account))
        });
        listing.objects.sort_by(|a, b| a.key.cmp(&b.key));
        if self.common.output == Output::Json {
            let docs: Vec<StoredDocument> = listing.objects.iter().map(Into::into).collect();
            self.report.json(&json!({"revision": listing.revision, "objects": docs}))?;
            return Ok(Exit::Done);
        }
        match kind {
            Kind::Route => self.route_table(&listing.objects)?,
            Kind::Account => self.account_table(&listing.objects)?,
            Kind::Evacuation => self.evacuation_table(&listing.objects)?,
            _ => self.key_table(&listing.objects)?,
        }
        Ok(Exit::Done)
    }

    fn route_table(&mut self, objects: &[StoredObject]) -> Result<(), Failure> {
        let rows = objects.iter().filter_map(|stored| {
            let Some(Object::Route(route)) = &stored.object else { return None };
            Some([
                stored.key.name.to_string(),
                route.prefix.to_string(),
                route.service.to_string(),
                route.selector.to_string(),
                access_text(route.access).to_owned(),
                format!("{} ms", route.timeout_ms),
                route.floor.to_string(),
                stored.revision.to_string(),
            ])
        });
        let header =
            ["NAME", "PREFIX", "SERVICE", "SELECTOR", "ACCESS", "TIMEOUT", "FLOOR", "REVISION"];
        Ok(self.report.table(header, rows.collect())?)
    }

    fn account_table(&mut self, objects: &[StoredObject]) -> Result<(), Failure> {
        let rows = objects.iter().filter_map(|stored| {
            let Some(Object::Account(account)) = &stored.object else { return None };
            let (rate, burst) = (account.rate.to_string(), account.burst.to_string());
            Some([stored.key.name.to_string(), rate, burst, stored.revision.to_string()])
        });
        Ok(self.report.table(["NAME", "RATE", "BURST", "REVISION"], rows.collect())?)
    }

    fn key_table(&mut self, objects: &[StoredObject]) -> Result<(), Failure> {
        let rows = objects.iter().filter_map(|stored| {
            let Some(Object::Key(key)) = &stored.object else { return None };
            Some([
                stored.key.name.to_string(),
                key.account.to_string(),
                stored.revision.to_string(),
            ])
        });
        Ok(self.report.table(["ID", "ACCOUNT", "REVISION"], rows.collect())?)
    }

    fn evacuation_table(&mut self, objects: &[StoredObject]) -> Result<(), Failure> {
        let rows =
            objects.iter().map(|stored| [stored.key.name.to_string(), stored.revision.to_string()]);
        Ok(self.report.table(["DOMAIN", "REVISION"], rows.collect())?)
    }

    pub(super) fn show(&mut self, key: &ObjectKey) -> Result<Exit, Failure> {
        let stored = self.store()?.read(key).map_err(|err| CommandError::from_store(&err))?;
        let Some(stored) = stored.filter(|stored| stored.object.is_some()) else {
            return Err(CommandError::for_object(ResultCode::ObjectNotFound, key).into());
        };
        self.show_document(json!(StoredDocument::from(&stored)))?;
        Ok(Exit::Done)
    }

    /// Writes a document as JSON, or as a table of its fields.
    fn show_document(&mut self, doc: Value) -> Result<(), Failure> {
        if self.common.output == Output::Json {
            return Ok(self.report.json(&doc)?);
        }
        let mut rows = Vec::new();
        flatten("", &doc, &mut rows);
        Ok(self.report.table(["FIELD", "VALUE"], rows)?)
    }

    pub(super) fn list_endpoints(
        &mut self,
        service: Option<&ServiceName>,
    ) -> Result<Exit, Failure> {
        let mut state = self.first_state()?;
        state.endpoints.retain(|endpoint| service.is_none_or(|name| endpoint.service == *name));
        match self.common.output {
            Output::Json => {
                let doc = json!({"node": state.node, "revision": state.revision,
                    "endpoints": state.endpoints});
                self.report.json(&doc)?;
            }
            Output::Table => self.endpoint_table(&state.endpoints)?,
        }
        Ok(Exit::Done)
    }

    fn endpoint_table(&mut self, endpoints: &[EndpointView]) -> Result<(), Failure> {
        let rows = endpoints.iter().map(|endpoint| {
            let labels: Vec<String> =
                endpoint.labels.iter().map(|(key, value)| format!("{key}={value}")).collect();
            [
                endpoint.name.to_string(),
                endpoint.service.to_string(),
                endpoint.node.to_string(),
                state_text(endpoint).to_owned(),
                format!("{}%", endpoint.load),
                format!("{}/{}", endpoint.running, endpoint.slots),
                endpoint.queued.to_string(),
                labels.join(","),
                if endpoint.suspect { "suspect" } else { "trusted" }.to_owned(),
            ]
        });
        let header =
            ["NAME", "SERVICE", "NODE", "STATE", "LOAD", "RUNNING", "QUEUED", "LABELS", "HEALTH"];
        Ok(self.report.table(header, rows.collect())?)
    }

    pub(super) fn show_endpoint(&mut self, name: &EndpointName) -> Result<Exit, Failure> {
        let state = self.first_state()?;
        let Some(endpoint) = state.endpoints.iter().find(|endpoint| endpoint.name == *name) else {
            let detail = format!("endpoint {name}, as known to node {}", state.node);
            return Err(CommandError::new(ResultCode::ObjectNotFound, detail).into());
        };
        self.show_document(json!(endpoint))?;
        Ok(Exit::Done)
    }

    pub(super) fn fleet_state(&mut self) -> Result<Exit, Failure> {
        let state = self.first_state()?;
        if self.common.output == Output::Json {
            self.report.json(&json!(state))?;
            return Ok(Exit::Done);
        }
        self.report.line(&format!(
            "state known to {} in {}: revision {}, imported revision {}, {}, platform {}",
            state.node,
            state.domain,
            state.revision,
            state.imported_revision,
            if state.synced { "synced" } else { "not synced" },
            if state.platform_reachable { "answers" } else { "does not answer" },
        ))?;
        if !state.evacuated.is_empty() {
            let domains: Vec<&str> = state.evacuated.iter().map(FailureDomain::as_str).collect();
            self.report.line(&format!("evacuated failure domains: {}", domains.join(", ")))?;
        }
        self.report.line("")?;
        let rows = state.members.iter().map(|member| {
            [
                member.name.to_string(),
                member.domain.to_string(),
                member.liveness.to_string(),
                member.operator_addr.to_string(),
            ]
        });
        self.report.table(["MEMBER", "DOMAIN", "LIVENESS", "OPERATOR PORT"], rows.collect())?;
        self.report.line("")?;
        self.endpoint_table(&state.endpoints)?;
        Ok(Exit::Done)
    }

    /// Returns the state from the first node that responds, or the error of the last one.
    fn first_state(&self) -> Result<FleetState, CommandError> {
        let client = self.node_client()?;
        let mut last_error =
            CommandError::new(ResultCode::NodeUnavailable, "no node address is known");
        for addr in self.operator_addrs()? {
            match client.state(addr) {
                Ok(state) => return Ok(state),
                Err(err) => last_error = err,
            }
        }
        Err(last_error)
    }

    /// Queries all nodes, since each decision about a request is recorded on the node that made it.
    pub(super) fn explain(&mut self, id: &RequestId) -> Result<Exit, Failure> {
        let client = self.node_client()?;
        let mut addrs = self.operator_addrs()?;
        if let Ok(state) = self.first_state() {
            for member in state.members {
                if !addrs.contains(&member.operator_addr) {
                    addrs.push(member.operator_addr);
                }
            }
        }
        let mut records: Vec<RequestRecord> = Vec::new();
        let mut last_error = None;
        let mut responded = 0;
        for chunk in addrs.chunks(CONCURRENT_QUERIES) {
            let client = &client;
            let results = thread::scope(|scope| {
                let threads: Vec<_> = chunk
                    .iter()
                    .map(|addr| scope.spawn(move || client.request(*addr, id)))
                    .collect();
                threads.into_iter().filter_map(|thread| thread.join().ok()).collect::<Vec<_>>()
            });
            for result in results {
                match result {
                    Ok(record) => {
                        responded += 1;
                        records.extend(record);
                    }
                    Err(err) => last_error = Some(err),
                }
            }
        }
        records.sort_by(|a, b| a.node.cmp(&b.node));
        records.dedup();
        if records.is_empty() {
            let detail = format!("request {id}; {responded} of {} nodes responded", addrs.len());
            let not_recorded = CommandError::new(ResultCode::RequestNotRecorded, detail);
            return Err(last_error.filter(|_| responded == 0).unwrap_or(not_recorded).into());
        }
        self.show_records(&records)?;
        Ok(Exit::Done)
    }

    fn show_records(&mut self, records: &[RequestRecord]) -> Result<(), Failure> {
        if self.common.output == Output::Json {
            return Ok(self.report.json(&json!({ "records": records }))?);
        }
        for record in records {
            let code = record.code.and_then(ResultCode::from_number);
            self.report.line(&format!(
                "request {} on {}: route {}, account {}, status {}, {}",
                record.id,
                record.node,
                record.route.as_ref().map_or("-", |route| route.as_str()),
                record.account.as_ref().map_or("-", |account| account.as_str()),
                record.status.map_or("-".to_owned(), |status| status.to_string()),
                code.map_or("no result code".to_owned(), |code| code.to_string()),
            ))?;
            let rows = record.decisions.iter().map(|decision| {
                let at = format!("{:.3}", decision.at_us as f64 / 1e3);
                [at, decision.step.to_string(), decision.detail.to_string()]
            });
            self.report.table(["AT MS", "STEP", "DETAIL"], rows.collect())?;
        }
        Ok(())
    }
}

fn is_key_of(stored: &StoredObject, account: &AccountName) -> bool {
    matches!(&stored.object, Some(Object::Key(key)) if key.account == *account)
}

fn access_text(access: model::Access) -> &'static str {
    match access {
        model::Access::Keyed => "keyed",
        model::Access::Open => "open",
    }
}

/// Cell of the `STATE` column. A drain by an operator hides the announced state.
fn state_text(endpoint: &EndpointView) -> &'static str {
    match endpoint.state {
        _ if endpoint.drained => "drained",
        model::EndpointState::Starting => "starting",
        model::EndpointState::Ready => "ready",
        model::EndpointState::Leaving => "leaving",
    }
}

/// Appends a row for each leaf of a document, named by its path, such as `spec.rate`.
fn flatten(prefix: &str, value: &Value, rows: &mut Vec<[String; 2]>) {
    let Value::Object(fields) = value else {
        let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        rows.push([prefix.to_owned(), text]);
        return;
    };
    for (name, value) in fields {
        let name = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        flatten(&name, value, rows);
    }
}
