//! The operators' calls.

use super::leader_redirect::{way, Way};
use super::raft_driver::Refusal;
use super::Sorting;
use crate::clock::{day, now, span, Micros};
use crate::net::{self, Wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use magpieline_config::durations;
use magpieline_config::place::Complaint;
use magpieline_control_plane::deduplication::Digest;
use magpieline_control_plane::state_machine::{Command, Effect, Kept, Phase};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Longest configuration that is taken.
const LONGEST: usize = 32 << 20;
/// Callers go to another machine after a second of silence; until then a leader may be found.
const PATIENCE: Micros = 800_000;
/// Between two tries to have a command agreed on, where nothing was done at the first.
const AGAIN: Micros = 20_000;

type Reply = Response<Full<Bytes>>;

pub async fn run(sorting: Arc<Sorting>, door: TcpListener) {
    loop {
        let Ok((stream, _)) = door.accept().await else {
            tokio::time::sleep(span(20_000)).await;
            continue;
        };
        if net::prepare(&stream).is_err() {
            continue;
        }
        let sorting = sorting.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let sorting = sorting.clone();
                async move { Ok::<_, Infallible>(answer(&sorting, request).await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(Wire(stream), service)
                .await;
        });
    }
}

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// A refusal, with all that is wrong.
fn fault(status: StatusCode, wrong: &[Complaint]) -> Reply {
    let list: Vec<jzon::JsonValue> = wrong
        .iter()
        .map(|c| {
            jzon::object! { place: c.place.as_str(), found: c.found.as_str(), expected: c.expected.as_str() }
        })
        .collect();
    reply(status, jzon::object! { fault: list }.dump())
}

fn plain(status: StatusCode, place: &str, found: &str, expected: &str) -> Reply {
    fault(status, &[Complaint::new(place, found, expected)])
}

/// One value of the query.
fn asked<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|(_, value)| value)
}

async fn answer(sorting: &Sorting, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    if head.uri.path() != "/v1/rpc" {
        return plain(StatusCode::NOT_FOUND, "path", head.uri.path(), "/v1/rpc");
    }
    if head.method != Method::POST {
        return plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
            head.method.as_str(),
            "POST",
        );
    }
    let query = head.uri.query().unwrap_or("").to_owned();
    let body = match Limited::new(body, LONGEST).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            return plain(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body",
                "more",
                "at most 32 MB",
            );
        }
        // It may have been cut on its way: an order that is to be sent again is not refused for good.
        Err(_) => {
            return plain(
                StatusCode::REQUEST_TIMEOUT,
                "body",
                "a part",
                "all of it; send it again",
            )
        }
    };
    let again = format!("/v1/rpc?{query}");
    match asked(&query, "call") {
        Some("config.replace") => replace(sorting, &body, &again).await,
        Some("config.read") => read(sorting, &again).await,
        Some("editions.begin") => begin(sorting, &body, &again).await,
        Some("editions.read") => state(sorting, asked(&query, "of").unwrap_or(""), &again).await,
        found => {
            let expected = "config.replace, config.read, editions.begin or editions.read";
            plain(
                StatusCode::BAD_REQUEST,
                "call",
                found.unwrap_or("nothing"),
                expected,
            )
        }
    }
}

fn nobody() -> Reply {
    plain(
        StatusCode::SERVICE_UNAVAILABLE,
        "leader",
        "none",
        "one; ask again",
    )
}

/// Sends a caller to the leader, or asks it to come back.
async fn elsewhere(sorting: &Sorting, path: &str, until: Micros) -> Option<Reply> {
    loop {
        match way(&sorting.council.sight(), now(), until) {
            Way::Here => return None,
            Way::There(leader) => {
                let control = sorting
                    .control_of(leader)
                    .map(|control| format!("http://{control}{path}"));
                let location = control.and_then(|to| HeaderValue::from_str(&to).ok());
                return Some(location.map_or_else(nobody, |location| {
                    let mut moved = reply(StatusCode::TEMPORARY_REDIRECT, "{}");
                    moved.headers_mut().insert(LOCATION, location);
                    moved
                }));
            }
            Way::Nobody => return Some(nobody()),
            Way::Wait(then) => sorting.council.changed(then).await,
        }
    }
}

/// What has to be done for an order, as far as the leader knows now.
enum Look {
    /// It was taken, or refused, before; that stays so.
    Settled(Effect),
    Propose(Command),
}

/// What became of an order: what applying its command did, at its own place in the log, or what is settled, once a
/// majority has said that this machine still leads. Otherwise the answer for a call whose order may be in force or not.
async fn decide(
    sorting: &Sorting,
    path: &str,
    look: impl Fn(&Sorting) -> Look,
) -> Result<Effect, Reply> {
    let until = now() + PATIENCE;
    loop {
        if let Some(reply) = elsewhere(sorting, path, until).await {
            return Err(reply);
        }
        let left = span(until.saturating_sub(now()));
        let decided = async {
            match look(sorting) {
                Look::Settled(effect) => sorting.council.barrier().await.map(|()| effect),
                Look::Propose(command) => sorting.council.propose(&command).await,
            }
        };
        match timeout(left, decided).await {
            Ok(Ok(effect)) => return Ok(effect),
            // Nothing was done. Who leads now is asked again.
            Ok(Err(Refusal::NotNow)) if now() + AGAIN < until => {
                tokio::time::sleep(span(AGAIN)).await
            }
            Ok(Err(_)) | Err(_) => {
                return Err(plain(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "agreement",
                    "none in time",
                    "ask again",
                ))
            }
        }
    }
}

async fn replace(sorting: &Sorting, body: &Bytes, path: &str) -> Reply {
    let Ok(text) = std::str::from_utf8(body) else {
        return plain(
            StatusCode::BAD_REQUEST,
            "document",
            "bytes that are no text",
            "JSON, whole",
        );
    };
    let edition = match sorting.sound(text) {
        Ok(edition) => edition,
        Err(wrong) => {
            tracing::warn!(target: "control", "A configuration was refused: {}.", wrong[0]);
            return fault(StatusCode::BAD_REQUEST, &wrong);
        }
    };
    let (number, text) = (edition.number, Arc::<str>::from(text));
    let digest = Digest::of(&text);
    let look = |sorting: &Sorting| match sorting.state().records.settled(number, &digest) {
        Some(effect) => Look::Settled(effect),
        None => Look::Propose(Command::Replace(Kept {
            number,
            text: text.clone(),
        })),
    };
    let effect = match decide(sorting, path, look).await {
        Ok(effect) => effect,
        Err(reply) => return reply,
    };
    match &effect {
        Effect::OtherDocument(known) => {
            tracing::warn!(target: "control", "Edition {number} was refused: another document has its number.");
            let found = format!("{number} for a document of sha256 {digest}");
            let expected =
                format!("the one of sha256 {known} under this number, or a higher number");
            plain(StatusCode::CONFLICT, "edition", &found, &expected)
        }
        taken if taken.is_taken() => {
            tracing::info!(target: "control", "Edition {number} was acknowledged: {taken:?}.");
            reply(StatusCode::OK, jzon::object! { edition: number }.dump())
        }
        _ => plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "agreement",
            "nothing known of it",
            "ask again",
        ),
    }
}

async fn read(sorting: &Sorting, path: &str) -> Reply {
    if let Some(reply) = confirmed(sorting, path).await {
        return reply;
    }
    match sorting.state().records.edition.clone() {
        Some(kept) => reply(StatusCode::OK, Bytes::from(kept.text.to_string())),
        None => plain(
            StatusCode::NOT_FOUND,
            "edition",
            "none yet",
            "one that was sent",
        ),
    }
}

/// Makes sure that what is read here is the newest; the answer where it can't be.
async fn confirmed(sorting: &Sorting, path: &str) -> Option<Reply> {
    let until = now() + PATIENCE;
    loop {
        if let Some(reply) = elsewhere(sorting, path, until).await {
            return Some(reply);
        }
        if let Ok(Ok(())) =
            timeout(span(until.saturating_sub(now())), sorting.council.barrier()).await
        {
            return None;
        }
        if now() >= until {
            return Some(plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "agreement",
                "none in time",
                "ask again",
            ));
        }
        tokio::time::sleep(span(5_000)).await;
    }
}

async fn begin(sorting: &Sorting, body: &Bytes, path: &str) -> Reply {
    let order = std::str::from_utf8(body)
        .ok()
        .and_then(|text| jzon::parse(text).ok());
    let Some(order) = order.filter(|o| o.is_object()) else {
        return plain(StatusCode::BAD_REQUEST, "document", "no JSON", "an object");
    };
    let (service, to) = (order["service"].as_str(), order["to_edition"].as_str());
    let Some(service) = service.filter(|s| !s.is_empty()) else {
        return plain(StatusCode::BAD_REQUEST, "service", "nothing", "a text");
    };
    let Some(to) = to.filter(|t| !t.is_empty()) else {
        return plain(StatusCode::BAD_REQUEST, "to_edition", "nothing", "a text");
    };
    let Some(within) = order["within"]
        .as_str()
        .and_then(durations::read)
        .filter(|w| *w > 0)
    else {
        let found = order["within"].dump();
        return plain(
            StatusCode::BAD_REQUEST,
            "within",
            &found,
            "a time above 0 such as 12s",
        );
    };
    // An order may have lain in a frozen machine until long after its time, and one that thaws doesn't lead: so only a
    // machine that leads when it comes takes it.
    if !sorting.council.leads() {
        let moved = elsewhere(sorting, path, now() + PATIENCE).await;
        return moved.unwrap_or_else(|| {
            plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "leader",
                "a new one",
                "ask again",
            )
        });
    }
    // Copies are told from new orders by when they came, not by how long an agreement took.
    let (came, receipt) = ((now(), day()), sorting.settings.borrow().terms.receipt);
    let look = |sorting: &Sorting| {
        let state = sorting.state();
        let proposal = state
            .witness
            .look(&state.records, came, (service, to, within), receipt);
        proposal.map_or(Look::Settled(Effect::Again), Look::Propose)
    };
    let effect = match decide(sorting, path, look).await {
        Ok(effect) => effect,
        Err(reply) => return reply,
    };
    match &effect {
        Effect::OtherRollout(other) => {
            let found = format!(
                "a rollout to {} within {} under way",
                other.to,
                durations::write(other.within)
            );
            plain(
                StatusCode::CONFLICT,
                "service",
                &found,
                "none, or the same order again",
            )
        }
        taken if taken.is_taken() => {
            tracing::info!(target: "control", "Rollout of {service} to {to} was acknowledged: {taken:?}.");
            reply(StatusCode::OK, "{}")
        }
        _ => plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "agreement",
            "nothing known of it",
            "ask again",
        ),
    }
}

async fn state(sorting: &Sorting, service: &str, path: &str) -> Reply {
    if let Some(reply) = confirmed(sorting, path).await {
        return reply;
    }
    let standing = sorting
        .state()
        .records
        .services
        .get(service)
        .cloned()
        .unwrap_or_default();
    let Some(rollout) = standing.rollout else {
        return plain(
            StatusCode::NOT_FOUND,
            "of",
            service,
            "a service with a rollout",
        );
    };
    let state = match rollout.phase {
        Phase::Trial | Phase::Moving => "in_transit",
        Phase::Delivered => "delivered",
        Phase::Returned => "returned",
    };
    reply(
        StatusCode::OK,
        jzon::object! { state: state, to_edition: rollout.to }.dump(),
    )
}
