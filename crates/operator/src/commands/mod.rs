//! Operator commands: [`parser`] parses the command line, [`run`] runs a command.
//!
//! A change is one conditional write. A write that conflicts is not retried, since it would replace
//! what another operator wrote. If the response of a write is lost, the command uses the write id to
//! determine whether the write took effect.

mod change;
mod codes;
mod confirm;
mod history;
mod nodes;
mod outcome;
mod parser;
mod report;
mod show;
mod where_to;

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use model::{
    AccountName, Burst, EndpointName, FailureDomain, Kind, ObjectKey, Rate, RequestId, ResultCode,
    Revision, RouteName, ServiceName,
};
use platform::{HttpStore, HttpStoreConfig};
use serde_json::json;

pub use codes::result_code_page;
use nodes::NodeClient;
pub use outcome::{CommandError, Exit};
pub use parser::parser;
use report::Report;

/// Environment variable that holds the operator credential.
pub const CREDENTIAL_VARIABLE: &str = "ZINNIACROSS_CREDENTIAL";

/// Environment variable that sets the default of `--platform`.
pub const PLATFORM_VARIABLE: &str = "ZINNIACROSS_PLATFORM";

/// Limit of the size of a credential file; the rest of a longer file is ignored.
const MAX_CREDENTIAL_BYTES: u64 = 4096;

/// A parsed command line.
#[derive(Debug, Clone, PartialEq)]
pub struct Command {
    /// The subcommand with its own options.
    pub action: Action,
    /// Options that all subcommands have.
    pub common: Common,
}

/// Options that all subcommands have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Common {
    /// URL of the platform.
    pub platform: Option<String>,
    /// Operator ports of the nodes to query; if empty, those in the node records of the platform.
    pub operators: Vec<SocketAddr>,
    /// File that holds the operator credential.
    pub credential_file: Option<PathBuf>,
    /// Output format.
    pub output: Output,
    /// Whether a change waits until the nodes have applied it.
    pub confirm: Confirm,
}

/// Output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Text and tables.
    Table,
    /// JSON documents.
    Json,
}

/// Whether a change waits until the nodes have applied it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirm {
    /// Wait for the nodes.
    Wait,
    /// Return as soon as the platform has accepted the change.
    Skip,
}

/// A subcommand with its own options.
///
/// The [`Revision`] of a change is the one that the object must have, if any is given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Lists the objects of a kind.
    List(Kind),
    /// Lists all keys, or those of one client account.
    ListKeys(Option<AccountName>),
    /// Shows one object.
    Show(ObjectKey),
    /// Deletes an object.
    Delete(ObjectKey, Option<Revision>),
    /// Creates a route.
    CreateRoute(RouteName, RouteFields),
    /// Changes the given fields of a route.
    UpdateRoute(RouteName, RouteFields, Option<Revision>),
    /// Creates a client account.
    CreateAccount(AccountName, Rate, Burst),
    /// Changes the given fields of a client account.
    UpdateAccount(AccountName, Option<Rate>, Option<Burst>, Option<Revision>),
    /// Begins the evacuation of a failure domain.
    StartEvacuation(FailureDomain),
    /// Issues a key for a client account.
    IssueKey(AccountName),
    /// Lists all endpoints, or those of one service.
    ListEndpoints(Option<ServiceName>),
    /// Shows one endpoint.
    ShowEndpoint(EndpointName),
    /// Changes the mark of an endpoint.
    Mark(EndpointName, MarkChange, Option<Revision>),
    /// Shows the state of the fleet as known to one node.
    FleetState,
    /// Shows the decisions about a request, from the given log files or, without any, from the records
    /// of the running nodes.
    Explain(RequestId, Vec<PathBuf>),
    /// Shows where a node would route a request.
    Where(WhereFields),
    /// Validates a settings file.
    CheckSettings(PathBuf),
}

/// A described request on the command line. Its parts are validated by the node and by the conversion to
/// a query, which report them by numbered errors.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WhereFields {
    /// HTTP method.
    pub method: String,
    /// Host.
    pub host: String,
    /// Path.
    pub path: String,
    /// What is known of the caller.
    pub caller: Option<WhereCaller>,
    /// Name of the route to assume.
    pub route: Option<String>,
}

/// What the command line tells of the caller of a described request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WhereCaller {
    /// Name of its client account.
    Account(String),
    /// Id of its key.
    KeyId(String),
}

/// Fields of a route that are given on the command line.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteFields {
    /// Path prefix of the requests.
    pub prefix: Option<String>,
    /// Service that handles the requests.
    pub service: Option<ServiceName>,
    /// Selector of upstreams.
    pub selector: Option<model::Selector>,
    /// Whether callers need a key.
    pub access: Option<model::Access>,
    /// Timeout in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Target for the response time, in milliseconds; such requests go first in queues.
    pub goal_ms: Option<u64>,
    /// Methods that may run more than once.
    pub idempotent: Option<Vec<Box<str>>>,
    /// Share of the calls that may be retried.
    pub retry_budget: Option<model::Percent>,
    /// Minimum share of the slots that ejections must leave healthy.
    pub floor: Option<model::Percent>,
}

/// A change of an endpoint mark.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MarkChange {
    /// Sets labels.
    SetLabels(Vec<Label>),
    /// Removes labels from the mark by their keys. Announced labels stay.
    RemoveLabels(Vec<String>),
    /// Drains the endpoint.
    Drain,
    /// Ends the drain.
    Undrain,
}

/// A label, written `KEY=VALUE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Label {
    /// Label key.
    pub key: Box<str>,
    /// Label value.
    pub value: Box<str>,
}

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsMistake {
    /// One-line message with the location and the result code.
    pub text: String,
    /// Line number, starting at 1.
    pub line: Option<usize>,
    /// Name of the section; empty if the error is not in a section.
    pub section: String,
    /// Name of the key; empty if the error is not about a key.
    pub key: String,
    /// Result code, from 4001 to 4006.
    pub code: ResultCode,
}

/// Inputs of a command that do not come from the command line.
pub struct Environment<'a> {
    /// Value of [`CREDENTIAL_VARIABLE`].
    pub credential: Option<String>,
    /// Limit of the time that `--wait` waits until the nodes have applied a change.
    pub confirm_timeout: Duration,
    /// Limit of the time of a write, including the resolution of a lost response.
    pub write_timeout: Duration,
    /// Configuration of the platform client.
    pub store: HttpStoreConfig,
    /// Validates a settings file and returns the errors in it.
    pub check_settings: &'a dyn Fn(&Path) -> Vec<SettingsMistake>,
}

impl<'a> Environment<'a> {
    /// Returns the environment of this process, with the default timeouts.
    pub fn from_process(check_settings: &'a dyn Fn(&Path) -> Vec<SettingsMistake>) -> Self {
        Environment {
            credential: std::env::var(CREDENTIAL_VARIABLE).ok(),
            confirm_timeout: Duration::from_secs(6),
            write_timeout: Duration::from_secs(6),
            store: HttpStoreConfig::default(),
            check_settings,
        }
    }
}

/// Runs a command and writes its results to `out` and its errors to `err`.
///
/// # Errors
///
/// Fails only if the output can't be written. An error of the command itself determines the returned
/// exit code.
pub fn run(
    command: &Command,
    env: &Environment,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> io::Result<Exit> {
    let mut session = Session { common: &command.common, env, report: Report::new(out) };
    match session.run(&command.action) {
        Ok(exit) => Ok(exit),
        Err(Failure::Output(err)) => Err(err),
        Err(Failure::Command(error)) => {
            match command.common.output {
                Output::Table => writeln!(err, "error: {error}")?,
                Output::Json => writeln!(err, "{}", error.to_json())?,
            }
            Ok(Exit::from_result_code(error.code))
        }
    }
}

/// Error that ends a command.
enum Failure {
    Command(CommandError),
    Output(io::Error),
}

impl From<CommandError> for Failure {
    fn from(err: CommandError) -> Failure {
        Failure::Command(err)
    }
}

impl From<io::Error> for Failure {
    fn from(err: io::Error) -> Failure {
        Failure::Output(err)
    }
}

/// State of a running command.
struct Session<'a, 'b> {
    common: &'a Common,
    env: &'a Environment<'b>,
    report: Report<'a>,
}

impl Session<'_, '_> {
    fn run(&mut self, action: &Action) -> Result<Exit, Failure> {
        match action {
            Action::List(kind) => self.list(*kind, None),
            Action::ListKeys(account) => self.list(Kind::Key, account.as_ref()),
            Action::Show(key) => self.show(key),
            Action::ListEndpoints(service) => self.list_endpoints(service.as_ref()),
            Action::ShowEndpoint(name) => self.show_endpoint(name),
            Action::FleetState => self.fleet_state(),
            Action::Explain(id, logs) if logs.is_empty() => self.explain(id),
            Action::Explain(id, logs) => self.explain_from_logs(id, logs),
            Action::Where(fields) => self.explain_route(fields),
            Action::CheckSettings(file) => self.check_settings(file),
            Action::Delete(key, expected) => self.delete(key, *expected),
            Action::CreateRoute(name, fields) => self.create_route(name, fields),
            Action::UpdateRoute(name, fields, expected) => {
                self.update_route(name, fields, *expected)
            }
            Action::CreateAccount(name, rate, burst) => self.create_account(name, *rate, *burst),
            Action::UpdateAccount(name, rate, burst, expected) => {
                self.update_account(name, *rate, *burst, *expected)
            }
            Action::StartEvacuation(domain) => self.start_evacuation(domain),
            Action::IssueKey(account) => self.issue_key(account),
            Action::Mark(name, change, expected) => self.update_mark(name, change, *expected),
        }
    }

    fn store(&self) -> Result<HttpStore, CommandError> {
        let Some(url) = &self.common.platform else {
            let detail = format!("--platform or {PLATFORM_VARIABLE} is required");
            return Err(CommandError::new(ResultCode::CommandInvalid, detail));
        };
        HttpStore::new(url, self.env.store)
            .map_err(|err| CommandError::new(ResultCode::CommandInvalid, err))
    }

    fn node_client(&self) -> Result<NodeClient, CommandError> {
        let invalid = |detail: String| CommandError::new(ResultCode::CommandInvalid, detail);
        let credential = match (&self.common.credential_file, &self.env.credential) {
            (Some(path), _) => read_credential(path)
                .map_err(|err| invalid(format!("can't read {}: {err}", path.display())))?,
            (None, Some(credential)) => credential.clone(),
            (None, None) => {
                let detail = format!("--credential-file or {CREDENTIAL_VARIABLE} is required");
                return Err(invalid(detail));
            }
        };
        let credential = credential.trim();
        if credential.is_empty() || !credential.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(invalid(
                "the credential must not be empty and must be visible ASCII".to_owned(),
            ));
        }
        Ok(NodeClient::new(credential))
    }

    /// Returns the operator ports given on the command line or, without any, those in the node records
    /// of the platform.
    fn operator_addrs(&self) -> Result<Vec<SocketAddr>, CommandError> {
        if !self.common.operators.is_empty() {
            return Ok(self.common.operators.clone());
        }
        if self.common.platform.is_none() {
            let detail = format!("--operator, --platform or {PLATFORM_VARIABLE} is required");
            return Err(CommandError::new(ResultCode::CommandInvalid, detail));
        }
        let listing = store::ObjectStore::list(&self.store()?)
            .map_err(|err| CommandError::from_store(&err))?;
        let addrs = listing.objects.iter().filter_map(|stored| match &stored.object {
            Some(model::Object::Node(node)) => Some(node.operator_addr),
            _ => None,
        });
        Ok(addrs.collect())
    }

    fn check_settings(&mut self, file: &Path) -> Result<Exit, Failure> {
        let mistakes = (self.env.check_settings)(file);
        match self.common.output {
            Output::Json => {
                let items: Vec<_> = mistakes
                    .iter()
                    .map(|mistake| {
                        json!({
                            "code": mistake.code.number(),
                            "line": mistake.line,
                            "section": mistake.section,
                            "key": mistake.key,
                            "text": mistake.text,
                        })
                    })
                    .collect();
                self.report
                    .json(&json!({"file": file.display().to_string(), "mistakes": items}))?;
            }
            Output::Table if mistakes.is_empty() => self.report.line("the settings are valid")?,
            Output::Table => {
                for mistake in &mistakes {
                    self.report.line(&mistake.text)?;
                }
            }
        }
        Ok(if mistakes.is_empty() { Exit::Done } else { Exit::Settings })
    }
}

fn read_credential(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    let file = std::fs::File::open(path)?;
    io::Read::read_to_string(&mut io::Read::take(file, MAX_CREDENTIAL_BYTES), &mut text)?;
    Ok(text)
}
