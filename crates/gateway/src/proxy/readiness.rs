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
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Between two tries to accept where the system has no descriptor left.
const ACCEPT_BACKOFF: Micros = 50_000;

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
            _ => response(proxy.is_ready()),
        };
        async move { Ok::<_, Infallible>(response) }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(HyperIo(stream), service)
        .await;
}

fn response(is_ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
