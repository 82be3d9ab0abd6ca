//! The operators' API: configurations and rollouts, sent and read.

use super::leader_redirect::{target, Target};
use super::raft_driver::RequestError;
use super::{Controller, ValidConfig, SETTLE_TIME};
use crate::clock::{duration, now, sleep, time_of_day, Micros};
use crate::metrics;
use crate::net::{self, HyperIo};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use jzon::JsonValue as Json;
use magpieline_config::diagnostic::Diagnostic;
use magpieline_config::durations;
use magpieline_config::gateway_config::GatewayConfig;
use magpieline_control_plane::deduplication::{Arrival, OrderContent};
use magpieline_control_plane::state_machine::{Command, Effect, Phase, StoredConfig};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Longest configuration that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Callers go to another controller after a second of silence; until then a leader may be found.
const ANSWER_TIMEOUT: Micros = 800_000;
/// Between two attempts to have a command committed, where nothing was done at the first.
const RETRY_INTERVAL: Micros = 20_000;
/// Between two attempts to confirm that this controller leads.
const CONFIRM_INTERVAL: Micros = 5_000;
/// After a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Micros = 20_000;
/// The time within which a configuration is to be acknowledged grows by this with each of its routes.
const RECEIPT_PER_ROUTE: Micros = 3_000;
/// The path of all calls.
const PATH: &str = "/v1/rpc";

type Reply = Response<Full<Bytes>>;

/// Serves operators until the task is aborted.
pub(super) async fn run(controller: Arc<Controller>, listener: TcpListener) {
    loop {
        let stream = net::accept(&listener, ACCEPT_RETRY_INTERVAL).await;
        if net::configure_stream(&stream).is_err() {
            continue;
        }
        let controller = controller.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let controller = controller.clone();
                async move { Ok::<_, Infallible>(answer(&controller, request).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection.serve_connection(HyperIo(stream), service).await;
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
fn refusal(status: StatusCode, diagnostics: &[Diagnostic]) -> Reply {
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

fn refuse(status: StatusCode, path: &str, found: &str, expected: &str) -> Reply {
    refusal(status, &[Diagnostic::new(path, found, expected)])
}

fn bad_request(path: &str, found: &str, expected: &str) -> Reply {
    refuse(StatusCode::BAD_REQUEST, path, found, expected)
}

/// Asks the caller to come back; nothing is known to have been done.
fn unavailable(path: &str, found: &str, expected: &str) -> Reply {
    refuse(StatusCode::SERVICE_UNAVAILABLE, path, found, expected)
}

fn no_leader() -> Reply {
    unavailable("leader", "none", "one; ask again")
}

fn not_committed_in_time() -> Reply {
    unavailable("agreement", "none in time", "ask again")
}

fn outcome_unknown() -> Reply {
    unavailable("agreement", "nothing known of it", "ask again")
}

/// Returns one value of the query.
fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Answers one call.
async fn answer(controller: &Arc<Controller>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    if head.uri.path() == metrics::PATH {
        return metrics::response(controller.metrics_registry());
    }
    if head.uri.path() != PATH {
        return refuse(StatusCode::NOT_FOUND, "path", head.uri.path(), PATH);
    }
    if head.method != Method::POST {
        return refuse(
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
            head.method.as_str(),
            "POST",
        );
    }
    let query = head.uri.query().unwrap_or("").to_owned();
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    // Where the leader is to be asked instead.
    let path = format!("{PATH}?{query}");
    match query_value(&query, "call") {
        Some("config.replace") => replace_config(controller, body, &path).await,
        Some("config.read") => read_config(controller, &path).await,
        Some("editions.begin") => begin_rollout(controller, &body, &path).await,
        Some("editions.read") => {
            let service = query_value(&query, "of").unwrap_or("");
            read_rollout(controller, service, &path).await
        }
        found => {
            let expected = "config.replace, config.read, editions.begin or editions.read";
            bad_request("call", found.unwrap_or("nothing"), expected)
        }
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, Reply> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(refuse(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            "more",
            "at most 32 MB",
        )),
        // It may have been cut on its way: an order that is to be sent again is not refused for good.
        Err(_) => Err(refuse(
            StatusCode::REQUEST_TIMEOUT,
            "body",
            "a part",
            "all of it; send it again",
        )),
    }
}

/// Sends a caller to the leader, or asks it to come back; none if this controller answers.
async fn redirect(controller: &Controller, path: &str, deadline: Micros) -> Option<Reply> {
    loop {
        match target(&controller.raft.leader_view(), now(), deadline) {
            Target::Local => return None,
            Target::Redirect(leader) => return Some(redirect_to(controller, leader, path)),
            Target::Unavailable => return Some(no_leader()),
            Target::Wait(then) => controller.raft.leader_changed(then).await,
        }
    }
}

fn redirect_to(controller: &Controller, leader: std::net::SocketAddrV4, path: &str) -> Reply {
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

/// What has to be done for an order, as far as the leader knows now.
enum Plan {
    /// It was accepted, or refused, before; that stays so.
    Known(Effect),
    /// It is to be proposed.
    Propose(Command),
}

/// Returns what became of an order: what applying its command did, at its own position in the log, or what was known before, once
/// a majority has confirmed that this controller still leads.
///
/// # Errors
///
/// The reply to a call whose order may be committed or not.
async fn commit(
    controller: &Controller,
    path: &str,
    plan: impl Fn(&Controller) -> Plan,
) -> Result<Effect, Reply> {
    let deadline = now() + ANSWER_TIMEOUT;
    loop {
        if let Some(reply) = redirect(controller, path, deadline).await {
            return Err(reply);
        }
        let left = duration(deadline.saturating_sub(now()));
        match timeout(left, carry_out(controller, plan(controller))).await {
            Ok(Ok(effect)) => return Ok(effect),
            // Nothing was done. Who leads now is asked again.
            Ok(Err(RequestError::NotAccepted)) if now() + RETRY_INTERVAL < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            Ok(Err(_)) | Err(_) => return Err(not_committed_in_time()),
        }
    }
}

async fn carry_out(controller: &Controller, plan: Plan) -> Result<Effect, RequestError> {
    match plan {
        Plan::Known(effect) => controller.raft.read_barrier().await.map(|()| effect),
        Plan::Propose(command) => controller.propose(command).await,
    }
}

/// What a check found of a configuration that an operator sent.
enum CheckedConfig {
    Valid(Arc<ValidConfig>),
    /// An invalid one that was acknowledged under this version, by a release that checked less: whoever sends it again is told so
    /// again.
    Acknowledged(u64),
}

/// Parses and checks a configuration on a thread of its own: a long one takes longer than followers wait for their leader's next
/// heartbeat.
///
/// # Errors
///
/// The reply to a call whose configuration is invalid, or could not be checked.
async fn check_config(controller: &Arc<Controller>, body: Bytes) -> Result<CheckedConfig, Reply> {
    let controller = controller.clone();
    let check = move || {
        let text = std::str::from_utf8(&body).map_err(|_| {
            let found = "bytes that are no text";
            vec![Diagnostic::new("document", found, "JSON, whole")]
        })?;
        controller
            .validate(text)
            .map(CheckedConfig::Valid)
            .or_else(|diagnostics| {
                let known = controller.acknowledged_version(text);
                known.map(CheckedConfig::Acknowledged).ok_or(diagnostics)
            })
    };
    match tokio::task::spawn_blocking(check).await {
        Ok(Ok(checked)) => Ok(checked),
        Ok(Err(diagnostics)) => {
            tracing::warn!(target: "operator_api", "A configuration was refused: {}.", diagnostics[0]);
            Err(refusal(StatusCode::BAD_REQUEST, &diagnostics))
        }
        Err(_) => Err(outcome_unknown()),
    }
}

/// Waits until a committed configuration is in force at the proxies, for half of the time within which an order is to be acknowledged:
/// how long requests may go by the one before counts from the acknowledgement, and the links carry a long one for seconds. Returns
/// false if this controller no longer leads: what proxies have is not known here then.
async fn wait_until_distributed(controller: &Controller, config: &GatewayConfig) -> bool {
    let receipt = controller.settings.borrow().guarantees.receipt;
    let patience = (receipt + RECEIPT_PER_ROUTE * config.routes().count() as Micros) / 2;
    let deadline = now() + patience;
    let (term, progress) = {
        let state = controller.state();
        (state.proxies.term(), state.config_progress.clone())
    };
    loop {
        let changed = progress.notified();
        let settled_at = {
            let state = controller.state();
            if term.is_none() || state.proxies.term() != term {
                return false;
            }
            let settled_at = state.led_since + SETTLE_TIME;
            let is_distributed = state.config_sender.is_distributed(config.version);
            if now() >= deadline || (is_distributed && now() >= settled_at) {
                return true;
            }
            settled_at
        };
        let until = if now() < settled_at {
            settled_at
        } else {
            deadline
        };
        let left = duration(until.min(deadline).saturating_sub(now()));
        let _ = timeout(left, changed).await;
    }
}

async fn replace_config(controller: &Arc<Controller>, body: Bytes, path: &str) -> Reply {
    match check_config(controller, body).await {
        Ok(CheckedConfig::Valid(valid)) => replace_with_valid(controller, &valid, path).await,
        Ok(CheckedConfig::Acknowledged(version)) => {
            acknowledge_again(controller, version, path).await
        }
        Err(reply) => reply,
    }
}

/// Acknowledges a configuration that was acknowledged before, once a majority has confirmed that this controller still leads.
async fn acknowledge_again(controller: &Controller, version: u64, path: &str) -> Reply {
    match commit(controller, path, |_| Plan::Known(Effect::Duplicate)).await {
        Ok(_) => {
            tracing::warn!(
                target: "operator_api",
                "Configuration {version} acknowledged again, as it was before; by today's checks it is invalid."
            );
            reply(StatusCode::OK, jzon::object! { edition: version }.dump())
        }
        Err(reply) => reply,
    }
}

async fn replace_with_valid(controller: &Controller, valid: &ValidConfig, path: &str) -> Reply {
    let (version, digest) = (valid.config.version, valid.digest);
    let plan = |controller: &Controller| match controller
        .state()
        .control
        .known_outcome(version, &digest)
    {
        Some(effect) => Plan::Known(effect),
        None => Plan::Propose(Command::ReplaceConfig(StoredConfig {
            version,
            text: valid.text.clone(),
        })),
    };
    let effect = match commit(controller, path, plan).await {
        Ok(effect) => effect,
        Err(reply) => return reply,
    };
    match &effect {
        Effect::VersionConflict(known) => {
            tracing::warn!(
                target: "operator_api",
                "Configuration {version} was refused: another document has its version."
            );
            let found = format!("{version} for a document of sha256 {digest}");
            let expected =
                format!("the one of sha256 {known} under this number, or a higher number");
            refuse(StatusCode::CONFLICT, "edition", &found, &expected)
        }
        accepted if accepted.is_accepted() => {
            if !wait_until_distributed(controller, &valid.config).await {
                return outcome_unknown();
            }
            tracing::info!(target: "operator_api", "Configuration {version} acknowledged: {accepted:?}.");
            reply(StatusCode::OK, jzon::object! { edition: version }.dump())
        }
        _ => outcome_unknown(),
    }
}

async fn read_config(controller: &Controller, path: &str) -> Reply {
    if let Some(reply) = confirm_leadership(controller, path).await {
        return reply;
    }
    match controller.state().control.config.clone() {
        Some(config) => reply(StatusCode::OK, Bytes::from(config.text.to_string())),
        None => refuse(
            StatusCode::NOT_FOUND,
            "edition",
            "none yet",
            "one that was sent",
        ),
    }
}

/// Makes sure that what is read here is the newest; the reply where that can't be.
async fn confirm_leadership(controller: &Controller, path: &str) -> Option<Reply> {
    let deadline = now() + ANSWER_TIMEOUT;
    loop {
        if let Some(reply) = redirect(controller, path, deadline).await {
            return Some(reply);
        }
        let left = duration(deadline.saturating_sub(now()));
        if let Ok(Ok(())) = timeout(left, controller.raft.read_barrier()).await {
            return None;
        }
        if now() >= deadline {
            return Some(not_committed_in_time());
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}

/// A rollout order as its caller wrote it.
struct RolloutOrder {
    service: String,
    target_version: String,
    within: Micros,
}

impl RolloutOrder {
    fn parse(body: &Bytes) -> Result<RolloutOrder, Box<Reply>> {
        let order = std::str::from_utf8(body)
            .ok()
            .and_then(|text| jzon::parse(text).ok());
        let Some(order) = order.filter(Json::is_object) else {
            return Err(Box::new(bad_request("document", "no JSON", "an object")));
        };
        let text = |name: &str| {
            let value = order[name].as_str().filter(|value| !value.is_empty());
            value
                .map(str::to_owned)
                .ok_or_else(|| Box::new(bad_request(name, "nothing", "a text")))
        };
        let service = text("service")?;
        let target_version = text("to_edition")?;
        let within = order["within"]
            .as_str()
            .and_then(durations::parse)
            .filter(|within| *within > 0);
        let Some(within) = within else {
            let found = order["within"].dump();
            return Err(Box::new(bad_request(
                "within",
                &found,
                "a time above 0 such as 12s",
            )));
        };
        Ok(RolloutOrder {
            service,
            target_version,
            within,
        })
    }

    fn content(&self) -> OrderContent<'_> {
        OrderContent {
            service: &self.service,
            target_version: &self.target_version,
            within: self.within,
        }
    }
}

async fn begin_rollout(controller: &Controller, body: &Bytes, path: &str) -> Reply {
    let order = match RolloutOrder::parse(body) {
        Ok(order) => order,
        Err(reply) => return *reply,
    };
    // An order may have lain in a suspended process until long after its time, and one that resumes doesn't lead: so only a
    // controller that leads when it arrives accepts it.
    if !controller.raft.holds_lease() {
        let elsewhere = redirect(controller, path, now() + ANSWER_TIMEOUT).await;
        return elsewhere.unwrap_or_else(|| unavailable("leader", "a new one", "ask again"));
    }
    // Copies are told from new orders by when they arrived, not by how long a commit took.
    let arrival = Arrival {
        at: now(),
        time_of_day: time_of_day(),
    };
    let receipt = controller.settings.borrow().guarantees.receipt;
    let plan = |controller: &Controller| {
        let state = controller.state();
        let proposal =
            state
                .acceptance_clock
                .propose(&state.control, arrival, order.content(), receipt);
        proposal.map_or(Plan::Known(Effect::Duplicate), Plan::Propose)
    };
    let effect = match commit(controller, path, plan).await {
        Ok(effect) => effect,
        Err(reply) => return reply,
    };
    match &effect {
        Effect::RolloutConflict(other) => {
            let within = durations::format(other.within);
            let found = format!(
                "a rollout to {} within {within} under way",
                other.target_version
            );
            refuse(
                StatusCode::CONFLICT,
                "service",
                &found,
                "none, or the same order again",
            )
        }
        accepted if accepted.is_accepted() => {
            let RolloutOrder {
                service,
                target_version,
                ..
            } = &order;
            tracing::info!(
                target: "operator_api",
                "Rollout of {service} to {target_version} acknowledged: {accepted:?}."
            );
            reply(StatusCode::OK, "{}")
        }
        _ => outcome_unknown(),
    }
}

async fn read_rollout(controller: &Controller, service: &str, path: &str) -> Reply {
    if let Some(reply) = confirm_leadership(controller, path).await {
        return reply;
    }
    let rollout = controller
        .state()
        .control
        .services
        .get(service)
        .and_then(|service| service.rollout.clone());
    let Some(rollout) = rollout else {
        return refuse(
            StatusCode::NOT_FOUND,
            "of",
            service,
            "a service with a rollout",
        );
    };
    let state = match rollout.phase {
        Phase::Trial | Phase::Promoting => "in_transit",
        Phase::Completed => "delivered",
        Phase::RolledBack => "returned",
    };
    reply(
        StatusCode::OK,
        jzon::object! { state: state, to_edition: rollout.target_version }.dump(),
    )
}
