//! Status port: readiness check and metrics, without authentication.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{error, warn};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::shared::{Node, Phase};

const METRICS_PATH: &str = "/metrics";

/// Timeout for reading a request head. The platform checks readiness every second over one connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept. Without it, the loop would use a whole core when the process is out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves readiness and metrics until the task is dropped.
pub(crate) async fn serve(listener: TcpListener, node: Arc<Node>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!("failed to accept a connection on the status port: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let node = Arc::clone(&node);
        let service = service_fn(move |req| {
            let response = respond(&node, &req);
            async move { Ok::<_, Infallible>(response) }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(conn);
    }
}

/// Returns whether the node accepts requests of new callers.
pub(crate) fn is_ready(node: &Node) -> bool {
    node.phase() == Phase::Serving && node.is_synced()
}

fn respond<B>(node: &Node, req: &Request<B>) -> Response<Full<Bytes>> {
    if *req.method() != Method::GET {
        return empty_response(StatusCode::METHOD_NOT_ALLOWED);
    }
    match req.uri().path() {
        path if path == node.interfaces.ready_path => match is_ready(node) {
            true => empty_response(StatusCode::OK),
            false => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        },
        METRICS_PATH => encode_metrics(node),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn encode_metrics(node: &Node) -> Response<Full<Bytes>> {
    let mut text = String::new();
    if let Err(err) = prometheus_client::encoding::text::encode(&mut text, &node.metrics.registry) {
        error!("failed to encode the metrics: {err}");
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    }
    Response::new(Full::new(text.into()))
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
