//! The command line.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Parser, construct, long, positional, pure};
use model::{
    Access, AccountName, Burst, EndpointName, KeyId, Kind, NodeName, ObjectKey, Percent, Rate,
    RequestId, Revision, RouteName, Selector, ServiceName,
};

use super::{
    Action, Command, Common, Confirm, Label, MarkChange, Output, PLATFORM_VARIABLE, RouteFields,
};

const FOOTER: &str = "Exit codes: 0 done, 1 usage, 2 refused, 3 conflict, 4 unavailable, \
    5 outcome unknown, 6 not confirmed, 7 credential refused, 8 mistakes in settings. \
    The operator credential comes from --credential-file or ZINNIACROSS_CREDENTIAL.";

/// Parser of all operator commands. The binary adds its own commands beside it.
///
/// ```
/// use bpaf::Parser;
///
/// let options = operator::commands::parser().to_options();
/// assert!(options.run_inner(&["route", "list", "--platform", "http://127.0.0.1:7000"]).is_ok());
/// assert!(options.run_inner(&["route", "paint"]).is_err());
/// ```
pub fn parser() -> impl Parser<Command> {
    let route = group("route", "Routes, which pick upstreams for requests", route());
    let account = group("account", "Client accounts with their rate and burst", account());
    let key = group("key", "Keys of client accounts", key());
    let endpoint = group("endpoint", "Endpoints, their labels and drains", endpoint());
    let fleet = group("fleet", "The nodes of the fleet", fleet());
    let id = positional::<RequestId>("ID").help("Request id, as returned to the caller");
    let logs = long("log")
        .help("Saved log of a node, read instead of asking nodes; may be given several times")
        .argument::<PathBuf>("FILE")
        .many();
    let explained = construct!(logs, id).map(|(logs, id)| Action::Explain(id, logs));
    let explain = leaf("explain", "Show the recorded decisions of a request", explained);
    let file = positional::<PathBuf>("FILE").help("Settings file of a node");
    let check = leaf(
        "check-settings",
        "Validate a settings file without starting a node",
        file.map(Action::CheckSettings),
    );
    construct!([route, account, key, endpoint, fleet, explain, check])
}

fn route() -> impl Parser<Command> {
    let list = leaf("list", "List the routes", pure(Action::List(Kind::Route)));
    let (fields, named) = (route_fields(), name::<RouteName>());
    let create = leaf(
        "create",
        "Create a route; --prefix and --service are needed",
        construct!(fields, named).map(|(fields, name)| Action::CreateRoute(name, fields)),
    );
    let show = leaf("show", "Show a route", shown::<RouteName>(Kind::Route));
    let (fields, seen, named) = (route_fields(), seen(), name::<RouteName>());
    let update = construct!(fields, seen, named)
        .map(|(fields, seen, name)| Action::UpdateRoute(name, fields, seen));
    let update = aliased("update", "set", "Change the given fields of a route", update);
    let delete = leaf("delete", "Delete a route", deleted::<RouteName>(Kind::Route));
    construct!([list, create, show, update, delete])
}

fn account() -> impl Parser<Command> {
    let list = leaf("list", "List the client accounts", pure(Action::List(Kind::Account)));
    let (rate, burst, named) = (rate(), burst(), name::<AccountName>());
    let create = construct!(rate, burst, named)
        .map(|(rate, burst, name)| Action::CreateAccount(name, rate, burst));
    let create = leaf("create", "Create a client account", create);
    let show = leaf("show", "Show a client account", shown::<AccountName>(Kind::Account));
    let (rate, burst) = (self::rate().optional(), self::burst().optional());
    let (seen, named) = (seen(), name::<AccountName>());
    let update = construct!(rate, burst, seen, named)
        .map(|(rate, burst, seen, name)| Action::UpdateAccount(name, rate, burst, seen));
    let update = aliased("update", "set", "Change rate or burst of a client account", update);
    let delete = leaf("delete", "Delete a client account", deleted::<AccountName>(Kind::Account));
    construct!([list, create, show, update, delete])
}

fn key() -> impl Parser<Command> {
    let account = long("account").help("Only keys of this account").argument("NAME").optional();
    let list = leaf("list", "List the keys, without secrets", account.map(Action::ListKeys));
    let account = positional::<AccountName>("ACCOUNT").help("Account that the key belongs to");
    let issue = leaf("issue", "Issue a key and print it once", account.map(Action::IssueKey));
    let show = leaf("show", "Show a key, without its secret", shown::<KeyId>(Kind::Key));
    let withdraw = leaf("withdraw", "Withdraw a key", deleted::<KeyId>(Kind::Key));
    construct!([list, issue, show, withdraw])
}

fn endpoint() -> impl Parser<Command> {
    let service =
        long("service").help("Only endpoints of this service").argument::<ServiceName>("NAME");
    let service = service.optional().map(Action::ListEndpoints);
    let list = leaf("list", "List the endpoints as a node sees them", service);
    let named = name::<EndpointName>().map(Action::ShowEndpoint);
    let show = leaf("show", "Show an endpoint as a node sees it", named);
    let label = group("label", "Labels that operators set", label());
    let drain = leaf("drain", "Give an endpoint no new work", mark(MarkChange::Drain));
    let undrain = leaf("undrain", "Give an endpoint work again", mark(MarkChange::Undrain));
    construct!([list, show, label, drain, undrain])
}

fn label() -> impl Parser<Command> {
    let labels = positional::<Label>("KEY=VALUE").help("Label to set").some("give a label");
    let (seen, named) = (seen(), name::<EndpointName>());
    let set = construct!(seen, named, labels)
        .map(|(seen, name, labels)| Action::Mark(name, MarkChange::SetLabels(labels), seen));
    let set = leaf("set", "Set labels of an endpoint", set);
    let keys = positional::<String>("KEY").help("Label to remove").some("give a label");
    let (seen, named) = (self::seen(), name::<EndpointName>());
    let remove = construct!(seen, named, keys)
        .map(|(seen, name, keys)| Action::Mark(name, MarkChange::RemoveLabels(keys), seen));
    let remove = leaf("remove", "Remove labels that were set by an operator", remove);
    construct!([set, remove])
}

fn fleet() -> impl Parser<Command> {
    let state = leaf(
        "state",
        "Show the fleet as the first reachable node sees it",
        pure(Action::FleetState),
    );
    // The fleet removes a silent member itself only while a majority is left to confirm it.
    let forget = leaf(
        "forget",
        "Remove the record of a node that will not come back; its process must have ended",
        deleted::<NodeName>(Kind::Node),
    );
    construct!([state, forget])
}

fn mark(change: MarkChange) -> impl Parser<Action> {
    let (seen, named) = (seen(), name::<EndpointName>());
    construct!(seen, named).map(move |(seen, name)| Action::Mark(name, change.clone(), seen))
}

fn shown<T: FromStr<Err: Display> + Display + 'static>(kind: Kind) -> impl Parser<Action> {
    name::<T>().map(move |name| Action::Show(ObjectKey::new(kind, &name.to_string())))
}

fn deleted<T: FromStr<Err: Display> + Display + 'static>(kind: Kind) -> impl Parser<Action> {
    let (seen, named) = (seen(), name::<T>());
    construct!(seen, named)
        .map(move |(seen, name)| Action::Delete(ObjectKey::new(kind, &name.to_string()), seen))
}

fn name<T: FromStr<Err: Display> + 'static>() -> impl Parser<T> {
    positional::<T>("NAME").help("Name of the object")
}

fn seen() -> impl Parser<Option<Revision>> {
    long("if-revision")
        .help("Change the object only if its last write has this revision")
        .argument::<Revision>("REVISION")
        .optional()
}

fn rate() -> impl Parser<Rate> {
    long("rate").help("Calls per second over the whole fleet").argument::<Rate>("RATE")
}

fn burst() -> impl Parser<Burst> {
    long("burst").help("Calls that may be made at once").argument::<Burst>("CALLS")
}

fn route_fields() -> impl Parser<RouteFields> {
    let prefix = long("prefix")
        .help("Path prefix, matched on whole segments")
        .argument::<String>("PATH")
        .optional();
    let service = long("service")
        .help("Service whose upstreams are considered")
        .argument::<ServiceName>("NAME")
        .optional();
    let selector = long("selector")
        .help("Labels of the upstreams, such as tier=gold,!retired")
        .argument::<Selector>("SELECTOR")
        .optional();
    let access = long("access")
        .help("keyed or open")
        .argument::<String>("ACCESS")
        .parse(|text| parse_access(&text))
        .optional();
    let timeout_ms = long("timeout-ms")
        .help("Time from the arrival of a request to its deadline, in milliseconds")
        .argument::<u64>("MS")
        .optional();
    let goal_ms = long("goal-ms")
        .help("Time in which an answer is worth most, in milliseconds; such requests go first in queues")
        .argument::<u64>("MS")
        .optional();
    let idempotent = long("idempotent")
        .help("Methods that may be run more than once, such as GET,PUT; empty for none")
        .argument::<String>("METHODS")
        .parse(|text| parse_methods(&text))
        .optional();
    let retry_budget = long("retry-budget")
        .help("Share of the calls that may be retried, such as 20%")
        .argument::<Percent>("SHARE")
        .optional();
    let floor = long("floor")
        .help("Share of the slots that ejections must leave healthy, such as 70%")
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

fn parse_access(text: &str) -> Result<Access, String> {
    match text {
        "keyed" => Ok(Access::Keyed),
        "open" => Ok(Access::Open),
        _ => Err(format!("{text:?} is neither keyed nor open")),
    }
}

fn parse_methods(text: &str) -> Result<Vec<Box<str>>, String> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let valid = |method: &str| !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    match text.split(',').find(|method| !valid(method)) {
        Some(method) => Err(format!("{method:?} is not a method in upper case")),
        None => Ok(text.split(',').map(Into::into).collect()),
    }
}

impl FromStr for Label {
    type Err = String;

    fn from_str(text: &str) -> Result<Label, String> {
        let err = || format!("{text:?} is not a label like tier=gold");
        // A label is valid if a selector can ask for it.
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
        .help("File that holds the operator credential")
        .argument::<PathBuf>("FILE")
        .optional();
    let output =
        long("json").help("Write JSON instead of tables").flag(Output::Json, Output::Table);
    let confirm = long("wait")
        .help("After a change, wait up to 6 s until every node has applied it")
        .flag(Confirm::Wait, Confirm::Skip);
    construct!(Common { platform, operators, credential_file, output, confirm })
}

fn leaf(
    name: &'static str,
    help: &'static str,
    action: impl Parser<Action> + 'static,
) -> impl Parser<Command> {
    let common = common();
    let options = construct!(Command { common, action }).to_options();
    options.descr(help).footer(FOOTER).command(name)
}

fn aliased(
    name: &'static str,
    alias: &'static str,
    help: &'static str,
    action: impl Parser<Action> + 'static,
) -> impl Parser<Command> {
    let common = common();
    let options = construct!(Command { common, action }).to_options();
    options.descr(help).footer(FOOTER).command(name).long(alias)
}

fn group(
    name: &'static str,
    help: &'static str,
    commands: impl Parser<Command> + 'static,
) -> impl Parser<Command> {
    commands.to_options().descr(help).command(name)
}
