//! One forward: a request to one appliance, and how it ended.

use super::request_handler::{self, Reply};
use super::upstream_connection::{Line, Recall, Unanswered};
use super::{Counter, State};
use crate::clock::{now, span, Micros};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Response, Uri};
use magpieline_config::route_table::Route;
use magpieline_http1::attempt_outcome::{promises, Ending};
use magpieline_load_balancer::endpoint_selection::{Load, Sign};
use magpieline_rollout::trial::{number, End, Seen};
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// A whole answer, ready to be passed on.
pub type Answer = Reply;

/// An appliance takes a connection within a few milliseconds; one that is dark or whose queue is full says nothing.
const UP_WITHIN: Micros = 250_000;
/// Longest answer that is held whole.
const LONGEST: usize = 16 << 20;

pub const TRY_ID: HeaderName = HeaderName::from_static("try-id");
const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
const ADDRESSEE: HeaderName = HeaderName::from_static("addressee");
const POSTMARK: HeaderName = HeaderName::from_static("postmark");
const NOT_DELIVERED: HeaderName = HeaderName::from_static("not-delivered");
const LOAD: HeaderName = HeaderName::from_static("load");

/// A request as it is passed on, held until it is over.
pub struct Parcel {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When its time is over.
    pub due: Micros,
}

impl Parcel {
    /// The host that it is for.
    pub fn host(&self) -> &str {
        self.headers
            .get(HOST)
            .and_then(|h| h.to_str().ok())
            .unwrap_or("")
    }
}

/// What concerns one connection only. They are names already: nothing is read at each request.
static OF_ONE_CONNECTION: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// An answered connection becomes free within a moment, unless its appliance has answered without reading all of the
/// request and does not read the rest.
const FREE_WITHIN: Micros = 1_000_000;

/// What a forward is for, and by what it was decided on.
pub struct Errand {
    /// Whom it is for: its handle may pass to another appliance while a connection comes up.
    pub id: Arc<str>,
    pub address: SocketAddrV4,
    pub service: Arc<str>,
    pub route: Arc<Route>,
    /// Number of the edition by which it goes there.
    pub edition: u64,
    /// It goes to a build on trial.
    pub trial: bool,
    /// The first forward of its request.
    pub first: bool,
    /// The appliance was slow from its start when it was chosen.
    pub cold: bool,
}

/// Takes off what concerns one connection only.
pub fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &OF_ONE_CONNECTION {
        headers.remove(name);
    }
    headers
}

/// Sends a request to an appliance; the ending comes by `tell`. It goes on even when nobody waits for it any more:
/// an appliance at work is not broken off.
pub fn start(
    counter: Arc<Counter>,
    appliance: usize,
    errand: Errand,
    parcel: Arc<Parcel>,
    tell: UnboundedSender<(usize, Ending, Option<Answer>)>,
) {
    let sent = now();
    let number = counter.state().field.sent(sent, appliance);
    let flight = Flight::new(counter.clone());
    tokio::spawn(async move {
        let _flight = flight;
        let mut met = Met::default();
        let left = parcel.due.saturating_sub(sent);
        let (ending, answer) = match timeout(
            span(left),
            one(&counter, appliance, &errand, &parcel, &mut met),
        )
        .await
        {
            Ok(done) => done,
            // Where no byte of it has left by now, none will.
            Err(_) if met.recall.take().is_none_or(Recall::call_off) => (Ending::NeverSent, None),
            Err(_) => (Ending::Silent, None),
        };
        let sign = match ending {
            Ending::Answered { status } if status < 500 => Sign::Served,
            Ending::Answered { .. } => Sign::Failed,
            Ending::TurnedAway => Sign::TurnedAway,
            Ending::NeverSent if met.withheld => Sign::Nothing,
            Ending::NeverSent => Sign::NoConnection,
            Ending::Broken => Sign::Broken,
            Ending::Spoilt => Sign::Spoilt,
            Ending::Silent => Sign::Silent,
        };
        {
            let mut state = counter.state();
            tell_trial(
                &mut state,
                &errand,
                appliance,
                ending,
                now().saturating_sub(sent),
            );
            state.field.ended(now(), appliance, number, sign, met.load);
        }
        let _ = tell.send((appliance, ending, answer));
        drop(parcel);
        // Nobody waits for this any more.
        if let Some((line, kept)) = met.spare.take() {
            keep(&counter, appliance, &errand.id, line, kept).await;
        }
    });
}

/// Counts a forward while it is under way, however it ends.
struct Flight(Arc<Counter>);

impl Flight {
    fn new(counter: Arc<Counter>) -> Flight {
        counter.flying.fetch_add(1, Ordering::Relaxed);
        Flight(counter)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.flying.fetch_sub(1, Ordering::Relaxed);
        self.0.landed.notify_waiters();
    }
}

/// What a forward has met so far, however it ends.
#[derive(Default)]
struct Met {
    load: Option<Load>,
    /// By this it is called off; none where nothing was handed to a connection.
    recall: Option<Recall>,
    /// It was not sent for a reason that is none of the appliance's.
    withheld: bool,
    /// The connection after a sound answer, and how long its appliance keeps it.
    spare: Option<(Line, Option<Micros>)>,
}

/// Keeps a connection for further requests, once it is free.
async fn keep(
    counter: &Counter,
    appliance: usize,
    id: &Arc<str>,
    mut line: Line,
    kept: Option<Micros>,
) {
    if !timeout(span(FREE_WITHIN), line.ready())
        .await
        .unwrap_or(false)
    {
        return;
    }
    let open = counter
        .state()
        .field
        .get(appliance)
        .is_some_and(|a| !a.closing && a.id == *id);
    if open {
        counter.pool().put(id.clone(), line, kept);
    }
}

/// Tells the service's trial, if there is one, how a forward ended.
fn tell_trial(state: &mut State, errand: &Errand, appliance: usize, ending: Ending, spent: Micros) {
    let (Some(part), Some(listed)) = (
        state.trials.get_mut(&*errand.service),
        state.field.get(appliance),
    ) else {
        return;
    };
    if listed.id != errand.id {
        return;
    }
    let end = match ending {
        Ending::Answered { status } if status < 500 => End::Served,
        Ending::Answered { .. } => End::Failed,
        Ending::Silent => End::Silent,
        // A crash, a cut or a garbled line is no build's doing.
        Ending::TurnedAway | Ending::NeverSent | Ending::Broken | Ending::Spoilt => End::Nothing,
    };
    part.trial.seen(Seen {
        trial: *listed.version == *part.to,
        route: number(&errand.route.name),
        appliance: number(&listed.id) as u32,
        first: errand.first,
        end,
        in_time: end == End::Served && spent <= errand.route.target,
        cold: errand.cold,
        spent,
    });
}

/// What a request looks like at this appliance.
fn dressed(parcel: &Parcel, id: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(parcel.body.clone()));
    *request.method_mut() = parcel.method.clone();
    *request.uri_mut() = parcel.uri.clone();
    *request.headers_mut() = parcel.headers.clone();
    let headers = request.headers_mut();
    headers.insert(ADDRESSEE, HeaderValue::from_str(id).ok()?);
    let left = parcel.due.saturating_sub(now()) / 1000;
    headers.insert(TIME_LEFT, HeaderValue::from(left));
    if parcel.body.is_empty() && parcel.headers.get(CONTENT_LENGTH).is_none() {
        headers.remove(CONTENT_LENGTH);
    }
    Some(request)
}

/// Whether a request may still be written to the appliance that was chosen for it: what was known then may have changed
/// while the connection came up.
fn still_allowed(counter: &Counter, appliance: usize, errand: &Errand, parcel: &Parcel) -> bool {
    let state = counter.state();
    // Its handle may be another appliance's by now, and that of another service.
    let Some(listed) = state
        .field
        .get(appliance)
        .filter(|a| a.id == errand.id && !a.closing)
    else {
        return false;
    };
    let standing = state.standings.get(&*errand.service);
    let part = state.trials.get(&*errand.service);
    let version = State::carries(standing, &listed.version)
        || (errand.trial && part.is_some_and(|p| *p.to == *listed.version));
    let edition = state.edition.as_ref().is_some_and(|edition| {
        let new = || edition.table().find(parcel.host(), parcel.uri.path());
        let goes = |route: &Arc<Route>| {
            route.sort == errand.route.sort
                && route.parts.iter().any(|p| p.service == errand.service)
        };
        edition.number == errand.edition || new().is_some_and(goes)
    });
    version && edition && now() < parcel.due
}

async fn one(
    counter: &Arc<Counter>,
    appliance: usize,
    errand: &Errand,
    parcel: &Parcel,
    met: &mut Met,
) -> (Ending, Option<Answer>) {
    loop {
        let kept = counter.pool().take(&errand.id);
        let fresh = kept.is_none();
        let mut line = match kept {
            Some(line) => line,
            None => match connect(counter, errand.address).await {
                Some(line) => line,
                None => return (Ending::NeverSent, None),
            },
        };
        let request = match still_allowed(counter, appliance, errand, parcel) {
            true => dressed(parcel, &errand.id),
            false => None,
        };
        let Some(request) = request else {
            met.withheld = true;
            return (Ending::NeverSent, None);
        };
        met.recall = Some(line.recall());
        match line.send(request).await {
            Ok(response) => return read(parcel, line, response, met).await,
            // A kept connection that had ended is no sign of anything.
            Err(Unanswered::Unsent) if !fresh => met.recall = None,
            Err(Unanswered::Unsent) => return (Ending::NeverSent, None),
            Err(Unanswered::Spoilt) => return (Ending::Spoilt, None),
            Err(Unanswered::Broken) => return (Ending::Broken, None),
        }
    }
}

async fn connect(counter: &Counter, address: SocketAddrV4) -> Option<Line> {
    Line::new((counter.dial)(address, UP_WITHIN).await.ok()?).await
}

/// Reads an answer whole and says what it proves. The connection is kept only after a sound one.
async fn read(
    parcel: &Parcel,
    line: Line,
    response: Response<Incoming>,
    met: &mut Met,
) -> (Ending, Option<Answer>) {
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    if head.headers.get(TRY_ID) != parcel.headers.get(TRY_ID) {
        return (Ending::Spoilt, None); // another request's answer, come late
    }
    // Without a told length the end of a body can't be told from a break.
    let measured =
        body.size_hint().exact().is_some() || head.headers.contains_key("transfer-encoding");
    let Ok(body) = Limited::new(body, LONGEST).collect().await else {
        return (Ending::Broken, None);
    };
    met.load = head
        .headers
        .get(LOAD)
        .and_then(|v| v.to_str().ok())
        .and_then(read_load);
    let kept = kept_for(&head.headers);
    let promised = head.headers.contains_key(NOT_DELIVERED) || status == 421;
    let spoilt = !measured
        || head.headers.contains_key(CONTENT_ENCODING)
        || (head.status.is_success() && !head.headers.contains_key(POSTMARK));
    if spoilt {
        return (Ending::Spoilt, None);
    }
    met.spare = Some((line, kept));
    if promised {
        return (Ending::TurnedAway, None);
    }
    if promises(status) {
        return (Ending::Answered { status }, None);
    }
    let headers = passed_on(head.headers);
    (
        Ending::Answered { status },
        Some(request_handler::answered(
            head.status,
            headers,
            body.to_bytes(),
        )),
    )
}

/// `Load`: requests running, waiting, and slots, joined by commas.
fn read_load(text: &str) -> Option<Load> {
    let mut parts = text.split(',').map(|p| p.trim().parse::<u32>());
    let mut next = || parts.next()?.ok();
    Some(Load {
        running: next()?,
        waiting: next()?,
        berths: next()?,
    })
}

/// The time that `Keep-Alive` gives, in whole seconds.
fn kept_for(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parts = text.split([',', ';']).map(str::trim);
    let seconds = parts
        .filter_map(|p| p.strip_prefix("timeout=").unwrap_or(p).parse::<u64>().ok())
        .next()?;
    Some(seconds.saturating_mul(1_000_000))
}
