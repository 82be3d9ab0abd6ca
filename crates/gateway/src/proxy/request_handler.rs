//! Handles one request of a client: finds its route, reads its body, and responds.

use super::client_connection::ClientConnection;
use super::client_stream::ClientStream;
use super::early_response::EarlyResponse;
use super::forwarding::ResolvedRoute;
use super::responses::{self, ProxyResponse};
use super::upstream_request::{UpstreamRequest, TIME_LEFT, TRY_ID};
use super::{forwarding, Proxy};
use crate::clock::{self, now, Micros};
use crate::held_body::{HeldBody, ReadError};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use magpieline_config::route_table::{Idempotency, Route};
use magpieline_http1::attempt_outcome::NextStep;
use magpieline_http1::framing::request_framing::EarlyRequest;
use magpieline_http1::framing::{head, FramingError};
use magpieline_memory_budget::Purpose;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A request that comes before the proxy has any configuration waits for it this long: a leader is found, or another machine's
/// answer, in less.
const INITIALIZATION_TIMEOUT: Micros = 500_000;
/// A client that does not say how long it waits is taken to wait as long as its route allows.
const UNLIMITED: Micros = Micros::MAX;
/// A request waits for memory for its body during this part of the time that it has: the body is still to come then.
const MEMORY_WAIT_PART: Micros = 3;
/// Headers that a request usually has.
const COMMON_HEADERS: usize = 12;

/// Counts a request while it is in progress, however it ends.
struct InProgress<'a>(&'a Proxy);

impl InProgress<'_> {
    fn new(proxy: &Proxy) -> InProgress<'_> {
        proxy.requests_in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(proxy)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.requests_in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// When a request came, and whether its client is still there.
struct Arrival {
    received_at: Micros,
    client_left: CancellationToken,
}

/// Handles a request whose turn has come on its connection.
pub(super) async fn handle<S: ClientStream>(
    proxy: &Arc<Proxy>,
    connection: &ClientConnection<S>,
    request: Request<Incoming>,
) -> ProxyResponse {
    let _in_progress = InProgress::new(proxy);
    let (received_at, early) = connection.begin_request();
    let mut response = match early {
        Some(early) => early
            .response()
            .await
            .unwrap_or_else(|| responses::failed(NextStep::BadGateway, received_at)),
        None => handle_in_turn(proxy, connection, received_at, request).await,
    };
    if let Some(error) = connection.body_error() {
        response = invalid_body(error);
    }
    // Those behind it that are in progress get their responses first.
    let has_early = connection.finish_request(response.body_mut().take_reservation());
    if !has_early && proxy.is_shutting_down() {
        response = responses::closing(response);
    }
    proxy.metrics.on_response(response.status().as_u16());
    response
}

/// Handles a request that was not started early.
async fn handle_in_turn<S: ClientStream>(
    proxy: &Arc<Proxy>,
    connection: &ClientConnection<S>,
    received_at: Micros,
    request: Request<Incoming>,
) -> ProxyResponse {
    let (head, body) = request.into_parts();
    let resolved = match proxy.wait_until_initialized(INITIALIZATION_TIMEOUT).await {
        true => resolve(proxy, &head),
        false => Err(Box::new(responses::not_initialized())),
    };
    match resolved {
        Ok(resolved) => {
            let arrival = Arrival {
                received_at,
                client_left: connection.client_left(),
            };
            let on_idempotent = || connection.mark_idempotent();
            respond(proxy, arrival, head, body, resolved, on_idempotent).await
        }
        Err(response) if body.is_end_stream() => *response,
        // What is not read of a body stands in the way of the next request.
        Err(response) => responses::closing(*response),
    }
}

fn invalid_body(error: FramingError) -> ProxyResponse {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    responses::closing(responses::own(status, format!("{}\n", error.text())))
}

/// Starts a request before its turn, if it is idempotent.
pub(super) fn start_early(
    proxy: &Arc<Proxy>,
    request: EarlyRequest<'_>,
    client_left: CancellationToken,
) -> Option<EarlyResponse> {
    let head = parse_head(request.head)?;
    let resolved = resolve(proxy, &head).ok()?;
    if resolved.route.idempotency != Idempotency::Idempotent {
        return None;
    }
    let proxy = proxy.clone();
    let arrival = Arrival {
        received_at: request.received_at,
        client_left,
    };
    Some(EarlyResponse::new(tokio::spawn(async move {
        let _in_progress = InProgress::new(&proxy);
        let body = Empty::<Bytes>::new();
        respond(&proxy, arrival, head, body, resolved, || {}).await
    })))
}

/// Parses a head that the framing has found valid.
fn parse_head(bytes: &[u8]) -> Option<Parts> {
    let (method, target) = head::method_and_target(bytes)?;
    let request = Request::builder().method(method).uri(target);
    let mut request = request.body(()).ok()?;
    let headers = request.headers_mut();
    headers.reserve(COMMON_HEADERS);
    for (name, value) in head::headers(bytes) {
        let name = HeaderName::from_bytes(name).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(request.into_parts().0)
}

/// Finds the route of a request by the configuration in force.
///
/// # Errors
///
/// If there is none; the error is the response.
fn resolve(proxy: &Proxy, head: &Parts) -> Result<ResolvedRoute, Box<ProxyResponse>> {
    let Some(config) = proxy.state().config.clone() else {
        return Err(Box::new(responses::not_initialized()));
    };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or("");
    match config.routes().find(host, head.uri.path()).cloned() {
        Some(route) => Ok(ResolvedRoute { config, route }),
        None => Err(Box::new(responses::no_route(host, head.uri.path()))),
    }
}

/// Reads a request's body, forwards the request, and returns its response. `on_idempotent` is called once it is known to be
/// idempotent.
async fn respond<B>(
    proxy: &Arc<Proxy>,
    arrival: Arrival,
    head: Parts,
    body: B,
    resolved: ResolvedRoute,
    on_idempotent: impl FnOnce(),
) -> ProxyResponse
where
    B: Body<Data = Bytes>,
{
    let Arrival {
        received_at,
        client_left,
    } = arrival;
    let client_timeout = client_timeout(&head);
    let max_body_bytes = resolved.config.client_limits.body_bytes;
    // Each byte of a body restarts its idle timeout; the deadline bounds them all.
    let body_deadline = received_at.saturating_add(client_timeout.min(resolved.route.timeout));
    let body = tokio::select! {
        biased;
        body = read_body(proxy, &head, body, max_body_bytes, body_deadline) => body,
        () = clock::sleep_until(body_deadline) => {
            return unforwarded(proxy, &head, &resolved.route, responses::body_too_late());
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(ReadError::TooLong) => return responses::body_too_large(max_body_bytes),
        Err(ReadError::Incomplete) => return responses::incomplete_body(),
        Err(ReadError::NoMemory(refusal)) => {
            proxy.metrics.memory.on_refused(refusal);
            tracing::debug!(target: "request", "Not read: {refusal}.");
            return unforwarded(
                proxy,
                &head,
                &resolved.route,
                responses::no_memory(body_deadline),
            );
        }
    };
    // It is received now, and what is in force now holds for it: a body may have been long in coming.
    let is_current = proxy.config_version() == Some(resolved.config.version);
    let resolved = match is_current {
        true => Ok(resolved),
        false => resolve(proxy, &head),
    };
    let resolved = match resolved {
        Ok(resolved) => resolved,
        Err(response) => return *response,
    };
    if resolved.route.idempotency == Idempotency::Idempotent {
        on_idempotent();
    }
    let deadline = received_at.saturating_add(client_timeout.min(resolved.route.timeout));
    if !proxy.admits(deadline) {
        let response = responses::shutting_down(deadline);
        return unforwarded(proxy, &head, &resolved.route, response);
    }
    let request = UpstreamRequest::new(head, body, deadline);
    forwarding::forward(proxy, resolved, Arc::new(request), client_left).await
}

/// Returns the response to a request that is not forwarded: `promise`, by which it never ran, unless its client repeats one that
/// may have.
fn unforwarded(
    proxy: &Proxy,
    head: &Parts,
    route: &Route,
    promise: ProxyResponse,
) -> ProxyResponse {
    let is_idempotent = route.idempotency == Idempotency::Idempotent;
    let id = head.headers.get(TRY_ID).filter(|_| !is_idempotent);
    let path = head.uri.path();
    match id.is_some_and(|id| proxy.seen_requests().has_admitted(id.as_bytes(), path)) {
        true => responses::closing(responses::duplicate()),
        false => promise,
    }
}

/// Reads a body of `max` bytes at most, once there is memory for it: for that it waits a part of the time left until `deadline`.
///
/// # Errors
///
/// If it is longer, there is no memory for it, or it does not come whole.
async fn read_body<B>(
    proxy: &Proxy,
    head: &Parts,
    body: B,
    max: u64,
    deadline: Micros,
) -> Result<HeldBody, ReadError>
where
    B: Body<Data = Bytes>,
{
    if body.is_end_stream() {
        return Ok(HeldBody::default());
    }
    let length = content_length(head).unwrap_or(0);
    if length > max {
        return Err(ReadError::TooLong);
    }
    let wait_until = now() + deadline.saturating_sub(now()) / MEMORY_WAIT_PART;
    let reservation = proxy.memory.reserve(Purpose::Request, length, wait_until);
    let reservation = reservation.await.map_err(ReadError::NoMemory)?;
    HeldBody::read(body, max, reservation).await
}

fn content_length(head: &Parts) -> Option<u64> {
    let value = head.headers.get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Returns how long a client waits.
fn client_timeout(head: &Parts) -> Micros {
    let text = head
        .headers
        .get(TIME_LEFT)
        .and_then(|value| value.to_str().ok());
    let milliseconds = text.and_then(|text| text.parse::<f64>().ok());
    let valid = milliseconds.filter(|ms| ms.is_finite() && *ms >= 0.0);
    valid.map_or(UNLIMITED, |ms| (ms * 1e3) as Micros)
}
