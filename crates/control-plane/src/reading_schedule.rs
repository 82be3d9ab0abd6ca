//! When a proxy reads the platform's list itself.
//!
//! The platform takes so many calls a second from all agents together, and the leader's reading serves all proxies: it must not be
//! turned away for theirs. So all proxies together use a part of the calls, also if every one of them reads, and each reads at a moment
//! of its own: those that are cut off together must not read in step. A proxy that was told of nothing yet does not read: it could
//! not serve by the list, and does not know with how many others it shares the calls.

use crate::Micros;

/// Without a leader the list is read once the view is this old.
const MAX_AGE_WITHOUT_LEADER: Micros = 1_000_000;
/// With a leader, once it is as old as this part of the time for which draining endpoints may still be sent to. A leader's
/// confirmation is 1.5 s old at most where nothing is wrong: a report each 0.5 s, a reading each 0.9 s, and the way.
const MAX_AGE_WITH_LEADER: f64 = 0.7;
/// Between two readings, at least.
const MIN_INTERVAL: Micros = 500_000;
/// Of the calls that the platform takes from all together so much may go to proxies that read the list themselves.
const SHARE_OF_CALLS: f64 = 0.5;
/// A proxy that was told of nothing yet looks this often whether it was.
const CHECK_INTERVAL: Micros = 500_000;

/// Endpoints on one page, until a reading has shown how many there are: the pages of the protocol's examples.
const USUAL_PAGE_LENGTH: usize = 50;

/// What a reading of the list costs, as far as readings have shown, also those that were not completed: a list that has grown must
/// not be read as often as the short one was, or no reading is ever completed and nothing is learnt of its length.
#[derive(Clone, Copy, Debug)]
pub struct ReadingCost {
    page_length: usize,
    /// Calls of the last reading that was completed, or of a later one that was not, if it took more.
    calls: u32,
}

impl Default for ReadingCost {
    fn default() -> ReadingCost {
        ReadingCost {
            page_length: USUAL_PAGE_LENGTH,
            calls: 1,
        }
    }
}

impl ReadingCost {
    /// Returns how many calls a reading of a list of `endpoints` takes, at least.
    pub fn calls(&self, endpoints: usize) -> u32 {
        let pages = endpoints.div_ceil(self.page_length) as u32;
        pages.max(self.calls)
    }

    /// Takes note of a page that is followed by another one: the list has had so many endpoints on so many pages so far.
    pub fn on_page(&mut self, endpoints: usize, pages: u32) {
        self.page_length = (endpoints / pages.max(1) as usize).max(1);
        self.calls = self.calls.max(pages + 1);
    }

    /// Takes note that a reading of so many calls was completed.
    pub fn on_completed(&mut self, calls: u32) {
        self.calls = calls;
    }
}

/// What a proxy knows of its view of the endpoints, and of others that may read the list.
#[derive(Clone, Copy, Debug)]
pub struct ReadingConditions {
    /// When a leader confirmed for the first time what is in force here; none: it has not.
    pub confirmed_at: Option<Micros>,
    /// The moment as of which the view is complete; none: it never was.
    pub as_of: Option<Micros>,
    /// Whether a leader is followed.
    pub is_following: bool,
    /// For how long after an endpoint was listed as draining requests may still be sent to it.
    pub drain: Micros,
    /// How many proxies there are.
    pub proxies: u32,
    /// Calls that one reading of the list takes.
    pub calls_per_reading: u32,
    /// Calls a second that the platform takes from all agents together.
    pub calls_per_second: f64,
}

impl ReadingConditions {
    /// Returns the time between two readings of one proxy at which all proxies together stay within their share of calls.
    fn interval(&self) -> Micros {
        let calls = f64::from(self.proxies.max(1)) * f64::from(self.calls_per_reading.max(1));
        let shared = SHARE_OF_CALLS * self.calls_per_second.max(1.0);
        MIN_INTERVAL.max((calls / shared * 1e6) as Micros)
    }

    /// Returns when the view becomes too old, unless it is confirmed anew before; none: the list is not read.
    fn stale_at(&self) -> Option<Micros> {
        let max_age = match self.is_following {
            true => (MAX_AGE_WITH_LEADER * self.drain as f64) as Micros,
            false => MAX_AGE_WITHOUT_LEADER,
        };
        let confirmed_at = self.confirmed_at?;
        Some(self.as_of.unwrap_or(confirmed_at) + max_age)
    }
}

/// When a proxy reads the list next.
#[derive(Clone, Copy, Debug)]
pub struct ReadingSchedule {
    /// Where in the interval this proxy reads, from 0 to 1.
    place: f64,
    not_before: Micros,
}

impl ReadingSchedule {
    /// Begins a schedule; `draw`, from 0 to 1, differs between proxies.
    pub fn new(draw: f64) -> ReadingSchedule {
        ReadingSchedule {
            place: draw,
            not_before: 0,
        }
    }

    /// Returns when the list is to be read, as things stand; a moment that has passed: now. Otherwise it is to be asked again then.
    pub fn due(&self, now: Micros, conditions: &ReadingConditions) -> Micros {
        let spread = (self.place * conditions.interval() as f64) as Micros;
        match conditions.stale_at() {
            Some(stale_at) => (stale_at + spread).max(self.not_before),
            None => now + CHECK_INTERVAL,
        }
    }

    /// Takes note that a reading begins; `draw` is a new one.
    pub fn on_reading(&mut self, now: Micros, conditions: &ReadingConditions, draw: f64) {
        self.not_before = now + conditions.interval();
        self.place = draw;
    }
}
