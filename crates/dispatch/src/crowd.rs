//! Clients' connections, whatever their protocol: how many there may be, who gives way, who has brought nothing.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Descriptors for all but clients and nodes: log, signals, timers, list, news, votes, listener.
const OTHERS: usize = 32;
/// A connection that waits for a hit for that long is closed: clients that ask once and stay would hold all
/// places, and others allow it by then (2 s, with some room for clocks).
const IDLE: Duration = Duration::from_millis(2050);
/// A hit whose bytes have begun to come is waited for this long at least: what comes drop by drop never ends.
const PIECES: Duration = Duration::from_millis(900);
/// When room is short a connection that has been idle for that long may go: its answer is long out.
const SHORT: Duration = Duration::from_secs(1);
/// A connection that has brought nothing yet is left alone for that long: its hit may be on the way.
const GREET: Duration = Duration::from_millis(100);
/// The same for one that has been answered, while connections are many: well past the way of its answer.
const BRIEF: Duration = Duration::from_millis(250);
/// How many are asked to go at once when room is short: as many as come in a moment when hundreds do.
const AT_ONCE: usize = 8;

/// A client's connection, as those see it who look for room.
pub struct Visit {
    /// The front that it came to.
    front: usize,
    /// Whether a hit of it is in hand.
    busy: Cell<bool>,
    /// Whether it has ever brought a hit.
    known: Cell<bool>,
    /// Since when it has waited for a hit.
    since: Cell<Instant>,
    /// When the first byte of that hit came.
    heard: Rc<Cell<Option<Instant>>>,
    evict: Notify,
}

impl Visit {
    /// A connection to the first front.
    pub fn new(heard: Rc<Cell<Option<Instant>>>) -> Visit {
        Visit::to(0, heard)
    }

    /// A connection to a front, by the number that [`Crowd::join`] gave it.
    pub fn to(front: usize, heard: Rc<Cell<Option<Instant>>>) -> Visit {
        let (busy, known) = Default::default();
        Visit {
            front,
            busy,
            known,
            since: Instant::now().into(),
            heard,
            evict: Notify::new(),
        }
    }

    /// It has brought one.
    pub fn brought(&self) {
        self.busy.set(true);
        self.known.set(true);
    }

    /// It waits for the next hit from now on.
    pub fn wait(&self) {
        self.busy.set(false);
        self.since.set(Instant::now());
        self.heard.set(None);
    }

    /// Whether it has waited for a hit for longer than this.
    fn waited(&self, long: Duration) -> bool {
        !self.busy.get() && self.since.get().elapsed() > long
    }

    /// Until when a hit has to have come whole.
    fn due(&self) -> Instant {
        let idle = self.since.get() + IDLE;
        self.heard
            .get()
            .map_or(idle, |heard| idle.max(heard + PIECES))
    }

    /// Ends once it is to go, to make room.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }

    /// Ends once no hit has come in time.
    pub async fn overdue(&self) {
        loop {
            let due = if self.busy.get() {
                Instant::now() + IDLE
            } else {
                self.due()
            };
            if due <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
        }
    }
}

/// The clients' connections, oldest first, over all fronts. At most so many that each could have a node's beside it;
/// of these each front is sure of its part by weight, and may use what others leave.
pub struct Crowd {
    visits: RefCell<BTreeMap<u64, Rc<Visit>>>,
    /// By front: its weight, and how many connections it holds.
    fronts: RefCell<Vec<(f64, usize)>>,
    next: Cell<u64>,
    most: usize,
    /// Beyond so many, a quarter of the descriptors, each new one sends an idle one away: clients may hold a
    /// third, and those that ask once and stay would use it up for all others.
    ample: usize,
}

impl Crowd {
    pub fn new(descriptors: usize) -> Crowd {
        Crowd {
            visits: RefCell::default(),
            fronts: vec![(1.0, 0)].into(),
            next: Cell::default(),
            most: (descriptors.saturating_sub(OTHERS) / 2).max(1),
            ample: descriptors / 4,
        }
    }

    /// How many there may be at most.
    pub fn most(&self) -> usize {
        self.most
    }

    pub fn is_empty(&self) -> bool {
        self.visits.borrow().is_empty()
    }

    /// Another front beside the first one, whose weight is 1: its number.
    pub fn join(&self, weight: f64) -> usize {
        let mut fronts = self.fronts.borrow_mut();
        fronts.push((weight, 0));
        fronts.len() - 1
    }

    /// Of so many connections, those that a front is sure of.
    fn part(&self, front: usize, most: usize) -> usize {
        let fronts = self.fronts.borrow();
        let all: f64 = fronts.iter().map(|(weight, _)| weight).sum();
        fronts
            .get(front)
            .map_or(0, |(weight, _)| (most as f64 * weight / all) as usize)
    }

    /// Whether one more may be accepted at a front; if not, some are asked to go: those that never brought a hit first,
    /// then those that have long been idle, of fronts that hold more than their part where this one holds less.
    pub fn room(&self, front: usize, bound: usize) -> bool {
        let (visits, most) = (self.visits.borrow(), self.most.min(bound));
        let held: Vec<usize> = self.fronts.borrow().iter().map(|(_, held)| *held).collect();
        let part = |front: usize| self.part(front, most);
        // What others are sure of and do not hold is kept for them.
        let others = (0..held.len()).filter(|f| *f != front);
        let kept: usize = others.map(|f| part(f).saturating_sub(held[f])).sum();
        if visits.len() + kept < most {
            return true;
        }
        let short = held.get(front).is_some_and(|h| *h < part(front));
        let may_go = |v: &&Rc<Visit>| {
            if short {
                held[v.front] > part(v.front)
            } else {
                v.front == front
            }
        };
        let strange = visits
            .values()
            .filter(|v| !v.known.get() && v.waited(GREET))
            .filter(may_go);
        let idle = visits
            .values()
            .filter(|v| v.known.get() && v.waited(SHORT))
            .filter(may_go);
        strange
            .chain(idle)
            .take(AT_ONCE)
            .for_each(|v| v.evict.notify_one());
        false
    }

    /// Whether there are more than operators allow by now: each that is answered then leaves with its answer.
    pub fn over(&self, bound: usize) -> bool {
        self.visits.borrow().len() > bound
    }

    /// Counts a connection in: where it stands, and what is to be told of it.
    pub fn enter(&self, visit: Visit) -> (u64, Rc<Visit>) {
        if self.visits.borrow().len() >= self.ample {
            let visits = self.visits.borrow();
            let idle = visits.values().filter(|v| v.waited(BRIEF));
            idle.min_by_key(|v| v.since.get())
                .into_iter()
                .for_each(|v| v.evict.notify_one());
        }
        self.fronts
            .borrow_mut()
            .get_mut(visit.front)
            .into_iter()
            .for_each(|f| f.1 += 1);
        let (place, visit) = (self.next.get(), Rc::new(visit));
        self.next.set(place + 1);
        self.visits.borrow_mut().insert(place, visit.clone());
        (place, visit)
    }

    /// A connection has ended.
    pub fn leave(&self, place: u64) {
        let gone = self.visits.borrow_mut().remove(&place);
        let front = gone.map(|visit| visit.front);
        let mut fronts = self.fronts.borrow_mut();
        front
            .and_then(|f| fronts.get_mut(f))
            .into_iter()
            .for_each(|f| f.1 = f.1.saturating_sub(1));
    }

    pub fn len(&self) -> usize {
        self.visits.borrow().len()
    }
}

#[cfg(test)]
mod tests;
