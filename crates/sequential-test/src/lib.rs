//! Evidence for and against a staged release that may be looked at after every answer, with two stated rates: how
//! many good releases are sent back and how many bad ones are carried forward at most.
//!
//! No I/O, no clock, no chance: outcomes and times come as arguments, so the same calls give the same verdict.
//! [`Case`] is what there is to say of one release; [`Terms`] states what good and bad mean and how often one may
//! be wrong. `docs/verdict/design.md` weighs the methods and proves the bounds.
//!
//! ```
//! use magpieline_sequential_test::{Case, End, Opinion, Outcome, Terms, Voters, EARLIER, TRIAL};
//!
//! let terms = Terms::read(|name| (name == "good_sent_back").then_some(0.01), |_| "")?.expect("a rate is stated");
//! let mut case = Case::new(terms, Voters { all: 1.0, back: 1.0, on: 1.0 }, 1, 7, 1.0);
//! for i in 0..2000 {
//!     let (now, side) = (i as f64 * 0.01, if i % 5 == 0 { TRIAL } else { EARLIER });
//!     let end = if side == TRIAL && i % 10 == 0 { End::Erred } else { End::Passed };
//!     let key = Some(i);
//!     case.outcome(now, &Outcome { side, group: 0, node: i % 15, key, age: 60.0, end, time: None });
//! }
//! assert_eq!(case.look(20.0).opinion, Opinion::Back);
//! # Ok::<(), String>(())
//! ```

mod case;
mod jury;
mod keys;
pub mod pair;
mod past;
mod pauses;
mod terms;
#[cfg(test)]
mod tests;
pub mod wealth;

pub use case::{Case, End, Entry, Look, Opinion, Outcome, Vote, EARLIER, TRIAL};
pub use terms::{Terms, Voters};
