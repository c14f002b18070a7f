//! HTTP client for the operator ports of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use model::{RequestId, ResultCode, Revision};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::outcome::CommandError;
use crate::explanation::{QueryDocument, RouteExplanation};
use crate::view::{FleetState, Push, PushDocument, RequestRecord};

/// Timeout of a request, including the connect.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit of a response body. `/state` lists every endpoint of the fleet.
const MAX_RESPONSE_BYTES: u64 = 128 << 20;

/// Whether a node answers a query of a route with this code. Any other code says that the node can't answer
/// now, so that another one is asked.
fn is_answer_to_query(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NotSynced
            | ResultCode::CommandInvalid
            | ResultCode::AccountUnknown
            | ResultCode::KeyIdUnknown
            | ResultCode::RouteUnknown
            | ResultCode::MethodInvalid
            | ResultCode::HostInvalid
            | ResultCode::PathInvalid
    )
}

/// Client for the operator ports, with the credential of the operator.
pub(super) struct NodeClient {
    agent: Agent,
    authorization: Box<str>,
}

#[derive(Deserialize)]
struct PushResponse {
    revision: Revision,
}

#[derive(Deserialize)]
struct ErrorResponse {
    code: u16,
    detail: Option<String>,
}

impl NodeClient {
    pub fn new(credential: &str) -> NodeClient {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build()
            .new_agent();
        NodeClient { agent, authorization: format!("Bearer {credential}").into() }
    }

    /// Fetches the state of the fleet as known to the node at `addr`.
    pub fn state(&self, addr: SocketAddr) -> Result<FleetState, CommandError> {
        let (status, body) = self.get(addr, "/state")?;
        parse_response(addr, status, &body)
    }

    /// Fetches a node's record of a request, if it has one.
    pub fn request(
        &self,
        addr: SocketAddr,
        id: &RequestId,
    ) -> Result<Option<RequestRecord>, CommandError> {
        let (status, body) = self.get(addr, &format!("/requests/{id}"))?;
        if status == 404 {
            return Ok(None);
        }
        parse_response(addr, status, &body).map(Some)
    }

    /// Asks a node where it would route a request.
    pub fn explain_route(
        &self,
        addr: SocketAddr,
        query: &QueryDocument,
    ) -> Result<RouteExplanation, CommandError> {
        let body = serde_json::to_vec(query)
            .map_err(|err| CommandError::new(ResultCode::CommandInvalid, err))?;
        let (status, body) = self.post(addr, "/where", &body)?;
        if status == 404 {
            let detail = format!("{addr}: a node of this version can't tell");
            return Err(CommandError::new(ResultCode::NodeUnavailable, detail));
        }
        let refusal: Option<ErrorResponse> = match status {
            400 | 503 => serde_json::from_slice(&body).ok(),
            _ => None,
        };
        let refusal =
            refusal.and_then(|err| Some((ResultCode::from_number(err.code)?, err.detail)));
        match refusal {
            Some((code, detail)) if is_answer_to_query(code) => {
                Err(CommandError::new(code, detail.unwrap_or_else(|| addr.to_string())))
            }
            _ => parse_response(addr, status, &body),
        }
    }

    /// Pushes objects to a node and returns the node's revision afterwards.
    pub fn push(&self, addr: SocketAddr, push: &Push) -> Result<Revision, CommandError> {
        let body = serde_json::to_vec(&PushDocument::from(push))
            .map_err(|err| CommandError::new(ResultCode::ObjectInvalid, err))?;
        let (status, body) = self.post(addr, "/push", &body)?;
        parse_response::<PushResponse>(addr, status, &body).map(|response| response.revision)
    }

    fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Result<(u16, Vec<u8>), CommandError> {
        let response = self
            .agent
            .post(format!("http://{addr}{path}"))
            .header("authorization", &*self.authorization)
            .header("content-type", "application/json")
            .send(body);
        read_response(addr, response)
    }

    fn get(&self, addr: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), CommandError> {
        let req = self.agent.get(format!("http://{addr}{path}"));
        read_response(addr, req.header("authorization", &*self.authorization).call())
    }
}

fn read_response(
    addr: SocketAddr,
    response: Result<Response<Body>, ureq::Error>,
) -> Result<(u16, Vec<u8>), CommandError> {
    let unavailable =
        |err| CommandError::new(ResultCode::NodeUnavailable, format!("{addr}: {err}"));
    let mut response = response.map_err(unavailable)?;
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
    Ok((response.status().as_u16(), body.map_err(unavailable)?))
}

fn parse_response<T: DeserializeOwned>(
    addr: SocketAddr,
    status: u16,
    body: &[u8],
) -> Result<T, CommandError> {
    match status {
        200 => serde_json::from_slice(body).map_err(|err| {
            CommandError::new(
                ResultCode::NodeUnavailable,
                format!("{addr}: invalid response: {err}"),
            )
        }),
        401 => Err(CommandError::new(ResultCode::CredentialRejected, addr)),
        status => {
            let detail = format!("{addr}: unexpected status {status}");
            Err(CommandError::new(ResultCode::NodeUnavailable, detail))
        }
    }
}
