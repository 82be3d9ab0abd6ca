//! Requests that may run once only, by what tells them apart: a client that has lost its connection may come back with one
//! that is at work, or has run.

use crate::Micros;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// One is remembered for so long: clients wait for seconds, and each try of a client carries an id of its own.
pub const KEPT: Micros = 60_000_000;
/// So many at most, the newest ones: about two megabytes.
pub const MOST: usize = 1 << 15;

/// The requests that were let through and may have run.
#[derive(Debug, Default)]
pub struct Orders {
    /// When each came.
    known: HashMap<u128, Micros>,
    /// In the order they came; what was forgotten may still stand here.
    came: VecDeque<(Micros, u128)>,
    keys: (RandomState, RandomState),
}

impl Orders {
    /// A number that tells requests apart; two share one with a chance of 2^-128.
    fn number(&self, id: &[u8], path: &str) -> u128 {
        let half = |keys: &RandomState| u128::from(keys.hash_one((id, path)));
        half(&self.keys.0) << 64 | half(&self.keys.1)
    }

    /// Lets a request through that comes for the first time. False: one with this id and path may have run.
    pub fn admit(&mut self, now: Micros, id: &[u8], path: &str) -> bool {
        while self
            .came
            .front()
            .is_some_and(|(at, _)| self.came.len() >= MOST || at.saturating_add(KEPT) < now)
        {
            let Some((at, number)) = self.came.pop_front() else {
                break;
            };
            if self.known.get(&number) == Some(&at) {
                self.known.remove(&number);
            }
        }
        let number = self.number(id, path);
        if self.known.contains_key(&number) {
            return false;
        }
        self.known.insert(number, now);
        self.came.push_back((now, number));
        true
    }

    /// It provably never ran and never will: it may come again.
    pub fn forget(&mut self, id: &[u8], path: &str) {
        let number = self.number(id, path);
        self.known.remove(&number);
    }
}
