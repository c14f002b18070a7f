//! Command-line parser of the operator commands.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Parser, construct, long, positional, pure};
use model::{
    Access, AccountName, Burst, EndpointName, FailureDomain, KeyId, Kind, NodeName, ObjectKey,
    Percent, Rate, RequestId, Revision, RouteName, Selector, ServiceName,
};

use super::{
    Action, Command, Common, Confirm, Label, MarkChange, Output, PLATFORM_VARIABLE, RouteFields,
    WhereCaller, WhereFields,
};

/// End of the help of each subcommand.
const FOOTER: &str = "Exit codes: 0 done, 1 usage, 2 refused, 3 conflict, 4 unavailable, \
    5 outcome unknown, 6 not confirmed, 7 credential refused, 8 mistakes in settings. \
    The operator credential comes from --credential-file or ZINNIACROSS_CREDENTIAL.";

/// Returns the parser of all operator commands. The binary combines it with its own commands.
///
/// ```
/// use bpaf::Parser;
///
/// let options = operator::commands::parser().to_options();
/// assert!(options.run_inner(&["route", "list", "--platform", "http://127.0.0.1:7000"]).is_ok());
/// assert!(options.run_inner(&["route", "paint"]).is_err());
/// ```
pub fn parser() -> impl Parser<Command> {
    let route =
        command_group("route", "Manage routes, which select the upstreams of requests", route());
    let account =
        command_group("account", "Manage client accounts and their rate limits", account());
    let key = command_group("key", "Manage keys of client accounts", key());
    let endpoint = command_group("endpoint", "Show, label and drain endpoints", endpoint());
    let fleet = command_group("fleet", "Show the fleet and remove lost nodes", fleet());
    let evacuation = command_group(
        "evacuation",
        "Take failure domains out of use and put them back",
        evacuation(),
    );
    let id = positional::<RequestId>("ID").help("Request id, as returned to the caller");
    let logs = long("log")
        .help("Log file of a node, searched instead of asking the nodes; may be repeated")
        .argument::<PathBuf>("FILE")
        .many();
    let explain_action = construct!(logs, id).map(|(logs, id)| Action::Explain(id, logs));
    let explain =
        subcommand("explain", "Show the recorded decisions about a request", explain_action);
    let where_to = subcommand(
        "where",
        "Show where a node would route a request, without sending it",
        where_fields().map(Action::Where),
    );
    let file = positional::<PathBuf>("FILE").help("Settings file of a node");
    let check = subcommand(
        "check-settings",
        "Validate a settings file without starting a node",
        file.map(Action::CheckSettings),
    );
    construct!([route, account, key, endpoint, fleet, evacuation, explain, where_to, check])
}

fn route() -> impl Parser<Command> {
    let list = subcommand("list", "List the routes", pure(Action::List(Kind::Route)));
    let (fields, name) = (route_fields(), name_argument::<RouteName>());
    let create = subcommand(
        "create",
        "Create a route; --prefix and --service are required",
        construct!(fields, name).map(|(fields, name)| Action::CreateRoute(name, fields)),
    );
    let show = subcommand("show", "Show a route", show_action::<RouteName>(Kind::Route));
    let (fields, expected, name) =
        (route_fields(), expected_revision(), name_argument::<RouteName>());
    let update = construct!(fields, expected, name)
        .map(|(fields, expected, name)| Action::UpdateRoute(name, fields, expected));
    let update =
        subcommand_with_alias("update", "set", "Change the given fields of a route", update);
    let delete = subcommand("delete", "Delete a route", delete_action::<RouteName>(Kind::Route));
    construct!([list, create, show, update, delete])
}

fn account() -> impl Parser<Command> {
    let list = subcommand("list", "List the client accounts", pure(Action::List(Kind::Account)));
    let (rate, burst, name) = (rate(), burst(), name_argument::<AccountName>());
    let create = construct!(rate, burst, name)
        .map(|(rate, burst, name)| Action::CreateAccount(name, rate, burst));
    let create = subcommand("create", "Create a client account", create);
    let show =
        subcommand("show", "Show a client account", show_action::<AccountName>(Kind::Account));
    let (rate, burst) = (self::rate().optional(), self::burst().optional());
    let (expected, name) = (expected_revision(), name_argument::<AccountName>());
    let update = construct!(rate, burst, expected, name)
        .map(|(rate, burst, expected, name)| Action::UpdateAccount(name, rate, burst, expected));
    let update = subcommand_with_alias(
        "update",
        "set",
        "Change the rate or burst of a client account",
        update,
    );
    let delete = subcommand(
        "delete",
        "Delete a client account",
        delete_action::<AccountName>(Kind::Account),
    );
    construct!([list, create, show, update, delete])
}

fn key() -> impl Parser<Command> {
    let account = long("account")
        .help("List only the keys of this client account")
        .argument("NAME")
        .optional();
    let list = subcommand("list", "List the keys, without secrets", account.map(Action::ListKeys));
    let account =
        positional::<AccountName>("ACCOUNT").help("Client account that the key belongs to");
    let issue = subcommand("issue", "Issue a key and print it once", account.map(Action::IssueKey));
    let show =
        subcommand("show", "Show a key, without its secret", show_action::<KeyId>(Kind::Key));
    let withdraw = subcommand("withdraw", "Withdraw a key", delete_action::<KeyId>(Kind::Key));
    construct!([list, issue, show, withdraw])
}

fn endpoint() -> impl Parser<Command> {
    let service = long("service")
        .help("List only the endpoints of this service")
        .argument::<ServiceName>("NAME");
    let service = service.optional().map(Action::ListEndpoints);
    let list = subcommand("list", "List the endpoints known to a node", service);
    let name = name_argument::<EndpointName>().map(Action::ShowEndpoint);
    let show = subcommand("show", "Show an endpoint known to a node", name);
    let label = command_group("label", "Manage endpoint labels set by operators", label());
    let drain = subcommand(
        "drain",
        "Stop sending new requests to an endpoint",
        mark_action(MarkChange::Drain),
    );
    let undrain = subcommand(
        "undrain",
        "Resume sending requests to an endpoint",
        mark_action(MarkChange::Undrain),
    );
    construct!([list, show, label, drain, undrain])
}

fn label() -> impl Parser<Command> {
    let labels = positional::<Label>("KEY=VALUE")
        .help("Label to set")
        .some("at least one label is required");
    let (expected, name) = (expected_revision(), name_argument::<EndpointName>());
    let set = construct!(expected, name, labels).map(|(expected, name, labels)| {
        Action::Mark(name, MarkChange::SetLabels(labels), expected)
    });
    let set = subcommand("set", "Set labels of an endpoint", set);
    let keys =
        positional::<String>("KEY").help("Label to remove").some("at least one label is required");
    let (expected, name) = (expected_revision(), name_argument::<EndpointName>());
    let remove = construct!(expected, name, keys)
        .map(|(expected, name, keys)| Action::Mark(name, MarkChange::RemoveLabels(keys), expected));
    let remove = subcommand("remove", "Remove labels that were set by an operator", remove);
    construct!([set, remove])
}

fn fleet() -> impl Parser<Command> {
    let state = subcommand(
        "state",
        "Show the state of the fleet as known to the first reachable node",
        pure(Action::FleetState),
    );
    // The fleet removes an unresponsive member itself only while a majority of members is left to
    // confirm it.
    let forget = subcommand(
        "forget",
        "Remove the record of a permanently lost node; its process must have ended",
        delete_action::<NodeName>(Kind::Node),
    );
    construct!([state, forget])
}

fn evacuation() -> impl Parser<Command> {
    let domain = || positional::<FailureDomain>("DOMAIN").help("Failure domain");
    let start = subcommand(
        "start",
        "Send no more requests to the endpoints in a failure domain",
        domain().map(Action::StartEvacuation),
    );
    let (expected, name) = (expected_revision(), domain());
    let stop = construct!(expected, name).map(|(expected, name)| {
        Action::Delete(ObjectKey::new(Kind::Evacuation, name.as_str()), expected)
    });
    let stop = subcommand("stop", "Use the endpoints in a failure domain again", stop);
    let list = subcommand(
        "list",
        "List the evacuations that were started with this command",
        pure(Action::List(Kind::Evacuation)),
    );
    construct!([start, stop, list])
}

fn mark_action(change: MarkChange) -> impl Parser<Action> {
    let (expected, name) = (expected_revision(), name_argument::<EndpointName>());
    construct!(expected, name)
        .map(move |(expected, name)| Action::Mark(name, change.clone(), expected))
}

fn show_action<T: FromStr<Err: Display> + Display + 'static>(kind: Kind) -> impl Parser<Action> {
    name_argument::<T>().map(move |name| Action::Show(ObjectKey::new(kind, &name.to_string())))
}

fn delete_action<T: FromStr<Err: Display> + Display + 'static>(kind: Kind) -> impl Parser<Action> {
    let (expected, name) = (expected_revision(), name_argument::<T>());
    construct!(expected, name).map(move |(expected, name)| {
        Action::Delete(ObjectKey::new(kind, &name.to_string()), expected)
    })
}

fn name_argument<T: FromStr<Err: Display> + 'static>() -> impl Parser<T> {
    positional::<T>("NAME").help("Name of the object")
}

fn expected_revision() -> impl Parser<Option<Revision>> {
    long("if-revision")
        .help("Change the object only if it has this revision")
        .argument::<Revision>("REVISION")
        .optional()
}

fn rate() -> impl Parser<Rate> {
    long("rate").help("Requests per second, over the whole fleet").argument::<Rate>("RATE")
}

fn burst() -> impl Parser<Burst> {
    long("burst").help("Maximum number of requests in a burst").argument::<Burst>("CALLS")
}

fn route_fields() -> impl Parser<RouteFields> {
    let prefix = long("prefix")
        .help("Path prefix, matched by whole segments")
        .argument::<String>("PATH")
        .optional();
    let service = long("service")
        .help("Service whose upstreams receive the requests")
        .argument::<ServiceName>("NAME")
        .optional();
    let selector = long("selector")
        .help("Selector of upstreams by label, such as tier=gold,!retired")
        .argument::<Selector>("SELECTOR")
        .optional();
    let access = long("access")
        .help("keyed (callers need a key) or open")
        .argument::<String>("ACCESS")
        .parse(|text| parse_access(&text))
        .optional();
    let timeout_ms = long("timeout-ms")
        .help("Time from the arrival of a request to its deadline, in milliseconds")
        .argument::<u64>("MS")
        .optional();
    let goal_ms = long("goal-ms")
        .help("Target response time, in milliseconds; requests with a target go first in queues")
        .argument::<u64>("MS")
        .optional();
    let idempotent = long("idempotent")
        .help("Methods that may run more than once, such as GET,PUT; empty for none")
        .argument::<String>("METHODS")
        .parse(|text| parse_methods(&text))
        .optional();
    let retry_budget = long("retry-budget")
        .help("Share of the requests that may be retried, such as 20%")
        .argument::<Percent>("SHARE")
        .optional();
    let floor = long("floor")
        .help("Minimum share of the slots that ejections must leave healthy, such as 70%")
        .argument::<Percent>("SHARE")
        .optional();
    construct!(RouteFields {
        prefix,
        service,
        selector,
        access,
        timeout_ms,
        goal_ms,
        idempotent,
        retry_budget,
        floor,
    })
}

fn where_fields() -> impl Parser<WhereFields> {
    let account = long("account")
        .help("The request carries a key of this client account")
        .argument::<String>("NAME")
        .map(WhereCaller::Account);
    let key_id = long("key-id")
        .help("The request carries the key with this id; the key itself is not needed")
        .argument::<String>("ID")
        .map(WhereCaller::KeyId);
    let caller = construct!([account, key_id]).optional();
    let route = long("route")
        .help("Assume this route instead of the one that matches")
        .argument::<String>("NAME")
        .optional();
    let method = positional::<String>("METHOD").help("HTTP method");
    let host = positional::<String>("HOST").help("Host of the request");
    let path = positional::<String>("PATH").help("Path of the request");
    construct!(WhereFields { caller, route, method, host, path })
}

fn parse_access(text: &str) -> Result<Access, String> {
    match text {
        "keyed" => Ok(Access::Keyed),
        "open" => Ok(Access::Open),
        _ => Err(format!("{text:?} is not an access mode: expected keyed or open")),
    }
}

fn parse_methods(text: &str) -> Result<Vec<Box<str>>, String> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let valid = |method: &str| !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    match text.split(',').find(|method| !valid(method)) {
        Some(method) => {
            Err(format!("{method:?} is not a valid method: expected upper-case letters"))
        }
        None => Ok(text.split(',').map(Into::into).collect()),
    }
}

impl FromStr for Label {
    type Err = String;

    fn from_str(text: &str) -> Result<Label, String> {
        let err = || format!("{text:?} is not a valid label: expected KEY=VALUE");
        // A label is valid if a selector can match it.
        let selector: Selector = text.parse().map_err(|_| err())?;
        let (key, value) = text.split_once('=').ok_or_else(err)?;
        match selector.to_string() == text && !text.contains([',', '!']) {
            true => Ok(Label { key: key.into(), value: value.into() }),
            false => Err(err()),
        }
    }
}

fn common() -> impl Parser<Common> {
    let platform = long("platform")
        .env(PLATFORM_VARIABLE)
        .help("URL of the platform")
        .argument::<String>("URL")
        .optional();
    let operators = long("operator")
        .help("Operator port of a node; may be repeated. Default: the ports in the node records")
        .argument::<SocketAddr>("ADDR")
        .many();
    let credential_file = long("credential-file")
        .help("File that contains the operator credential")
        .argument::<PathBuf>("FILE")
        .optional();
    let output =
        long("json").help("Write JSON instead of tables").flag(Output::Json, Output::Table);
    let confirm = long("wait")
        .help("Wait up to 6 s until every node has applied the change")
        .flag(Confirm::Wait, Confirm::Skip);
    construct!(Common { platform, operators, credential_file, output, confirm })
}

fn subcommand(
    name: &'static str,
    help: &'static str,
    action: impl Parser<Action> + 'static,
) -> impl Parser<Command> {
    let common = common();
    let options = construct!(Command { common, action }).to_options();
    options.descr(help).footer(FOOTER).command(name)
}

fn subcommand_with_alias(
    name: &'static str,
    alias: &'static str,
    help: &'static str,
    action: impl Parser<Action> + 'static,
) -> impl Parser<Command> {
    let common = common();
    let options = construct!(Command { common, action }).to_options();
    options.descr(help).footer(FOOTER).command(name).long(alias)
}

fn command_group(
    name: &'static str,
    help: &'static str,
    commands: impl Parser<Command> + 'static,
) -> impl Parser<Command> {
    commands.to_options().descr(help).command(name)
}
