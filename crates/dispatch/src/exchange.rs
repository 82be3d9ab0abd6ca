//! The exchange: the one place where the clients' side and the servers' side meet. It alone holds the
//! decisions, the clock and the timers, and carries out what the decisions say.

use crate::changes::{Changes, Pinned};
use crate::end::End;
use crate::keys::{hash, Keys};
use crate::nodes::Nodes;
use crate::signal::Signal;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use magpieline::interface::*;
use magpieline::names::{Door, Told};
use magpieline::Balancer;
use magpieline_degradation::{Change, Levels};
use magpieline_sequential_test::Look;
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

mod config_changes;
mod hits;
mod levels;
mod nodes_listed;
mod releases;

/// Complaints of one kind are logged once in this time, with their count: what fails, fails often.
const COMPLAIN_EVERY: Duration = Duration::from_secs(5);

/// Looks at a release are kept once in this time, in seconds, and with each vote.
const RECORD_EVERY: f64 = 1.0;

/// What a hit carries on its way: its id, bytes, and what its front needs besides to send them.
pub struct Load {
    /// The id's [`crate::hash`]: one in hand at a time.
    pub id: u64,
    /// A front's own type; a way that does not know it sends nothing.
    pub head: Box<dyn Any>,
    pub body: Bytes,
}

/// The final answer to a hit. `kind` says what the body is, in the words of the front's protocol.
pub enum Answer {
    Delivered { kind: Option<Bytes>, body: Bytes },
    Bounced { again_after: f64 },
    Failed,
}

/// A way to a node: one protocol's connections to it.
pub trait Way {
    /// Sends a hit and waits for its end, all within `limit`. Dropping the future gives it up.
    fn forward(&self, load: Rc<Load>, limit: Duration) -> LocalBoxFuture<'static, End>;
}

/// How a way to a listed node is made, by its address and the protocol that it speaks; an error says what is wrong
/// with its line.
pub type Ways = Box<dyn Fn(SocketAddr, u8) -> Result<Rc<dyn Way>, String>>;

/// Where votes are cast: the receipt, and the news that came with it.
pub trait Desk {
    fn cast(&self, vote: Vote) -> LocalBoxFuture<'static, (Receipt, Option<News>)>;
}

/// Told of each change of level, to keep it.
pub type Changed = Box<dyn Fn(&Change)>;

/// Where looks at releases are kept.
pub type Looks = Box<dyn Fn(&Looked)>;

/// What operators chose, as far as the exchange is concerned.
#[derive(Clone, Debug, Default)]
pub struct Chosen {
    /// For the decisions.
    pub named: Named,
    /// How many connections clients may hold at most.
    pub clients: Option<usize>,
}

/// A look at a release.
#[derive(Debug, Serialize, Deserialize)]
pub struct Looked {
    /// Unix time.
    pub at: f64,
    pub build: u32,
    pub stage: usize,
    pub phase: String,
    /// The vote that was cast with it, if one was.
    pub vote: Option<String>,
    pub look: Look,
    pub entries: Vec<magpieline_sequential_test::Entry>,
    /// The path groups' names, in order, and those of the nodes that entries mention.
    pub groups: Vec<String>,
    pub nodes: BTreeMap<usize, String>,
}

/// One line of the list, with the node's name and its address here; its index is given when it is taken in.
pub struct Entry {
    pub uid: String,
    pub listed: Listed,
    pub address: SocketAddr,
    pub gone: bool,
}

/// A hit in hand: what is sent on, and where its answer goes.
struct Held {
    handle: HitHandle,
    load: Rc<Load>,
    answer: Option<oneshot::Sender<Answer>>,
    group: usize,
    taken: f64,
    /// When it was first forwarded.
    forwarded: Option<f64>,
    /// The version of the operators' file that it goes by.
    pinned: Option<Pinned>,
}

/// A hit that waits by a level's word: the decisions don't know it yet.
struct Waiting {
    arrival: Arrival,
    taken: f64,
    load: Load,
    answer: oneshot::Sender<Answer>,
    /// Where its ticket finds it once it has gone on.
    place: Rc<Cell<Option<HitHandle>>>,
}

/// Where a ticket's hit is.
enum Place {
    Held(HitHandle),
    /// It waits under this number, or has gone on.
    Waits(u64, Rc<Cell<Option<HitHandle>>>),
    /// It was turned away at the door.
    Over,
}

/// Unix time, in seconds.
pub fn unix() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64())
}

/// Unix time, going on from the start by the monotonic clock: nodes' starts are on the same scale.
struct Clock {
    origin: f64,
    begun: Instant,
}

impl Clock {
    fn start() -> Clock {
        Clock {
            origin: unix(),
            begun: Instant::now(),
        }
    }

    fn now(&self) -> f64 {
        self.origin + self.begun.elapsed().as_secs_f64()
    }
}

/// Seconds as a time to wait; what is no time at all counts as none, what is beyond all time as for ever.
fn time(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

/// A setting that is a time; `otherwise`, in seconds, where it is absent or no time.
pub fn seconds(named: &Named, name: &str, otherwise: f64) -> Duration {
    match named.get(name) {
        Some(Value::Number(n)) if *n > 0.0 && *n < 1e6 => Duration::from_secs_f64(*n),
        _ => Duration::from_secs_f64(otherwise),
    }
}

/// Target latencies by path group, in seconds.
fn targets(named: &Named) -> Vec<f64> {
    let target = |i: usize| {
        named.contains_key(&format!("classes.{i}.name")).then(|| {
            let of = |name: &str| {
                seconds(named, &format!("classes.{i}.{name}"), f64::from(u32::MAX)).as_secs_f64()
            };
            of("goal_time_s").min(of("hard_limit_s"))
        })
    };
    (0..).map_while(target).collect()
}

/// The smaller of two bounds, of which 0 is none.
fn fewer(a: u32, b: u32) -> u32 {
    if a > 0 && b > 0 {
        a.min(b)
    } else {
        a.max(b)
    }
}

/// This program has no way to talk to other agents: it decides as where the settings forbid it.
fn alone(named: &mut Named) {
    if named.insert("limits.peers".into(), Value::Flag(false)) == Some(Value::Flag(true)) {
        log::info!(
            "settings: limits.peers: this agent does not talk to others and judges for itself"
        );
    }
}

struct State {
    balancer: Balancer,
    nodes: Nodes,
    keys: Keys,
    zones: Door,
    /// Hits in hand, by the handle's place.
    held: Vec<Option<Held>>,
    /// Levels of reduced service, where operators name some, and the hits that wait by their word.
    levels: Option<Levels>,
    waiting: BTreeMap<u64, Waiting>,
    /// Versions of the operators' file, where changes are enabled.
    changes: Option<Changes>,
    /// The ids of those.
    ids: HashSet<u64>,
    listed: bool,
    /// What was last heard, for the log.
    news: Option<(u32, usize, Phase)>,
    /// By kind: when it was last logged, and how many came since.
    complaints: BTreeMap<&'static str, (Instant, u64)>,
}

pub struct Exchange {
    state: RefCell<State>,
    clock: Clock,
    groups: Door,
    /// How each group's hits may be repeated, by the settings' word.
    repeats: Vec<String>,
    accounts: Door,
    ways: Ways,
    /// The settings that hold, as they were told.
    settings: RefCell<serde_json::Value>,
    /// Where looks at a release are kept, if anywhere.
    looks: RefCell<Option<Looks>>,
    /// Target latencies by path group, in seconds.
    targets: RefCell<Vec<f64>>,
    /// How many hits came without an id.
    unnamed: Cell<u64>,
    /// Told of each change of level.
    changed: RefCell<Option<Changed>>,
    /// Given while the list is to be asked for its changes.
    pub follow: Signal,
    /// How many connections clients may hold by the operators' word.
    pub clients_most: Cell<usize>,
    stopping: Cell<bool>,
    /// Given once clients' connections are to close as soon as they carry nothing.
    pub closing: Signal,
}

/// A taken hit, on the clients' side. Dropping it without its answer means that the client has left.
pub struct Ticket {
    exchange: Rc<Exchange>,
    place: Place,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
}

impl Ticket {
    /// Waits for the final answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await.unwrap_or(Answer::Failed);
        self.answered = true;
        answer
    }

    /// The client has ended its sending.
    pub fn leave(&self) {
        if let Place::Waits(number, _) = &self.place {
            self.exchange.waits_no_more(*number);
        }
        self.handle()
            .into_iter()
            .for_each(|handle| self.exchange.left(handle));
    }

    /// The hit, if the decisions know it.
    fn handle(&self) -> Option<HitHandle> {
        match &self.place {
            Place::Held(handle) => Some(*handle),
            Place::Waits(_, place) => place.get(),
            Place::Over => None,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.answered {
            self.leave();
        }
    }
}

impl Exchange {
    /// An exchange told these settings; an error says where, what was found and what was expected.
    pub fn new(
        seed: u64,
        info: &serde_json::Value,
        chosen: &Chosen,
        looks: Option<Looks>,
        ways: Ways,
    ) -> Result<Exchange, String> {
        let Told {
            mut named,
            groups,
            accounts,
            zones,
            zone,
        } = Told::read(info)?;
        named.extend(chosen.named.clone());
        alone(&mut named);
        let repeat = |name: &str| match named.get(name) {
            Some(Value::Text(word)) => Some(word.clone()),
            _ => None,
        };
        let repeats = (0..)
            .map_while(|i| repeat(&format!("classes.{i}.repeat")))
            .collect();
        let targets = targets(&named);
        let clock = Clock::start();
        let balancer = Balancer::start(seed, clock.now(), zone, named)?;
        let follow = Signal::new(balancer.pushed());
        let (nodes, keys, held, ids, complaints, waiting) = Default::default();
        let (changes, levels, listed, news) = (None, None, false, None);
        let state = State {
            balancer,
            nodes,
            keys,
            zones,
            held,
            levels,
            waiting,
            changes,
            ids,
            listed,
            news,
            complaints,
        };
        Ok(Exchange {
            state: state.into(),
            clock,
            groups,
            repeats,
            accounts,
            ways,
            settings: RefCell::new(info.clone()),
            looks: looks.into(),
            targets: targets.into(),
            unnamed: Cell::default(),
            changed: None.into(),
            follow,
            clients_most: chosen.clients.unwrap_or(usize::MAX).into(),
            stopping: false.into(),
            closing: Signal::default(),
        })
    }

    /// Puts new settings in place of those that hold, all or none of them; whether anything has changed. Hits in
    /// hand go on. An error says where, what was found and what was expected, and nothing has changed.
    pub fn take_settings(&self, info: &serde_json::Value) -> Result<bool, String> {
        if *self.settings.borrow() == *info {
            return Ok(false);
        }
        let Told {
            mut named,
            groups,
            accounts,
            ..
        } = Told::read(info)?;
        let order = |what: &str, old: &Door, new: &Door| match (0..old.len().max(new.len()))
            .find(|i| old.word(*i) != new.word(*i))
        {
            Some(i) => Err(format!(
                "{what}.{i}.name: found '{}', expected '{}' as at the start",
                new.word(i),
                old.word(i)
            )),
            None => Ok(()),
        };
        order("classes", &self.groups, &groups)?;
        order("accounts", &self.accounts, &accounts)?;
        alone(&mut named);
        let targets = targets(&named);
        self.state
            .borrow_mut()
            .balancer
            .settle(self.clock.now(), named)?;
        self.targets.replace(targets);
        self.settings.replace(info.clone());
        Ok(true)
    }

    /// Unix time, going on from the start by the monotonic clock.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    // Ids at the door.

    /// An id for a hit that came without one: no two are the same.
    pub fn unnamed(&self) -> u64 {
        let number = self.unnamed.replace(self.unnamed.get().wrapping_add(1));
        hash(&number.to_le_bytes())
    }

    pub fn group(&self, name: &str) -> Option<usize> {
        self.groups.known(name)
    }

    /// How hits of a path group may be repeated, by the settings' word.
    pub fn repeat(&self, group: usize) -> &str {
        self.repeats.get(group).map_or("", String::as_str)
    }

    /// How long nodes know a tagged hit's repeats, in seconds.
    pub fn window(&self, group: usize) -> f64 {
        self.state.borrow().balancer.window(group)
    }

    /// Zone and cell of the node that is reached there.
    pub fn place_of(&self, address: SocketAddr) -> Option<(usize, i64)> {
        let state = self.state.borrow();
        state.balancer.place_of(state.nodes.at(address)?)
    }

    pub fn account(&self, name: &str) -> usize {
        self.accounts.known(name).unwrap_or(usize::MAX)
    }

    pub fn key(&self, key: &str) -> usize {
        self.state.borrow_mut().keys.index(key)
    }

    pub fn zone(&self, zone: &str) -> usize {
        self.state.borrow_mut().zones.index(zone)
    }

    /// The newest build by the news.
    pub fn newest(&self) -> Option<u32> {
        self.state.borrow().news.map(|news| news.0)
    }

    /// The version of the operators' file that a hit goes by.
    pub fn version_of(&self, ticket: &Ticket) -> Option<u64> {
        let state = self.state.borrow();
        let held = state.held.get(ticket.handle()?.place as usize)?.as_ref()?;
        held.pinned.map(|pin| pin.version)
    }

    /// The way to a node of this name.
    pub fn way(&self, uid: &str) -> Option<Rc<dyn Way>> {
        let state = self.state.borrow();
        state
            .nodes
            .known(uid)
            .and_then(|place| state.nodes.reach(place))
            .cloned()
    }

    /// Whether the own machine has the list as soon as there is one; else discovery is asked.
    pub fn pushed(&self) -> bool {
        self.state.borrow().balancer.pushed()
    }

    pub fn nodes_known(&self) -> usize {
        self.state.borrow_mut().nodes.reaches().flatten().count()
    }

    // The clients' side.

    /// Whether hits can be taken: the decisions stand from the start, so this waits for a list.
    pub fn ready(&self) -> bool {
        self.state.borrow().listed && !self.stopping.get()
    }

    // Start and stop.

    /// From now on each answer closes its connection.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Whether nothing is held.
    pub fn idle(&self) -> bool {
        let state = self.state.borrow();
        state.held.iter().all(Option::is_none) && state.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests;
