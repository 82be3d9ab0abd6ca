//! Forwards to nodes: the client's own bytes, a time-out over all of it, and how it ended.

use crate::wire::end::End;
use crate::wire::line::{self, Trace};
use crate::wire::{headers, whole, Unread, BODY_MOST};
use actix_http::error::ParseError;
use actix_http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use awc::error::{ConnectError, SendRequestError};
use awc::Client;
use bytes::Bytes;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Method, Uri};
use std::net::SocketAddr;
use std::time::Duration;

/// A hit as it came: what goes on unchanged.
pub struct Parcel {
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: awc::http::header::HeaderMap,
    pub body: Bytes,
}

/// How to reach a node: its address and the connections kept to it. A copy uses the same connections; they
/// close when the last copy is dropped.
#[derive(Clone)]
pub struct Reach {
    pub address: SocketAddr,
    authority: Authority,
    client: Client,
}

/// What a node reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub holds: Option<f64>,
    pub service: Option<f64>,
}

impl Reach {
    pub fn new(address: SocketAddr, connect: Duration, idle: Duration) -> Result<Reach, String> {
        let authority = address.to_string().parse().map_err(|e| format!("{address}: {e}"))?;
        Ok(Reach { address, authority, client: line::client(connect, idle) })
    }

    /// Sends a hit and waits for its end, all within `limit`. Dropping this closes the connection.
    pub async fn forward(&self, parcel: &Parcel, limit: Duration) -> (End, Report) {
        let sending = tokio::time::timeout(limit, self.send(parcel, limit));
        let (ended, trace) = line::traced(sending).await;
        match ended {
            Ok(Ok(answer)) => answer,
            Ok(Err(end)) => (cut(&trace, end), Report::default()),
            Err(_) if !trace.begun.get() => (End::NeverUp, Report::default()),
            Err(_) if trace.short.get() => (End::CutBefore, Report::default()),
            Err(_) => (End::Silent, Report::default()),
        }
    }

    async fn send(&self, parcel: &Parcel, limit: Duration) -> Result<(End, Report), End> {
        let uri = Uri::builder().scheme(Scheme::HTTP).authority(self.authority.clone());
        let uri = uri.path_and_query(parcel.target.clone()).build().map_err(|_| End::Nowhere)?;
        let mut call = self.client.request(parcel.method.clone(), uri).address(self.address).camel_case();
        *call.headers_mut() = parcel.headers.clone();
        let call = call.no_decompress().insert_header((headers::REMAINING, limit.as_millis() as u64));
        let answered = if parcel.body.is_empty() {
            call.send().await
        } else {
            call.send_body(parcel.body.clone()).await
        };
        let mut answer = answered.map_err(failed)?;
        let report = report(answer.headers().get(headers::PRESSURE).and_then(|v| v.to_str().ok()));
        let status = answer.status().as_u16();
        let length =
            answer.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
        let chunked = answer.headers().contains_key(TRANSFER_ENCODING);
        let turned_away = answer.headers().get(headers::TURNED_AWAY).is_some_and(|v| v.as_bytes() == b"1");
        let kind = answer.headers().get(CONTENT_TYPE).cloned();
        let body = whole(&mut answer, BODY_MOST).await;
        let end = match (status, body) {
            (503 | 504, _) if turned_away => End::TurnedAway,
            (200, Ok(body)) if length.is_none_or(|l| l == body.len()) && !(chunked && ended()) => {
                End::Answered { kind, body }
            }
            (200, Ok(_) | Err(Unread::Broken(_))) => End::CutAfter,
            (200, Err(Unread::TooLarge)) => End::TooLarge,
            _ => End::Failed,
        };
        Ok((end, report))
    }
}

/// Whether the node's sending ended while its answer was read: one in pieces is whole before that.
fn ended() -> bool {
    line::TRACE.try_with(|t| t.ended.get()).unwrap_or(false)
}

/// What the client library's error says by itself.
fn failed(error: SendRequestError) -> End {
    const NO_ROOM: [i32; 2] = [23, 24]; // ENFILE, EMFILE
    log::debug!("forward: {error:?}");
    match error {
        SendRequestError::Connect(ConnectError::Timeout) => End::NeverUp,
        SendRequestError::Connect(ConnectError::Io(e))
            if e.raw_os_error().is_some_and(|c| NO_ROOM.contains(&c)) =>
        {
            End::NoRoom
        }
        SendRequestError::Connect(_) => End::Refused,
        SendRequestError::Response(ParseError::Io(_) | ParseError::Incomplete) => End::CutAfter,
        SendRequestError::Response(_) => End::Unreadable,
        SendRequestError::Url(_) | SendRequestError::Http(_) => End::Nowhere,
        _ => End::CutAfter,
    }
}

/// What the connection proves besides. The library calls an answer that never came a failed connect, too:
/// only a connection on which nothing was written has failed to connect, and only one on which the last write
/// took less than it was offered has not carried the whole hit.
fn cut(trace: &Trace, end: End) -> End {
    match end {
        _ if trace.short.get() => End::CutBefore,
        End::Refused | End::NeverUp | End::NoRoom | End::Nowhere if trace.begun.get() => End::CutAfter,
        End::CutAfter if !trace.begun.get() => End::Refused,
        end => end,
    }
}

/// A node's word on its load: `name=value,name=value` under the settings' names.
fn report(line: Option<&str>) -> Report {
    let pairs = || line.unwrap_or("").split(',').filter_map(|pair| pair.split_once('='));
    let find = |name: &str| pairs().find(|(n, _)| n.trim() == name).and_then(|(_, v)| v.trim().parse().ok());
    Report { holds: find("concurrent"), service: find("mean_ms").map(|ms: f64| ms / 1e3) }
}
