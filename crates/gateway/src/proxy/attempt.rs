//! One attempt: a request sent to one endpoint, and how that ended.

use super::attempt_plan::Attempt;
use super::attempt_report::{self, listed, AttemptEnd};
use super::cancellation::Cancellation;
use super::metrics::WithheldReason;
use super::responses::ProxyResponse;
use super::state::{is_serving_version, ProxyState};
use super::upstream_connection::{CancelHandle, SendError, UpstreamConnection};
use super::upstream_request::UpstreamRequest;
use super::upstream_response::UpstreamResponse;
use super::{upstream_response, Proxy};
use crate::body_pieces::PiecesBody;
use crate::clock::{duration, now, Micros};
use hyper::Request;
use magpieline_http1::attempt_outcome::AttemptOutcome;
use magpieline_load_balancer::endpoint_selection::ReportedLoad;
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// An endpoint takes a connection within a few milliseconds; one that is dead or whose queue is full says nothing.
const CONNECT_TIMEOUT: Micros = 250_000;
/// A connection becomes free within a moment after a response, unless its endpoint has answered without reading all of the
/// request and does not read the rest.
const FREE_TIMEOUT: Micros = 1_000_000;

/// What an attempt brings its request.
pub(super) struct AttemptResult {
    pub(super) outcome: AttemptOutcome,
    /// The response for the client, if there is one.
    pub(super) response: Option<ProxyResponse>,
}

impl AttemptResult {
    fn without_response(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            response: None,
        }
    }
}

/// What has come of an attempt so far, however it ends.
#[derive(Default)]
struct Progress {
    load: Option<ReportedLoad>,
    /// By this it is cancelled; none where nothing was handed to a connection.
    cancel_handle: Option<CancelHandle>,
    /// It was not sent for a reason that is none of the endpoint's.
    was_withheld: bool,
    /// The connection after a valid response, and how long its endpoint keeps it.
    reusable: Option<(UpstreamConnection, Option<Micros>)>,
}

impl Progress {
    /// The time is over. Where no byte of the request has left by now, none will.
    fn on_timeout(&mut self) -> AttemptResult {
        let is_unsent = self.cancel_handle.take().is_none_or(CancelHandle::cancel);
        AttemptResult::without_response(match is_unsent {
            true => AttemptOutcome::NotSent,
            false => AttemptOutcome::TimedOut,
        })
    }

    /// The request is not written, for a reason that is none of the endpoint's.
    fn withhold(&mut self, proxy: &Proxy, reason: WithheldReason) -> AttemptResult {
        proxy.metrics.on_withheld(reason);
        self.was_withheld = true;
        AttemptResult::without_response(AttemptOutcome::NotSent)
    }
}

/// Counts an attempt while it is in flight, however it ends.
struct InFlight(Arc<Proxy>);

impl InFlight {
    fn new(proxy: Arc<Proxy>) -> InFlight {
        proxy.attempts_in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(proxy)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.attempts_in_flight.fetch_sub(1, Ordering::Relaxed);
        self.0.attempt_ended.notify_waiters();
    }
}

/// Starts an attempt; its result comes by `results`. Once `client_left` is cancelled, an attempt that is not written yet never is,
/// and an idempotent one is cut off unless it ends soon: HTTP/1.1 stops an endpoint only by closing its connection. One
/// that is not idempotent goes on, as does one whose request another attempt has answered.
pub(super) fn start(
    proxy: Arc<Proxy>,
    attempt: Attempt,
    request: Arc<UpstreamRequest>,
    results: UnboundedSender<AttemptResult>,
    client_left: CancellationToken,
) {
    let sent_at = now();
    let number = attempt_report::on_sent(&mut proxy.state(), &attempt, sent_at);
    let in_flight = InFlight::new(proxy.clone());
    tokio::spawn(async move {
        let _in_flight = in_flight;
        let mut progress = Progress::default();
        let left = duration(request.deadline.saturating_sub(sent_at));
        let cancellation = Cancellation::new(&attempt.route, client_left);
        let work = run(&proxy, &attempt, &request, &cancellation, &mut progress);
        let (result, client_left_at) = cancellation.observe(timeout(left, work)).await;
        let result = result.unwrap_or_else(|_| progress.on_timeout());
        attempt_report::to_metrics(&proxy, &attempt, results.is_closed(), client_left_at);
        let end = AttemptEnd {
            number,
            sent_at,
            outcome: result.outcome,
            was_withheld: progress.was_withheld,
            load: progress.load,
        };
        attempt_report::to_state(&mut proxy.state(), &attempt, &end);
        let _ = results.send(result);
        drop(request);
        // Nobody waits for this any more.
        if let Some((connection, keep_alive)) = progress.reusable.take() {
            keep_connection(&proxy, &attempt, connection, keep_alive).await;
        }
    });
}

/// Sends a request over a kept connection, or a new one if there is none, and reads the response.
async fn run(
    proxy: &Arc<Proxy>,
    attempt: &Attempt,
    request: &UpstreamRequest,
    cancellation: &Cancellation,
    progress: &mut Progress,
) -> AttemptResult {
    loop {
        let kept = proxy.pool().take(&attempt.id);
        let is_new = kept.is_none();
        let connection = match kept {
            Some(connection) => Some(connection),
            None => tokio::select! {
                biased;
                connection = connect(proxy, attempt.address) => connection,
                () = cancellation.client_left() => {
                    return progress.withhold(proxy, WithheldReason::ClientLeft);
                }
            },
        };
        let Some(mut connection) = connection else {
            return AttemptResult::without_response(AttemptOutcome::NotSent);
        };
        if let Some(reason) = withheld_reason(proxy, attempt, request, cancellation) {
            return progress.withhold(proxy, reason);
        }
        let Some(sent) = request.for_endpoint(&attempt.id) else {
            progress.was_withheld = true;
            return AttemptResult::without_response(AttemptOutcome::NotSent);
        };
        progress.cancel_handle = Some(connection.cancel_handle());
        let cancelled = cancellation.of_sent(connection.cancel_handle());
        let exchanged = tokio::select! {
            biased;
            exchanged = exchange(proxy, &mut connection, sent, request) => exchanged,
            is_unsent = cancelled => {
                return match is_unsent {
                    true => progress.withhold(proxy, WithheldReason::ClientLeft),
                    false => AttemptResult::without_response(AttemptOutcome::Cancelled),
                };
            }
        };
        let outcome = match exchanged {
            Ok(response) => {
                progress.load = response.load;
                if response.is_reusable {
                    progress.reusable = Some((connection, response.keep_alive));
                }
                return AttemptResult {
                    outcome: response.outcome,
                    response: response.response,
                };
            }
            // A kept connection that had ended is no sign of anything.
            Err(SendError::NotSent) if !is_new => {
                progress.cancel_handle = None;
                continue;
            }
            Err(SendError::NotSent) => AttemptOutcome::NotSent,
            Err(SendError::InvalidResponse) => AttemptOutcome::InvalidResponse,
            Err(SendError::ConnectionLost) => AttemptOutcome::ConnectionLost,
        };
        return AttemptResult::without_response(outcome);
    }
}

/// Sends a request over a connection and reads the response whole.
async fn exchange(
    proxy: &Proxy,
    connection: &mut UpstreamConnection,
    sent: Request<PiecesBody>,
    request: &UpstreamRequest,
) -> Result<UpstreamResponse, SendError> {
    let response = connection.send(sent).await?;
    Ok(upstream_response::read(&proxy.memory, request, response).await)
}

async fn connect(proxy: &Proxy, address: SocketAddrV4) -> Option<UpstreamConnection> {
    let stream = (proxy.connector)(address, CONNECT_TIMEOUT).await.ok()?;
    UpstreamConnection::handshake(stream).await
}

/// Returns why a request may not be written any more to the endpoint that was chosen for it: what was known then may have
/// changed while the connection came up. None: it may.
fn withheld_reason(
    proxy: &Proxy,
    attempt: &Attempt,
    request: &UpstreamRequest,
    cancellation: &Cancellation,
) -> Option<WithheldReason> {
    if cancellation.has_client_left() {
        return Some(WithheldReason::ClientLeft);
    }
    let (state, now) = (proxy.state(), now());
    let Some(listed) = listed(&state, attempt).filter(|listed| !listed.is_draining) else {
        return Some(WithheldReason::EndpointLeft);
    };
    if !is_version_allowed(&state, attempt, &listed.version) {
        return Some(WithheldReason::VersionLeft);
    }
    if !is_route_current(&state, attempt, request) {
        return Some(WithheldReason::RouteChanged);
    }
    if now >= request.deadline {
        return Some(WithheldReason::DeadlinePassed);
    }
    let list_age = now.saturating_sub(state.endpoint_view.as_of().unwrap_or(0));
    proxy.metrics.on_attempt(list_age);
    None
}

fn is_version_allowed(state: &ProxyState, attempt: &Attempt, version: &str) -> bool {
    let part = state.rollouts.get(&*attempt.service);
    let is_on_trial = attempt.is_trial && part.is_some_and(|part| part.target_version == version);
    is_on_trial || is_serving_version(state.services.get(&*attempt.service), version)
}

/// Whether the configuration in force sends the request to the same service, and is as sure that it may run again.
fn is_route_current(state: &ProxyState, attempt: &Attempt, request: &UpstreamRequest) -> bool {
    let Some(config) = &state.config else {
        return false;
    };
    if config.version == attempt.config_version {
        return true;
    }
    let Some(route) = config.routes().find(request.host(), request.uri.path()) else {
        return false;
    };
    route.idempotency == attempt.route.idempotency
        && route
            .destinations
            .iter()
            .any(|destination| destination.service == attempt.service)
}

/// Keeps a connection for further requests, once it is free.
async fn keep_connection(
    proxy: &Proxy,
    attempt: &Attempt,
    mut connection: UpstreamConnection,
    keep_alive: Option<Micros>,
) {
    let is_free = timeout(duration(FREE_TIMEOUT), connection.ready()).await;
    if !is_free.unwrap_or(false) {
        return;
    }
    let is_listed = listed(&proxy.state(), attempt).is_some_and(|listed| !listed.is_draining);
    if is_listed {
        proxy.pool().put(attempt.id.clone(), connection, keep_alive);
    }
}
