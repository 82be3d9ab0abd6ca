//! The counter between clients and appliances that misbehave: its real framing, its real forwards, hyper and all, on streams
//! in memory and with time that passes when nothing else can happen. What takes days of bad luck on machines takes a few
//! milliseconds here, and comes again from its seed.
//!
//! [`play`] plays one seed and says what was wrong: an answer under another request than its own, a request that may run
//! once only sent where an earlier one may have run, a promise that is none, one passed on late, by an old edition or to
//! an appliance that is gone, an idle connection ended too soon, a request broken off at work or lost.

mod appliance;
pub mod book;
mod client;
mod plain;
mod play;
mod stream;

pub use play::{play, play_with_versions, Played};

/// Chance, from a seed.
pub type Dice = rand_chacha::ChaCha8Rng;

pub(crate) fn dice(seed: u64) -> Dice {
    rand::SeedableRng::seed_from_u64(seed)
}

/// From SIGTERM to SIGKILL, in microseconds.
pub(crate) const GRACE: u64 = 6_000_000;
