//! Reads an endpoint's response whole, and says what it proves.

use super::responses::{self, ProxyResponse};
use super::upstream_request::{without_hop_by_hop, UpstreamRequest, TRY_ID};
use crate::clock::Micros;
use crate::held_body::HeldBody;
use crate::memory::MemoryBudget;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, CONTENT_ENCODING, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use magpieline_http1::attempt_outcome::{promises_unprocessed, AttemptOutcome};
use magpieline_load_balancer::endpoint_selection::ReportedLoad;
use magpieline_memory_budget::Purpose;

/// The longest body that is held.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// A successful response carries this one.
const POSTMARK: HeaderName = HeaderName::from_static("postmark");
/// By this one an endpoint says that it did not run the request.
const NOT_DELIVERED: HeaderName = HeaderName::from_static("not-delivered");
/// The endpoint's load.
const LOAD: HeaderName = HeaderName::from_static("load");
/// How long the endpoint keeps the connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// What an endpoint's response says.
pub(super) struct UpstreamResponse {
    /// What it proves of the request.
    pub(super) outcome: AttemptOutcome,
    /// The response for the client, if it is one.
    pub(super) response: Option<ProxyResponse>,
    /// The load that the endpoint reported.
    pub(super) load: Option<ReportedLoad>,
    /// How long the endpoint keeps the connection, if it says so.
    pub(super) keep_alive: Option<Micros>,
    /// Whether the connection may be used again.
    pub(super) is_reusable: bool,
}

impl UpstreamResponse {
    fn unusable(outcome: AttemptOutcome) -> UpstreamResponse {
        UpstreamResponse {
            outcome,
            response: None,
            load: None,
            keep_alive: None,
            is_reusable: false,
        }
    }
}

/// Reads the response to a request, once there is memory for its body.
pub(super) async fn read(
    memory: &MemoryBudget,
    request: &UpstreamRequest,
    response: Response<Incoming>,
) -> UpstreamResponse {
    let (head, body) = response.into_parts();
    // Another request's response, come late.
    if head.headers.get(TRY_ID) != request.headers.get(TRY_ID) {
        return UpstreamResponse::unusable(AttemptOutcome::InvalidResponse);
    }
    // Without a length the end of a body can't be told from a lost connection.
    let has_end =
        body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING);
    let Some(body) = read_body(memory, body, request.deadline).await else {
        return UpstreamResponse::unusable(AttemptOutcome::ConnectionLost);
    };
    let load = parse_load(&head.headers);
    if !has_end || !is_genuine(head.status, &head.headers) {
        return UpstreamResponse {
            load,
            ..UpstreamResponse::unusable(AttemptOutcome::InvalidResponse)
        };
    }
    let status = head.status.as_u16();
    let mut result = UpstreamResponse {
        outcome: AttemptOutcome::Answered { status },
        response: None,
        load,
        keep_alive: parse_keep_alive(&head.headers),
        is_reusable: true,
    };
    if is_rejection(head.status, &head.headers) {
        result.outcome = AttemptOutcome::Rejected;
    } else if !promises_unprocessed(status) {
        let headers = without_hop_by_hop(head.headers);
        result.response = Some(responses::upstream(head.status, headers, body));
    }
    result
}

/// Reads a body whole; none if it is too long or breaks off. It waits for memory until the deadline: its request has run, and
/// nobody is helped by giving it up before.
async fn read_body(memory: &MemoryBudget, body: Incoming, deadline: Micros) -> Option<HeldBody> {
    let length = body.size_hint().exact().unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return None;
    }
    let reservation = memory.reserve(Purpose::Response, length, deadline).await;
    HeldBody::read(body, MAX_BODY_BYTES, reservation.ok()?)
        .await
        .ok()
}

/// Whether the endpoint itself has sent the response, as it was.
fn is_genuine(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_postmark = headers.contains_key(POSTMARK) || !status.is_success();
    has_postmark && !headers.contains_key(CONTENT_ENCODING)
}

/// Whether the endpoint says that it did not run the request.
fn is_rejection(status: StatusCode, headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_DELIVERED) || status == StatusCode::MISDIRECTED_REQUEST
}

/// Parses `Load`: requests running, requests waiting, and how many may run, joined by commas.
fn parse_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    let mut next = || numbers.next()?.ok();
    Some(ReportedLoad {
        running: next()?,
        waiting: next()?,
        concurrency: next()?,
    })
}

/// Parses the time that `Keep-Alive` gives, in whole seconds.
fn parse_keep_alive(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let parts = text.split([',', ';']).map(str::trim);
    let mut seconds = parts.filter_map(|part| {
        part.strip_prefix("timeout=")
            .unwrap_or(part)
            .parse::<u64>()
            .ok()
    });
    seconds
        .next()
        .map(|seconds| seconds.saturating_mul(1_000_000))
}
