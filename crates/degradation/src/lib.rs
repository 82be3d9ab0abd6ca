//! Levels of reduced service: named by operators, mildest first, each with conditions to enter and to leave and with what
//! it does to path groups meanwhile. [`ladder`] reads and checks them, [`signals`] are what an agent sees of itself,
//! [`keeper`] says which level holds, [`admission`] which hits are let in. [`Levels`] puts them together.
//!
//! No I/O and no clock: times come in as f64 seconds.

pub mod admission;
pub mod keeper;
pub mod ladder;
mod limit;
pub mod signals;
mod words;

pub use admission::Door;
pub use keeper::Change;
pub use ladder::Ladder;
pub use signals::{Fate, Reading};
pub use words::Signal;

use admission::Admission;
use keeper::Keeper;
use serde::Serialize;
use signals::Signals;

/// How often [`Levels::look`] wants to be called, in seconds.
pub const LOOK: f64 = 0.25;

/// What is known of the installation, by path group: names and what a hit brings.
#[derive(Clone, Debug, Default)]
pub struct Installation {
    pub groups: Vec<String>,
    pub benefits: Vec<f64>,
    /// Accounts that have a name.
    pub accounts: usize,
    /// The longest time to come back that clients may be told, in seconds; 0 where they are told none.
    pub longest_back: f64,
}

/// A hit that is over.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub group: usize,
    /// None if its client left before.
    pub fate: Option<Fate>,
    /// How long it took, in seconds and in parts of its target latency.
    pub spent: f64,
    pub part: f64,
    /// How long until it was first forwarded, in seconds, if it was.
    pub waited: Option<f64>,
}

/// How things stand, for people.
#[derive(Clone, Debug, Serialize)]
pub struct Stands {
    pub level: String,
    /// For how long, in seconds, and why.
    pub for_s: f64,
    pub because: String,
    /// Until when by hand, in seconds from now.
    pub held_s: Option<f64>,
    /// A start without memory is watching.
    pub starting: bool,
    /// The part of the offered work that finds no room, and the share let in by path group.
    pub shortage: f64,
    pub shares: Vec<(String, f64)>,
    /// Hits in flight, and the limit that adapts.
    pub in_flight: f64,
    pub limit: f64,
}

/// The levels of one agent.
pub struct Levels {
    here: Installation,
    keeper: Keeper,
    admission: Admission,
    signals: Signals,
}

impl Levels {
    /// `last`: the last change that a journal holds, and how many seconds ago its writer last stood by it.
    pub fn start(
        ladder: Ladder,
        here: Installation,
        now: f64,
        seed: u64,
        last: Option<(&Change, f64)>,
    ) -> Levels {
        Levels {
            keeper: Keeper::start(ladder, here.groups.clone(), now, seed, last),
            admission: Admission::new(&here.benefits, here.accounts + 1, now, seed ^ 0x5eed),
            signals: Signals::new(here.groups.len()),
            here,
        }
    }

    /// Takes other levels in place of these; what is known of service stays.
    pub fn settle(&mut self, now: f64, ladder: Ladder) -> Option<Change> {
        self.keeper.settle(now, ladder)
    }

    /// A hit is at the door. One that goes on is counted as in flight from here.
    pub fn take(&mut self, now: f64, group: usize, account: usize, remaining: f64) -> Door {
        let rule = self.keeper.rules(now).and_then(|l| l.rules.get(group));
        let stays = self.keeper.stays(now);
        match self
            .admission
            .arrive(group, account, remaining, rule, stays)
        {
            Door::Go => {
                self.signals.began();
                Door::Go
            }
            Door::Turned { again_after } => Door::Turned {
                again_after: again_after.min(self.here.longest_back),
            },
            waits => waits,
        }
    }

    /// A waiting hit that may go on now, if there is one; it counts as in flight from here.
    pub fn released(&mut self) -> Option<u64> {
        let number = self.admission.released(&self.signals)?;
        self.signals.began();
        Some(number)
    }

    /// A waiting hit does not wait any more: nothing of it goes on.
    pub fn gone(&mut self, number: u64) {
        self.admission.gone(number);
    }

    /// When a hit that has waited in vain may come back, in seconds; 0 where clients are told no time.
    pub fn again_after(&mut self) -> f64 {
        self.admission.again_after(0.0).min(self.here.longest_back)
    }

    /// A hit that went on is over.
    pub fn ended(&mut self, now: f64, ended: Ended) {
        match ended.fate {
            Some(fate) => {
                self.signals
                    .ended(now, ended.group, fate, ended.part, ended.waited);
                self.admission.ended(ended.group, fate, ended.spent);
            }
            None => self.signals.left(),
        }
    }

    /// A reading of the agent itself, a part of what it may use.
    pub fn read(&mut self, now: f64, what: Reading, value: f64) {
        self.signals.read(now, what, value);
    }

    /// Looks at all figures; to be called each [`LOOK`]. A change holds from then on.
    pub fn look(&mut self, now: f64) -> Option<Change> {
        let change = self.keeper.look(now, &mut self.signals);
        let (level, first) = (self.keeper.rules(now), self.keeper.is_first(now));
        self.admission.step(now, level, first, &mut self.signals);
        change
    }

    pub fn hold(
        &mut self,
        now: f64,
        name: &str,
        seconds: f64,
        who: &str,
    ) -> Result<Option<Change>, String> {
        self.keeper.hold(now, name, seconds, who)
    }

    pub fn release(&mut self, who: &str) -> bool {
        self.keeper.release(who)
    }

    /// How often a hit of this path group is forwarded at most; 0 states nothing.
    pub fn forwards(&self, now: f64, group: usize) -> u32 {
        self.keeper
            .rules(now)
            .and_then(|l| l.rules.get(group))
            .map_or(0, |r| r.forwards)
    }

    /// Whether the trial build gets nothing new meanwhile.
    pub fn holds_trial(&self) -> bool {
        self.keeper.level().is_some_and(|l| l.holds_trial)
    }

    /// The part of their connections that clients may hold.
    pub fn connections(&self) -> f64 {
        self.keeper.level().map_or(1.0, |l| l.connections)
    }

    pub fn name(&self) -> &str {
        self.keeper.name()
    }

    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.keeper.changes()
    }

    pub fn stands(&self, now: f64) -> Stands {
        let (for_s, because, held_s) = self.keeper.stands(now);
        let shares = self
            .here
            .groups
            .iter()
            .cloned()
            .zip(self.admission.shares())
            .collect();
        Stands {
            level: self.keeper.name().to_owned(),
            for_s,
            because: because.to_owned(),
            held_s,
            starting: self.keeper.is_first(now),
            shortage: 1.0 - self.admission.budget(),
            shares,
            in_flight: self.signals.in_flight(),
            limit: self.signals.limit.value(),
        }
    }
}
