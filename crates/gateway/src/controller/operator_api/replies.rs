//! Replies to operators' calls.

use super::super::Controller;
use crate::clock::{duration, Micros};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use jzon::JsonValue as Json;
use magpieline_config::diagnostic::Diagnostic;
use std::net::SocketAddrV4;

/// A caller whose document finds no memory comes back after this; others take a few seconds.
const RETRY_AFTER_NO_MEMORY: HeaderValue = HeaderValue::from_static("1");

/// A reply to an operator.
pub(super) type Reply = Response<Full<Bytes>>;

pub(super) fn reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// A refusal, with all that is wrong.
pub(super) fn refusal(status: StatusCode, diagnostics: &[Diagnostic]) -> Reply {
    let entry = |diagnostic: &Diagnostic| {
        jzon::object! {
            place: diagnostic.path.as_str(),
            found: diagnostic.found.as_str(),
            expected: diagnostic.expected.as_str()
        }
    };
    let list: Vec<Json> = diagnostics.iter().map(entry).collect();
    reply(status, jzon::object! { fault: list }.dump())
}

pub(super) fn refuse(status: StatusCode, path: &str, found: &str, expected: &str) -> Reply {
    refusal(status, &[Diagnostic::new(path, found, expected)])
}

pub(super) fn bad_request(path: &str, found: &str, expected: &str) -> Reply {
    refuse(StatusCode::BAD_REQUEST, path, found, expected)
}

/// Asks the caller to come back; nothing is known to have been done.
pub(super) fn unavailable(path: &str, found: &str, expected: &str) -> Reply {
    refuse(StatusCode::SERVICE_UNAVAILABLE, path, found, expected)
}

pub(super) fn no_leader() -> Reply {
    unavailable("leader", "none", "one; ask again")
}

pub(super) fn not_committed_in_time() -> Reply {
    unavailable("agreement", "none in time", "ask again")
}

pub(super) fn outcome_unknown() -> Reply {
    unavailable("agreement", "nothing known of it", "ask again")
}

/// Asks the caller to come back after `wait`, as it can't be told yet whether its order was accepted before; nothing was done.
pub(super) fn not_known_yet(wait: Micros) -> Reply {
    let mut reply = unavailable(
        "order",
        "one that may be a copy of an earlier one",
        "ask again",
    );
    let seconds = format!("{:.3}", duration(wait).as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    reply
}

/// Asks the caller to come back, as there is no memory for its document; nothing of it was taken.
pub(super) fn no_memory() -> Reply {
    let mut reply = unavailable("body", "no memory for it now", "send it again");
    let headers = reply.headers_mut();
    headers.insert(RETRY_AFTER, RETRY_AFTER_NO_MEMORY);
    reply
}

pub(super) fn redirect_to(controller: &Controller, leader: SocketAddrV4, path: &str) -> Reply {
    let location = controller
        .operator_address_of(leader)
        .map(|address| format!("http://{address}{path}"));
    let Some(location) = location.and_then(|location| HeaderValue::from_str(&location).ok()) else {
        return no_leader();
    };
    let mut redirect = reply(StatusCode::TEMPORARY_REDIRECT, "{}");
    redirect.headers_mut().insert(LOCATION, location);
    redirect
}
