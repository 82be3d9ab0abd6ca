//! Clients' side: connections, requests as they come, and the one answer of each.

use super::client_connection::{Side, Started, Visit, LAST_IDLE};
use super::connect::Stream;
use super::upstream_request::{self, Answer, Errand, Parcel};
use super::{Counter, State};
use crate::clock::{self, now, span, Micros};
use crate::net;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER,
};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use magpieline_config::gateway_config::Edition;
use magpieline_config::route_table::{Route, Sort};
use magpieline_http1::attempt_outcome::{come_back, Ending, Journey, Next};
use magpieline_http1::framing::head;
use magpieline_http1::framing::request_framing::{Bounds, Early};
use magpieline_load_balancer::endpoint_selection::{Ask, Nobody};
use rand::Rng;
use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// hyper reads no longer heads than this; the doorway refuses those beyond the configuration's bound, which may change
/// while a connection lives.
const LONGEST_HEAD: usize = 1 << 20;
/// Without a told time a client is taken to wait as long as its route allows.
const UNTOLD: Micros = Micros::MAX;
/// A refused client is told to come back after this, at most a third of the time that it has left: by then about
/// one request's time has passed.
const COME_BACK: Micros = 150_000;

/// A request that comes before the counter knows any configuration waits for it this long: a leader is found, or
/// another machine's word, in less.
const STARTING: Micros = 500_000;

/// A request that may run again and has no answer after so many usual times gets a second forward: few are that slow by
/// their own work, most have met a slow or silent appliance.
const SECOND_AFTER: f64 = 2.2;
/// It goes only where an answer is expected within so many usual times,
const SECOND_WITHIN: f64 = 1.6;
/// and only while so much of the budget is left: failures come first.
const SECOND_NEEDS: f64 = 2.0;

pub type Reply = Response<Full<Bytes>>;

/// Takes connections until the process leaves, then until all have ended.
pub async fn run(counter: Arc<Counter>, door: TcpListener) {
    let mut open = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            taken = door.accept() => match taken {
                Ok((stream, _)) => {
                    open.spawn(socket(counter.clone(), stream));
                }
                // No descriptor: those in use come back.
                Err(_) => tokio::time::sleep(span(20_000)).await,
            },
            Some(_) = open.join_next(), if !open.is_empty() => {}
            () = counter.left.notified() => break,
        }
    }
    // What the system has taken already is served; then nobody comes any more.
    while let Ok(Ok((stream, _))) = timeout(span(LAST_IDLE), door.accept()).await {
        open.spawn(socket(counter.clone(), stream));
    }
    drop(door);
    while open.join_next().await.is_some() {}
}

async fn socket(counter: Arc<Counter>, stream: TcpStream) {
    if net::prepare(&stream).is_err() {
        return;
    }
    let _ = net::watch_idle(&stream, std::time::Duration::from_secs(10));
    connection(counter, stream).await;
}

/// Serves a client's connection to its end.
pub async fn connection<S: Stream + 'static>(counter: Arc<Counter>, stream: S) {
    let visit = Visit::new(stream, bounds(&counter));
    let (asked, by) = (counter.clone(), visit.clone());
    let service = service_fn(move |request| {
        let (counter, visit) = (asked.clone(), by.clone());
        async move { Ok::<_, Infallible>(serve(&counter, &visit, request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    // Its flushing of several answers at once stays off: it keeps an answer back while bytes of a body are unread.
    builder.max_buf_size(LONGEST_HEAD);
    let serving = builder.serve_connection(Side(visit.clone()), service);
    let left = async {
        let told = counter.left.notified();
        if !counter.leaving() {
            told.await;
        }
    };
    visit
        .run(
            serving,
            || bounds(&counter),
            left,
            |ahead| early(&counter, ahead),
        )
        .await;
}

fn bounds(counter: &Counter) -> Bounds {
    let allowed = counter
        .state()
        .edition
        .as_ref()
        .map(|e| e.allowances)
        .unwrap_or_default();
    // A longer rest may be in force for a client before it is here.
    let rest = allowed
        .idle
        .saturating_add(counter.machine.terms.edition_time);
    Bounds {
        head_bytes: allowed.header_bytes,
        head: allowed.header,
        idle: allowed.idle,
        rest,
    }
}

/// Counts a request while it is in hand, however it ends.
struct InHand<'a>(&'a Counter);

impl InHand<'_> {
    fn new(counter: &Counter) -> InHand<'_> {
        counter.in_hand.fetch_add(1, Ordering::Relaxed);
        InHand(counter)
    }
}

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        self.0.in_hand.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One request, from its head to its answer.
async fn serve<S: Stream>(
    counter: &Arc<Counter>,
    visit: &Visit<S>,
    request: Request<Incoming>,
) -> Reply {
    let _in_hand = InHand::new(counter);
    let (taken, started) = visit.begin();
    let mut reply = match started {
        Some(started) => started
            .answer()
            .await
            .unwrap_or_else(|| own_end(Err(Next::Fail), taken)),
        None => {
            let (head, body) = request.into_parts();
            // Just started: what it needs to know is on its way.
            let found = match counter.knowing(STARTING).await {
                true => found(counter, &head),
                false => Err(Box::new(closing(refused(COME_BACK * 3)))),
            };
            match found {
                Ok(found) => answer(counter, taken, head, body, found, || visit.safe()).await,
                // What is not read of a body stands in the way of the next request.
                Err(reply) if body.is_end_stream() => *reply,
                Err(reply) => closing(*reply),
            }
        }
    };
    if let Some(wrong) = visit.fault() {
        let status = StatusCode::from_u16(wrong.status()).unwrap_or(StatusCode::BAD_REQUEST);
        reply = closing(own(status, format!("{}\n", wrong.text())));
    }
    // Those behind it that are on their way get their answers first.
    if !visit.answered() && counter.leaving() {
        reply = closing(reply);
    }
    reply
}

/// Room for the headers that a request usually has.
const MOST_COMMON: usize = 12;

/// Starts a request before its turn, if it is safe.
fn early(counter: &Arc<Counter>, ahead: Early<'_>) -> Option<Started> {
    let (method, target) = head::first_of(ahead.head)?;
    let mut request = Request::builder()
        .method(method)
        .uri(target)
        .body(())
        .ok()?;
    request.headers_mut().reserve(MOST_COMMON);
    for (name, value) in head::fields_of(ahead.head) {
        let name = HeaderName::from_bytes(name).ok()?;
        request
            .headers_mut()
            .append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let (head, ()) = request.into_parts();
    let found = found(counter, &head)
        .ok()
        .filter(|(_, route)| route.sort == Sort::Safe)?;
    let (counter, taken) = (counter.clone(), ahead.taken);
    Some(Started::new(tokio::spawn(async move {
        let _in_hand = InHand::new(&counter);
        answer(&counter, taken, head, Empty::<Bytes>::new(), found, || {}).await
    })))
}

/// An answer of the gateway's own.
fn own(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(Full::from(text));
    *reply.status_mut() = status;
    reply
}

fn closing(mut reply: Reply) -> Reply {
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

fn refused(left: Micros) -> Reply {
    let mut reply = own(
        StatusCode::SERVICE_UNAVAILABLE,
        "It was not run; come back.\n".into(),
    );
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", come_back(COME_BACK, left))) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// What is in force, and the route that it gives a request.
type Found = (Arc<Edition>, Arc<Route>);

fn found(counter: &Counter, head: &Parts) -> Result<Found, Box<Reply>> {
    let Some(edition) = counter.state().edition.clone() else {
        return Err(Box::new(closing(refused(COME_BACK * 3))));
    };
    let host = head
        .headers
        .get(HOST)
        .and_then(|h| h.to_str().ok())
        .or(head.uri.host())
        .unwrap_or("");
    match edition.table().find(host, head.uri.path()).cloned() {
        Some(route) => Ok((edition, route)),
        None => {
            let text = format!("No route for {host}{}.\n", head.uri.path());
            Err(Box::new(own(StatusCode::NOT_FOUND, text)))
        }
    }
}

async fn answer<B>(
    counter: &Arc<Counter>,
    taken: Micros,
    mut head: Parts,
    body: B,
    (edition, route): Found,
    safe: impl FnOnce(),
) -> Reply
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let most = edition.allowances.body_bytes;
    let told = head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|l| l.to_str().ok())
        .and_then(|l| l.parse::<u64>().ok());
    if told.is_some_and(|length| length > most) {
        return closing(own(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("At most {most} bytes.\n"),
        ));
    }
    let body = match Limited::new(body, most as usize).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            return closing(own(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("At most {most} bytes.\n"),
            ))
        }
        Err(_) => {
            return closing(own(
                StatusCode::BAD_REQUEST,
                "The body did not come whole.\n".into(),
            ))
        }
    };
    // It is taken now, and what is in force now holds for it: a body may have been long in coming.
    let (edition, route) = match counter.edition_number() == edition.number {
        true => (edition, route),
        false => match found(counter, &head) {
            Ok(found) => found,
            Err(reply) => return *reply,
        },
    };
    if route.sort == Sort::Safe {
        safe();
    }
    let waits = head
        .headers
        .get("time-left-ms")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<f64>().ok());
    let waits = waits
        .filter(|w| w.is_finite() && *w >= 0.0)
        .map_or(UNTOLD, |ms| (ms * 1e3) as Micros);
    let due = taken.saturating_add(waits.min(route.give_up));
    if let (None, Some(host)) = (head.headers.get(HOST), head.uri.host()) {
        if let Ok(host) = HeaderValue::from_str(host) {
            head.headers.insert(HOST, host);
        }
    }
    // An appliance is asked for the path, however its client has put it.
    let uri = match head.uri.path_and_query() {
        Some(path) if head.uri.scheme().is_some() => Uri::from(path.clone()),
        _ => head.uri,
    };
    let parcel = Parcel {
        method: head.method,
        uri,
        headers: upstream_request::passed_on(head.headers),
        body,
        due,
    };
    carry(counter, edition, route, Arc::new(parcel)).await
}

/// A request on its way through the appliances of its service.
struct Trip<'a> {
    counter: &'a Arc<Counter>,
    /// The edition by which it goes, and its route there.
    edition: Arc<Edition>,
    route: Arc<Route>,
    service: Arc<str>,
    parcel: Arc<Parcel>,
    journey: Journey,
    /// Appliances that it was sent to.
    tried: Vec<usize>,
    /// Forwards of it that have, or may have, arrived somewhere.
    arrived: usize,
    tell: mpsc::UnboundedSender<(usize, Ending, Option<Answer>)>,
}

/// Why a request is sent to nobody.
#[derive(Clone, Copy, Debug)]
enum Halt {
    Nobody(Nobody),
    /// The edition in force has no route for it any more.
    NoRoute,
    /// It may have run, and may run once only.
    MayHaveRun,
}

impl Trip<'_> {
    /// Nothing is sent by an edition that has been overtaken: the way is found anew by what is in force now.
    fn renew(&mut self) -> Result<(), Halt> {
        let edition = self.counter.state().edition.clone();
        let Some(edition) = edition.filter(|e| e.number != self.edition.number) else {
            return Ok(());
        };
        let route = edition
            .table()
            .find(self.parcel.host(), self.parcel.uri.path())
            .cloned();
        let route = route.ok_or(Halt::NoRoute)?;
        if !route.parts.iter().any(|p| p.service == self.service) {
            self.service = part_of(&route);
        }
        if route.sort != Sort::Safe {
            self.journey.once_only();
        }
        (self.edition, self.route) = (edition, route);
        Ok(())
    }

    /// Sends it to one more appliance, if there is one. `within`: only if its answer is expected in this time, in
    /// microseconds.
    fn send(&mut self, within: f64) -> Result<(), Halt> {
        self.renew()?;
        if !self.journey.may_be_sent() {
            return Err(Halt::MayHaveRun);
        }
        let (now, first) = (now(), self.tried.is_empty());
        let (chosen, errand) = {
            let mut state = self.counter.state();
            let State {
                field,
                standings,
                budget,
                trials,
                rates,
                held,
                ..
            } = &mut *state;
            let standing = standings.get(&*self.service);
            let repeatable = self.journey.repeatable();
            let mut part = trials.get_mut(&*self.service);
            if first {
                rates.entry(self.service.clone()).or_default().count(now);
                part.iter_mut().for_each(|p| p.trial.request());
            }
            let plain = |version: &str| State::carries(standing, version);
            let ask = Ask {
                service: &self.service,
                versions: &plain,
                not: &self.tried,
                repeatable,
                precedence: self.route.precedence,
                focus: 0,
            };
            // The design's index takes a first forward to the trial build, within the share; only while the leader is
            // held, who may have returned it otherwise.
            let tried = part
                .as_ref()
                .filter(|p| first && *held && p.trial.wants(repeatable))
                .and_then(|p| {
                    let trial = |version: &str| version == p.to;
                    let focus = p.trial.stage().focus;
                    field
                        .choose(
                            now,
                            Ask {
                                versions: &trial,
                                focus,
                                ..ask
                            },
                        )
                        .ok()
                });
            let choice = match tried {
                Some(choice) => choice,
                None => field.choose(now, ask).map_err(Halt::Nobody)?,
            };
            if choice.expected > within {
                return Err(Halt::Nobody(Nobody::Full));
            }
            if self.arrived > 0 {
                budget.spend(&self.service);
            }
            if let (Some(part), true) = (&mut part, tried.is_some()) {
                part.trial.sent();
            }
            let Some(listed) = field.get(choice.appliance) else {
                return Err(Halt::Nobody(Nobody::Listed));
            };
            let errand = Errand {
                id: listed.id.clone(),
                address: listed.address,
                service: self.service.clone(),
                route: self.route.clone(),
                edition: self.edition.number,
                trial: tried.is_some(),
                first,
                cold: now < listed.cold_until,
            };
            (choice.appliance, errand)
        };
        self.tried.push(chosen);
        self.journey.sent();
        self.arrived += 1;
        upstream_request::start(
            self.counter.clone(),
            chosen,
            errand,
            self.parcel.clone(),
            self.tell.clone(),
        );
        Ok(())
    }

    fn saved(&self) -> f64 {
        self.counter.state().budget.saved(&self.service)
    }
}

/// One of a route's services, by their shares.
fn part_of(route: &Route) -> Arc<str> {
    route
        .part(rand::thread_rng().gen_range(0.0..1.0))
        .service
        .clone()
}

/// Sends a request on, again where that is allowed, and turns the ending into its answer. One that may run once only is let
/// through once, also if its client comes back with it.
async fn carry(
    counter: &Arc<Counter>,
    edition: Arc<Edition>,
    route: Arc<Route>,
    parcel: Arc<Parcel>,
) -> Reply {
    let due = parcel.due;
    let id = parcel
        .headers
        .get(upstream_request::TRY_ID)
        .map(|id| id.as_bytes());
    let Some(id) = id.filter(|_| route.sort != Sort::Safe) else {
        return own_end(travel(counter, edition, route, parcel.clone()).await, due);
    };
    if !counter.orders().admit(now(), id, parcel.uri.path()) {
        return own(
            StatusCode::CONFLICT,
            "This Try-Id is at work, or may have run.\n".into(),
        );
    }
    let end = travel(counter, edition, route, parcel.clone()).await;
    if matches!(end, Err(Next::Refuse)) {
        counter.orders().forget(id, parcel.uri.path());
    }
    own_end(end, due)
}

/// The way of a request through the appliances: an appliance's answer, or what its end is without one.
async fn travel(
    counter: &Arc<Counter>,
    edition: Arc<Edition>,
    route: Arc<Route>,
    parcel: Arc<Parcel>,
) -> Result<Reply, Next> {
    let due = parcel.due;
    let service = part_of(&route);
    counter.state().budget.taken(&service);
    let (tell, mut endings) = mpsc::unbounded_channel();
    let journey = Journey::new(route.sort == Sort::Safe, route.tries, due);
    let mut trip = Trip {
        counter,
        edition,
        route,
        service,
        parcel,
        journey,
        tried: Vec::new(),
        arrived: 0,
        tell,
    };
    loop {
        if let Err(halt) = trip.send(f64::INFINITY) {
            match halt {
                Halt::Nobody(why) => {
                    tracing::debug!(target: "request", "Nobody for {}: {why:?}.", trip.service)
                }
                other => {
                    tracing::debug!(target: "request", "Not sent to {}: {other:?}.", trip.service)
                }
            }
            return Err(trip.journey.give_up(now()));
        }
        let sent = now();
        let usual = counter.state().field.usual(&trip.service);
        let second_at = sent + (SECOND_AFTER * usual) as Micros;
        loop {
            let doubles = trip.journey.may_double() && second_at < due;
            let (ending, answer) = tokio::select! {
                biased;
                Some((_, ending, answer)) = endings.recv() => (ending, answer),
                () = clock::until(second_at), if doubles => {
                    // The first goes on; whichever answers first is the answer.
                    if trip.saved() < SECOND_NEEDS || trip.send(SECOND_WITHIN * usual).is_err() {
                        trip.journey.single();
                    }
                    continue;
                }
            };
            if ending == Ending::NeverSent {
                trip.arrived -= 1;
            }
            let another = trip.arrived == 0 || trip.saved() >= 1.0;
            match trip.journey.ended(now(), ending, another) {
                Next::Pass => return answer.ok_or(Next::Fail),
                Next::Again => break,
                Next::Wait => {}
                end => return Err(end),
            }
        }
    }
}

/// A request's answer: an appliance's, or one of the gateway's own.
fn own_end(end: Result<Reply, Next>, due: Micros) -> Reply {
    match end {
        Ok(reply) => reply,
        Err(Next::Refuse) => refused(due.saturating_sub(now())),
        Err(Next::TooLate) => own(
            StatusCode::GATEWAY_TIMEOUT,
            "No answer in time; it may have run.\n".into(),
        ),
        Err(_) => own(
            StatusCode::BAD_GATEWAY,
            "It failed on the way; it may have run.\n".into(),
        ),
    }
}

/// Headers of an answer that are passed on.
pub fn answered(status: StatusCode, headers: HeaderMap, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}
