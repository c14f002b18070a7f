//! Commands of operators: [`parser`] reads the command line, [`run`] runs a command.
//!
//! A change is one conditional update. After a conflict it is not repeated; after a lost answer
//! the command finds out by the write id whether the change was made.

mod change;
mod codes;
mod confirm;
mod history;
mod nodes;
mod outcome;
mod parser;
mod report;
mod show;

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use model::{
    AccountName, Burst, EndpointName, Kind, ObjectKey, Rate, RequestId, ResultCode, Revision,
    RouteName, ServiceName,
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

/// Environment variable that stands for `--platform`.
pub const PLATFORM_VARIABLE: &str = "ZINNIACROSS_PLATFORM";

/// Longest credential file.
const MAX_CREDENTIAL_BYTES: u64 = 4096;

/// A command with its common options.
#[derive(Debug, Clone, PartialEq)]
pub struct Command {
    /// What to do.
    pub action: Action,
    /// Where and how.
    pub common: Common,
}

/// Options of every command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Common {
    /// URL of the platform.
    pub platform: Option<String>,
    /// Operator ports of nodes.
    pub operators: Vec<SocketAddr>,
    /// File that holds the operator credential.
    pub credential_file: Option<PathBuf>,
    /// Form of the output.
    pub output: Output,
    /// Whether a change waits for the nodes.
    pub confirm: Confirm,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    Table,
    /// JSON for programs.
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

/// What a command does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Lists the objects of a kind.
    List(Kind),
    /// Lists the keys, or those of one account.
    ListKeys(Option<AccountName>),
    /// Shows one object.
    Show(ObjectKey),
    /// Deletes an object, provided that it has the given revision.
    Delete(ObjectKey, Option<Revision>),
    /// Creates a route.
    CreateRoute(RouteName, RouteFields),
    /// Changes the given fields of a route.
    UpdateRoute(RouteName, RouteFields, Option<Revision>),
    /// Creates an account.
    CreateAccount(AccountName, Rate, Burst),
    /// Changes the given fields of an account.
    UpdateAccount(AccountName, Option<Rate>, Option<Burst>, Option<Revision>),
    /// Issues a key for an account.
    IssueKey(AccountName),
    /// Lists the endpoints, or those of one service.
    ListEndpoints(Option<ServiceName>),
    /// Shows one endpoint.
    ShowEndpoint(EndpointName),
    /// Changes the mark of an endpoint.
    Mark(EndpointName, MarkChange, Option<Revision>),
    /// Shows the fleet as one node sees it.
    FleetState,
    /// Shows the recorded decisions of a request: of the nodes that still run, or of saved logs.
    Explain(RequestId, Vec<PathBuf>),
    /// Validates a settings file.
    CheckSettings(PathBuf),
}

/// Fields of a route that a command gives.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteFields {
    /// Path prefix.
    pub prefix: Option<String>,
    /// Service.
    pub service: Option<ServiceName>,
    /// Selector of upstreams.
    pub selector: Option<model::Selector>,
    /// Who may use the route.
    pub access: Option<model::Access>,
    /// Timeout in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Time in which an answer is worth most, in milliseconds.
    pub goal_ms: Option<u64>,
    /// Methods that may be run more than once.
    pub idempotent: Option<Vec<Box<str>>>,
    /// Share of the calls that may be retried.
    pub retry_budget: Option<model::Percent>,
    /// Share of the slots that ejections must leave.
    pub floor: Option<model::Percent>,
}

/// Change of the mark of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MarkChange {
    /// Sets labels.
    SetLabels(Vec<Label>),
    /// Removes labels that were set by a mark.
    RemoveLabels(Vec<String>),
    /// Drains the endpoint.
    Drain,
    /// Ends the drain.
    Undrain,
}

/// A label, written `KEY=VALUE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Label {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Box<str>,
}

/// A mistake in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsMistake {
    /// The mistake in one line, with its place and code.
    pub text: String,
    /// Line, counted from 1.
    pub line: Option<usize>,
    /// Section, or empty.
    pub section: String,
    /// Key, or empty.
    pub key: String,
    /// A code from 4001 to 4006.
    pub code: ResultCode,
}

/// What a command gets from the process.
pub struct Environment<'a> {
    /// Content of [`CREDENTIAL_VARIABLE`].
    pub credential: Option<String>,
    /// Longest time to wait for the confirmation of a change.
    pub confirm_within: Duration,
    /// Longest time to find out what became of a write.
    pub write_within: Duration,
    /// Timeouts towards the platform.
    pub store: HttpStoreConfig,
    /// Validates a settings file and returns its mistakes.
    pub check_settings: &'a dyn Fn(&Path) -> Vec<SettingsMistake>,
}

impl<'a> Environment<'a> {
    /// The environment of this process, with the usual timeouts.
    pub fn from_process(check_settings: &'a dyn Fn(&Path) -> Vec<SettingsMistake>) -> Self {
        Environment {
            credential: std::env::var(CREDENTIAL_VARIABLE).ok(),
            confirm_within: Duration::from_secs(6),
            write_within: Duration::from_secs(6),
            store: HttpStoreConfig::default(),
            check_settings,
        }
    }
}

/// Runs a command. Results go to `out`, errors to `err`.
///
/// Fails only if the output can't be written.
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
            Ok(Exit::of(error.code))
        }
    }
}

/// Why a command ended early.
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

/// One run of a command.
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
            Action::CheckSettings(file) => self.check_settings(file),
            Action::Delete(key, seen) => self.delete(key, *seen),
            Action::CreateRoute(name, fields) => self.create_route(name, fields),
            Action::UpdateRoute(name, fields, seen) => self.update_route(name, fields, *seen),
            Action::CreateAccount(name, rate, burst) => self.create_account(name, *rate, *burst),
            Action::UpdateAccount(name, rate, burst, seen) => {
                self.update_account(name, *rate, *burst, *seen)
            }
            Action::IssueKey(account) => self.issue_key(account),
            Action::Mark(name, change, seen) => self.mark(name, change, *seen),
        }
    }

    fn store(&self) -> Result<HttpStore, CommandError> {
        let Some(url) = &self.common.platform else {
            let detail = format!("give --platform or set {PLATFORM_VARIABLE}");
            return Err(CommandError::new(ResultCode::CommandInvalid, detail));
        };
        HttpStore::new(url, self.env.store)
            .map_err(|err| CommandError::new(ResultCode::CommandInvalid, err))
    }

    fn node_client(&self) -> Result<NodeClient, CommandError> {
        let invalid = |detail: String| CommandError::new(ResultCode::CommandInvalid, detail);
        let credential = match (&self.common.credential_file, &self.env.credential) {
            (Some(path), _) => read_credential(path)
                .map_err(|err| invalid(format!("{} can't be read: {err}", path.display())))?,
            (None, Some(credential)) => credential.clone(),
            (None, None) => {
                let detail = format!("give --credential-file or set {CREDENTIAL_VARIABLE}");
                return Err(invalid(detail));
            }
        };
        let credential = credential.trim();
        if credential.is_empty() || !credential.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(invalid("the credential is empty or not visible ASCII".to_owned()));
        }
        Ok(NodeClient::new(credential))
    }

    /// The given operator ports, or those in the node records of the platform.
    fn operator_addrs(&self) -> Result<Vec<SocketAddr>, CommandError> {
        if !self.common.operators.is_empty() {
            return Ok(self.common.operators.clone());
        }
        if self.common.platform.is_none() {
            let detail = format!("give --operator or --platform, or set {PLATFORM_VARIABLE}");
            return Err(CommandError::new(ResultCode::CommandInvalid, detail));
        }
        let listing =
            store::ObjectStore::list(&self.store()?).map_err(|err| CommandError::of_store(&err))?;
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
