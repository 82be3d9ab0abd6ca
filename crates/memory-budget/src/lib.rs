//! A budget of the bytes that others make a process hold: bodies of requests and of responses. They are reserved before they are
//! read and released when they are gone, so that their sum is bounded, and not only each of them.
//!
//! - *Small reservations* of one [`Purpose`] may use more than the large ones, which have [`Limits::large`] together: small
//!   bodies find room beside long ones.
//! - *No deadlock.* A reservation whose length is known is made at once or not at all; one that grows is refused when it can't,
//!   and never waits. So nothing holds a part and waits for more but a request whose response waits for room, and requests
//!   leave room for responses ([`Limits::all`]).
//! - *Waiting.* What finds no room may wait, in the order of arrival; what fits passes by what doesn't, so that a long one at the
//!   head holds up none that could be served. How long something waits is its caller's decision.
//!
//! No I/O and no clock: callers take what is granted from [`Budget::release`].
//!
//! ```
//! use magpieline_memory_budget::{Budget, Limits, Purpose, Refusal};
//!
//! let mut budget = Budget::new(Limits::of_memory(256 << 20));
//! budget.reserve(Purpose::Request, 64 << 20)?;
//! assert_eq!(budget.used(), 64 << 20);
//! assert_eq!(budget.reserve(Purpose::Request, 100 << 20), Err(Refusal::Exhausted));
//! let waiting = budget.enqueue(Purpose::Request, 100 << 20)?;
//! assert_eq!(budget.release(Purpose::Request, 64 << 20), [waiting]);
//! # Ok::<(), Refusal>(())
//! ```

#![warn(missing_docs, unreachable_pub)]

mod limits;

pub use limits::Limits;
use std::collections::VecDeque;
use std::fmt;

/// What bytes are reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// The body of a request.
    Request,
    /// The body of a response.
    Response,
}

impl Purpose {
    /// All of them.
    pub const ALL: [Purpose; 2] = [Purpose::Request, Purpose::Response];
}

/// Why bytes are not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Refusal {
    /// There is no room for them now.
    Exhausted,
    /// There is no room for them even when nothing else is reserved.
    TooLong,
    /// There is no room for them now, and enough others wait.
    QueueFull,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::Exhausted => "the memory for bodies is in use",
            Refusal::TooLong => "longer than the memory for bodies",
            Refusal::QueueFull => "the memory for bodies is in use, and enough others wait for it",
        })
    }
}

impl std::error::Error for Refusal {}

/// Identifies what waits for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitId(u64);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: WaitId,
    purpose: Purpose,
    bytes: u64,
}

/// Bytes that are reserved for one purpose.
#[derive(Clone, Copy, Debug, Default)]
struct Reserved {
    all: u64,
    large: u64,
}

impl Reserved {
    /// Returns what it is once a reservation of `from` bytes has `to` bytes.
    fn resized(self, from: u64, to: u64) -> Reserved {
        Reserved {
            all: self.all - from + to,
            large: self.large - large(from) + large(to),
        }
    }
}

/// Returns the bytes by which a reservation counts as a large one: all or none.
fn large(bytes: u64) -> u64 {
    match bytes > Limits::SMALL_BYTES {
        true => bytes,
        false => 0,
    }
}

/// Bytes that are reserved, and what waits for more.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    used: u64,
    /// The highest that `used` has been.
    peak: u64,
    /// What is reserved for each purpose.
    by_purpose: [Reserved; Purpose::ALL.len()],
    waiting: VecDeque<Waiting>,
    next_id: u64,
}

impl Budget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(limits: Limits) -> Budget {
        Budget {
            limits,
            used: 0,
            peak: 0,
            by_purpose: Default::default(),
            waiting: VecDeque::new(),
            next_id: 1,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits. What is reserved stays reserved, also where that is more than the new ones allow. Returns what has
    /// its reservation from now on.
    pub fn set_limits(&mut self, limits: Limits) -> Vec<WaitId> {
        self.limits = limits;
        self.grant()
    }

    /// Returns the bytes that are reserved.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the highest that [`Budget::used`] has been.
    pub fn peak(&self) -> u64 {
        self.peak
    }

    /// Returns the bytes that are reserved for a purpose.
    pub fn used_for(&self, purpose: Purpose) -> u64 {
        self.by_purpose[purpose as usize].all
    }

    /// Returns how many wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Reserves bytes.
    ///
    /// # Errors
    ///
    /// If there is no room for them.
    pub fn reserve(&mut self, purpose: Purpose, bytes: u64) -> Result<(), Refusal> {
        self.resize(purpose, 0, bytes)
    }

    /// Makes a reservation of `from` bytes one of `to` bytes.
    ///
    /// # Errors
    ///
    /// If there is no room for what it grows by; it stays as it was.
    pub fn resize(&mut self, purpose: Purpose, from: u64, to: u64) -> Result<(), Refusal> {
        let used = self.used - from + to;
        let reserved = self.by_purpose[purpose as usize].resized(from, to);
        if to > from {
            if to > self.limits.longest(purpose) {
                return Err(Refusal::TooLong);
            }
            let is_over_large = large(to) > 0 && reserved.large > self.limits.large(purpose);
            let is_over_all = reserved.all > self.limits.all(purpose);
            if used > self.limits.total() || is_over_all || is_over_large {
                return Err(Refusal::Exhausted);
            }
        }
        self.used = used;
        self.peak = self.peak.max(used);
        self.by_purpose[purpose as usize] = reserved;
        Ok(())
    }

    /// Makes a reservation wait that finds no room now; [`Budget::release`] returns its id once it has.
    ///
    /// # Errors
    ///
    /// If it will never find room, or enough others wait.
    pub fn enqueue(&mut self, purpose: Purpose, bytes: u64) -> Result<WaitId, Refusal> {
        if bytes > self.limits.longest(purpose) {
            return Err(Refusal::TooLong);
        }
        let is_same = |waiting: &&Waiting| waiting.purpose == purpose;
        if self.waiting.iter().filter(is_same).count() >= self.limits.max_waiting(purpose) {
            return Err(Refusal::QueueFull);
        }
        let id = WaitId(self.next_id);
        self.next_id += 1;
        self.waiting.push_back(Waiting { id, purpose, bytes });
        Ok(id)
    }

    /// Ends a wait. Returns false if it has its reservation by now, which is to be released then.
    pub fn cancel(&mut self, id: WaitId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.id != id);
        self.waiting.len() < before
    }

    /// Releases a reservation. Returns what has its own from now on, in the order in which it came.
    pub fn release(&mut self, purpose: Purpose, bytes: u64) -> Vec<WaitId> {
        self.shrink(purpose, bytes, 0)
    }

    /// Makes a reservation of `from` bytes one of `to` bytes, which are fewer. Returns what has its own from now on.
    pub fn shrink(&mut self, purpose: Purpose, from: u64, to: u64) -> Vec<WaitId> {
        let shrunk = self.resize(purpose, from, to);
        debug_assert!(shrunk.is_ok(), "what shrinks finds room");
        self.grant()
    }

    /// Reserves for all that wait and find room.
    fn grant(&mut self) -> Vec<WaitId> {
        let mut granted = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for candidate in waiting {
            match self.reserve(candidate.purpose, candidate.bytes) {
                Ok(()) => granted.push(candidate.id),
                Err(_) => self.waiting.push_back(candidate),
            }
        }
        granted
    }
}
