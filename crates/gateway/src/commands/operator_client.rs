//! Calls to the sorting machines' `control` addresses, as operators make them: a few redirects are followed, another
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
const MOST_MOVES: usize = 2;
/// An address that says nothing for so long is left for the next one,
const SILENCE: Micros = 1_000_000;
/// with so much more for each byte that goes or may come: a megabyte a second.
const EACH_BYTE: Micros = 1;
/// Longest answer that is read; also what an answer may take its time for when a configuration is read.
const LONGEST: usize = 32 << 20;
/// Between rounds through the addresses: the first pause and the longest.
const PAUSES: (Micros, Micros) = (100_000, 1_000_000);
/// A refusal that is not final by its status ends a call when it comes so often.
const MOST_REFUSALS: u32 = 3;

/// An answer.
#[derive(Debug)]
pub struct Answer {
    pub by: SocketAddrV4,
    pub text: String,
}

/// Why there is none.
#[derive(Debug)]
pub enum Failed {
    /// It was refused.
    Refused {
        by: SocketAddrV4,
        status: u16,
        text: String,
    },
    /// No clear answer in time: what became of each address. An order may be in force all the same.
    Unclear(BTreeMap<SocketAddrV4, String>),
}

/// What a status asks of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Done,
    Move,
    /// Ends at once.
    End,
    /// Another address; so many of these end the call.
    Doubtful,
    Elsewhere,
}

fn next(status: u16) -> Next {
    match status {
        200..=299 => Next::Done,
        307 => Next::Move,
        400 | 409 | 412 | 413 | 422 => Next::End,
        408 | 429 => Next::Elsewhere,
        401..=499 => Next::Doubtful,
        _ => Next::Elsewhere,
    }
}

/// Makes a call with one body, again and again until it has a clear answer, for at most `patience`.
pub async fn call(
    addresses: &[SocketAddrV4],
    query: &str,
    body: &str,
    patience: Micros,
) -> Result<Answer, Failed> {
    let (until, body) = (now() + patience, Bytes::from(body.to_owned()));
    let (mut pause, mut refusals, mut tried) = (PAUSES.0, 0, BTreeMap::new());
    loop {
        for first in addresses {
            match one(*first, query, &body, until).await {
                Ok((by, status, text)) => match next(status) {
                    Next::Done => return Ok(Answer { by, text }),
                    Next::End => return Err(Failed::Refused { by, status, text }),
                    Next::Doubtful if refusals + 1 == MOST_REFUSALS => {
                        return Err(Failed::Refused { by, status, text })
                    }
                    other => {
                        refusals += u32::from(other == Next::Doubtful);
                        tried.insert(
                            by,
                            format!("answered {status}: {}", faults(&text).join("; ")),
                        );
                    }
                },
                Err((by, wrong)) => {
                    tried.insert(by, wrong);
                }
            }
        }
        if now() + pause >= until {
            return Err(Failed::Unclear(tried));
        }
        tokio::time::sleep(duration(pause)).await;
        pause = (2 * pause).min(PAUSES.1);
    }
}

type Told = Result<(SocketAddrV4, u16, String), (SocketAddrV4, String)>;

/// One call, followed where it is sent.
async fn one(first: SocketAddrV4, query: &str, body: &Bytes, until: Micros) -> Told {
    let (mut at, mut path) = (first, format!("/v1/rpc?{query}"));
    for moves in 0..=MOST_MOVES {
        let silence = SILENCE + EACH_BYTE * body.len() as Micros;
        // The last moments are for an address that may just be slow.
        let within = silence.min(until.saturating_sub(now()).max(SILENCE));
        let (status, moved, text) = match timeout(duration(within), post(at, &path, body)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(wrong)) => return Err((at, wrong)),
            Err(_) => {
                return Err((
                    at,
                    format!("no answer within {}", durations::format(within)),
                ))
            }
        };
        if next(status) != Next::Move {
            return Ok((at, status, text));
        }
        let to = moved.as_deref().and_then(place);
        match to {
            Some(to) if moves < MOST_MOVES => (at, path) = to,
            Some((to, _)) => {
                return Err((
                    at,
                    format!("sent on to {to}, the {}th time", MOST_MOVES + 1),
                ))
            }
            None => {
                return Err((
                    at,
                    format!("sent on to {moved:?}, expected http://ADDRESS/PATH"),
                ))
            }
        }
    }
    Err((at, "sent on too often".into()))
}

/// Address and path of a `Location`.
fn place(location: &str) -> Option<(SocketAddrV4, String)> {
    let rest = location.strip_prefix("http://")?;
    let (at, path) = rest.split_once('/').unwrap_or((rest, ""));
    Some((at.parse().ok()?, format!("/{path}")))
}

type Response = (u16, Option<String>, String);

async fn post(at: SocketAddrV4, path: &str, body: &Bytes) -> Result<Response, String> {
    let stream = net::connect(at, SILENCE)
        .await
        .map_err(|e| format!("no connection: {e}"))?;
    let broken = |e: hyper::Error| {
        format!("found no answer ({e}), expected a sorting machine's control address")
    };
    let (mut line, rest) = hyper::client::conn::http1::handshake(HyperIo(stream))
        .await
        .map_err(broken)?;
    tokio::spawn(rest);
    let request = Request::post(path)
        .header(HOST, at.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.clone()))
        .map_err(|e| format!("no request: {e}"))?;
    let answer = line.send_request(request).await.map_err(broken)?;
    let status = answer.status().as_u16();
    let moved = answer
        .headers()
        .get(LOCATION)
        .and_then(|l| l.to_str().ok())
        .map(str::to_owned);
    let body = Limited::new(answer.into_body(), LONGEST).collect().await;
    let body = body
        .map_err(|e| format!("found a part of an answer ({e}), expected all of it"))?
        .to_bytes();
    let text = String::from_utf8(body.into())
        .map_err(|_| "found bytes that are no text, expected JSON")?;
    Ok((status, moved, text))
}

/// The complaints that a refusal's body tells, one a line; the body itself where it tells none.
pub fn faults(text: &str) -> Vec<String> {
    let told = jzon::parse(text).ok();
    let list = told
        .as_ref()
        .map(|t| t["fault"].members())
        .into_iter()
        .flatten();
    let said: Vec<String> = list
        .filter_map(|f| {
            let (place, found, expected) = (
                f["place"].as_str()?,
                f["found"].as_str()?,
                f["expected"].as_str()?,
            );
            Some(format!("{place}: found {found}, expected {expected}"))
        })
        .collect();
    match said.is_empty() {
        true => vec![text.trim().chars().take(200).collect()],
        false => said,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Guards against a call that is given up on a word that is not final, or repeated after one that is.
    #[rstest]
    #[case(200, Next::Done)]
    #[case(307, Next::Move)]
    #[case(400, Next::End)]
    #[case(422, Next::End)]
    #[case(404, Next::Doubtful)]
    #[case(408, Next::Elsewhere)]
    #[case(429, Next::Elsewhere)]
    #[case(503, Next::Elsewhere)]
    #[case(302, Next::Elsewhere)]
    fn statuses(#[case] status: u16, #[case] expected: Next) {
        assert_eq!(next(status), expected);
    }

    /// Guards against a redirect to nowhere.
    #[test]
    fn locations() {
        let to = (
            "10.0.0.4:8080".parse().expect("an address"),
            "/v1/rpc?call=config.read".to_owned(),
        );
        assert_eq!(
            place("http://10.0.0.4:8080/v1/rpc?call=config.read"),
            Some(to)
        );
        assert_eq!(place("http://gateway.example/v1"), None);
        assert_eq!(place("/v1/rpc"), None);
    }
}
