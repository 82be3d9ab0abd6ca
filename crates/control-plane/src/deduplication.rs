//! Whether what an operator sends is the same thing again: documents by their digest, orders by their content and
//! moment.
//!
//! A document is compared by its bytes, not by what they mean: what is read back is then just what was acknowledged,
//! fields that this release doesn't know count, and two releases never differ on whether two documents are the same.
//! Callers send an unclear one again unchanged.
//!
//! An order carries no name. Sent again within `receipt` it is the same one, whatever has become of it; after that it is
//! a new one. Machines have different clocks, so the replicated state never asks how late it is: the leader that gets an
//! order says in its proposal which earlier one of the same content it holds for over ([`Witness::look`]), and an order
//! that it has not seen, or not held for over, makes the proposal a copy of that one.

use crate::state_machine::{Command, Records, Taken};
use crate::Micros;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// SHA-256 of a document, as `sha256sum` shows it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    pub fn of(text: &str) -> Digest {
        Digest(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// The last copy of an order is sent when `receipt` is over, and may be so long on its way here: a connection, a
/// redirect or two.
pub const TRAVEL: Micros = 1_500_000;
/// Times of day on two machines differ by this at most. They stay close to the true time.
pub const CLOCKS: Micros = 1_000_000;

/// For how long orders have been taken, as one process saw it.
///
/// It counts by its steady clock from when it applied the order, which was after the order was sent: so a copy is never
/// held for a new order. Only of orders taken before this process started does it ask the time of day, and then counts
/// [`CLOCKS`] less.
#[derive(Clone, Debug)]
pub struct Witness {
    started: Micros,
    /// Time of day at the start, microseconds since 1970.
    began: Micros,
    /// By place in the log, when each was applied here.
    seen: BTreeMap<u64, Micros>,
}

impl Witness {
    /// At `now` on the steady clock it is `day`, microseconds since 1970.
    pub fn new(now: Micros, day: Micros) -> Witness {
        Witness {
            started: now,
            began: day,
            seen: BTreeMap::new(),
        }
    }

    /// The records have changed: orders that are new in them are taken now; what is no longer in them is forgotten.
    pub fn applied(&mut self, now: Micros, records: &Records) {
        let kept: BTreeMap<u64, Micros> = records
            .orders
            .values()
            .flatten()
            .map(|taken| {
                (
                    taken.order,
                    self.seen.get(&taken.order).copied().unwrap_or(now),
                )
            })
            .collect();
        self.seen = kept;
    }

    /// For how long it has been taken at least, in microseconds.
    pub fn age(&self, now: Micros, taken: &Taken) -> Micros {
        let seen = now.saturating_sub(self.seen.get(&taken.order).copied().unwrap_or(now));
        if taken.at == 0 {
            return seen;
        }
        // How long it was taken when this process began; nothing if that was later.
        let before = self.began.saturating_sub(taken.at.saturating_add(CLOCKS));
        match before {
            0 => seen,
            before => seen.max(now.saturating_sub(self.started) + before),
        }
    }

    /// The proposal for an order that came at `now`, `day` being the time of day; None where it is known as taken.
    /// `receipt` is for how long an order may be sent again.
    pub fn look(
        &self,
        records: &Records,
        (now, day): (Micros, Micros),
        (service, to, within): (&str, &str, u64),
        receipt: Micros,
    ) -> Option<Command> {
        let known = records.taken(service, to, within);
        let after = match known {
            Some(taken) if self.age(now, taken) <= receipt + TRAVEL => return None,
            Some(taken) => taken.order,
            None => 0,
        };
        Some(Command::Order {
            service: service.into(),
            to: to.into(),
            within,
            after,
            at: day,
        })
    }
}
