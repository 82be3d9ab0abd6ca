//! What a hit must look like. Anything else gets its error here: it reaches no node, is no hit to the
//! decisions, counts for no bound, and says nothing of nodes or builds.

use crate::wire::{headers, BODY_MOST};
use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, CONTENT_LENGTH};
use actix_http::{Method, RequestHead, Response, StatusCode};
use magpieline::interface::Arrival;
use magpieline_dispatch::Exchange;

/// The longest id or key; those in use are a few dozen bytes.
const WORD_MOST: usize = 256;

pub fn plain(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(text.into()))
}

fn bad(text: impl Into<String>) -> Response<BoxBody> {
    plain(StatusCode::BAD_REQUEST, text)
}

/// A header that is there once at most, as text that is not empty.
fn word<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Response<BoxBody>> {
    let mut values = headers.get_all(name);
    let (Some(value), more) = (values.next(), values.next()) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .ok()
        .map(str::trim)
        .filter(|t| !t.is_empty() && t.len() <= WORD_MOST);
    text.filter(|_| more.is_none())
        .map(Some)
        .ok_or_else(|| bad(format!("{name}: expected one word\n")))
}

fn needed<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Response<BoxBody>> {
    word(headers, name)?.ok_or_else(|| bad(format!("{name}: expected\n")))
}

/// A figure that helps where it can be read.
fn figure(headers: &HeaderMap, name: &str) -> Option<f64> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim()
        .parse::<f64>()
        .ok()
        .filter(|n| n.is_finite() && *n >= 0.0)
}

/// Reads a hit's head; what has to be an error otherwise.
pub fn arrival(exchange: &Exchange, head: &RequestHead) -> Result<Arrival, Response<BoxBody>> {
    let first = head
        .uri
        .path()
        .trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or("");
    let Some(group) = exchange.group(first) else {
        return Err(plain(StatusCode::NOT_FOUND, "no such path group\n"));
    };
    let tagged = word(&head.headers, headers::IDEMPOTENCY)?.is_some();
    let fits = match exchange.repeat(group) {
        "retryable" => head.method == Method::GET,
        "dedup" => head.method == Method::POST && tagged,
        _ => head.method == Method::POST && !tagged,
    };
    if !fits {
        return Err(plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "not the method of this path group\n",
        ));
    }
    needed(&head.headers, headers::TXN)?;
    // Whole milliseconds, as the protocol says: a figure beyond all time would be no time-out at all.
    let remaining = needed(&head.headers, headers::REMAINING)?;
    let digits = remaining.bytes().all(|b| b.is_ascii_digit());
    let Some(remaining) = remaining.parse::<u32>().ok().filter(|_| digits) else {
        return Err(bad(format!(
            "{}: expected whole milliseconds\n",
            headers::REMAINING
        )));
    };
    let length = head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
    if length.is_some_and(|l| l > BODY_MOST as u64) {
        return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n"));
    }
    if head.method == Method::GET && length.unwrap_or(0) > 0 {
        return Err(bad("expected no body\n"));
    }
    Ok(Arrival {
        group,
        key: word(&head.headers, headers::ENTITY)?.map(|key| exchange.key(key)),
        account: exchange.account(word(&head.headers, headers::ORG)?.unwrap_or("")),
        remaining: f64::from(remaining) / 1e3,
        hint: figure(&head.headers, headers::ESTIMATE).unwrap_or(0.0) / 1e6,
        ..Arrival::default()
    })
}

#[cfg(test)]
mod tests;
