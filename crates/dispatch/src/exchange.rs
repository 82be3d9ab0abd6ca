//! The exchange: the one place where the clients' side and the servers' side meet. It alone holds the
//! decisions, the clock and the timers, and carries out what the decisions say.

use crate::changes::{self, Changes, Pinned};
use crate::crowd::Crowd;
use crate::end::End;
use crate::guard::guarded;
use crate::keys::{hash, Keys};
use crate::nodes::Nodes;
use crate::signal::Signal;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use magpieline::interface::*;
use magpieline::names::{Door, Told};
use magpieline::Balancer;
use magpieline_degradation::{
    Change, Door as LevelDoor, Ended, Fate, Installation, Ladder, Levels, Reading, Stands,
};
use magpieline_operator_config::versions::{ChangeEvent, Versions};
use magpieline_operator_config::watch;
use magpieline_operator_config::Values;
use magpieline_sequential_test::{Look, Terms};
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

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

    /// Takes a hit, unless one in hand bears the same id.
    pub fn take(self: &Rc<Self>, arrival: Arrival, load: Load) -> Option<Ticket> {
        let now = self.clock.now();
        let door = {
            let state = &mut *self.state.borrow_mut();
            if !state.ids.insert(load.id) {
                return None;
            }
            let Arrival {
                group,
                account,
                remaining,
                ..
            } = arrival;
            state
                .levels
                .as_mut()
                .map_or(LevelDoor::Go, |l| l.take(now, group, account, remaining))
        };
        let (sender, answer) = oneshot::channel();
        let place = match door {
            LevelDoor::Go => Place::Held(self.hand_on(arrival, now, now, load, sender)),
            LevelDoor::Wait { number, at_most } => {
                let place = Rc::new(Cell::new(None));
                let waiting = Waiting {
                    arrival,
                    taken: now,
                    load,
                    answer: sender,
                    place: place.clone(),
                };
                self.state.borrow_mut().waiting.insert(number, waiting);
                let own = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time(at_most)).await;
                    own.waits_no_more(number);
                });
                Place::Waits(number, place)
            }
            LevelDoor::Turned { again_after } => {
                self.state.borrow_mut().ids.remove(&load.id);
                let _ = sender.send(Answer::Bounced { again_after }); // it is held just below
                Place::Over
            }
        };
        Some(Ticket {
            exchange: self.clone(),
            place,
            answer,
            answered: false,
        })
    }

    /// Hands a hit that came at `taken` to the decisions, and carries out what they say.
    fn hand_on(
        self: &Rc<Self>,
        arrival: Arrival,
        taken: f64,
        now: f64,
        load: Load,
        answer: oneshot::Sender<Answer>,
    ) -> HitHandle {
        let (handle, next) = {
            let state = &mut *self.state.borrow_mut();
            let (mut arrival, mut pinned, group) = (arrival, None, arrival.group);
            arrival.remaining -= now - taken;
            if let Some(changes) = &mut state.changes {
                let (pin, bounds) = changes.take(now, group);
                arrival.most = fewer(arrival.most, bounds.most);
                arrival.longest = bounds.longest;
                pinned = Some(pin);
            }
            if let Some(levels) = &state.levels {
                arrival.most = fewer(arrival.most, levels.forwards(now, group));
                if levels.holds_trial() {
                    arrival.spares = state.balancer.can_be_spared();
                }
            }
            let (handle, next) = state.balancer.take(now, arrival);
            let place = handle.place as usize;
            if place >= state.held.len() {
                state.held.resize_with(place + 1, || None);
            }
            let (load, answer) = (Rc::new(load), Some(answer));
            state.held[place] = Some(Held {
                handle,
                load,
                answer,
                group,
                taken,
                forwarded: None,
                pinned,
            });
            (handle, next)
        };
        self.carry_out(handle, next);
        handle
    }

    /// Hands on hits that wait, while there is room.
    fn let_in(self: &Rc<Self>) {
        loop {
            let waiting = {
                let state = &mut *self.state.borrow_mut();
                let number = state.levels.as_mut().and_then(Levels::released);
                let Some(number) = number else { return };
                state.waiting.remove(&number)
            };
            let Some(Waiting {
                arrival,
                taken,
                load,
                answer,
                place,
            }) = waiting
            else {
                continue;
            };
            place.set(Some(self.hand_on(
                arrival,
                taken,
                self.clock.now(),
                load,
                answer,
            )));
        }
    }

    /// A hit that still waits has waited long enough, or its client has left: it is answered at once, it never ran.
    fn waits_no_more(&self, number: u64) {
        let state = &mut *self.state.borrow_mut();
        let Some(waiting) = state.waiting.remove(&number) else {
            return;
        };
        state.levels.iter_mut().for_each(|l| l.gone(number));
        state.ids.remove(&waiting.load.id);
        let again_after = state.levels.as_mut().map_or(0.0, Levels::again_after);
        let _ = waiting.answer.send(Answer::Bounced { again_after }); // the client may have left
    }

    /// The client has ended its sending or is gone: no further forward, but an answer under way is passed on.
    fn left(&self, handle: HitHandle) {
        handle.left(&mut self.state.borrow_mut().balancer, self.clock.now());
        self.settle(handle);
    }

    /// Asks the decisions what to do with a hit. Should they panic, which they must not, it is given up.
    fn ask(&self, call: impl FnOnce(&mut Balancer, f64) -> Next) -> Next {
        let (state, now) = (&mut *self.state.borrow_mut(), self.clock.now());
        catch_unwind(AssertUnwindSafe(|| call(&mut state.balancer, now))).unwrap_or_else(|_| {
            log::error!("decisions: a panic, shown above; the hit in hand is given up");
            Next::GiveUp
        })
    }

    /// Carries out what the decisions said of a hit.
    fn carry_out(self: &Rc<Self>, handle: HitHandle, next: Next) {
        match next {
            Next::Forward { node, limit } => self.forward(handle, node, limit),
            Next::Wait { pause } => {
                let own = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time(pause)).await;
                    let next = own.ask(|b, now| handle.resume(b, now));
                    own.carry_out(handle, next);
                });
            }
            Next::Bounce { again_after } => self.answer(handle, Answer::Bounced { again_after }),
            Next::GiveUp => self.answer(handle, Answer::Failed),
            Next::Nothing => {}
        }
        self.settle(handle);
    }

    /// Gives the final answer; a second one finds nobody.
    fn answer(&self, handle: HitHandle, answer: Answer) {
        let state = &mut *self.state.borrow_mut();
        let held = state
            .held
            .get_mut(handle.place as usize)
            .and_then(Option::as_mut);
        let Some(held) = held.filter(|h| h.handle == handle) else {
            return;
        };
        let Some(sender) = held.answer.take() else {
            return;
        };
        let (pinned, now, group) = (held.pinned, self.clock.now(), held.group);
        let target = self
            .targets
            .borrow()
            .get(group)
            .copied()
            .unwrap_or(f64::INFINITY);
        let spent = now - held.taken;
        // One whose client has left says nothing of service.
        let fate = match answer {
            _ if sender.is_closed() => None,
            Answer::Delivered { .. } if spent <= target => Some(Fate::InTime),
            Answer::Delivered { .. } => Some(Fate::Late),
            Answer::Bounced { .. } => Some(Fate::Bounced),
            Answer::Failed => Some(Fate::Failed),
        };
        if let (Some(pin), Some(changes), Some(fate)) = (pinned, &mut state.changes, fate) {
            changes.outcome(now, pin, group, fate != Fate::InTime);
        }
        if let Some(levels) = &mut state.levels {
            let waited = held.forwarded.map(|at| at - held.taken);
            levels.ended(
                now,
                Ended {
                    group,
                    fate,
                    spent,
                    part: spent / target,
                    waited,
                },
            );
        }
        let _ = sender.send(answer); // the client may have left
    }

    /// Forgets a hit that is over; one that is still owed an answer then has failed.
    fn settle(&self, handle: HitHandle) {
        if handle.pending(&self.state.borrow().balancer) {
            return;
        }
        self.answer(handle, Answer::Failed);
        let state = &mut *self.state.borrow_mut();
        let place = state.held.get_mut(handle.place as usize);
        if let Some(held) = place.and_then(|p| p.take_if(|h| h.handle == handle)) {
            state.ids.remove(&held.load.id);
            if let (Some(pin), Some(changes)) = (held.pinned, &mut state.changes) {
                changes.ended(pin);
            }
        }
    }

    fn forward(self: &Rc<Self>, handle: HitHandle, node: usize, limit: f64) {
        let (way, load) = {
            let state = &mut *self.state.borrow_mut();
            let held = state
                .held
                .get_mut(handle.place as usize)
                .and_then(Option::as_mut);
            let load = held.map(|h| {
                // Only levels ask for it.
                if state.levels.is_some() && h.forwarded.is_none() {
                    h.forwarded = Some(self.clock.now());
                }
                h.load.clone()
            });
            (state.nodes.reach(node).cloned(), load)
        };
        let own = self.clone();
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let limit = time(limit);
            let end = match (way, load) {
                (Some(way), Some(load)) => guarded("forward", way.forward(load, limit))
                    .await
                    .unwrap_or(End::Fault),
                _ => End::Nowhere,
            };
            own.returned(handle, end, begun.elapsed());
        });
    }

    fn returned(self: &Rc<Self>, handle: HitHandle, end: End, spent: Duration) {
        log::trace!("{handle:?}: {end:?} after {spent:?}");
        let ending = end.ending();
        if matches!(end, End::NoRoom) {
            self.complain("forward", "no descriptor left");
            self.drop_idle();
        }
        if let End::Answered { kind, body } = end {
            self.answer(handle, Answer::Delivered { kind, body });
        }
        let over = ending == Ending::Delivered;
        let end = Return {
            ending,
            spent: spent.as_secs_f64(),
            over,
        };
        let next = self.ask(|b, now| handle.returned(b, now, end));
        self.carry_out(handle, next);
        self.let_in();
    }

    // The servers' side.

    /// Takes the list in: all of it or changes.
    pub fn listed(&self, whole: bool, fresh: bool, lines: Vec<Entry>) {
        let state = &mut *self.state.borrow_mut();
        let mut listed = Vec::with_capacity(lines.len());
        for line in lines {
            let node = state.nodes.index(&line.uid);
            listed.push(Listed {
                node,
                ..line.listed
            });
            let process = (
                line.listed.build,
                line.listed.up_since,
                line.address,
                line.listed.speaks,
            );
            if line.gone {
                state.nodes.set(node, None); // its idle connections close
            } else if state.nodes.is_new(node, process) {
                let way = (self.ways)(line.address, line.listed.speaks)
                    .map_err(|e| log::warn!("node {}: {e}", line.uid));
                state.nodes.set(node, way.ok());
            }
        }
        if whole {
            let absent = |place: &usize| !listed.iter().any(|l| l.node == *place);
            state
                .nodes
                .reaches()
                .enumerate()
                .filter(|(i, _)| absent(i))
                .for_each(|(_, reach)| *reach = None);
        }
        // An old list without nodes is as good as none.
        state.listed |= fresh || !listed.is_empty();
        state
            .balancer
            .listed(self.clock.now(), whole, fresh, &listed);
    }

    pub fn list_failed(&self) {
        self.follow.take_back();
        self.state
            .borrow_mut()
            .balancer
            .list_failed(self.clock.now());
    }

    pub fn heard(&self, news: News) {
        let state = &mut *self.state.borrow_mut();
        let stands = (news.build, news.stage, news.phase);
        if state.news.replace(stands) != Some(stands) {
            log::info!(
                "news: build {} stage {} {:?}, cap {}",
                news.build,
                news.stage,
                news.phase,
                news.cap
            );
        }
        state.balancer.heard(self.clock.now(), news);
    }

    /// The platform's count of a build's forwards in a path group; one that is not known here says nothing.
    pub fn tallied(&self, group: &str, tally: Tally) {
        if self.group(group).is_some() {
            self.state
                .borrow_mut()
                .balancer
                .tallied(self.clock.now(), tally);
        }
    }

    /// A client has found an answer of this node wrong.
    pub fn complained(&self, uid: &str) {
        let state = &mut *self.state.borrow_mut();
        if let Some(node) = state.nodes.known(uid) {
            state.balancer.complained(self.clock.now(), node);
        }
    }

    /// Logs what went wrong, once in a while for each kind.
    pub fn complain(&self, kind: &'static str, what: &str) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        match state.complaints.get_mut(kind) {
            Some((since, count)) if now - *since < COMPLAIN_EVERY => *count += 1,
            known => {
                let more = known.map_or(0, |(_, count)| *count);
                log::warn!("{kind}: {what} ({more} more since the last such line)");
                state.complaints.insert(kind, (now, 0));
            }
        }
    }

    /// Closes all connections to nodes that carry nothing: descriptors run short.
    pub fn drop_idle(&self) {
        let state = &mut *self.state.borrow_mut();
        state.nodes.anew(&self.ways);
    }

    // The timers.

    /// Reviews when the decisions ask for it, for as long as the program runs. Votes go to the desk.
    pub async fn review(self: Rc<Self>, desk: Rc<dyn Desk>) -> Infallible {
        let mut recorded = f64::NEG_INFINITY;
        loop {
            let now = self.clock.now();
            let (review, against) = {
                let balancer = &mut self.state.borrow_mut().balancer;
                let review = balancer.review(now);
                (
                    review,
                    review.vote.map(|_| balancer.against()).unwrap_or_default(),
                )
            };
            if review.vote.is_some() || now >= recorded + RECORD_EVERY {
                recorded = now;
                self.record(now, review.vote);
            }
            if review.follow {
                self.follow.give();
            }
            if let Some(vote) = review.vote {
                tokio::task::spawn_local(self.clone().cast(desk.clone(), vote, against));
            }
            tokio::time::sleep(time(review.again_in)).await;
        }
    }

    /// Keeps a look at the present release, with all that it rests on.
    fn record(&self, at: f64, vote: Option<Vote>) {
        let state = self.state.borrow();
        let looks = self.looks.borrow();
        let parts = looks.as_ref().zip(state.balancer.look()).zip(state.news);
        let Some(((keep, look), (build, stage, phase))) = parts else {
            return;
        };
        let (vote, phase) = (
            vote.map(|v| format!("{:?}", v.verdict)),
            format!("{phase:?}"),
        );
        let entries = state.balancer.account();
        let named = |node: usize| Some((node, state.nodes.uid(node)?.to_owned()));
        let nodes = entries.iter().filter_map(|e| named(e.without?)).collect();
        let groups = self.group_names();
        keep(&Looked {
            at,
            build,
            stage,
            phase,
            vote,
            look,
            entries,
            groups,
            nodes,
        });
    }

    async fn cast(self: Rc<Self>, desk: Rc<dyn Desk>, vote: Vote, against: String) {
        let cast = guarded("vote", desk.cast(vote)).await;
        let (receipt, news) = cast.unwrap_or((Receipt::Unknown, None));
        let Vote {
            verdict,
            build,
            stage,
        } = vote;
        log::info!(
            "vote: {verdict:?} on build {build} stage {stage}: {receipt:?} (against it: {against})"
        );
        self.state
            .borrow_mut()
            .balancer
            .vote_received(self.clock.now(), receipt);
        if let Some(news) = news {
            self.heard(news);
        }
    }

    // Levels.

    /// The levels of these values; an error lists all that makes no sense here.
    fn ladder(&self, values: &Values) -> Result<Option<Ladder>, String> {
        let one_way = self.state.borrow().balancer.one_way();
        Ladder::read(values, &self.group_names(), one_way).map_err(|all| {
            let lines: Vec<String> = all.into_iter().map(|e| format!("levels: {e}")).collect();
            lines.join("\n")
        })
    }

    /// Takes the levels of these values, all of them, and none where there are none; an error lists all that makes no
    /// sense here, and nothing has changed. `last`: the last change that a journal holds, and how long ago it held.
    pub fn set_levels(
        &self,
        values: &Values,
        seed: u64,
        last: Option<(&Change, f64)>,
    ) -> Result<(), String> {
        let (ladder, now) = (self.ladder(values)?, self.clock.now());
        let here = Installation {
            benefits: self.state.borrow().balancer.benefits(),
            groups: self.group_names(),
            accounts: self.accounts.len(),
            longest_back: self.state.borrow().balancer.longest_back(),
        };
        let state = &mut *self.state.borrow_mut();
        let change = match (ladder, &mut state.levels) {
            (None, levels) => {
                *levels = None;
                None
            }
            (Some(ladder), Some(levels)) => levels.settle(now, ladder),
            (Some(ladder), levels) => {
                *levels = Some(Levels::start(ladder, here, now, seed, last));
                None
            }
        };
        // Who waits by the word of levels that are no more is answered.
        if state.levels.is_none() {
            for (_, waiting) in std::mem::take(&mut state.waiting) {
                state.ids.remove(&waiting.load.id);
                let _ = waiting.answer.send(Answer::Bounced { again_after: 0.0 });
                // the client may have left
            }
        }
        self.level_changed(state, change);
        Ok(())
    }

    /// Told of each change of level from now on.
    pub fn keep_levels(&self, changed: Option<Changed>) {
        self.changed.replace(changed);
    }

    fn level_changed(&self, state: &mut State, change: Option<Change>) {
        let Some(change) = change else { return };
        let Change {
            from, to, because, ..
        } = &change;
        log::warn!(level = to.as_str(), from = from.as_str(); "level: {from} -> {to}: {because}");
        state.balancer.other_hits(self.clock.now());
        if let Some(changed) = &*self.changed.borrow() {
            changed(&change);
        }
    }

    /// Looks at the levels, for as long as the program runs.
    pub async fn tend_levels(self: Rc<Self>) -> Infallible {
        loop {
            tokio::time::sleep(time(magpieline_degradation::LOOK)).await;
            {
                let state = &mut *self.state.borrow_mut();
                let change = state.levels.as_mut().and_then(|l| l.look(self.clock.now()));
                self.level_changed(state, change);
            }
            self.let_in();
        }
    }

    /// A reading of the program itself, as a part of what it may use.
    pub fn reading(&self, what: Reading, value: f64) {
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .levels
            .iter_mut()
            .for_each(|l| l.read(now, what, value));
    }

    /// How the levels stand, and the changes that are remembered; nothing where there are none.
    pub fn levels(&self) -> Option<(Stands, Vec<Change>)> {
        let state = self.state.borrow();
        let levels = state.levels.as_ref()?;
        Some((
            levels.stands(self.clock.now()),
            levels.changes().cloned().collect(),
        ))
    }

    /// The level that holds; nothing where there are none.
    pub fn level(&self) -> Option<String> {
        self.state
            .borrow()
            .levels
            .as_ref()
            .map(|l| l.name().to_owned())
    }

    /// Holds a level by hand for so many seconds.
    pub fn hold_level(&self, name: &str, seconds: f64, who: &str) -> Result<(), String> {
        let state = &mut *self.state.borrow_mut();
        let levels = state
            .levels
            .as_mut()
            .ok_or("levels: the operators' file names none")?;
        let change = levels.hold(self.clock.now(), name, seconds, who)?;
        self.level_changed(state, change);
        Ok(())
    }

    /// Conditions decide again from now on.
    pub fn release_level(&self, who: &str) -> Result<(), String> {
        let state = &mut *self.state.borrow_mut();
        let levels = state
            .levels
            .as_mut()
            .ok_or("levels: the operators' file names none")?;
        if levels.release(who) {
            Ok(())
        } else {
            Err("level: none is held".into())
        }
    }

    /// How many connections clients may hold now.
    pub fn clients_bound(&self, crowd: &Crowd) -> usize {
        let part = self
            .state
            .borrow()
            .levels
            .as_ref()
            .map_or(1.0, Levels::connections);
        let bound = self.clients_most.get().min(crowd.most());
        if part < 1.0 {
            (bound as f64 * part).ceil().max(1.0) as usize
        } else {
            bound
        }
    }

    // Changes.

    /// From now on hits go by these versions; an error names what the running one can't be held to here.
    pub fn hold(&self, versions: Versions, seed: u64) -> Result<(), String> {
        let changes = Changes::new(versions, self.group_names(), seed);
        changes.fits(&changes.values())?;
        self.state.borrow_mut().changes = Some(changes);
        Ok(())
    }

    /// Whether values name only what there is here, and make sense here.
    pub fn fits_here(&self, values: &Values) -> Result<(), String> {
        changes::bounds(values, &self.group_names())?;
        self.ladder(values).map(drop)
    }

    fn group_names(&self) -> Vec<String> {
        let name = |i: usize| {
            Some(self.groups.word(i))
                .filter(|w| !w.is_empty())
                .map(str::to_owned)
        };
        (0..).map_while(name).collect()
    }

    /// Looks at the changes; nothing where they are not enabled.
    pub fn changes<T>(&self, look: impl FnOnce(&Changes) -> T) -> Option<T> {
        self.state.borrow().changes.as_ref().map(look)
    }

    pub fn group_name(&self, group: usize) -> String {
        self.groups.word(group).to_owned()
    }

    /// A step has been written: it holds for hits taken from now on. Gives the values that run, if those are others
    /// than before.
    pub fn adopt(&self, step: &ChangeEvent) -> Result<Option<Values>, String> {
        let state = &mut *self.state.borrow_mut();
        let Some(changes) = &mut state.changes else {
            return Err("changes are not enabled".into());
        };
        let before = changes.versions.running();
        changes
            .adopt(self.clock.now(), step)
            .map_err(|refusal| refusal.to_string())?;
        Ok((changes.versions.running() != before).then(|| changes.values()))
    }

    /// What operators choose for all hits alike: rates of releases to come, where looks at them go.
    pub fn choose(&self, terms: Option<Terms>, looks: Option<Looks>, clients: Option<usize>) {
        self.clients_most.set(clients.unwrap_or(usize::MAX));
        self.state.borrow_mut().balancer.choose_terms(terms);
        *self.looks.borrow_mut() = looks;
    }

    /// What the watch of a change says now.
    pub fn look_at_change(&self) -> watch::Decision {
        let state = &mut *self.state.borrow_mut();
        state
            .changes
            .as_mut()
            .map_or(watch::Decision::Continue, |c| c.look(self.clock.now()))
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
