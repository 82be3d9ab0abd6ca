//! Requests that are not idempotent, by what tells them apart: a client that has lost its connection may repeat one that is in
//! progress, or has run.

use crate::Micros;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// How long a request is remembered: clients wait for seconds, and each try of a client carries an id of its own.
pub const RETENTION: Micros = 60_000_000;
/// So many are remembered at most, the newest ones: about two megabytes.
pub const CAPACITY: usize = 1 << 15;

/// Tells requests apart; two share one with a chance of 2^-128.
type Fingerprint = u128;

/// The requests that were admitted and may have run.
#[derive(Debug, Default)]
pub struct SeenRequests {
    /// When each was admitted.
    admitted: HashMap<Fingerprint, Micros>,
    /// In the order of their admission; what was forgotten may still be in here.
    by_age: VecDeque<(Micros, Fingerprint)>,
    hash_keys: (RandomState, RandomState),
}

impl SeenRequests {
    fn fingerprint(&self, id: &[u8], path: &str) -> Fingerprint {
        let half = |keys: &RandomState| u128::from(keys.hash_one((id, path)));
        half(&self.hash_keys.0) << 64 | half(&self.hash_keys.1)
    }

    /// Admits a request that comes for the first time. Returns false if one with this id and path may have run.
    pub fn admit(&mut self, now: Micros, id: &[u8], path: &str) -> bool {
        self.expire(now);
        let fingerprint = self.fingerprint(id, path);
        if self.admitted.contains_key(&fingerprint) {
            return false;
        }
        self.admitted.insert(fingerprint, now);
        self.by_age.push_back((now, fingerprint));
        true
    }

    /// Whether a request with this id and path was admitted, and may have run.
    pub fn has_admitted(&self, id: &[u8], path: &str) -> bool {
        self.admitted.contains_key(&self.fingerprint(id, path))
    }

    /// Forgets the oldest, as far as they are too old or too many for one more.
    fn expire(&mut self, now: Micros) {
        while let Some((at, fingerprint)) = self.by_age.front().copied() {
            if self.by_age.len() < CAPACITY && now <= at.saturating_add(RETENTION) {
                return;
            }
            self.by_age.pop_front();
            if self.admitted.get(&fingerprint) == Some(&at) {
                self.admitted.remove(&fingerprint);
            }
        }
    }

    /// Forgets a request that provably never ran and never will: it may be repeated.
    pub fn forget(&mut self, id: &[u8], path: &str) {
        let fingerprint = self.fingerprint(id, path);
        self.admitted.remove(&fingerprint);
    }
}
