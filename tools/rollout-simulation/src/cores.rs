//! Prototypes for running on several cores: what one decision costs, and how many a second there are with the decisions on
//! one thread and hits handed to it in batches, behind a lock, and divided by key. Real time, so figures differ from run
//! to run; nothing of it is in service.

use crate::judge::Judge;
use crate::release;
use crate::world::{Fleet, GROUPS, TIMEOUT};
use magpieline::interface::*;
use magpieline::Balancer;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A hit is in hand for so long: decisions have as many in hand as their rate makes of it.
const IN_HAND: usize = 64;
/// Every so many hits the decisions are reviewed, as ten times a second at 10,000 hits.
const REVIEW: u64 = 1000;

fn balancer(seed: u64) -> Balancer {
    let fleet = Fleet::new(&mut ChaCha8Rng::seed_from_u64(seed));
    fleet.agent(seed, 0.0, release::settings(1, Judge::Earlier, false), None)
}

/// Decisions, with the hits that they have in hand.
struct Decides {
    balancer: Balancer,
    hand: std::collections::VecDeque<HitHandle>,
    now: f64,
    count: u64,
}

impl Decides {
    fn new(seed: u64) -> Decides {
        Decides {
            balancer: balancer(seed),
            hand: Default::default(),
            now: 1.0,
            count: 0,
        }
    }

    /// Takes a hit and, once enough are in hand, the oldest one's end: two decisions.
    fn hit(&mut self, key: usize) {
        self.now += 1e-4;
        self.count += 1;
        let group = key % GROUPS;
        let arrival = Arrival {
            group,
            key: Some(key % 4000),
            account: usize::MAX,
            remaining: TIMEOUT[group],
            ..Arrival::default()
        };
        let (handle, next) = self.balancer.take(self.now, arrival);
        if matches!(next, Next::Forward { .. }) {
            self.hand.push_back(handle);
        }
        if self.hand.len() > IN_HAND {
            if let Some(handle) = self.hand.pop_front() {
                let end = Return {
                    ending: Ending::Delivered,
                    spent: IN_HAND as f64 * 1e-4,
                    over: true,
                };
                handle.returned(&mut self.balancer, self.now, end);
            }
        }
        if self.count.is_multiple_of(REVIEW) {
            self.balancer.review(self.now);
        }
    }
}

/// Hits a second of one thread, nothing around it.
fn alone(time: Duration) -> f64 {
    let (mut decides, begun, mut hits) = (Decides::new(1), Instant::now(), 0u64);
    while begun.elapsed() < time {
        (0..1000).for_each(|i| decides.hit(i * 7 + hits as usize));
        hits += 1000;
    }
    hits as f64 / begun.elapsed().as_secs_f64()
}

/// `threads` hand hits to one that decides, in batches of so many, and wait for each batch.
fn handed(threads: usize, batch: usize, time: Duration) -> f64 {
    type Batch = (usize, Vec<usize>);
    let (give, taken): (Sender<Batch>, Receiver<Batch>) = channel();
    let (answers, waits): (Vec<Sender<_>>, Vec<Receiver<_>>) =
        (0..threads).map(|_| channel()).unzip();
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for (n, wait) in waits.into_iter().enumerate() {
            let give = give.clone();
            scope.spawn(move || {
                let mut keys: Vec<usize> = (0..batch).map(|i| i * 7 + n).collect();
                while begun.elapsed() < time {
                    if give.send((n, keys)).is_err() {
                        return;
                    }
                    match wait.recv() {
                        Ok(back) => keys = back,
                        Err(_) => return,
                    }
                }
            });
        }
        drop(give);
        let (mut decides, mut hits) = (Decides::new(1), 0u64);
        while let Ok((from, keys)) = taken.recv() {
            hits += keys.len() as u64;
            keys.iter().for_each(|key| decides.hit(*key));
            let _ = answers[from].send(keys); // it may have ended
        }
        hits as f64 / begun.elapsed().as_secs_f64()
    })
}

/// `threads` decide behind one lock.
fn locked(threads: usize, time: Duration) -> f64 {
    let decides = Mutex::new(Decides::new(1));
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for n in 0..threads {
            let decides = &decides;
            scope.spawn(move || {
                let mut i = 0;
                while begun.elapsed() < time {
                    i += 1;
                    decides.lock().expect("no panic").hit(i * 7 + n);
                }
            });
        }
    });
    let all = decides.into_inner().map_or(0, |d| d.count);
    all as f64 / begun.elapsed().as_secs_f64()
}

/// `threads` decide each for its own keys.
fn divided(threads: usize, time: Duration) -> f64 {
    std::thread::scope(|scope| {
        let each: Vec<_> = (0..threads)
            .map(|_| scope.spawn(move || alone(time)))
            .collect();
        each.into_iter().map(|t| t.join().unwrap_or(0.0)).sum()
    })
}

/// All of them, as a table.
pub fn table(seconds: f64) -> String {
    let time = Duration::from_secs_f64(seconds);
    let one = alone(time);
    let mut text = format!(
        "one thread, nothing around it: {one:.0} hits a second, {:.2} us each\n",
        1e6 / one
    );
    for threads in [1, 2, 4] {
        text += &format!("{threads} threads:");
        for batch in [1, 16, 64] {
            text += &format!(" handed by {batch}: {:.0},", handed(threads, batch, time));
        }
        text += &format!(
            " locked: {:.0}, divided: {:.0}\n",
            locked(threads, time),
            divided(threads, time)
        );
    }
    text
}
