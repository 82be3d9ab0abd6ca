//! Responses to clients: an endpoint's, and the gateway's own.

use super::response_body::ResponseBody;
use crate::clock::{now, Micros};
use crate::held_body::HeldBody;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use magpieline_http1::attempt_outcome::{retry_after_seconds, NextStep};

/// A response to a client.
pub(super) type ProxyResponse = Response<ResponseBody>;

/// A rejected client is told to come back after this, at most a third of the time that it has left: by then about one
/// request's time has passed.
const RETRY_AFTER_REJECTION: Micros = 150_000;
/// Long bodies take a while to come and go.
const RETRY_AFTER_NO_MEMORY: Micros = 1_000_000;

/// Returns an endpoint's response.
pub(super) fn upstream(status: StatusCode, headers: HeaderMap, body: HeldBody) -> ProxyResponse {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns a response of the gateway's own.
pub(super) fn own(status: StatusCode, text: impl Into<HeldBody>) -> ProxyResponse {
    let mut response = Response::new(text.into().into());
    *response.status_mut() = status;
    response
}

/// Makes a response the last on its connection.
pub(super) fn closing(mut response: ProxyResponse) -> ProxyResponse {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Returns the rejection of a request that never ran, by the time that its client has left.
fn rejected(left: Micros) -> ProxyResponse {
    rejected_for(RETRY_AFTER_REJECTION, "It was not run; come back.\n", left)
}

/// Returns the rejection of a request that never ran; its client is to come back after `wanted`, if it has left so much.
fn rejected_for(wanted: Micros, text: &'static str, left: Micros) -> ProxyResponse {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = retry_after_seconds(wanted, left);
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns the rejection of a request that comes before there is a configuration.
pub(super) fn not_initialized() -> ProxyResponse {
    closing(rejected(RETRY_AFTER_REJECTION * 3))
}

/// Returns the rejection of a request that might be cut off, as the proxy shuts down.
pub(super) fn shutting_down(deadline: Micros) -> ProxyResponse {
    closing(rejected(deadline.saturating_sub(now())))
}

/// Returns the response to a request that no route is for.
pub(super) fn no_route(host: &str, path: &str) -> ProxyResponse {
    own(
        StatusCode::NOT_FOUND,
        format!("No route for {host}{path}.\n"),
    )
}

/// Returns the response to a request whose body is longer than `max`.
pub(super) fn body_too_large(max: u64) -> ProxyResponse {
    closing(own(
        StatusCode::PAYLOAD_TOO_LARGE,
        format!("At most {max} bytes.\n"),
    ))
}

/// Returns the rejection of a request for whose body there is no memory.
pub(super) fn no_memory(deadline: Micros) -> ProxyResponse {
    let text = "There is no memory for its body now; it was not run; come back.\n";
    let left = deadline.saturating_sub(now());
    closing(rejected_for(RETRY_AFTER_NO_MEMORY, text, left))
}

/// Returns the response to a request whose body has broken off.
pub(super) fn incomplete_body() -> ProxyResponse {
    closing(own(
        StatusCode::BAD_REQUEST,
        "The body did not come whole.\n",
    ))
}

/// Returns the response to a request whose body was not there by its deadline.
pub(super) fn body_too_late() -> ProxyResponse {
    closing(own(
        StatusCode::REQUEST_TIMEOUT,
        "The body did not come in time; it was not run.\n",
    ))
}

/// Returns the response to a request that must not run twice and may have run.
pub(super) fn duplicate() -> ProxyResponse {
    own(
        StatusCode::CONFLICT,
        "This Try-Id is at work, or may have run.\n",
    )
}

/// Returns the response to a request that was given up.
pub(super) fn failed(step: NextStep, deadline: Micros) -> ProxyResponse {
    match step {
        NextStep::RejectUnprocessed => rejected(deadline.saturating_sub(now())),
        NextStep::GatewayTimeout => own(
            StatusCode::GATEWAY_TIMEOUT,
            "No answer in time; it may have run.\n",
        ),
        _ => own(
            StatusCode::BAD_GATEWAY,
            "It failed on the way; it may have run.\n",
        ),
    }
}
