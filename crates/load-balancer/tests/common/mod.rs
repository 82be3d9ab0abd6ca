//! A service, simulated: proxies that balance its load, each with what it has seen itself, and endpoints that work, queue and fail.

#![allow(dead_code)]

use magpieline_load_balancer::endpoint_selection::{
    EndpointSignal, ListedEndpoint, LoadBalancer, NoEndpoint, ReportedLoad, SelectionRequest,
};
use magpieline_load_balancer::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddrV4;

pub const SECOND: Micros = 1_000_000;
/// Time that a request takes at an endpoint, half more or less.
pub const WORK: Micros = 150_000;
/// A client waits so long for a response.
pub const DEADLINE: Micros = 1_500_000;
/// Endpoints that a request is sent to at most.
const MAX_ATTEMPTS: usize = 2;

/// What an endpoint does with a request that it can't queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// Says that it did not run it.
    Rejects,
    /// Ends the connection.
    Resets,
    /// Never answers it.
    StaysSilent,
}

/// How an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It serves; a request takes so many times its usual work.
    Serves(f64),
    /// It works, and answers with a failure.
    Fails,
    /// It takes requests and answers none.
    IsSilent,
    /// It takes no connection.
    Refuses,
}

pub const WELL: Health = Health::Serves(1.0);

/// A service and those that send to it.
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    pub seed: u64,
    pub proxies: usize,
    /// Requests that each endpoint works on at a time.
    pub sizes: &'a [usize],
    /// Requests that an endpoint queues beside those that it works on.
    pub queue_size: usize,
    pub when_full: WhenFull,
    pub is_idempotent: bool,
}

/// A request that waits or is worked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    endpoint: usize,
    proxy: usize,
    attempt: u64,
    /// The span of play in which it was sent.
    play: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    WorkEnds(Request),
    DeadlinePasses(Request),
}

struct Endpoint {
    size: usize,
    health: Health,
    running: usize,
    queue: VecDeque<Request>,
}

impl Endpoint {
    fn new(size: usize) -> Endpoint {
        Endpoint {
            size,
            health: WELL,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running as u32,
            waiting: self.queue.len() as u32,
            concurrency: self.size as u32,
        }
    }
}

/// What has come of requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub sent: u32,
    pub served: u32,
    /// Requests that no endpoint was found for, or that were not served by those that were.
    pub refused: u32,
    /// Of these, requests that no endpoint was found for, as all were taken to be full.
    pub estimated_full: u32,
    /// Attempts that an endpoint rejected.
    pub rejected: u32,
    /// Attempts that were answered with a failure, or not at all.
    pub failed: u32,
    /// Attempts by endpoint.
    pub attempts: BTreeMap<usize, u32>,
    /// Requests by the proxy that they came to.
    pub by_proxy: BTreeMap<usize, ProxyTally>,
}

impl Tally {
    /// Returns the part of all attempts that went to an endpoint.
    pub fn share_of(&self, endpoint: usize) -> f64 {
        let all: u32 = self.attempts.values().sum();
        let attempts = self.attempts.get(&endpoint).copied().unwrap_or(0);
        f64::from(attempts) / f64::from(all.max(1))
    }
}

/// Requests that came to one proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProxyTally {
    pub sent: u32,
    pub refused: u32,
}

/// A simulated service and its proxies.
pub struct World {
    now: Micros,
    when_full: WhenFull,
    is_idempotent: bool,
    queue_size: usize,
    rng: ChaCha8Rng,
    proxies: Vec<LoadBalancer>,
    endpoints: Vec<Endpoint>,
    events: BinaryHeap<Reverse<(Micros, Event)>>,
    open: BTreeSet<Request>,
    /// What came of the requests of each span of play, and of those beside them.
    tallies: Vec<Tally>,
}

fn name(endpoint: usize) -> String {
    format!("e{endpoint}")
}

/// Returns an endpoint as the platform lists it.
pub fn listed(endpoint: usize, size: usize) -> ListedEndpoint {
    ListedEndpoint {
        id: name(endpoint).into(),
        service: "s".into(),
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
        zone: "a".into(),
        version: "v1".into(),
        concurrency: size as u32,
        is_draining: false,
        warm_at: 0,
    }
}

impl World {
    pub fn new(setup: &Setup) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let seeds: Vec<u64> = (0..setup.proxies).map(|_| rng.gen()).collect();
        let balancer = |proxy: usize| {
            let mut balancer = LoadBalancer::new("a", seeds[proxy]);
            for (endpoint, size) in setup.sizes.iter().enumerate() {
                balancer.upsert(0, listed(endpoint, *size));
            }
            balancer
        };
        World {
            now: 0,
            when_full: setup.when_full,
            is_idempotent: setup.is_idempotent,
            queue_size: setup.queue_size,
            rng,
            proxies: (0..setup.proxies).map(balancer).collect(),
            endpoints: setup.sizes.iter().copied().map(Endpoint::new).collect(),
            events: BinaryHeap::new(),
            open: BTreeSet::new(),
            tallies: Vec::new(),
        }
    }

    /// Returns how many requests the endpoints from `first` on can take in a second.
    pub fn capacity(&self, first: usize) -> f64 {
        let endpoints = &self.endpoints[first..];
        let slots: usize = endpoints.iter().map(|endpoint| endpoint.size).sum();
        slots as f64 * SECOND as f64 / WORK as f64
    }

    /// Changes how an endpoint is from now on.
    pub fn set_health(&mut self, endpoint: usize, health: Health) {
        self.endpoints[endpoint].health = health;
    }

    /// The platform lists an endpoint no more.
    pub fn unlist(&mut self, endpoint: usize) {
        for balancer in &mut self.proxies {
            balancer.remove(&name(endpoint));
        }
    }

    /// The platform lists one more endpoint.
    pub fn add(&mut self, size: usize) {
        let endpoint = self.endpoints.len();
        self.endpoints.push(Endpoint::new(size));
        for balancer in &mut self.proxies {
            balancer.upsert(self.now, listed(endpoint, size));
        }
    }

    /// Lets time pass without new requests.
    pub fn rest(&mut self, time: Micros) {
        self.work_until(self.now + time);
    }

    /// Sends so many requests a second, at random moments and to random proxies, for some time. Returns the number of this span.
    pub fn play(&mut self, per_second: f64, time: Micros) -> usize {
        self.tallies.push(Tally::default());
        let end = self.now + time;
        loop {
            let pause = -self.rng.gen_range(f64::EPSILON..1.0).ln() / per_second;
            let next = self.now + (pause * SECOND as f64) as Micros;
            self.work_until(next.min(end));
            if next >= end {
                return self.tallies.len() - 1;
            }
            self.send();
        }
    }

    /// Waits until all requests have ended. Returns what came of those of each span of play.
    pub fn finish(mut self) -> Vec<Tally> {
        self.rest(2 * DEADLINE);
        self.tallies
    }

    fn current_tally(&mut self) -> &mut Tally {
        self.tallies.last_mut().expect("played")
    }

    fn work_until(&mut self, until: Micros) {
        while let Some(Reverse((at, event))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            match event {
                Event::WorkEnds(request) => self.on_work_end(request),
                Event::DeadlinePasses(request) => self.on_deadline(request),
            }
        }
        self.now = until;
    }

    fn on_work_end(&mut self, request: Request) {
        let endpoint = &mut self.endpoints[request.endpoint];
        endpoint.running -= 1;
        let signal = match endpoint.health {
            Health::Serves(_) => EndpointSignal::Served,
            Health::Fails => EndpointSignal::Failed,
            Health::IsSilent | Health::Refuses => EndpointSignal::ConnectionLost,
        };
        if let Some(next) = endpoint.queue.pop_front() {
            self.begin(next);
        }
        self.end(request, signal);
    }

    fn on_deadline(&mut self, request: Request) {
        if !self.open.contains(&request) {
            return;
        }
        let queue = &mut self.endpoints[request.endpoint].queue;
        queue.retain(|waiting| *waiting != request);
        self.end(request, EndpointSignal::TimedOut);
    }

    /// Sends a request: to an endpoint, and to another one if that rejects it.
    fn send(&mut self) {
        let proxy = self.rng.gen_range(0..self.proxies.len());
        self.current_tally().sent += 1;
        self.current_tally().by_proxy.entry(proxy).or_default().sent += 1;
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
            let request = SelectionRequest {
                service: "s",
                is_allowed_version: &|_| true,
                exclude: &tried,
                is_idempotent: self.is_idempotent,
                precedence: 1,
                max_endpoints: 0,
            };
            match self.proxies[proxy].select(self.now, request) {
                Ok(selection) => {
                    tried.push(selection.endpoint);
                    if self.attempt(proxy, selection.endpoint) {
                        return;
                    }
                }
                Err(reason) => {
                    if reason == NoEndpoint::EstimatedFull && tried.is_empty() {
                        self.current_tally().estimated_full += 1;
                    }
                    break;
                }
            }
        }
        let play = self.tallies.len() - 1;
        self.on_refused(play, proxy);
    }

    fn on_refused(&mut self, play: usize, proxy: usize) {
        let tally = &mut self.tallies[play];
        tally.refused += 1;
        tally.by_proxy.entry(proxy).or_default().refused += 1;
    }

    /// Sends a request to an endpoint. Returns whether it went there and may not go to another one.
    fn attempt(&mut self, proxy: usize, handle: usize) -> bool {
        let balancer = &mut self.proxies[proxy];
        let id = balancer.get(handle).expect("listed").id.clone();
        let endpoint: usize = id[1..].parse().expect("a number");
        let attempt = balancer.on_sent(self.now, handle);
        let request = Request {
            endpoint,
            proxy,
            attempt,
            play: self.tallies.len() - 1,
        };
        *self.current_tally().attempts.entry(endpoint).or_default() += 1;
        self.open.insert(request);
        let deadline = Reverse((self.now + DEADLINE, Event::DeadlinePasses(request)));
        let when_full = self.when_full;
        let queue_size = self.queue_size;
        let Endpoint {
            size,
            health,
            running,
            queue,
        } = &mut self.endpoints[endpoint];
        match *health {
            Health::IsSilent => self.events.push(deadline),
            Health::Refuses => {
                self.end(request, EndpointSignal::NoConnection);
                return false;
            }
            _ if *running < *size => {
                self.begin(request);
                self.events.push(deadline);
            }
            _ if queue.len() < queue_size => {
                queue.push_back(request);
                self.events.push(deadline);
            }
            _ => match when_full {
                WhenFull::Rejects => {
                    self.current_tally().rejected += 1;
                    self.end(request, EndpointSignal::Rejected);
                    return false;
                }
                WhenFull::Resets => self.end(request, EndpointSignal::ConnectionLost),
                WhenFull::StaysSilent => self.events.push(deadline),
            },
        }
        true
    }

    fn begin(&mut self, request: Request) {
        let endpoint = &mut self.endpoints[request.endpoint];
        endpoint.running += 1;
        let work = self.rng.gen_range(WORK / 2..WORK * 3 / 2);
        let work = match endpoint.health {
            Health::Serves(slowness) => (work as f64 * slowness) as Micros,
            _ => work,
        };
        let end = self.now + work;
        self.events.push(Reverse((end, Event::WorkEnds(request))));
    }

    fn end(&mut self, request: Request, signal: EndpointSignal) {
        if !self.open.remove(&request) {
            return;
        }
        match signal {
            EndpointSignal::Served => self.tallies[request.play].served += 1,
            EndpointSignal::Rejected | EndpointSignal::NoConnection => {}
            _ => {
                self.tallies[request.play].failed += 1;
                self.on_refused(request.play, request.proxy);
            }
        }
        let has_answered = matches!(
            signal,
            EndpointSignal::Served | EndpointSignal::Failed | EndpointSignal::Rejected
        );
        let load = has_answered.then(|| self.endpoints[request.endpoint].load());
        let balancer = &mut self.proxies[request.proxy];
        if let Some(handle) = balancer.find(&name(request.endpoint)) {
            balancer.on_end(self.now, handle, request.attempt, signal, load);
        }
    }
}
