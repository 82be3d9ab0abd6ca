//! Calls to the controllers' `control` addresses, as operators make them: a few redirects are followed, another
//! address is tried after a failure or silence, with pauses that grow, until there is a clear answer or no time left.

use crate::clock::{duration, now, Micros};
use crate::net::{self, HyperIo};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, LOCATION};
use hyper::Request;
use magpieline_config::durations;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use tokio::time::timeout;

/// Redirects that are followed.
const MAX_REDIRECTS: usize = 2;
/// An address that says nothing for so long is left for the next one,
const RESPONSE_TIMEOUT: Micros = 1_000_000;
/// with so much more for each byte that goes or may come: a megabyte a second.
const TIME_PER_BYTE: Micros = 1;
/// The longest answer that is read; reading a configuration may take the time for so many bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Between rounds through the addresses: the first pause, doubled after each round, and the longest.
const FIRST_PAUSE: Micros = 100_000;
const MAX_PAUSE: Micros = 1_000_000;
/// A rejection that is not final by its status ends a call when it comes so often.
const MAX_DOUBTFUL: u32 = 3;

/// A clear answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) by: SocketAddrV4,
    pub(super) text: String,
}

/// Why there is none.
#[derive(Debug)]
pub(super) enum CallError {
    /// It was refused.
    Rejected {
        by: SocketAddrV4,
        status: u16,
        text: String,
    },
    /// No clear answer in time: what became of each address. An order may be in force all the same.
    Unclear(BTreeMap<SocketAddrV4, String>),
}

/// What a status means to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusMeaning {
    /// It is the answer.
    Success,
    /// Another address answers.
    Redirect,
    /// It ends the call at once.
    Rejected,
    /// Another address is tried; [`MAX_DOUBTFUL`] of these end the call.
    Doubtful,
    /// Another address is tried.
    TryNext,
}

impl StatusMeaning {
    pub(super) fn of(status: u16) -> StatusMeaning {
        match status {
            200..=299 => StatusMeaning::Success,
            307 => StatusMeaning::Redirect,
            400 | 409 | 412 | 413 | 422 => StatusMeaning::Rejected,
            408 | 429 => StatusMeaning::TryNext,
            401..=499 => StatusMeaning::Doubtful,
            _ => StatusMeaning::TryNext,
        }
    }
}

/// Makes a call with one body, again and again until it has a clear answer, for at most `patience`.
pub(super) async fn call(
    addresses: &[SocketAddrV4],
    query: &str,
    body: &str,
    patience: Micros,
) -> Result<Answer, CallError> {
    let (deadline, body) = (now() + patience, Bytes::from(body.to_owned()));
    let (mut pause, mut doubtful, mut tried) = (FIRST_PAUSE, 0, BTreeMap::new());
    loop {
        for first in addresses {
            match call_one(*first, query, &body, deadline).await {
                Ok((by, status, text)) => match StatusMeaning::of(status) {
                    StatusMeaning::Success => return Ok(Answer { by, text }),
                    StatusMeaning::Rejected => {
                        return Err(CallError::Rejected { by, status, text })
                    }
                    StatusMeaning::Doubtful if doubtful + 1 == MAX_DOUBTFUL => {
                        return Err(CallError::Rejected { by, status, text })
                    }
                    other => {
                        doubtful += u32::from(other == StatusMeaning::Doubtful);
                        tried.insert(
                            by,
                            format!("answered {status}: {}", rejection_errors(&text).join("; ")),
                        );
                    }
                },
                Err((by, error)) => {
                    tried.insert(by, error);
                }
            }
        }
        if now() + pause >= deadline {
            return Err(CallError::Unclear(tried));
        }
        tokio::time::sleep(duration(pause)).await;
        pause = (2 * pause).min(MAX_PAUSE);
    }
}

/// Who answered, with which status and text; or whose answer is missing, and why.
type CallResult = Result<(SocketAddrV4, u16, String), (SocketAddrV4, String)>;

/// Makes one call, and follows redirects.
async fn call_one(first: SocketAddrV4, query: &str, body: &Bytes, deadline: Micros) -> CallResult {
    let (mut at, mut path) = (first, format!("/v1/rpc?{query}"));
    for redirects in 0..=MAX_REDIRECTS {
        let response_timeout = RESPONSE_TIMEOUT + TIME_PER_BYTE * body.len() as Micros;
        // The last moments are for an address that may just be slow.
        let within = response_timeout.min(deadline.saturating_sub(now()).max(RESPONSE_TIMEOUT));
        let (status, location, text) = match timeout(duration(within), post(at, &path, body)).await
        {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return Err((at, error)),
            Err(_) => {
                return Err((
                    at,
                    format!("no answer within {}", durations::format(within)),
                ))
            }
        };
        if StatusMeaning::of(status) != StatusMeaning::Redirect {
            return Ok((at, status, text));
        }
        let to = location.as_deref().and_then(parse_location);
        match to {
            Some(to) if redirects < MAX_REDIRECTS => (at, path) = to,
            Some((to, _)) => {
                return Err((
                    at,
                    format!("sent on to {to}, the {}th time", MAX_REDIRECTS + 1),
                ))
            }
            None => {
                return Err((
                    at,
                    format!("sent on to {location:?}, expected http://ADDRESS/PATH"),
                ))
            }
        }
    }
    Err((at, "sent on too often".into()))
}

/// Parses address and path of a `Location`.
pub(super) fn parse_location(location: &str) -> Option<(SocketAddrV4, String)> {
    let rest = location.strip_prefix("http://")?;
    let (at, path) = rest.split_once('/').unwrap_or((rest, ""));
    Some((at.parse().ok()?, format!("/{path}")))
}

/// Status, `Location`, text.
type Response = (u16, Option<String>, String);

async fn post(at: SocketAddrV4, path: &str, body: &Bytes) -> Result<Response, String> {
    let stream = net::connect(at, RESPONSE_TIMEOUT)
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    let broken =
        |e: hyper::Error| format!("found no answer ({e}), expected a controller's control address");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(HyperIo(stream))
        .await
        .map_err(broken)?;
    tokio::spawn(connection);
    let request = Request::post(path)
        .header(HOST, at.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.clone()))
        .map_err(|e| format!("no request: {e}"))?;
    let answer = sender.send_request(request).await.map_err(broken)?;
    let status = answer.status().as_u16();
    let location = answer
        .headers()
        .get(LOCATION)
        .and_then(|l| l.to_str().ok())
        .map(str::to_owned);
    let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body
        .map_err(|e| format!("found a part of an answer ({e}), expected all of it"))?
        .to_bytes();
    let text = String::from_utf8(body.into())
        .map_err(|_| "found bytes that are no text, expected JSON")?;
    Ok((status, location, text))
}

/// Returns the errors in the body of a rejection; the body itself where it names none.
pub(super) fn rejection_errors(text: &str) -> Vec<String> {
    let parsed = jzon::parse(text).ok();
    let list = parsed
        .as_ref()
        .map(|t| t["fault"].members())
        .into_iter()
        .flatten();
    let errors: Vec<String> = list
        .filter_map(|f| {
            let (place, found, expected) = (
                f["place"].as_str()?,
                f["found"].as_str()?,
                f["expected"].as_str()?,
            );
            Some(format!("{place}: found {found}, expected {expected}"))
        })
        .collect();
    match errors.is_empty() {
        true => vec![text.trim().chars().take(200).collect()],
        false => errors,
    }
}
