//! The exchange: the one place where the clients' side and the servers' side meet. It alone holds the
//! decisions, the clock and the timers, and carries out what the decisions say.

use crate::changes::{self, Changes, Pinned};
use crate::end::End;
use crate::guard::guarded;
use crate::keys::Keys;
use crate::nodes::Nodes;
use crate::signal::Signal;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use magpieline::balance::Balancer;
use magpieline::interface::*;
use magpieline::names::{Door, Told};
use magpieline_operator::versions::{Step, Versions};
use magpieline_operator::watch;
use magpieline_operator::Values;
use magpieline_verdict::{Look, Terms};
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
    /// The id's [`hash`](crate::hash): one in hand at a time.
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
    pub entries: Vec<magpieline_verdict::Entry>,
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
    /// The version of the operators' file that it goes by, with its path group and when it was taken.
    pinned: Option<(Pinned, usize, f64)>,
}

/// Unix time, going on from the start by the monotonic clock: nodes' starts are on the same scale.
struct Clock {
    origin: f64,
    begun: Instant,
}

impl Clock {
    fn start() -> Clock {
        let origin = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Clock { origin, begun: Instant::now() }
    }

    fn now(&self) -> f64 {
        self.origin + self.begun.elapsed().as_secs_f64()
    }
}

/// Seconds as a time to wait; what is no time at all counts as none, what is beyond all time as for ever.
fn time(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

fn seconds(named: &Named, name: &str, otherwise: f64) -> Duration {
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

/// This program has no way to talk to other agents: it decides as where the settings forbid it.
fn alone(named: &mut Named) {
    if named.insert("limits.peers".into(), Value::Flag(false)) == Some(Value::Flag(true)) {
        log::info!("settings: limits.peers: this agent does not talk to others and judges for itself");
    }
}

struct State {
    balancer: Balancer,
    nodes: Nodes,
    keys: Keys,
    zones: Door,
    /// Hits in hand, by the handle's place.
    held: Vec<Option<Held>>,
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
    handle: HitHandle,
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
        self.exchange.left(self.handle);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.answered {
            self.exchange.left(self.handle);
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
        let Told { mut named, groups, accounts, zones, zone } = Told::read(info)?;
        named.extend(chosen.named.clone());
        alone(&mut named);
        let wanted = !matches!(named.get("discovery"), Some(Value::Text(t)) if t == "on_request");
        let repeat = |name: &str| match named.get(name) {
            Some(Value::Text(word)) => Some(word.clone()),
            _ => None,
        };
        let repeats = (0..).map_while(|i| repeat(&format!("classes.{i}.repeat"))).collect();
        let targets = targets(&named);
        let clock = Clock::start();
        let balancer = Balancer::start(seed, clock.now(), zone, named)?;
        let (nodes, keys, held, ids, complaints) = Default::default();
        let (changes, listed, news) = (None, false, None);
        let state = State { balancer, nodes, keys, zones, held, changes, ids, listed, news, complaints };
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
            follow: Signal::new(wanted),
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
        let Told { mut named, groups, accounts, .. } = Told::read(info)?;
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
        self.state.borrow_mut().balancer.settle(self.clock.now(), named)?;
        self.targets.replace(targets);
        self.settings.replace(info.clone());
        Ok(true)
    }

    // Ids at the door.

    pub fn group(&self, name: &str) -> Option<usize> {
        self.groups.known(name)
    }

    /// How hits of a path group may be repeated, by the settings' word.
    pub fn repeat(&self, group: usize) -> &str {
        self.repeats.get(group).map_or("", String::as_str)
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
        let held = state.held.get(ticket.handle.place as usize)?.as_ref()?;
        held.pinned.map(|(pin, ..)| pin.version)
    }

    /// The way to a node of this name.
    pub fn way(&self, uid: &str) -> Option<Rc<dyn Way>> {
        let state = self.state.borrow();
        state.nodes.known(uid).and_then(|place| state.nodes.reach(place)).cloned()
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
        if !self.state.borrow_mut().ids.insert(load.id) {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        let (handle, next) = {
            let (state, now) = (&mut *self.state.borrow_mut(), self.clock.now());
            let (mut arrival, mut pinned) = (arrival, None);
            if let Some(changes) = &mut state.changes {
                let (pin, bounds) = changes.take(now, arrival.group);
                (arrival.most, arrival.longest) = (bounds.most, bounds.longest);
                pinned = Some((pin, arrival.group, now));
            }
            let (handle, next) = state.balancer.take(now, arrival);
            let place = handle.place as usize;
            if place >= state.held.len() {
                state.held.resize_with(place + 1, || None);
            }
            state.held[place] = Some(Held { handle, load: Rc::new(load), answer: Some(sender), pinned });
            (handle, next)
        };
        self.carry_out(handle, next);
        Some(Ticket { exchange: self.clone(), handle, answer, answered: false })
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
        let held = state.held.get_mut(handle.place as usize).and_then(Option::as_mut);
        let Some(held) = held.filter(|h| h.handle == handle) else { return };
        let Some(sender) = held.answer.take() else { return };
        let (pinned, now) = (held.pinned, self.clock.now());
        if let (Some((pin, group, taken)), Some(changes)) = (pinned, &mut state.changes) {
            let in_time = now - taken <= self.targets.borrow().get(group).copied().unwrap_or(f64::INFINITY);
            let spoilt = !(matches!(answer, Answer::Delivered { .. }) && in_time);
            // One whose client has left says nothing of service.
            if !sender.is_closed() {
                changes.outcome(now, pin, group, spoilt);
            }
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
            if let (Some((pin, ..)), Some(changes)) = (held.pinned, &mut state.changes) {
                changes.ended(pin);
            }
        }
    }

    fn forward(self: &Rc<Self>, handle: HitHandle, node: usize, limit: f64) {
        let (way, load) = {
            let state = self.state.borrow();
            let held = state.held.get(handle.place as usize).and_then(Option::as_ref);
            (state.nodes.reach(node).cloned(), held.map(|h| h.load.clone()))
        };
        let own = self.clone();
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let limit = time(limit);
            let end = match (way, load) {
                (Some(way), Some(load)) => {
                    guarded("forward", way.forward(load, limit)).await.unwrap_or(End::Fault)
                }
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
        let end = Return { ending, spent: spent.as_secs_f64(), over };
        let next = self.ask(|b, now| handle.returned(b, now, end));
        self.carry_out(handle, next);
    }

    // The servers' side.

    /// Takes the list in: all of it or changes.
    pub fn listed(&self, whole: bool, fresh: bool, lines: Vec<Entry>) {
        let state = &mut *self.state.borrow_mut();
        let mut listed = Vec::with_capacity(lines.len());
        for line in lines {
            let node = state.nodes.index(&line.uid);
            listed.push(Listed { node, ..line.listed });
            let process = (line.listed.build, line.listed.up_since, line.address, line.listed.speaks);
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
            state.nodes.reaches().enumerate().filter(|(i, _)| absent(i)).for_each(|(_, reach)| *reach = None);
        }
        // An old list without nodes is as good as none.
        state.listed |= fresh || !listed.is_empty();
        state.balancer.listed(self.clock.now(), whole, fresh, &listed);
    }

    pub fn list_failed(&self) {
        self.follow.take_back();
        self.state.borrow_mut().balancer.list_failed(self.clock.now());
    }

    pub fn heard(&self, news: News) {
        let state = &mut *self.state.borrow_mut();
        let stands = (news.build, news.stage, news.phase);
        if state.news.replace(stands) != Some(stands) {
            log::info!("news: build {} stage {} {:?}, cap {}", news.build, news.stage, news.phase, news.cap);
        }
        state.balancer.heard(self.clock.now(), news);
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
                (review, review.vote.map(|_| balancer.against()).unwrap_or_default())
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
        let Some(((keep, look), (build, stage, phase))) = parts else { return };
        let (vote, phase) = (vote.map(|v| format!("{:?}", v.verdict)), format!("{phase:?}"));
        let entries = state.balancer.account();
        let named = |node: usize| Some((node, state.nodes.uid(node)?.to_owned()));
        let nodes = entries.iter().filter_map(|e| named(e.without?)).collect();
        let groups = self.group_names();
        keep(&Looked { at, build, stage, phase, vote, look, entries, groups, nodes });
    }

    async fn cast(self: Rc<Self>, desk: Rc<dyn Desk>, vote: Vote, against: String) {
        let cast = guarded("vote", desk.cast(vote)).await;
        let (receipt, news) = cast.unwrap_or((Receipt::Unknown, None));
        let Vote { verdict, build, stage } = vote;
        log::info!("vote: {verdict:?} on build {build} stage {stage}: {receipt:?} (against it: {against})");
        self.state.borrow_mut().balancer.vote_received(self.clock.now(), receipt);
        if let Some(news) = news {
            self.heard(news);
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

    /// Whether values name only path groups that there are.
    pub fn fits_here(&self, values: &Values) -> Result<(), String> {
        changes::bounds(values, &self.group_names()).map(drop)
    }

    fn group_names(&self) -> Vec<String> {
        let name = |i: usize| Some(self.groups.word(i)).filter(|w| !w.is_empty()).map(str::to_owned);
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
    pub fn adopt(&self, step: &Step) -> Result<Option<Values>, String> {
        let state = &mut *self.state.borrow_mut();
        let Some(changes) = &mut state.changes else { return Err("changes are not enabled".into()) };
        let before = changes.versions.running();
        changes.adopt(self.clock.now(), step).map_err(|refusal| refusal.to_string())?;
        Ok((changes.versions.running() != before).then(|| changes.values()))
    }

    /// What operators choose for all hits alike: rates of releases to come, where looks at them go.
    pub fn choose(&self, terms: Option<Terms>, looks: Option<Looks>, clients: Option<usize>) {
        self.clients_most.set(clients.unwrap_or(usize::MAX));
        self.state.borrow_mut().balancer.choose_terms(terms);
        *self.looks.borrow_mut() = looks;
    }

    /// What the watch of a change says now.
    pub fn look_at_change(&self) -> watch::Next {
        let state = &mut *self.state.borrow_mut();
        state.changes.as_mut().map_or(watch::Next::GoOn, |c| c.look(self.clock.now()))
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
        self.state.borrow().held.iter().all(Option::is_none)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A way on which nothing ever comes back.
    struct Silence;

    impl Way for Silence {
        fn forward(&self, _: Rc<Load>, limit: Duration) -> LocalBoxFuture<'static, End> {
            Box::pin(async move {
                tokio::time::sleep(limit).await;
                End::Silent
            })
        }
    }

    fn exchange() -> Rc<Exchange> {
        let info = serde_json::json!({"classes": [{"name": "read", "repeat": "retryable", "hard_limit_us": 2000000}]});
        let ways: Ways = Box::new(|_, _| Ok(Rc::new(Silence)));
        Rc::new(Exchange::new(1, &info, &Chosen::default(), None, ways).expect("an exchange"))
    }

    fn run<F: std::future::Future>(test: F) -> F::Output {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, test)
    }

    #[test]
    fn any_number_is_a_time() {
        assert_eq!(
            [time(0.25), time(-1.0), time(f64::NAN)],
            [Duration::from_millis(250), Duration::ZERO, Duration::ZERO]
        );
        assert_eq!([time(1e300), time(f64::INFINITY)], [Duration::MAX; 2]);
    }

    /// Nobody waits for an answer that a fault has eaten, and the next hit is served.
    #[test]
    fn a_panic_of_the_decisions_gives_the_hit_up() {
        let exchange = exchange();
        assert_eq!(exchange.ask(|_, _| panic!("on purpose")), Next::GiveUp);
        assert_eq!(exchange.ask(|_, _| Next::Nothing), Next::Nothing);
    }

    /// The first answer counts; whatever comes after it finds nobody, and nothing is kept.
    #[test]
    fn a_hit_gets_one_answer() {
        run(async {
            let exchange = exchange();
            let listed = Listed {
                node: 0,
                open: true,
                build: 1,
                zone: 0,
                cell: 0,
                rating: 1.0,
                up_since: 0.0,
                speaks: 0,
            };
            let address = "127.0.0.1:1".parse().expect("an address");
            exchange.listed(true, true, vec![Entry { uid: "a".into(), listed, address, gone: false }]);
            let arrival = Arrival { remaining: 0.2, ..Arrival::default() };
            let load = || Load { id: 7, head: Box::new(()), body: Bytes::new() };
            let mut ticket = exchange.take(arrival, load()).expect("a hit");
            assert!(exchange.take(arrival, load()).is_none(), "its id is in hand");
            exchange.answer(ticket.handle, Answer::Bounced { again_after: 0.5 });
            exchange.answer(ticket.handle, Answer::Failed);
            assert!(matches!(ticket.answer().await, Answer::Bounced { again_after: 0.5 }));
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert!(exchange.idle());
            assert!(exchange.take(arrival, load()).is_some(), "its id is free again");
        });
    }
}
