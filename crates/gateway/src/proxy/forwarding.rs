//! Forwards a request to endpoints of its service, again where that is allowed, until its response is known.

use super::attempt::{self, AttemptResult};
use super::attempt_plan::Attempt;
use super::responses::{self, ProxyResponse};
use super::state::{is_serving_version, ProxyState};
use super::upstream_request::UpstreamRequest;
use super::Proxy;
use crate::clock::{self, now, Micros};
use magpieline_config::gateway_config::GatewayConfig;
use magpieline_config::route_table::{Idempotency, Route};
use magpieline_http1::attempt_outcome::{AttemptOutcome, NextStep, RequestState};
use magpieline_load_balancer::endpoint_selection::{NoEndpoint, Selection, SelectionRequest};
use rand::Rng;
use std::fmt;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// An idempotent request without a response after so many mean latencies gets a second attempt (a hedge): few are that slow
/// by their own work, most have met a slow or silent endpoint.
const HEDGE_AFTER: f64 = 2.2;
/// It goes only where a response is expected within so many mean latencies,
const HEDGE_WITHIN: f64 = 1.6;
/// and only while so much of the retry budget is left: failures come first.
const HEDGE_MIN_BALANCE: f64 = 2.0;
/// What a retry takes of the retry budget.
const RETRY_COST: f64 = 1.0;

/// The route of a request, and the configuration that gives it.
pub(super) struct ResolvedRoute {
    pub(super) config: Arc<GatewayConfig>,
    pub(super) route: Arc<Route>,
}

/// Why a request is sent to no endpoint.
#[derive(Clone, Copy, Debug)]
enum NotSent {
    /// There is no endpoint for it.
    Unavailable(NoEndpoint),
    /// A hedge would be no quicker.
    TooSlow,
    /// The configuration in force has no route for it any more.
    RouteRemoved,
    /// It is not idempotent and may have run, or has had all its attempts.
    AttemptsExhausted,
}

impl fmt::Display for NotSent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotSent::Unavailable(NoEndpoint::NoneListed) => "no endpoint is listed",
            NotSent::Unavailable(NoEndpoint::Ejected) => "all endpoints are ejected",
            NotSent::Unavailable(NoEndpoint::Full) => "all endpoints are full",
            NotSent::Unavailable(NoEndpoint::EstimatedFull) => "all endpoints are taken to be full",
            NotSent::TooSlow => "no response is expected in time",
            NotSent::RouteRemoved => "there is no route any more",
            NotSent::AttemptsExhausted => "no attempt is left",
        })
    }
}

/// Forwards a request and returns its response. One that is not idempotent is let through once, also if its client repeats
/// it. `client_left` is cancelled when the client leaves, before it has the response or after.
pub(super) async fn forward(
    proxy: &Arc<Proxy>,
    resolved: ResolvedRoute,
    request: Arc<UpstreamRequest>,
    client_left: CancellationToken,
) -> ProxyResponse {
    let is_idempotent = resolved.route.idempotency == Idempotency::Idempotent;
    let path = request.uri.path();
    let id = request.try_id().filter(|_| !is_idempotent);
    if id.is_some_and(|id| !proxy.seen_requests().admit(now(), id, path)) {
        return responses::duplicate();
    }
    let result = Forwarding::new(proxy, resolved, request.clone(), client_left)
        .send_until_answered()
        .await;
    if let (Some(id), Err(NextStep::RejectUnprocessed)) = (id, &result) {
        proxy.seen_requests().forget(id, path);
    }
    result.unwrap_or_else(|step| responses::failed(step, request.deadline))
}

/// A request on its way through the endpoints of its service.
struct Forwarding<'a> {
    proxy: &'a Arc<Proxy>,
    /// The configuration by which it goes, and its route there.
    config: Arc<GatewayConfig>,
    route: Arc<Route>,
    service: Arc<str>,
    request: Arc<UpstreamRequest>,
    state: RequestState,
    /// Endpoints that it was sent to.
    tried: Vec<usize>,
    /// Attempts that have, or may have, arrived somewhere.
    arrived: usize,
    results: mpsc::UnboundedReceiver<AttemptResult>,
    result_sender: mpsc::UnboundedSender<AttemptResult>,
    client_left: CancellationToken,
}

impl<'a> Forwarding<'a> {
    fn new(
        proxy: &'a Arc<Proxy>,
        resolved: ResolvedRoute,
        request: Arc<UpstreamRequest>,
        client_left: CancellationToken,
    ) -> Forwarding<'a> {
        let ResolvedRoute { config, route } = resolved;
        let service = choose_service(&route);
        proxy.state().retry_budget.on_request(&service);
        let is_idempotent = route.idempotency == Idempotency::Idempotent;
        let (result_sender, results) = mpsc::unbounded_channel();
        Forwarding {
            proxy,
            state: RequestState::new(is_idempotent, route.max_attempts, request.deadline),
            config,
            route,
            service,
            request,
            tried: Vec::new(),
            arrived: 0,
            results,
            result_sender,
            client_left,
        }
    }

    /// Sends the request until it is over: an endpoint's response, or why there is none.
    async fn send_until_answered(mut self) -> Result<ProxyResponse, NextStep> {
        loop {
            if let Err(reason) = self.send(f64::INFINITY) {
                tracing::debug!(target: "request", "Not sent to {}: {reason}.", self.service);
                if let NotSent::Unavailable(reason) = reason {
                    self.proxy.metrics.on_unavailable(reason);
                }
                return Err(self.state.give_up(now()));
            }
            match self.wait_for_response().await {
                Ok(response) => return Ok(response),
                Err(NextStep::Retry) => {}
                Err(step) => return Err(step),
            }
        }
    }

    /// Waits for the response of the attempts in flight, and adds a hedge to a slow one.
    async fn wait_for_response(&mut self) -> Result<ProxyResponse, NextStep> {
        let sent_at = now();
        let mean_latency = self.proxy.state().load_balancer.mean_latency(&self.service);
        let hedge_at = sent_at + (HEDGE_AFTER * mean_latency) as Micros;
        loop {
            let may_hedge = self.state.may_hedge() && hedge_at < self.request.deadline;
            let result = tokio::select! {
                biased;
                Some(result) = self.results.recv() => result,
                () = clock::sleep_until(hedge_at), if may_hedge => {
                    self.hedge(mean_latency);
                    continue;
                }
            };
            if result.outcome == AttemptOutcome::NotSent {
                self.arrived -= 1;
            }
            let may_retry = self.arrived == 0 || self.retry_balance() >= RETRY_COST;
            match self.state.on_outcome(now(), result.outcome, may_retry) {
                NextStep::Respond => return result.response.ok_or(NextStep::BadGateway),
                NextStep::Wait => {}
                step => return Err(step),
            }
        }
    }

    /// Sends the request to a second endpoint if the budget allows it. The first attempt goes on; whichever is answered first
    /// gives the response.
    fn hedge(&mut self, mean_latency: f64) {
        let may_send = self.retry_balance() >= HEDGE_MIN_BALANCE;
        if !may_send || self.send(HEDGE_WITHIN * mean_latency).is_err() {
            self.state.disable_hedging();
        }
    }

    fn retry_balance(&self) -> f64 {
        self.proxy.state().retry_budget.balance(&self.service)
    }

    /// Sends the request to one more endpoint, if there is one whose response is expected within `max_latency`, in
    /// microseconds.
    fn send(&mut self, max_latency: f64) -> Result<(), NotSent> {
        self.refresh_route()?;
        if !self.state.may_send() {
            return Err(NotSent::AttemptsExhausted);
        }
        let attempt = self.plan_attempt(max_latency)?;
        self.tried.push(attempt.endpoint);
        self.state.on_sent();
        self.arrived += 1;
        let (proxy, request) = (self.proxy.clone(), self.request.clone());
        let results = self.result_sender.clone();
        attempt::start(proxy, attempt, request, results, self.client_left.clone());
        Ok(())
    }

    /// Nothing is sent by a configuration that has been replaced: the route is found anew by what is in force now.
    fn refresh_route(&mut self) -> Result<(), NotSent> {
        let config = self.proxy.state().config.clone();
        let Some(config) = config.filter(|config| config.version != self.config.version) else {
            return Ok(());
        };
        let (host, path) = (self.request.host(), self.request.uri.path());
        let route = config
            .routes()
            .find(host, path)
            .cloned()
            .ok_or(NotSent::RouteRemoved)?;
        if !route
            .destinations
            .iter()
            .any(|destination| destination.service == self.service)
        {
            self.service = choose_service(&route);
        }
        if route.idempotency != Idempotency::Idempotent {
            self.state.set_non_idempotent();
        }
        (self.config, self.route) = (config, route);
        Ok(())
    }

    /// Chooses an endpoint, and charges the retry budget and the trial for the attempt.
    fn plan_attempt(&self, max_latency: f64) -> Result<Attempt, NotSent> {
        let (now, is_first) = (now(), self.tried.is_empty());
        let mut state = self.proxy.state();
        if is_first {
            self.count_request(now, &mut state);
        }
        let trial = match is_first {
            true => self.select_trial(now, &mut state),
            false => None,
        };
        let selection = match trial {
            Some(selection) => selection,
            None => self
                .select_serving(now, &mut state)
                .map_err(NotSent::Unavailable)?,
        };
        if selection.expected_latency > max_latency {
            return Err(NotSent::TooSlow);
        }
        if self.arrived > 0 {
            state.retry_budget.on_retry(&self.service);
        }
        if trial.is_some() {
            if let Some(part) = state.rollouts.get_mut(&*self.service) {
                part.trial.on_trial_attempt();
            }
        }
        let listed = state.load_balancer.get(selection.endpoint);
        let listed = listed.ok_or(NotSent::Unavailable(NoEndpoint::NoneListed))?;
        Ok(Attempt {
            endpoint: selection.endpoint,
            id: listed.id.clone(),
            address: listed.address,
            service: self.service.clone(),
            route: self.route.clone(),
            config_version: self.config.version,
            is_trial: trial.is_some(),
            is_first,
            is_warming_up: now < listed.warm_at,
        })
    }

    fn count_request(&self, now: Micros, state: &mut ProxyState) {
        state
            .request_rates
            .entry(self.service.clone())
            .or_default()
            .count(now);
        if let Some(part) = state.rollouts.get_mut(&*self.service) {
            part.trial.on_request();
        }
    }

    /// Selects an endpoint of the version on trial if the index takes this request there, within the share. That is done only
    /// while a leader is followed, who may have rolled it back otherwise.
    fn select_trial(&self, now: Micros, state: &mut ProxyState) -> Option<Selection> {
        let part = state.rollouts.get(&*self.service)?;
        if !state.is_following || !part.trial.prefers_trial(self.state.is_idempotent()) {
            return None;
        }
        let is_on_trial = |version: &str| version == part.target_version;
        let request = SelectionRequest {
            max_endpoints: part.trial.stage().max_endpoints,
            ..self.selection_request(&is_on_trial)
        };
        state.load_balancer.select(now, request).ok()
    }

    /// Selects an endpoint of a version that gets ordinary requests.
    fn select_serving(&self, now: Micros, state: &mut ProxyState) -> Result<Selection, NoEndpoint> {
        let service = state.services.get(&*self.service);
        let is_serving = |version: &str| is_serving_version(service, version);
        let request = self.selection_request(&is_serving);
        state.load_balancer.select(now, request)
    }

    fn selection_request<'b>(
        &'b self,
        is_allowed_version: &'b dyn Fn(&str) -> bool,
    ) -> SelectionRequest<'b> {
        SelectionRequest {
            service: &self.service,
            is_allowed_version,
            exclude: &self.tried,
            is_idempotent: self.state.is_idempotent(),
            precedence: self.route.precedence,
            max_endpoints: 0,
        }
    }
}

/// Chooses one of a route's services, by their weights.
fn choose_service(route: &Route) -> Arc<str> {
    let fraction = rand::thread_rng().gen_range(0.0..1.0);
    route.destination(fraction).service.clone()
}
