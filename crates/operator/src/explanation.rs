//! The query where a node would route a request, and the answer.

use std::fmt;

use model::{
    Access, AccountName, Burst, CallerKey, EndpointName, FailureDomain, KeyId, NodeName, Rate,
    ResultCode, Revision, RouteName, ServiceName, Slots, Tokens,
};
use serde::{Deserialize, Serialize};

/// A request that is described instead of sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteQuery {
    /// HTTP method.
    pub method: Box<str>,
    /// Host, with or without a port.
    pub host: Box<str>,
    /// Path, with or without a query.
    pub path: Box<str>,
    /// What is known of its caller.
    pub caller: QueryCaller,
    /// Route to assume instead of the one that matches.
    pub route: Option<RouteName>,
}

/// What is known of the caller of a described request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueryCaller {
    /// The request carries no key.
    Keyless,
    /// The request carries some key of this client account.
    Account(AccountName),
    /// The request carries the key with this id.
    Key(KeyId),
}

/// A query that can't be answered. Its text contains no key that was given instead of an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryError {
    /// Result code.
    pub code: ResultCode,
    /// What the error is about.
    pub detail: Box<str>,
}

impl QueryError {
    /// Creates an error.
    pub fn new(code: ResultCode, detail: impl fmt::Display) -> QueryError {
        QueryError { code, detail: detail.to_string().into() }
    }
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.code, self.detail)
    }
}

impl std::error::Error for QueryError {}

/// JSON form of a [`RouteQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct QueryDocument {
    pub method: Box<str>,
    pub host: Box<str>,
    pub path: Box<str>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Box<str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_id: Option<Box<str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<Box<str>>,
}

impl From<&RouteQuery> for QueryDocument {
    fn from(query: &RouteQuery) -> QueryDocument {
        let (account, key_id) = match &query.caller {
            QueryCaller::Keyless => (None, None),
            QueryCaller::Account(name) => (Some(name.as_str().into()), None),
            QueryCaller::Key(id) => (None, Some(id.as_str().into())),
        };
        QueryDocument {
            method: query.method.clone(),
            host: query.host.clone(),
            path: query.path.clone(),
            account,
            key_id,
            route: query.route.as_ref().map(|name| name.as_str().into()),
        }
    }
}

impl TryFrom<QueryDocument> for RouteQuery {
    type Error = QueryError;

    /// A text that can't be the name of an object is reported like one that no object has.
    fn try_from(doc: QueryDocument) -> Result<RouteQuery, QueryError> {
        let caller = match (doc.account, doc.key_id) {
            (None, None) => QueryCaller::Keyless,
            (Some(name), None) => {
                let name = name.parse();
                QueryCaller::Account(
                    name.map_err(|err| QueryError::new(ResultCode::AccountUnknown, err))?,
                )
            }
            (None, Some(id)) => {
                let detail = "expected the id of a key, 16 hexadecimal digits";
                let id = id.parse().ok().filter(|_| CallerKey::is_id(&id));
                let err = || QueryError::new(ResultCode::KeyIdUnknown, detail);
                QueryCaller::Key(id.ok_or_else(err)?)
            }
            (Some(_), Some(_)) => {
                let detail = "an account and a key id exclude each other";
                return Err(QueryError::new(ResultCode::CommandInvalid, detail));
            }
        };
        let route = doc.route.map(|name| name.parse()).transpose();
        let route = route.map_err(|err| QueryError::new(ResultCode::RouteUnknown, err))?;
        let QueryDocument { method, host, path, .. } = doc;
        Ok(RouteQuery { method, host, path, caller, route })
    }
}

/// Where a node would route a request, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// The node that was asked.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: FailureDomain,
    /// Revision of the stored objects that the node has applied.
    pub revision: Revision,
    /// Revision of the imported configuration that the node has applied; 0 if it has none.
    pub imported_revision: Revision,
    /// HTTP method of the request.
    pub method: Box<str>,
    /// Host of the request, in lower case and without the port.
    pub host: Box<str>,
    /// Path of the request, without its query.
    pub path: Box<str>,
    /// The route, if there is one.
    pub route: Option<ExplainedRoute>,
    /// The client account, if one was given.
    pub account: Option<ExplainedAccount>,
    /// The services that the route may choose, most likely first.
    pub services: Vec<ExplainedService>,
    /// What would refuse the request now or may do so, in the order of the checks. The caller gets the
    /// first one that applies.
    pub refusals: Vec<ExplainedRefusal>,
}

/// The route of a described request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedRoute {
    /// Name of the route.
    pub name: RouteName,
    /// Host that the route is limited to.
    pub host: Option<Box<str>>,
    /// Path prefix.
    pub prefix: Box<str>,
    /// Whether the host and the path match it. If not, the query has named it.
    pub matches: bool,
    /// Who may use the route.
    pub access: Access,
    /// Selector of endpoints.
    pub selector: Box<str>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time from the arrival of the request to its deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Target response time, in milliseconds.
    pub goal_ms: Option<u64>,
    /// Priority of the request under overload; 0 is the highest.
    pub priority: u8,
}

/// The client account of a described request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedAccount {
    /// Name of the account.
    pub name: AccountName,
    /// Id of the key, if the query named one.
    pub key_id: Option<KeyId>,
    /// Rate over the whole fleet.
    pub rate: Rate,
    /// Burst over the whole fleet.
    pub burst: Burst,
    /// Tokens that the node holds for the account. Others are held by other nodes or by their owners.
    pub tokens_held: Tokens,
    /// Whether the node has refused a call of the account for exceeding its rate in the last seconds.
    pub over_rate: bool,
    /// How the request would get a token.
    pub token: TokenOutlook,
}

/// How a described request would get a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenOutlook {
    /// There is no route, or it is open, so that the account doesn't count.
    NotNeeded,
    /// The account has no limit.
    Unlimited,
    /// The node holds one.
    Held,
    /// The node has to ask the owners, and the request waits for their answers.
    Asked,
    /// The node reaches no owner, and lets the request pass by its part of the rate.
    OwnPart,
    /// It would get none.
    Refused,
}

impl fmt::Display for TokenOutlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TokenOutlook::NotNeeded => "not needed, no key is checked",
            TokenOutlook::Unlimited => "not needed, the account has no limit",
            TokenOutlook::Held => "held by this node",
            TokenOutlook::Asked => "to be requested from its owners",
            TokenOutlook::OwnPart => "from this node's part of the rate, no owner is reached",
            TokenOutlook::Refused => "refused",
        })
    }
}

/// A service that a described request may go to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Probability that the route chooses the service, from 0 to 1.
    pub probability: f64,
    /// The choice, unless no endpoint can be chosen.
    pub choice: Option<ExplainedChoice>,
    /// All known endpoints of the service, most likely first.
    pub candidates: Vec<ExplainedCandidate>,
}

/// The choice of an endpoint for the first attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedChoice {
    /// The endpoint that is chosen most often.
    pub endpoint: EndpointName,
    /// Whether the choice depends on random numbers.
    pub random: bool,
    /// Why it is chosen, as in the decision log.
    pub reason: Box<str>,
    /// Whether suspect and unreachable endpoints may be chosen because no other is left.
    pub last_resort: bool,
}

/// An endpoint of a service of a described request, as the queried node knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedCandidate {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Node that proxies calls to the endpoint.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: FailureDomain,
    /// Probability that the first attempt goes there, from 0 to 1, measured by repeating the choice.
    pub probability: f64,
    /// Expected wait plus penalties, in microseconds. Absent if it can't be chosen.
    pub cost_us: Option<u64>,
    /// Expected probability of a free slot in percent, if the node estimates it.
    pub free_percent: Option<u8>,
    /// Slots that the choice counts with.
    pub slots: Slots,
    /// Last load report of the endpoint.
    pub load: Option<ExplainedLoad>,
    /// Whether the node avoids it for such requests because its guard has refused one as suspect.
    pub suspect: bool,
    /// Whether its guard counts it as suspect; known for endpoints of the queried node only.
    pub suspect_at_guard: Option<bool>,
    /// Whether the failure domain is evacuated.
    pub evacuated: bool,
    /// Its limit, if it offers fewer slots than announced because it is cold or was until recently.
    pub cold: Option<ExplainedCold>,
    /// Why it can't be chosen, if so.
    pub excluded: Option<ExplainedExclusion>,
}

/// The last load report of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedLoad {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Calls that the queried node has sent since and that are in flight.
    pub sent_since: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// What is known of a cold endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedCold {
    /// Announced slots that the choice does not count with.
    pub withheld_slots: u32,
    /// How long it remains cold, in milliseconds; known for endpoints of the queried node only.
    pub left_ms: Option<u64>,
}

/// Why an endpoint can't be chosen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedExclusion {
    /// The reason.
    pub reason: Box<str>,
    /// Number of the code with which the endpoint would refuse the request, if it would.
    pub code: Option<u16>,
}

/// A refusal of a described request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedRefusal {
    /// Number of the result code that the caller gets.
    pub code: u16,
    /// Text of the result code.
    pub text: Box<str>,
    /// The service that the refusal concerns, if the route has several.
    pub service: Option<ServiceName>,
    /// Whether the request would be refused now. If not, that depends on other nodes.
    pub certain: bool,
}
