//! What happens in a run, drawn from its seed: signals, restarts and changes that come in series and overlap.

use crate::SeededRng;
use rand::seq::SliceRandom;
use rand::Rng;
use std::fmt;
use std::time::Duration;

/// Events begin after this, once all agents serve.
const FIRST_EVENT_MS: u64 = 1_000;
/// Nothing begins in the last part of a run: what was begun comes to its end, and what proxies believed then is outdated.
const QUIET_END_MS: u64 = 12_000;
/// That is no more than this part of a short run.
const MAX_QUIET_PART: f64 = 0.6;
/// Series of events per ten seconds.
const SERIES_PER_10_S: u64 = 6;
/// Kinds of series.
const KINDS: u32 = 13;

/// An agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Agent {
    /// A proxy, by its number from 0 on.
    Proxy(usize),
    /// A controller, by its number from 0 on.
    Controller(usize),
}

impl fmt::Display for Agent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Agent::Proxy(number) => write!(f, "proxy {number}"),
            Agent::Controller(number) => write!(f, "controller {number}"),
        }
    }
}

/// How an endpoint behaves that is ill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Illness {
    /// It answers 500 at once.
    Failing,
    /// It takes requests and answers none.
    Silent,
}

/// What is done at a moment of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// An agent gets SIGTERM, ends, and is started again.
    Terminate(Agent),
    /// An agent is killed, and started again.
    Kill(Agent),
    /// An agent stands still for some milliseconds (SIGSTOP, SIGCONT).
    Freeze(Agent, u64),
    /// An agent gets SIGHUP.
    Hangup(Agent),
    /// The operator sends a new configuration.
    ChangeConfig,
    /// The operator sends so many long configurations at once.
    ChangeLongConfigs(usize),
    /// An endpoint drains and leaves; another one takes its place.
    ReplaceEndpoint,
    /// All endpoints of the platform take so many times as long, for some milliseconds.
    SlowEndpoints(f64, u64),
    /// So many of the endpoints are ill, for some milliseconds.
    IllEndpoints(Illness, f64, u64),
    /// So many of the clients leave before they are answered, for some milliseconds.
    Impatience(f64, u64),
    /// So many of the requests have long bodies, or long responses, for some milliseconds.
    LongBodies(f64, u64),
    /// So many of the clients pause before they read a response's body, for some milliseconds.
    SlowReaders(f64, u64),
}

impl Action {
    /// Returns the agent that it is done to; none where it is done to the surroundings.
    pub fn agent(self) -> Option<Agent> {
        match self {
            Action::Terminate(agent)
            | Action::Kill(agent)
            | Action::Freeze(agent, _)
            | Action::Hangup(agent) => Some(agent),
            _ => None,
        }
    }

    /// Whether it leaves requests without answers by its nature.
    pub fn is_unplanned(self) -> bool {
        matches!(self, Action::Kill(_) | Action::Freeze(..))
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Terminate(agent) => write!(f, "{agent} gets SIGTERM"),
            Action::Kill(agent) => write!(f, "{agent} is killed"),
            Action::Freeze(agent, ms) => write!(f, "{agent} stands still for {ms} ms"),
            Action::Hangup(agent) => write!(f, "{agent} gets SIGHUP"),
            Action::ChangeConfig => write!(f, "the configuration changes"),
            Action::ChangeLongConfigs(count) => {
                write!(f, "{count} long configurations come at once")
            }
            Action::ReplaceEndpoint => write!(f, "an endpoint is replaced"),
            Action::SlowEndpoints(x, ms) => {
                write!(f, "endpoints are {x:.1} times slower for {ms} ms")
            }
            Action::IllEndpoints(illness, share, ms) => {
                let percent = share * 100.0;
                write!(
                    f,
                    "{percent:.0}% of the endpoints are ill ({illness:?}) for {ms} ms"
                )
            }
            Action::Impatience(share, ms) => {
                write!(
                    f,
                    "{:.0}% of the clients leave early for {ms} ms",
                    share * 100.0
                )
            }
            Action::LongBodies(share, ms) => {
                write!(
                    f,
                    "{:.0}% of the requests are long for {ms} ms",
                    share * 100.0
                )
            }
            Action::SlowReaders(share, ms) => {
                write!(
                    f,
                    "{:.0}% of the clients pause before they read for {ms} ms",
                    share * 100.0
                )
            }
        }
    }
}

/// An action and when it is due, from the beginning of traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it is due.
    pub at: Duration,
    /// What is done.
    pub action: Action,
}

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// How long clients send, at least 12 s.
    pub seconds: u64,
    /// Proxies.
    pub proxies: usize,
    /// Controllers.
    pub controllers: usize,
    /// Clients.
    pub clients: usize,
}

/// What happens in a run, in the order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The events.
    pub events: Vec<Event>,
}

impl Plan {
    /// Draws a plan.
    pub fn draw(rng: &mut SeededRng, size: Size) -> Plan {
        let run_ms = size.seconds * 1000;
        let quiet_end = QUIET_END_MS.min((run_ms as f64 * MAX_QUIET_PART) as u64);
        let end = run_ms - quiet_end;
        let mut events = Vec::new();
        if end > FIRST_EVENT_MS {
            for _ in 0..(size.seconds * SERIES_PER_10_S / 10).max(1) {
                let at = rng.gen_range(FIRST_EVENT_MS..end);
                draw_series(rng, size, at, end, &mut events);
            }
        }
        events.sort_by_key(|event| event.at);
        Plan { events }
    }
}

/// Draws one series: the same kind of action several times, a pause between them.
fn draw_series(rng: &mut SeededRng, size: Size, begin: u64, end: u64, events: &mut Vec<Event>) {
    let count = rng.gen_range(1..=4);
    let pause = rng.gen_range(20..1_500);
    let mut proxies: Vec<usize> = (0..size.proxies).collect();
    proxies.shuffle(rng);
    let controller = Agent::Controller(rng.gen_range(0..size.controllers));
    let kind = rng.gen_range(0..KINDS);
    for i in 0..count {
        let proxy = Agent::Proxy(proxies[i as usize % proxies.len()]);
        let action = match kind {
            0 | 1 => Action::Terminate(proxy),
            2 => Action::Kill(proxy),
            3 => Action::Freeze(proxy, rng.gen_range(50..1_500)),
            4 => Action::Hangup(proxy),
            5 => Action::ChangeConfig,
            6 => Action::ReplaceEndpoint,
            7 => Action::Impatience(rng.gen_range(0.2..1.0), rng.gen_range(500..4_000)),
            8 => Action::LongBodies(rng.gen_range(0.2..1.0), rng.gen_range(200..2_000)),
            9 => Action::SlowReaders(rng.gen_range(0.2..1.0), rng.gen_range(500..4_000)),
            10 => {
                let illness = *[Illness::Failing, Illness::Silent]
                    .choose(rng)
                    .expect("there are some");
                Action::IllEndpoints(illness, rng.gen_range(0.1..1.0), rng.gen_range(500..5_000))
            }
            11 if i == 0 => Action::ChangeLongConfigs(rng.gen_range(2..=6)),
            11 => return,
            // One controller at a time: more than half of them go on.
            _ if i == 0 => *[
                Action::Terminate(controller),
                Action::Kill(controller),
                Action::Freeze(controller, rng.gen_range(50..2_500)),
                Action::SlowEndpoints(rng.gen_range(2.0..20.0), rng.gen_range(500..4_000)),
            ]
            .choose(rng)
            .expect("there are some"),
            _ => return,
        };
        let at = begin + i * pause;
        if at < end {
            events.push(Event {
                at: Duration::from_millis(at),
                action,
            });
        }
    }
}
