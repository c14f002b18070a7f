//! Client of the operator ports.

use std::net::SocketAddr;
use std::time::Duration;

use model::{RequestId, ResultCode, Revision};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::outcome::CommandError;
use crate::view::{FleetState, Push, PushDocument, RequestRecord};

/// Longest time of one call.
const CALL: Duration = Duration::from_secs(2);

/// Longest time to connect.
const CONNECT: Duration = Duration::from_millis(500);

/// Longest answer; the state holds every endpoint of the fleet.
const MAX_ANSWER_BYTES: u64 = 128 << 20;

pub(super) struct NodeClient {
    agent: Agent,
    authorization: Box<str>,
}

#[derive(Deserialize)]
struct Pushed {
    revision: Revision,
}

impl NodeClient {
    pub fn new(credential: &str) -> NodeClient {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT))
            .timeout_global(Some(CALL))
            .build()
            .new_agent();
        NodeClient { agent, authorization: format!("Bearer {credential}").into() }
    }

    pub fn state(&self, addr: SocketAddr) -> Result<FleetState, CommandError> {
        let (status, body) = self.fetch(addr, "/state")?;
        parse(addr, status, &body)
    }

    pub fn request(
        &self,
        addr: SocketAddr,
        id: &RequestId,
    ) -> Result<Option<RequestRecord>, CommandError> {
        let (status, body) = self.fetch(addr, &format!("/requests/{id}"))?;
        if status == 404 {
            return Ok(None);
        }
        parse(addr, status, &body).map(Some)
    }

    /// Hands objects on, and returns the revision that the node has afterwards.
    pub fn push(&self, addr: SocketAddr, push: &Push) -> Result<Revision, CommandError> {
        let body = serde_json::to_vec(&PushDocument::from(push))
            .map_err(|err| CommandError::new(ResultCode::ObjectInvalid, err))?;
        let answer = self
            .agent
            .post(format!("http://{addr}/push"))
            .header("authorization", &*self.authorization)
            .header("content-type", "application/json")
            .send(&body[..]);
        let (status, body) = read(addr, answer)?;
        parse::<Pushed>(addr, status, &body).map(|pushed| pushed.revision)
    }

    fn fetch(&self, addr: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), CommandError> {
        let req = self.agent.get(format!("http://{addr}{path}"));
        read(addr, req.header("authorization", &*self.authorization).call())
    }
}

fn read(
    addr: SocketAddr,
    answer: Result<Response<Body>, ureq::Error>,
) -> Result<(u16, Vec<u8>), CommandError> {
    let unavailable =
        |err| CommandError::new(ResultCode::NodeUnavailable, format!("{addr}: {err}"));
    let mut answer = answer.map_err(unavailable)?;
    let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
    Ok((answer.status().as_u16(), body.map_err(unavailable)?))
}

fn parse<T: DeserializeOwned>(
    addr: SocketAddr,
    status: u16,
    body: &[u8],
) -> Result<T, CommandError> {
    match status {
        200 => serde_json::from_slice(body).map_err(|err| {
            CommandError::new(ResultCode::NodeUnavailable, format!("{addr}: invalid answer: {err}"))
        }),
        401 => Err(CommandError::new(ResultCode::CredentialRejected, addr)),
        status => {
            let detail = format!("{addr}: status {status}");
            Err(CommandError::new(ResultCode::NodeUnavailable, detail))
        }
    }
}
