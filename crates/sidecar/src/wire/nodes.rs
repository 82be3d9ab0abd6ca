//! Forwards to nodes: the client's own bytes, a time-out over all of it, and how it ended.

use crate::wire::framing::Spoilt;
use crate::wire::line::{self, Trace};
use crate::wire::{headers, whole, Unread, BODY_MOST};
use actix_http::error::ParseError;
use actix_http::header::CONTENT_TYPE;
use awc::error::{ConnectError, SendRequestError};
use awc::Client;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Method, Uri};
use magpieline_dispatch::{End, Load, Way, Ways};
use magpieline_resp_listener::{Login, Pipes};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The head of a hit as it came: what goes on unchanged.
pub struct Head {
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: awc::http::header::HeaderMap,
}

/// How long a connect to a node may take, and how long a connection to it idles. New settings change them for
/// nodes that are listed from then on.
#[derive(Clone, Copy)]
pub struct Times {
    pub connect: Duration,
    pub idle: Duration,
}

/// Ways to nodes over HTTP/1.1, and over RESP to those that are listed with it.
pub fn ways(times: Rc<Cell<Times>>, login: Option<Login>, seed: u64) -> Ways {
    Box::new(move |address, speaks| {
        let Times { connect, idle } = times.get();
        if speaks == magpieline_resp_listener::SPEAKS {
            let spread = seed ^ magpieline_dispatch::hash(address.to_string().as_bytes());
            return Ok(Rc::new(Pipes::new(
                address,
                connect,
                idle,
                login.clone(),
                spread,
            )));
        }
        Ok(Rc::new(Reach::new(address, connect, idle)?))
    })
}

impl Way for Reach {
    fn forward(&self, load: Rc<Load>, limit: Duration) -> LocalBoxFuture<'static, End> {
        let own = self.clone();
        Box::pin(async move {
            match (
                load.head.downcast_ref::<Head>(),
                magpieline_ext_proc::call(&load),
            ) {
                (Some(head), _) => own.forward(head, &load.body, limit).await,
                // The forward is another proxy's.
                (None, Some(call)) => call.forward(own.address, limit).await,
                (None, None) => End::Nowhere, // another front's hit
            }
        })
    }
}

/// How to reach a node: its address and the connections kept to it. A copy uses the same connections; they
/// close when the last copy is dropped.
#[derive(Clone)]
pub struct Reach {
    pub address: SocketAddr,
    authority: Authority,
    client: Client,
}

impl Reach {
    pub fn new(address: SocketAddr, connect: Duration, idle: Duration) -> Result<Reach, String> {
        let authority = address
            .to_string()
            .parse()
            .map_err(|e| format!("{address}: {e}"))?;
        Ok(Reach {
            address,
            authority,
            client: line::client(connect, idle, Some(BODY_MOST)),
        })
    }

    /// Sends a hit and waits for its end, all within `limit`. Dropping this closes the connection.
    pub async fn forward(&self, head: &Head, body: &Bytes, limit: Duration) -> End {
        let sending = tokio::time::timeout(limit, self.send(head, body, limit));
        let (ended, trace) = line::traced(sending).await;
        ended
            .unwrap_or(Err(End::Silent))
            .unwrap_or_else(|end| cut(&trace, end))
    }

    async fn send(&self, head: &Head, body: &Bytes, limit: Duration) -> Result<End, End> {
        let uri = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(self.authority.clone());
        let uri = uri
            .path_and_query(head.target.clone())
            .build()
            .map_err(|_| End::Nowhere)?;
        let mut call = self
            .client
            .request(head.method.clone(), uri)
            .address(self.address)
            .camel_case();
        *call.headers_mut() = head.headers.clone();
        let call = call
            .no_decompress()
            .insert_header((headers::REMAINING, limit.as_millis() as u64));
        let answered = if body.is_empty() {
            call.send().await
        } else {
            call.send_body(body.clone()).await
        };
        let mut answer = answered.map_err(failed)?;
        let status = answer.status().as_u16();
        let turned_away = answer
            .headers()
            .get(headers::TURNED_AWAY)
            .is_some_and(|v| v.as_bytes() == b"1");
        let kind = answer
            .headers()
            .get(CONTENT_TYPE)
            .map(|v| Bytes::copy_from_slice(v.as_bytes()));
        let whole_body = whole(&mut answer, BODY_MOST).await;
        Ok(match (status, whole_body) {
            (503 | 504, _) if turned_away => End::TurnedAway,
            (200, Ok(body)) => End::Answered { kind, body },
            (200, Err(Unread::Broken(_))) => End::CutAfter,
            (200, Err(Unread::TooLarge)) => End::TooLarge,
            _ => End::Failed,
        })
    }
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
        _ if trace.spoilt() == Some(Spoilt::Unreadable) => End::Unreadable,
        _ if trace.spoilt() == Some(Spoilt::TooLarge) => End::TooLarge,
        End::Refused | End::NeverUp | End::NoRoom | End::Nowhere if trace.begun.get() => {
            End::CutAfter
        }
        End::CutAfter if !trace.begun.get() => End::Refused,
        End::Silent if !trace.begun.get() => End::NeverUp,
        end => end,
    }
}

#[cfg(test)]
mod tests;
