//! Answers the platform's question whether new clients may come, and operators' for the proxy's figures.

use super::Proxy;
use crate::clock::Micros;
use crate::metrics;
use crate::net::{self, HyperIo};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use std::convert::Infallible;
use std::fmt;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Between two tries to accept where the system has no descriptor left.
const ACCEPT_BACKOFF: Micros = 50_000;

/// Why a proxy takes no new clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum NotReady {
    /// It shuts down.
    ShuttingDown,
    /// It has no configuration yet.
    NoConfig,
    /// The configuration of this version can't be read, and it has no other.
    UnreadableConfig(u64),
    /// It has not heard of any endpoints yet.
    NoEndpoints,
    /// No leader has confirmed since the start what is in force.
    Unconfirmed,
}

impl fmt::Display for NotReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotReady::ShuttingDown => f.write_str("shutting down"),
            NotReady::NoConfig => f.write_str("no configuration yet"),
            NotReady::UnreadableConfig(version) => write!(
                f,
                "configuration {version} can't be read; send one with a higher edition"
            ),
            NotReady::NoEndpoints => f.write_str("no list of endpoints yet"),
            NotReady::Unconfirmed => f.write_str("not confirmed by a leader yet"),
        }
    }
}

/// Answers probes, for ever: 200 if new clients may come, 503 if not.
pub(super) async fn run(proxy: Arc<Proxy>, listener: TcpListener) {
    loop {
        let stream = net::accept(&listener, ACCEPT_BACKOFF).await;
        tokio::spawn(serve(proxy.clone(), stream));
    }
}

async fn serve(proxy: Arc<Proxy>, stream: TcpStream) {
    let _ = net::configure_stream(&stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let response = match request.uri().path() {
            metrics::PATH => metrics::response(proxy.metrics_registry()),
            _ => response(proxy.not_ready()),
        };
        async move { Ok::<_, Infallible>(response) }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(HyperIo(stream), service)
        .await;
}

/// Says why in a body that the platform doesn't read, for operators.
fn response(not_ready: Option<NotReady>) -> Response<Full<Bytes>> {
    let Some(reason) = not_ready else {
        return Response::new(Full::default());
    };
    let mut response = Response::new(Full::new(format!("{reason}\n").into()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
