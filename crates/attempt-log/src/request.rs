//! What callers ask for, and what they are told.

use serde::{Deserialize, Serialize};

/// A repeat takes so long to a node that knows it, in seconds: half a second is slow, a tenth of that is left before the window
/// ends.
const REPEAT_DELAY: f64 = 0.05;

/// How a request may be repeated, by its path group. Journals name the variants.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Idempotency {
    /// As often as one likes.
    #[serde(rename = "Repeatable")]
    Idempotent,
    /// The nodes of one group recognize its repeats.
    #[serde(rename = "Tagged")]
    Deduplicated {
        /// For how long, from when it was first sent, in seconds.
        window: f64,
    },
    /// Once: again only if every earlier attempt provably never ran.
    #[serde(rename = "Mutating")]
    NonIdempotent,
}

impl Idempotency {
    /// Whether nodes still recognize a repeat that is sent now.
    pub fn is_recognized(self, now: f64, first: FirstAttempt) -> bool {
        match self {
            Idempotency::Deduplicated { window } => now - first.at < window - REPEAT_DELAY,
            Idempotency::Idempotent | Idempotency::NonIdempotent => false,
        }
    }
}

/// When and where a request was first sent: its node's group knows its repeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstAttempt {
    /// When it was sent, in seconds.
    pub at: f64,
    /// The node's zone.
    pub zone: usize,
    /// The node's cell.
    pub cell: i64,
}

/// A caller's request for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRequest {
    /// A hash of the id and all that belongs to it.
    pub id: u64,
    /// How it may be repeated.
    pub idempotency: Idempotency,
    /// The caller says that it has asked before.
    pub is_retry: bool,
    /// When the request came to the caller, if it says so, in seconds.
    pub received_at: Option<f64>,
}

/// Why an attempt may not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Another one under this id is in progress.
    InProgress,
    /// An earlier one may have run.
    MayHaveRun,
    /// It was asked for before, by the caller's word or its age, and nothing is known of that.
    Unknown,
    /// No more can be remembered: nothing of it was passed on, it may be asked for again later.
    Full,
}

/// What is known at the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It provably never ran.
    NeverRan,
    /// It may have run, or did.
    MayHaveRun,
}
