//! How attempts end, and what that means for their request.
//!
//! What is proved decides: a request that is not idempotent is sent again, or rejected with a promise that it never ran,
//! only while each earlier attempt provably never ran. Everything else ends with an honest failure.

use crate::Micros;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole response with this request's id: the endpoint ran it.
    Answered {
        /// The status of the response.
        status: u16,
    },
    /// The endpoint says that it did not run it: it is full, the time is over, or another one is at its address.
    Rejected,
    /// No byte of the request left: no connection, or it was handed back unsent.
    NotSent,
    /// The connection ended without a whole response; the request may have run.
    ConnectionLost,
    /// What came is no response to it; the request may have run.
    InvalidResponse,
    /// Nothing came in the time that there was; the request may have run.
    TimedOut,
    /// It was cut off, as its client had left; the request may have run.
    Cancelled,
}

/// What is to be done with a request after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Respond with what this attempt brought.
    Respond,
    /// Another endpoint may be tried.
    Retry,
    /// Wait: another attempt is still in flight.
    Wait,
    /// It never ran and never will: 503, with a time to come back.
    RejectUnprocessed,
    /// It may have run: 502.
    BadGateway,
    /// It may have run, and its deadline has passed: 504.
    GatewayTimeout,
}

/// One request from its first attempt to its response.
#[derive(Clone, Copy, Debug)]
pub struct RequestState {
    is_idempotent: bool,
    attempts_left: u32,
    in_flight: u32,
    may_have_run: bool,
    /// Whether a second attempt may start while one is in flight.
    is_hedging: bool,
    deadline: Micros,
}

impl RequestState {
    /// Creates the state of a request that may be sent to `max_attempts` endpoints, at least one.
    pub fn new(is_idempotent: bool, max_attempts: u32, deadline: Micros) -> RequestState {
        RequestState {
            is_idempotent,
            attempts_left: max_attempts.max(1),
            in_flight: 0,
            may_have_run: false,
            is_hedging: is_idempotent,
            deadline,
        }
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    /// Whether nothing of it can have run.
    fn is_unprocessed(&self) -> bool {
        !self.may_have_run && self.in_flight == 0
    }

    /// Whether a second attempt may start while the first is in flight.
    pub fn may_hedge(&self) -> bool {
        self.is_hedging && self.attempts_left > 0 && self.in_flight == 1
    }

    /// Allows no second attempt beside the first until that has ended.
    pub fn disable_hedging(&mut self) {
        self.is_hedging = false;
    }

    /// Makes it run once at most from now on, whatever it was before.
    pub fn set_non_idempotent(&mut self) {
        self.is_idempotent = false;
        self.is_hedging = false;
    }

    /// Whether it may be sent to an endpoint now.
    pub fn may_send(&self) -> bool {
        self.attempts_left > 0 && (self.is_idempotent || self.is_unprocessed())
    }

    /// Takes note of an attempt that starts.
    pub fn on_sent(&mut self) {
        debug_assert!(self.may_send(), "it is not idempotent");
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.in_flight += 1;
    }

    /// Takes note of an attempt's end and decides what is next. `may_retry` says whether there is retry budget.
    pub fn on_outcome(
        &mut self,
        now: Micros,
        outcome: AttemptOutcome,
        may_retry: bool,
    ) -> NextStep {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.is_hedging = self.is_idempotent;
        match outcome {
            // Nothing of it arrived: no endpoint was tried.
            AttemptOutcome::NotSent => self.attempts_left += 1,
            AttemptOutcome::Rejected => {}
            AttemptOutcome::Answered { .. }
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::InvalidResponse
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Cancelled => self.may_have_run = true,
        }
        let retries = may_retry && self.may_send() && now < self.deadline;
        let is_last = self.in_flight == 0;
        match outcome {
            AttemptOutcome::Answered { status } if self.is_final(status) => NextStep::Respond,
            AttemptOutcome::Answered { .. } if retries && is_last => NextStep::Retry,
            // A failure of the endpoint's own is the response if no better one can be had. A status that promises what
            // isn't so is not passed on.
            AttemptOutcome::Answered { status } if is_last && !promises_unprocessed(status) => {
                NextStep::Respond
            }
            _ if !is_last => NextStep::Wait,
            _ if retries => NextStep::Retry,
            _ => self.give_up(now),
        }
    }

    /// Whether no better response than one with this status can be had.
    fn is_final(&self, status: u16) -> bool {
        !promises_unprocessed(status) && (status < 500 || !self.is_idempotent)
    }

    /// Decides what its client is told when it is given up, with no attempt in flight.
    pub fn give_up(&self, now: Micros) -> NextStep {
        match (self.may_have_run, now < self.deadline) {
            (false, _) => NextStep::RejectUnprocessed,
            (true, true) => NextStep::BadGateway,
            (true, false) => NextStep::GatewayTimeout,
        }
    }
}

/// Whether a status promises a client that its request never ran.
pub fn promises_unprocessed(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns the time after which a rejected client may come back, in seconds: `wanted`, at most a third of the time that it
/// has left, as it would not wait longer.
pub fn retry_after_seconds(wanted: Micros, left: Micros) -> f64 {
    (wanted.min(left / 3) as f64 / 1e6 * 1000.0).floor() / 1000.0
}
