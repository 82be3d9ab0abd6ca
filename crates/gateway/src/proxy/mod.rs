//! The counter: carries clients' requests to appliances.

mod client_connection;
pub mod connect;
mod connection_pool;
mod controller_session;
mod fallback_discovery;
#[cfg(test)]
mod loopback_tests;
mod readiness;
pub mod request_handler;
mod settings_reload;
mod upstream_connection;
mod upstream_request;

use crate::clock::{now, Micros};
use crate::net::{self, Frames};
use crate::settings::Held;
use crate::view;
use connect::Dial;
use connection_pool::Pool;
use jzon::JsonValue as Json;
use magpieline_config::gateway_config::Edition;
use magpieline_config::node_settings::Machine;
use magpieline_control_plane::messages::{Evidence, Listing, Opening, Stage, State as ListState};
use magpieline_control_plane::state_machine::{Kept, Phase, Standing};
use magpieline_http1::orders::Orders;
use magpieline_load_balancer::endpoint_selection::{Field, Listed};
use magpieline_load_balancer::retry_budget::Budget;
use magpieline_rollout::trial::Trial;
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// How often idle connections are looked through.
const SWEEP: Micros = 1_000_000;

/// What all parts of a counter share. Locks are held for a few microseconds, never across a wait.
pub struct Counter {
    /// The settings as it began.
    pub machine: Machine,
    /// The settings in force.
    pub settings: Held,
    /// Differs between starts.
    pub life: u64,
    state: Mutex<State>,
    pool: Mutex<Pool>,
    /// SIGTERM has come: nothing new, each answer closes its connection.
    leaving: AtomicBool,
    /// Told when `leaving` is set.
    pub left: Notify,
    /// When it was set.
    left_at: AtomicU64,
    /// Requests in hand.
    in_hand: AtomicUsize,
    /// Forwards under way, and told when one has ended.
    flying: AtomicUsize,
    landed: Notify,
    /// Requests that may run once only and may have run.
    orders: Mutex<Orders>,
    /// Wakes the session: there is something to tell.
    pub tell: Notify,
    /// Told when this counter knows enough to serve.
    knows: Notify,
    /// How appliances are reached.
    dial: Dial,
}

/// A counter's part in a rollout.
pub struct Part {
    pub trial: Trial,
    /// The version on trial.
    pub to: String,
    /// When the order was first heard of.
    since: Micros,
}

/// How often something happens, over the last few seconds.
#[derive(Clone, Copy, Default)]
pub struct Rate {
    per_s: f64,
    at: Micros,
}

impl Rate {
    /// Seconds that are looked back.
    const SPAN: f64 = 4.0;

    pub fn count(&mut self, now: Micros) {
        self.per_s = self.now(now) + 1.0 / Rate::SPAN;
        self.at = now;
    }

    pub fn now(&self, now: Micros) -> f64 {
        self.per_s * (-(now.saturating_sub(self.at) as f64) / 1e6 / Rate::SPAN).exp()
    }
}

/// What a counter knows.
pub struct State {
    pub edition: Option<Arc<Edition>>,
    kept: Option<Kept>,
    pub standings: HashMap<String, Standing>,
    pub field: Field,
    pub budget: Budget,
    /// Rollouts that this counter has a part in, by service.
    pub trials: HashMap<String, Part>,
    /// Requests a second, by service.
    pub rates: HashMap<Arc<str>, Rate>,
    /// When a list was last heard of, whole or confirmed.
    pub listed_at: Option<Micros>,
    /// Whether the leader confirmed what is in force, once in this life.
    pub confirmed: bool,
    /// Whether the leader is held now.
    pub held: bool,
    /// How many counters there are, as last told; 0: not known.
    pub counters: u32,
}

impl Counter {
    /// `life` differs between starts; `dial` reaches appliances.
    pub fn new(settings: Held, life: u64, dial: Dial) -> Counter {
        let machine = Machine::clone(&settings.borrow());
        let terms = &machine.terms;
        let state = State {
            edition: None,
            kept: None,
            standings: HashMap::new(),
            field: Field::new(&machine.zone, life),
            budget: Budget::new(terms.retry_ratio, terms.retry_slack),
            trials: HashMap::new(),
            rates: HashMap::new(),
            listed_at: None,
            confirmed: false,
            held: false,
            counters: 0,
        };
        Counter {
            life,
            state: Mutex::new(state),
            pool: Mutex::new(Pool::default()),
            leaving: AtomicBool::new(false),
            left: Notify::new(),
            left_at: AtomicU64::new(0),
            in_hand: AtomicUsize::new(0),
            flying: AtomicUsize::new(0),
            landed: Notify::new(),
            orders: Mutex::default(),
            tell: Notify::new(),
            knows: Notify::new(),
            dial,
            machine,
            settings,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// SIGTERM has come: no new clients, what is in hand is answered.
    pub fn leave(&self) {
        self.left_at.store(now(), Ordering::Relaxed);
        self.leaving.store(true, Ordering::Relaxed);
        self.left.notify_waiters();
    }

    /// Waits until what was sent to appliances has ended, also where no client waits for it any more: in the second half
    /// of what there is from SIGTERM on nothing is waited for.
    pub async fn settled(&self) {
        let until = self.left_at.load(Ordering::Relaxed) + self.settings.borrow().terms.grace / 2;
        let ended = async {
            loop {
                let told = self.landed.notified();
                if self.flying.load(Ordering::Relaxed) == 0 {
                    return;
                }
                told.await;
            }
        };
        let _ = tokio::time::timeout(crate::clock::span(until.saturating_sub(now())), ended).await;
    }

    fn orders(&self) -> MutexGuard<'_, Orders> {
        self.orders
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Waits until there are a configuration and a list, for so long at most; whether there are.
    async fn knowing(&self, most: Micros) -> bool {
        let knows = || self.state().knows();
        if knows() {
            return true;
        }
        let _ = tokio::time::timeout(crate::clock::span(most), async {
            loop {
                let told = self.knows.notified();
                if knows() {
                    return;
                }
                told.await;
            }
        })
        .await;
        knows()
    }

    /// Whether new clients may come.
    pub fn ready(&self) -> bool {
        !self.leaving() && self.state().knows()
    }

    /// A leader that a majority has confirmed since this counter asked has told it all.
    pub fn confirmed(&self) {
        self.state().confirmed = true;
        self.knows.notify_waiters();
    }

    /// Takes a configuration into force if it is newer than what is.
    pub fn take_edition(&self, kept: &Kept) {
        let held = self.state().kept.as_ref().map_or(0, |k| k.number);
        if kept.number <= held {
            return;
        }
        let (before, began) = (self.state().edition.clone(), now());
        match Edition::read_after(&kept.text, before.as_deref()) {
            Ok(edition) => {
                tracing::debug!(target: "edition", "Edition {} took {} us to read.", kept.number, now() - began);
                let mut state = self.state();
                if state.kept.as_ref().is_none_or(|k| k.number < kept.number) {
                    state.edition = Some(Arc::new(edition));
                    state.kept = Some(kept.clone());
                    tracing::info!(target: "edition", "Edition {} is in force.", kept.number);
                }
                drop(state);
                self.knows.notify_waiters();
            }
            // It was checked before it was agreed on; a counter of another build may know less.
            Err(wrong) => {
                tracing::error!(target: "edition", "Edition {} can't be read: {}.", kept.number, wrong[0]);
            }
        }
    }

    /// The configuration in force, as it was sent.
    pub fn kept(&self) -> Option<Kept> {
        self.state().kept.clone()
    }

    pub fn edition_number(&self) -> u64 {
        self.state().kept.as_ref().map_or(0, |k| k.number)
    }

    /// Takes in what has changed on the list, or all of it.
    pub fn take_listing(&self, listing: &Listing) {
        let now = now();
        let mut closed = Vec::new();
        let mut state = self.state();
        state.listed_at = Some(now);
        if listing.whole {
            let named: std::collections::HashSet<&Arc<str>> =
                listing.entries.iter().map(|(id, _)| id).collect();
            let gone: Vec<Arc<str>> = state
                .field
                .ids()
                .filter(|id| !named.contains(id))
                .cloned()
                .collect();
            for id in &gone {
                state.field.drop(id);
            }
            closed.extend(gone);
        }
        for (id, entry) in &listing.entries {
            let Some(entry) = entry else {
                state.field.drop(id);
                closed.push(id.clone());
                continue;
            };
            let closing = entry.state == ListState::Closing;
            let cold_until = if entry.cold > 0 { now + entry.cold } else { 0 };
            state.field.list(
                now,
                Listed {
                    id: id.clone(),
                    service: entry.service.clone(),
                    address: entry.address,
                    zone: entry.zone.clone(),
                    version: entry.version.clone(),
                    berths: entry.berths,
                    closing,
                    cold_until,
                },
            );
            if closing {
                closed.push(id.clone());
            }
        }
        drop(state);
        self.knows.notify_waiters();
        let mut pool = self.pool();
        closed.iter().for_each(|id| pool.drop_all(id));
    }

    /// This counter's view of things, for operators.
    fn shown(&self) -> Json {
        let state = self.state();
        let mut services = Json::new_object();
        for service in state.edition.iter().flat_map(|e| e.fleets.keys()) {
            let versions: Vec<String> = state
                .field
                .versions(service)
                .iter()
                .map(|v| v.to_string())
                .collect();
            let standing = state.standings.get(&**service);
            let rollout = standing.and_then(|s| s.rollout.as_ref());
            let shown = jzon::object! {
                listed: versions,
                stands: standing.and_then(|s| s.version.as_deref()),
                rollout: rollout.map_or(Json::Null, |r| {
                    jzon::object! { to: r.to.as_str(), phase: format!("{:?}", r.phase), order: r.order }
                }),
                usual_ms: state.field.usual(service) / 1e3,
                further_forwards_saved: state.budget.saved(service)
            };
            let _ = services.insert(service, shown);
        }
        jzon::object! {
            node: self.machine.node.as_str(),
            edition: state.kept.as_ref().map(|k| k.number),
            confirmed: state.confirmed,
            leader_held: state.held,
            counters: state.counters,
            list_ms_ago: state.listed_at.map(|at| now().saturating_sub(at) / 1000),
            in_hand: self.in_hand.load(Ordering::Relaxed),
            leaving: self.leaving(),
            services: services
        }
    }

    /// So many counters hold parts of the sums that all keep together.
    pub fn heard_counters(&self, counters: u32) {
        let mut state = self.state();
        if state.counters != counters {
            state.counters = counters;
            state
                .budget
                .share(self.settings.borrow().terms.retry_slack, counters);
        }
    }

    /// What this counter has to tell of rollouts.
    pub fn evidence(&self) -> Vec<Evidence> {
        let state = self.state();
        let now = now();
        let told = state.trials.iter().filter_map(|(service, part)| {
            let standing = state.standings.get(service)?;
            let rollout = standing
                .rollout
                .as_ref()
                .filter(|r| r.order == part.trial.order())?;
            Some(Evidence {
                phase: Some(rollout.phase),
                under_way: state
                    .field
                    .under_way(service, |v| !State::carries(Some(standing), v))
                    as u32,
                age: now.saturating_sub(part.since),
                ..part.trial.evidence()
            })
        });
        told.collect()
    }

    /// Whether a service is moving to another version.
    pub fn moving(&self) -> bool {
        let moves = |s: &Standing| s.rollout.as_ref().is_some_and(|r| r.phase == Phase::Moving);
        self.state().standings.values().any(moves)
    }

    /// How far a trial is open.
    pub fn take_stage(&self, service: &str, order: u64, stage: Stage) {
        let mut state = self.state();
        if let Some(part) = state
            .trials
            .get_mut(service)
            .filter(|p| p.trial.order() == order)
        {
            part.trial.enter(stage);
        }
    }

    pub fn take_standings(&self, standings: Vec<(String, Standing)>) {
        let (mut state, now) = (self.state(), now());
        for (service, standing) in standings {
            match &standing.rollout {
                Some(rollout) if matches!(rollout.phase, Phase::Trial | Phase::Moving) => {
                    if state
                        .trials
                        .get(&service)
                        .is_none_or(|p| p.trial.order() != rollout.order)
                    {
                        let rate = state.rates.get(&*service).map_or(0.0, |r| r.now(now));
                        let first = rand::thread_rng().gen_range(0.0..1.0);
                        let trial = Trial::new(service.as_str().into(), rollout.order, rate, first);
                        state.trials.insert(
                            service.clone(),
                            Part {
                                trial,
                                to: rollout.to.clone(),
                                since: now,
                            },
                        );
                    }
                }
                _ => {
                    state.trials.remove(&service);
                }
            }
            if state.standings.get(&service) != Some(&standing) {
                if let Some(rollout) = &standing.rollout {
                    tracing::info!(target: "rollout", "{service} to {}: {:?}.", rollout.to, rollout.phase);
                }
                state.standings.insert(service, standing);
            }
        }
        drop(state);
        self.tell.notify_one();
    }
}

impl State {
    /// Whether there is enough to serve by: a configuration and a list, and all that was in force when this counter first
    /// asked.
    fn knows(&self) -> bool {
        self.confirmed && self.edition.is_some() && self.listed_at.is_some()
    }

    /// Whether a version of a service may get ordinary requests.
    pub fn carries(standing: Option<&Standing>, version: &str) -> bool {
        let Some(standing) = standing else {
            return true;
        };
        let decided = |r: &&magpieline_control_plane::state_machine::Rollout| {
            matches!(r.phase, Phase::Moving | Phase::Delivered)
        };
        match (standing.rollout.as_ref().filter(decided), &standing.version) {
            (Some(rollout), _) => rollout.to == version,
            (None, Some(stands)) => stands == version,
            // Not known yet which one stands: all but those that are on trial or were returned.
            (None, None) => {
                let tried = standing.rollout.as_ref().is_some_and(|r| r.to == version);
                !tried && !standing.barred.iter().any(|b| b == version)
            }
        }
    }
}

/// Ends connections to appliances that have been idle for too long.
pub async fn swept(counter: Arc<Counter>) {
    loop {
        tokio::time::sleep(crate::clock::span(SWEEP)).await;
        counter.pool().sweep();
    }
}

/// Answers operators who want to see this counter's view.
async fn shown(counter: Arc<Counter>, inner: TcpListener) {
    loop {
        let Ok((stream, _)) = inner.accept().await else {
            tokio::time::sleep(crate::clock::span(SWEEP)).await;
            continue;
        };
        let counter = counter.clone();
        tokio::spawn(async move {
            let (read, mut write) = stream.into_split();
            let mut read = Frames::new(read);
            let opening =
                tokio::time::timeout(crate::clock::span(SWEEP), read.next::<Opening>()).await;
            if let Ok(Ok(Some(Opening::View))) = opening {
                view::answer(&mut write, &counter.shown()).await;
            }
        });
    }
}

/// Serves until SIGTERM.
pub async fn run(settings: Held, life: u64) -> std::io::Result<()> {
    let counter = Arc::new(Counter::new(settings, life, connect::tcp()));
    let machine = &counter.machine;
    let (Some(front), Some(ready)) = (
        machine.posts.get("front").copied(),
        machine.posts.get("ready").copied(),
    ) else {
        return Err(std::io::Error::other(
            "network.posts: expected front and ready",
        ));
    };
    let door = net::listen(front)?;
    let asked = net::listen(ready)?;
    let inner = net::listen(SocketAddrV4::new(
        counter.machine.ip,
        counter.machine.inner_ports.0,
    ))?;
    tokio::spawn(shown(counter.clone(), inner));
    tokio::spawn(swept(counter.clone()));
    tokio::spawn(settings_reload::run(counter.clone()));
    tokio::spawn(readiness::run(counter.clone(), asked));
    tokio::spawn(controller_session::run(counter.clone()));
    tokio::spawn(fallback_discovery::run(counter.clone()));
    let serving = tokio::spawn(request_handler::run(counter.clone(), door));
    crate::signals::terminated().await;
    tracing::info!(target: "counter", "Leaving: {} requests in hand.", counter.in_hand.load(Ordering::Relaxed));
    counter.leave();
    let _ = serving.await;
    counter.settled().await;
    tracing::info!(target: "counter", "Left.");
    Ok(())
}
