//! What changes for all endpoints and clients during a run.

use crate::plan::Illness;
use crate::{rng, SeededRng};
use rand::seq::SliceRandom;
use rand::Rng;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An endpoint's work, in milliseconds, where nothing slows it.
const WORK_MS: std::ops::Range<f64> = 5.0..60.0;

/// Requests that endpoints work on at a time; they differ.
const CONCURRENCIES: [usize; 4] = [3, 6, 8, 16];

/// Bytes of a long body.
const LONG_BODY_BYTES: std::ops::Range<usize> = 100_000..8_000_000;
/// For how many milliseconds a slow reader pauses: less than what ends a connection whose window is closed.
const READ_PAUSE_MS: std::ops::Range<u64> = 100..1_000;

/// Something that holds until some time.
#[derive(Clone, Copy, Debug)]
struct Temporary<T> {
    value: T,
    until: Instant,
}

impl<T> Temporary<T> {
    fn new(value: T, time: Duration) -> Temporary<T> {
        let until = Instant::now() + time;
        Temporary { value, until }
    }
}

#[derive(Debug)]
struct State {
    rng: SeededRng,
    slowness: Option<Temporary<f64>>,
    /// How endpoints are ill, and which part of them.
    illness: Option<Temporary<(Illness, f64)>>,
    impatience: Option<Temporary<f64>>,
    long_bodies: Option<Temporary<f64>>,
    slow_readers: Option<Temporary<f64>>,
}

/// Shared by endpoints and clients.
#[derive(Debug)]
pub(crate) struct Surroundings(Mutex<State>);

impl Surroundings {
    pub(crate) fn new(seed: u64) -> Surroundings {
        Surroundings(Mutex::new(State {
            rng: rng(seed),
            slowness: None,
            illness: None,
            impatience: None,
            long_bodies: None,
            slow_readers: None,
        }))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes endpoints slower for some time.
    pub(crate) fn slow_down(&self, factor: f64, time: Duration) {
        self.state().slowness = Some(Temporary::new(factor, time));
    }

    /// Makes a share of the endpoints ill for some time.
    pub(crate) fn make_ill(&self, illness: Illness, share: f64, time: Duration) {
        self.state().illness = Some(Temporary::new((illness, share), time));
    }

    /// Returns how an endpoint is ill; the lower its resistance, from 0 to 1, the more illnesses it gets.
    pub(crate) fn illness(&self, resistance: f64) -> Option<Illness> {
        let (illness, share) = holding(self.state().illness)?;
        (resistance < share).then_some(illness)
    }

    /// Draws how many requests an endpoint works on at a time.
    pub(crate) fn draw_concurrency(&self) -> usize {
        *CONCURRENCIES
            .choose(&mut self.state().rng)
            .expect("there are some")
    }

    /// Draws an endpoint's resistance to illnesses.
    pub(crate) fn draw_resistance(&self) -> f64 {
        self.state().rng.gen()
    }

    /// Makes a share of the clients leave early for some time.
    pub(crate) fn make_impatient(&self, share: f64, time: Duration) {
        self.state().impatience = Some(Temporary::new(share, time));
    }

    /// Makes a share of the requests long for some time.
    pub(crate) fn lengthen(&self, share: f64, time: Duration) {
        self.state().long_bodies = Some(Temporary::new(share, time));
    }

    /// Makes a share of the clients read slowly for some time.
    pub(crate) fn slow_readers(&self, share: f64, time: Duration) {
        self.state().slow_readers = Some(Temporary::new(share, time));
    }

    /// Draws how long a client pauses before it reads a response's body.
    pub(crate) fn draw_read_pause(&self) -> Duration {
        let state = &mut *self.state();
        let share = current(state.slow_readers, 0.0);
        match state.rng.gen_bool(share) {
            true => Duration::from_millis(state.rng.gen_range(READ_PAUSE_MS)),
            false => Duration::ZERO,
        }
    }

    /// Draws the length of a body, beyond what it usually has.
    pub(crate) fn draw_extra_bytes(&self) -> usize {
        let state = &mut *self.state();
        let share = current(state.long_bodies, 0.0);
        match state.rng.gen_bool(share) {
            true => state.rng.gen_range(LONG_BODY_BYTES),
            false => 0,
        }
    }

    /// Draws how long an endpoint works on a request.
    pub(crate) fn draw_work_ms(&self) -> u64 {
        let state = &mut *self.state();
        let work = state.rng.gen_range(WORK_MS);
        (work * current(state.slowness, 1.0)) as u64
    }

    /// Draws whether a client leaves before it is answered.
    pub(crate) fn draws_leaving(&self, usual_share: f64) -> bool {
        let state = &mut *self.state();
        let share = current(state.impatience, usual_share);
        state.rng.gen_bool(share)
    }
}

/// Returns the value if it holds now.
fn holding<T>(temporary: Option<Temporary<T>>) -> Option<T> {
    let holding = temporary.filter(|temporary| Instant::now() < temporary.until);
    holding.map(|temporary| temporary.value)
}

/// Returns the value that holds now.
fn current(temporary: Option<Temporary<f64>>, usual: f64) -> f64 {
    holding(temporary).unwrap_or(usual)
}
