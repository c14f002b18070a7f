//! Subcommand that shows where a node would route a request.

use model::{Access, ResultCode};
use serde_json::json;

use super::outcome::{CommandError, Exit};
use super::{Failure, Output, Session, WhereCaller, WhereFields};
use crate::explanation::{
    ExplainedAccount, ExplainedCandidate, ExplainedChoice, ExplainedRefusal, ExplainedRoute,
    ExplainedService, QueryDocument, QueryError, RouteExplanation, RouteQuery,
};

/// Probability below which a possible choice is shown as a bound. The node measures it by 1,000 trials.
const MIN_PROBABILITY: f64 = 0.001;

impl From<QueryError> for CommandError {
    fn from(err: QueryError) -> CommandError {
        CommandError::new(err.code, err.detail)
    }
}

impl From<&WhereFields> for QueryDocument {
    fn from(fields: &WhereFields) -> QueryDocument {
        let (account, key_id) = match &fields.caller {
            None => (None, None),
            Some(WhereCaller::Account(name)) => (Some(name.as_str().into()), None),
            Some(WhereCaller::KeyId(id)) => (None, Some(id.as_str().into())),
        };
        QueryDocument {
            method: fields.method.as_str().into(),
            host: fields.host.as_str().into(),
            path: fields.path.as_str().into(),
            account,
            key_id,
            route: fields.route.as_deref().map(Into::into),
        }
    }
}

impl Session<'_, '_> {
    pub(super) fn explain_route(&mut self, fields: &WhereFields) -> Result<Exit, Failure> {
        let query =
            RouteQuery::try_from(QueryDocument::from(fields)).map_err(CommandError::from)?;
        let explanation = self.first_explanation(&QueryDocument::from(&query))?;
        match self.common.output {
            Output::Json => self.report.json(&json!(explanation))?,
            Output::Table => self.show_explanation(&explanation)?,
        }
        Ok(Exit::Done)
    }

    /// Returns the answer of the first node that has one, or the error of the last node. The other nodes
    /// are not asked after an error of the query itself, as their answers would be the same.
    fn first_explanation(&self, query: &QueryDocument) -> Result<RouteExplanation, CommandError> {
        let client = self.node_client()?;
        let mut last_error =
            CommandError::new(ResultCode::NodeUnavailable, "no node address is known");
        for addr in self.operator_addrs()? {
            let result = client.explain_route(addr, query);
            let exit =
                result.as_ref().map_or_else(|err| Exit::from_result_code(err.code), |_| Exit::Done);
            match (result, exit) {
                (Err(err), Exit::Unavailable | Exit::Credential) => last_error = err,
                (result, _) => return result,
            }
        }
        Err(last_error)
    }

    fn show_explanation(&mut self, explanation: &RouteExplanation) -> Result<(), Failure> {
        let RouteExplanation { node, domain, revision, imported_revision, .. } = explanation;
        let RouteExplanation { method, host, path, .. } = explanation;
        self.report.line(&format!(
            "{method} {host}{path} at {node} in {domain}: revision {revision}, \
             imported revision {imported_revision}"
        ))?;
        let route = explanation.route.as_ref().map_or("none".to_owned(), route_text);
        self.report.line(&format!("route: {route}"))?;
        let account = explanation.account.as_ref().map_or("none".to_owned(), account_text);
        self.report.line(&format!("account: {account}"))?;
        for refusal in &explanation.refusals {
            self.report.line(&refusal_text(refusal))?;
        }
        if explanation.refusals.is_empty() {
            self.report.line("nothing known to this node would refuse the request")?;
        }
        for service in &explanation.services {
            self.report.line("")?;
            self.report.line(&service_text(service))?;
            self.candidate_table(service)?;
        }
        Ok(())
    }

    fn candidate_table(&mut self, service: &ExplainedService) -> Result<(), Failure> {
        let is_random = service.choice.as_ref().is_some_and(|choice| choice.random);
        let rows = service.candidates.iter().map(|candidate| {
            let load = candidate.load.as_ref();
            [
                candidate.endpoint.to_string(),
                candidate.node.to_string(),
                candidate.domain.to_string(),
                probability_text(candidate, is_random),
                cost_text(candidate),
                format!(
                    "{}/{}",
                    load.map_or("?".into(), |l| l.running.to_string()),
                    candidate.slots
                ),
                load.map_or(String::new(), |load| load.queued.to_string()),
                load.map_or(String::new(), |load| load.sent_since.to_string()),
                load.map_or(String::new(), |load| format!("{} ms", load.age_ms)),
                health_text(candidate).to_owned(),
                if candidate.evacuated { "evacuated" } else { "in use" }.to_owned(),
                cold_text(candidate),
                exclusion_text(candidate),
            ]
        });
        let header = [
            "ENDPOINT",
            "NODE",
            "DOMAIN",
            "CHOSEN",
            "COST",
            "RUNNING",
            "QUEUED",
            "SENT",
            "AGE",
            "HEALTH",
            "EVACUATION",
            "COLD",
            "EXCLUDED",
        ];
        Ok(self.report.table(header, rows.collect())?)
    }
}

fn route_text(route: &ExplainedRoute) -> String {
    let host = route.host.as_deref().unwrap_or("any host");
    let matches = if route.matches { "" } else { ", which does not match" };
    let access = match route.access {
        Access::Keyed => "keyed",
        Access::Open => "open",
    };
    let repeat = if route.idempotent { "may run more than once" } else { "runs at most once" };
    let goal = route.goal_ms.map_or(String::new(), |goal| format!(", goal {goal} ms"));
    let selector = match &*route.selector {
        "" => String::new(),
        selector => format!(", selector {selector}"),
    };
    format!(
        "{}{matches} ({} on {host}): {access}, {repeat}, timeout {} ms{goal}, priority {}{selector}",
        route.name, route.prefix, route.timeout_ms, route.priority
    )
}

fn account_text(account: &ExplainedAccount) -> String {
    let key = account.key_id.as_ref().map_or(String::new(), |id| format!(" by key {id}"));
    let over = if account.over_rate { ", over its rate" } else { "" };
    format!(
        "{}{key}: rate {}, burst {}, {} tokens held here{over}; token: {}",
        account.name, account.rate, account.burst, account.tokens_held, account.token
    )
}

fn refusal_text(refusal: &ExplainedRefusal) -> String {
    let verb = if refusal.certain { "refused" } else { "may be refused" };
    let service = refusal.service.as_ref().map_or(String::new(), |name| format!(" by {name}"));
    format!("{verb}{service}: {} {}", refusal.code, refusal.text)
}

fn service_text(service: &ExplainedService) -> String {
    let share = match service.probability < 1.0 {
        true => format!(" ({:.1}% of the requests)", service.probability * 100.0),
        false => String::new(),
    };
    let choice = match &service.choice {
        None => "no endpoint can be chosen".to_owned(),
        Some(ExplainedChoice { endpoint, random, reason, last_resort }) => {
            let how = if *random { "at random, most often" } else { "as known now" };
            let last = if *last_resort { ", as no trusted endpoint is left" } else { "" };
            format!("{how} {endpoint} ({reason}{last})")
        }
    };
    format!("service {}{share}: {choice}", service.name)
}

fn probability_text(candidate: &ExplainedCandidate, is_random: bool) -> String {
    let percent = candidate.probability * 100.0;
    match candidate.probability {
        _ if candidate.excluded.is_some() => String::new(),
        probability if is_random && probability < MIN_PROBABILITY => "<0.1%".to_owned(),
        _ if is_random => format!("{percent:.1}%"),
        probability if probability > 0.0 => "yes".to_owned(),
        _ => "no".to_owned(),
    }
}

fn cost_text(candidate: &ExplainedCandidate) -> String {
    let Some(cost_us) = candidate.cost_us else { return String::new() };
    let free = candidate.free_percent.map_or(String::new(), |free| format!(", {free}% free"));
    format!("{:.1} ms{free}", cost_us as f64 / 1e3)
}

fn health_text(candidate: &ExplainedCandidate) -> &'static str {
    match (candidate.suspect, candidate.suspect_at_guard) {
        (true, _) => "suspect",
        (false, Some(true)) => "suspect at its guard",
        (false, _) => "trusted",
    }
}

fn cold_text(candidate: &ExplainedCandidate) -> String {
    let Some(cold) = &candidate.cold else { return "no".to_owned() };
    match cold.left_ms {
        Some(left) => format!("{left} ms more"),
        None => format!("{} slots fewer", cold.withheld_slots),
    }
}

fn exclusion_text(candidate: &ExplainedCandidate) -> String {
    let Some(excluded) = &candidate.excluded else { return String::new() };
    match excluded.code {
        Some(code) => format!("{code} {}", excluded.reason),
        None => excluded.reason.to_string(),
    }
}
