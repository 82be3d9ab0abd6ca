//! A proxy between simulated clients and endpoints that misbehave: its real framing and forwarding, hyper and all, on streams in
//! memory and with time that passes when nothing else can happen. What takes days of bad luck on machines takes a few
//! milliseconds here, and comes again from its seed.
//!
//! [`simulate`] runs one seed and returns what was violated: a response to another request than its own, a request that is not
//! idempotent sent where an earlier attempt may have run, a false promise that it never ran, a request passed on late, by a
//! replaced configuration or to an endpoint that is gone, an idle connection ended too soon, a request interrupted or
//! lost.

#![warn(missing_docs, unreachable_pub)]

mod checks;
mod client;
mod endpoint;
mod environment;
pub mod http_reader;
mod memory_stream;
mod recorder;
mod scenario;
mod simulation;

pub use simulation::{simulate, simulate_with_version_changes, Summary};

type SeededRng = rand_chacha::ChaCha8Rng;

fn rng(seed: u64) -> SeededRng {
    rand::SeedableRng::seed_from_u64(seed)
}
