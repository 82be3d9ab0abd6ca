//! The operators' API: configurations and rollouts, sent and read.
//!
//! | file | what it does |
//! | --- | --- |
//! | `request_body` | reads a call's body, within the memory for such bodies |
//! | `config_calls`, `rollout_calls` | what each call does |
//! | `leadership` | which controller answers, and how an order is committed |
//! | `replies` | what callers are told |

mod config_calls;
mod leadership;
mod replies;
mod request_body;
mod rollout_calls;

use super::Controller;
use crate::clock::Micros;
use crate::metrics;
use crate::net::{self, HyperIo};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use replies::{bad_request, refuse, Reply};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;

/// After a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Micros = 20_000;
/// What is done with a configuration takes so many times the bytes of its text: the text as it came and as it is kept, what is
/// parsed of it, the command and its encoded form, the replicated state.
const PENDING_CONFIG_FACTOR: u64 = 8;
/// The path of all calls.
const PATH: &str = "/v1/rpc";

/// Serves operators until the task is aborted.
pub(super) async fn run(controller: Arc<Controller>, listener: TcpListener) {
    loop {
        let stream = net::accept(&listener, ACCEPT_RETRY_INTERVAL).await;
        if net::configure_operator_stream(&stream).is_err() {
            continue;
        }
        let controller = controller.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let controller = controller.clone();
                async move { Ok::<_, Infallible>(answer(&controller, request).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection.serve_connection(HyperIo(stream), service).await;
        });
    }
}

/// Returns one value of the query.
fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Answers one call.
async fn answer(controller: &Arc<Controller>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    if head.uri.path() == metrics::PATH {
        return metrics::response(controller.metrics_registry());
    }
    if head.uri.path() != PATH {
        return refuse(StatusCode::NOT_FOUND, "path", head.uri.path(), PATH);
    }
    if head.method != Method::POST {
        return refuse(
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
            head.method.as_str(),
            "POST",
        );
    }
    let query = head.uri.query().unwrap_or("").to_owned();
    let call = query_value(&query, "call");
    let copies = match call {
        Some("config.replace") => PENDING_CONFIG_FACTOR,
        _ => 1,
    };
    let body = match request_body::read(controller, body, copies).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    // Where the leader is to be asked instead.
    let path = format!("{PATH}?{query}");
    match call {
        Some("config.replace") => config_calls::replace_config(controller, body, &path).await,
        Some("config.read") => config_calls::read_config(controller, &path).await,
        Some("editions.begin") => {
            rollout_calls::begin_rollout(controller, &body.bytes, &path).await
        }
        Some("editions.read") => {
            let service = query_value(&query, "of").unwrap_or("");
            rollout_calls::read_rollout(controller, service, &path).await
        }
        found => {
            let expected = "config.replace, config.read, editions.begin or editions.read";
            bad_request("call", found.unwrap_or("nothing"), expected)
        }
    }
}
