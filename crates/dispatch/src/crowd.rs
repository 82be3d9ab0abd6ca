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
mod tests {
    use super::*;

    fn run<F: std::future::Future>(test: F) -> F::Output {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            tokio::time::timeout(Duration::from_secs(5), test)
                .await
                .expect("in time")
        })
    }

    #[test]
    fn when_room_is_short_strangers_go_first_then_the_longest_idle() {
        let (crowd, visit) = (Crowd::new(OTHERS + 6), || Visit::new(Rc::default()));
        let (_, busy) = crowd.enter(visit());
        busy.brought();
        let (_, idle) = crowd.enter(visit());
        idle.brought();
        idle.wait();
        assert!(crowd.room(0, usize::MAX));
        let (place, stranger) = crowd.enter(visit());
        assert!(!crowd.room(0, usize::MAX));
        let long_ago = Instant::now()
            .checked_sub(2 * SHORT)
            .expect("a clock that has run");
        stranger.since.set(long_ago);
        assert!(!crowd.room(0, usize::MAX));
        run(stranger.evict.notified());
        stranger.known.set(true);
        stranger.wait();
        [&busy, &idle]
            .iter()
            .for_each(|visit| visit.since.set(long_ago));
        assert!(!crowd.room(0, usize::MAX));
        run(idle.evict.notified());
        crowd.leave(place);
        assert!(crowd.room(0, usize::MAX));
    }

    /// Each front is sure of its part: what one has filled it gives back to the other, and idle ones leave for that.
    #[test]
    fn fronts_share_places_by_weight() {
        let crowd = Crowd::new(OTHERS + 32); // sixteen places
        let other = crowd.join(3.0);
        let mut first = Vec::new();
        while crowd.room(0, usize::MAX) {
            first.push(crowd.enter(Visit::new(Rc::default())));
        }
        assert_eq!(first.len(), 4, "twelve are kept for the other one");
        let mut second = Vec::new();
        while crowd.room(other, usize::MAX) {
            second.push(crowd.enter(Visit::to(other, Rc::default())));
        }
        assert_eq!(second.len(), 12);
        second.drain(..).for_each(|(place, _)| crowd.leave(place));
        assert!(
            !crowd.room(0, usize::MAX),
            "what the other is sure of stays free for it"
        );
        // A bound that shrinks leaves one with more than its part: that one's idle ones go when the other asks.
        let long_ago = Instant::now()
            .checked_sub(2 * SHORT)
            .expect("a clock that has run");
        first
            .iter()
            .for_each(|(_, visit)| visit.since.set(long_ago));
        assert!(!crowd.room(other, 4));
        run(first[0].1.evict.notified());
    }

    /// While connections are many a new one sends the longest idle away, one with a hit in hand never.
    #[test]
    fn who_asks_once_and_stays_gives_way_to_new_clients() {
        let (crowd, visit) = (Crowd::new(12), || Visit::new(Rc::default()));
        let all = [
            crowd.enter(visit()).1,
            crowd.enter(visit()).1,
            crowd.enter(visit()).1,
        ];
        all.iter().for_each(|v| v.brought());
        all[1..].iter().for_each(|v| v.wait());
        let ago = |n| {
            Instant::now()
                .checked_sub(n * BRIEF)
                .expect("a clock that has run")
        };
        all.iter()
            .zip([9, 2, 3])
            .for_each(|(v, n)| v.since.set(ago(n)));
        crowd.enter(visit());
        run(all[2].evict.notified());
        run(async {
            let other = futures_util::future::select(
                Box::pin(all[0].evict.notified()),
                Box::pin(all[1].evict.notified()),
            );
            assert!(tokio::time::timeout(GREET, other).await.is_err());
        });
    }
}
