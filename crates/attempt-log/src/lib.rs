//! What callers have asked for, under which id, and where it may have run: so that what is asked twice (by a caller that
//! tries again, by two callers, before or after the first one's end) runs twice only where that does no harm.
//!
//! No I/O and no clock: times come in as f64 seconds. Bounded in count and age; what can't be known is refused, never
//! risked.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// A repeat needs so long on its way to a node that knows it, in seconds: half a second is a slow one, a tenth of that
/// is left before the window ends.
const WAY: f64 = 0.05;

/// How a hit may be repeated, by its path group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// As often as one likes.
    Repeatable,
    /// Nodes of one group know its repeats for this time from when it was first sent, in seconds.
    Tagged { window: f64 },
    /// Once: again only if every earlier one provably never ran.
    Mutating,
}

impl Kind {
    /// Whether nodes still know a repeat that is sent now.
    pub fn is_known(self, now: f64, risk: Risk) -> bool {
        matches!(self, Kind::Tagged { window } if now - risk.at < window - WAY)
    }
}

/// Where nodes know a tagged hit's repeats: when it was first sent, and that node's zone and cell.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Risk {
    pub at: f64,
    pub zone: usize,
    pub cell: i64,
}

/// One asking.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// A hash of the id and all that belongs to it.
    pub id: u64,
    pub kind: Kind,
    /// The caller says that it has asked before.
    pub again: bool,
    /// When the hit came to the caller, if it says so.
    pub began: Option<f64>,
}

/// Why it may not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another one under this id is in hand.
    InHand,
    /// An earlier one may have run.
    MayHaveRun,
    /// It has been asked before, by the caller's word or its age, and nothing is known of that.
    Unknown,
    /// No more can be remembered: nothing of it was passed on, it may be asked again later.
    Full,
}

/// What is known at the end of one asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ran {
    /// It provably never ran.
    Never,
    /// It may have run, or did.
    Maybe,
}

/// What is kept on disk, where there is one: enough to know after a crash what may have run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// It is about to be sent.
    Sent { id: u64, kind: Kind, risk: Risk },
    /// It ended, and never ran.
    Never { id: u64 },
}

/// How much is remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub most: usize,
    /// For how long after the last word on it, in seconds: longer than any caller goes on asking.
    pub remember: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    kind: Kind,
    /// Askings that are in hand.
    in_hand: u32,
    /// Those of them that were sent.
    sent: u32,
    /// When and where it was first sent, unless all that were sent provably never ran.
    risk: Option<Risk>,
    /// Whether one that is over may have run.
    ran: bool,
    touched: f64,
}

/// The ledger of one processor.
pub struct Ledger {
    bounds: Bounds,
    entries: HashMap<u64, Entry>,
    /// Ids by when they were last touched; an older word on an id is passed over.
    order: VecDeque<(f64, u64)>,
    /// From when on all is known: what came before is turned away.
    knows_from: f64,
    /// Ids that provably never ran, oldest first: they give way when room is short.
    never: VecDeque<u64>,
}

impl Ledger {
    pub fn start(now: f64, bounds: Bounds) -> Ledger {
        let (entries, order, never) = Default::default();
        Ledger {
            bounds,
            entries,
            order,
            never,
            knows_from: now,
        }
    }

    /// Goes on from the records of its predecessors, all of them since `knows_from`.
    pub fn recover(now: f64, bounds: Bounds, records: &[Record], knows_from: f64) -> Ledger {
        let mut ledger = Ledger::start(now, bounds);
        ledger.knows_from = knows_from;
        for record in records {
            match *record {
                Record::Sent { id, kind, risk } => {
                    let entry = ledger.entries.entry(id).or_insert(Entry {
                        kind,
                        in_hand: 0,
                        sent: 0,
                        risk: None,
                        ran: false,
                        touched: now,
                    });
                    // Counted until its end is read; what has none may have run.
                    entry.sent += 1;
                    entry.risk = entry.risk.or(Some(risk));
                }
                Record::Never { id } => {
                    if let Some(entry) = ledger.entries.get_mut(&id) {
                        entry.sent = entry.sent.saturating_sub(1);
                    }
                }
            }
        }
        for (id, entry) in &mut ledger.entries {
            entry.ran = entry.sent > 0;
            entry.sent = 0;
            if !entry.ran {
                entry.risk = None;
                ledger.never.push_back(*id);
            }
            ledger.order.push_back((now, *id));
        }
        ledger
    }

    /// Forgets what nobody asks for any more.
    fn forget(&mut self, now: f64) {
        while let Some((at, id)) = self.order.front().copied() {
            if now - at < self.bounds.remember {
                return;
            }
            self.order.pop_front();
            // Touched since: a later word stands further back.
            let over = self
                .entries
                .get(&id)
                .is_some_and(|e| e.touched <= at && e.in_hand == 0);
            if over {
                self.entries.remove(&id);
            } else if self.entries.get(&id).is_some_and(|e| e.touched <= at) {
                self.order.push_back((now, id)); // still in hand
                self.entries.entry(id).and_modify(|e| e.touched = now);
            }
        }
    }

    /// Forgets one that provably never ran; whether there was one. Asked for again and said so, it will be refused.
    fn make_room(&mut self) -> bool {
        while let Some(id) = self.never.pop_front() {
            if self
                .entries
                .get(&id)
                .is_some_and(|e| e.in_hand == 0 && !e.ran)
            {
                self.entries.remove(&id);
                return true;
            }
        }
        false
    }

    fn touch(&mut self, now: f64, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.touched = now;
            self.order.push_back((now, id));
        }
        // Each asking and each end leaves a word here: of one id only the last counts.
        if self.order.len() > 4 * self.entries.len() + 64 {
            let entries = &self.entries;
            self.order
                .retain(|(at, id)| entries.get(id).is_some_and(|e| e.touched == *at));
            self.never
                .retain(|id| entries.get(id).is_some_and(|e| e.in_hand == 0 && !e.ran));
            self.never.truncate(2 * self.entries.len());
        }
    }

    /// Whether it may go on, and where: a tagged one that may have run goes only where its repeats are known. One that
    /// goes on is in hand until [`Ledger::ended`].
    pub fn ask(&mut self, now: f64, ask: &Ask) -> Result<Option<Risk>, Refusal> {
        self.forget(now);
        if ask.kind == Kind::Repeatable {
            return Ok(None); // nothing of it has to be known
        }
        let Some(entry) = self.entries.get_mut(&ask.id) else {
            // Another ledger may know of it, or this one has forgotten.
            let known_from = self.knows_from.max(now - self.bounds.remember);
            if ask.again || ask.began.is_some_and(|began| began < known_from) {
                return Err(Refusal::Unknown);
            }
            if self.entries.len() >= self.bounds.most && !self.make_room() {
                return Err(Refusal::Full);
            }
            let entry = Entry {
                kind: ask.kind,
                in_hand: 1,
                sent: 0,
                risk: None,
                ran: false,
                touched: now,
            };
            self.entries.insert(ask.id, entry);
            self.touch(now, ask.id);
            return Ok(None);
        };
        let risk = match (entry.kind, entry.risk) {
            (kind, Some(risk)) if kind.is_known(now, risk) => Some(risk),
            (_, Some(_)) if entry.ran => return Err(Refusal::MayHaveRun),
            _ if entry.in_hand > 0 && entry.kind == Kind::Mutating => return Err(Refusal::InHand),
            (_, Some(_)) => return Err(Refusal::MayHaveRun),
            // A tagged one that is in hand and not yet sent: two could go different ways.
            _ if entry.in_hand > 0 => return Err(Refusal::InHand),
            (_, None) => None,
        };
        entry.in_hand += 1;
        self.touch(now, ask.id);
        Ok(risk)
    }

    /// One in hand is about to be sent to a node there. What has to be written first, where there is a disk.
    pub fn sent(&mut self, now: f64, id: u64, zone: usize, cell: i64) -> Option<Record> {
        let entry = self.entries.get_mut(&id)?;
        entry.sent += 1;
        let risk = Risk {
            at: now,
            zone,
            cell,
        };
        entry.risk = entry.risk.or(Some(risk));
        let kind = entry.kind;
        self.touch(now, id);
        Some(Record::Sent { id, kind, risk })
    }

    /// One in hand is over; `sent`: whether it had been sent. What may be written, so that a restart knows it too.
    pub fn ended(&mut self, now: f64, id: u64, sent: bool, ran: Ran) -> Option<Record> {
        let entry = self.entries.get_mut(&id)?;
        entry.in_hand = entry.in_hand.saturating_sub(1);
        let never = sent && ran == Ran::Never;
        if sent {
            entry.sent = entry.sent.saturating_sub(1);
            entry.ran |= ran == Ran::Maybe;
        }
        if entry.sent == 0 && !entry.ran {
            entry.risk = None;
        }
        // Remembered all the same: whoever asks again and says so is known to have done no harm.
        if entry.in_hand == 0 && !entry.ran {
            self.never.push_back(id);
        }
        self.touch(now, id);
        never.then_some(Record::Never { id })
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All that a new journal has to begin with.
    pub fn snapshot(&self) -> Vec<Record> {
        let known = self
            .entries
            .iter()
            .filter_map(|(id, e)| Some((*id, e.kind, e.risk?)));
        known
            .map(|(id, kind, risk)| Record::Sent { id, kind, risk })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const BOUNDS: Bounds = Bounds {
        most: 100,
        remember: 60.0,
    };
    const TAGGED: Kind = Kind::Tagged { window: 2.0 };

    fn ledger() -> Ledger {
        Ledger::start(1000.0, BOUNDS)
    }

    fn ask(id: u64, kind: Kind) -> Ask {
        Ask {
            id,
            kind,
            again: false,
            began: None,
        }
    }

    #[test]
    fn a_mutating_one_goes_once_unless_it_never_ran() {
        let (mut l, pay) = (ledger(), ask(1, Kind::Mutating));
        assert_eq!(l.ask(1001.0, &pay), Ok(None));
        assert_eq!(
            l.ask(1001.0, &pay),
            Err(Refusal::InHand),
            "two callers at once"
        );
        l.ended(1001.1, 1, false, Ran::Never);
        assert_eq!(
            l.ask(1001.2, &pay),
            Ok(None),
            "it was bounced, so it never ran"
        );
        assert!(l.sent(1001.2, 1, 0, 0).is_some());
        assert_eq!(l.ask(1001.3, &pay), Err(Refusal::InHand));
        assert_eq!(
            l.ended(1001.4, 1, true, Ran::Never),
            Some(Record::Never { id: 1 })
        );
        assert_eq!(l.ask(1001.5, &pay), Ok(None), "turned away unseen");
        l.sent(1001.5, 1, 0, 0);
        assert_eq!(l.ended(1001.6, 1, true, Ran::Maybe), None);
        assert_eq!(l.ask(1001.7, &pay), Err(Refusal::MayHaveRun));
        assert_eq!(l.ask(1050.0, &pay), Err(Refusal::MayHaveRun));
    }

    #[test]
    fn a_tagged_one_goes_again_within_its_window_and_only_where_it_is_known() {
        let (mut l, book) = (ledger(), ask(1, TAGGED));
        assert_eq!(l.ask(1001.0, &book), Ok(None));
        assert_eq!(
            l.ask(1001.0, &book),
            Err(Refusal::InHand),
            "not sent yet: where it goes is not known"
        );
        l.sent(1001.0, 1, 3, 7);
        let risk = Risk {
            at: 1001.0,
            zone: 3,
            cell: 7,
        };
        assert_eq!(
            l.ask(1001.5, &book),
            Ok(Some(risk)),
            "while the first is under way"
        );
        l.sent(1001.6, 1, 3, 7);
        l.ended(1002.0, 1, true, Ran::Maybe);
        l.ended(1002.1, 1, true, Ran::Maybe);
        assert_eq!(
            l.ask(1002.9, &book),
            Ok(Some(risk)),
            "the window counts from the first"
        );
        l.ended(1002.9, 1, false, Ran::Never);
        assert_eq!(l.ask(1003.1, &book), Err(Refusal::MayHaveRun));
    }

    #[test]
    fn what_is_older_than_the_ledger_is_not_risked() {
        let mut l = ledger();
        let again = Ask {
            again: true,
            ..ask(1, Kind::Mutating)
        };
        assert_eq!(l.ask(1001.0, &again), Err(Refusal::Unknown));
        assert_eq!(
            l.ask(1100.0, &again),
            Err(Refusal::Unknown),
            "forgotten, perhaps"
        );
        let older = Ask {
            began: Some(999.0),
            ..ask(2, TAGGED)
        };
        assert_eq!(l.ask(1001.0, &older), Err(Refusal::Unknown));
        let forgotten = Ask {
            began: Some(1001.0),
            ..ask(8, Kind::Mutating)
        };
        assert_eq!(
            l.ask(1062.0, &forgotten),
            Err(Refusal::Unknown),
            "forgotten, perhaps"
        );
        let newer = Ask {
            began: Some(1000.5),
            ..ask(2, Kind::Mutating)
        };
        assert_eq!(l.ask(1001.0, &newer), Ok(None));
        assert_eq!(l.ask(1001.0, &ask(3, Kind::Repeatable)), Ok(None));
        assert_eq!(l.len(), 1, "repeatable ones are not remembered");
    }

    /// One that was bounced and comes again with the word that it does is known; where room is short it gives way.
    #[test]
    fn what_never_ran_is_remembered_too() {
        let mut l = ledger();
        l.ask(1001.0, &ask(1, Kind::Mutating)).expect("new");
        l.ended(1001.0, 1, false, Ran::Never);
        let again = Ask {
            again: true,
            ..ask(1, Kind::Mutating)
        };
        assert_eq!(l.ask(1002.0, &again), Ok(None));
        l.ended(1002.0, 1, false, Ran::Never);
        for id in 100..200 {
            assert_eq!(l.ask(1003.0, &ask(id, Kind::Mutating)), Ok(None));
        }
        assert_eq!(l.ask(1003.0, &again), Err(Refusal::Unknown));
        assert_eq!(
            l.ask(1003.0, &ask(300, Kind::Mutating)),
            Err(Refusal::Full),
            "all in hand"
        );
    }

    #[test]
    fn it_is_bounded_in_count_and_age_and_refuses_rather_than_forgets() {
        let mut l = ledger();
        for id in 0..100 {
            assert_eq!(l.ask(1001.0, &ask(id, Kind::Mutating)), Ok(None));
            l.sent(1001.0, id, 0, 0);
            l.ended(1002.0, id, true, Ran::Maybe);
        }
        assert_eq!(l.ask(1030.0, &ask(200, Kind::Mutating)), Err(Refusal::Full));
        assert_eq!(
            l.ask(1061.0, &ask(5, Kind::Mutating)),
            Err(Refusal::MayHaveRun)
        );
        assert_eq!(
            l.ask(1063.0, &ask(200, Kind::Mutating)),
            Ok(None),
            "the old ones are forgotten"
        );
        assert_eq!(l.len(), 1);
        // One that is in hand is not forgotten, however old.
        l.sent(1063.0, 200, 0, 0);
        assert_eq!(
            l.ask(1300.0, &ask(200, Kind::Mutating)),
            Err(Refusal::InHand)
        );
        for i in 0..10_000 {
            let _ = l.ask(1300.0, &ask(200, Kind::Mutating)); // refused each time
            l.touch(1300.0 + f64::from(i) * 1e-3, 200);
        }
        assert!(l.order.len() < 200, "{}", l.order.len());
    }

    #[test]
    fn a_restart_knows_what_was_written() {
        let mut l = ledger();
        let mut records = Vec::new();
        for (id, ran) in [(1, None), (2, Some(Ran::Never)), (3, Some(Ran::Maybe))] {
            l.ask(1001.0, &ask(id, Kind::Mutating)).expect("new");
            records.extend(l.sent(1001.0, id, 0, 0));
            records.extend(ran.and_then(|ran| l.ended(1001.5, id, true, ran)));
        }
        let mut l = Ledger::recover(1002.0, BOUNDS, &records, 1000.0);
        assert_eq!(
            l.ask(1002.0, &ask(1, Kind::Mutating)),
            Err(Refusal::MayHaveRun)
        );
        let again = Ask {
            again: true,
            ..ask(2, Kind::Mutating)
        };
        assert_eq!(
            l.ask(1002.0, &again),
            Ok(None),
            "it never ran, and that is known"
        );
        assert_eq!(
            l.ask(1002.0, &ask(3, Kind::Mutating)),
            Err(Refusal::MayHaveRun)
        );
        let began = |began| Ask {
            began: Some(began),
            ..ask(9, Kind::Mutating)
        };
        assert_eq!(
            l.ask(1002.0, &began(999.0)),
            Err(Refusal::Unknown),
            "older than the journal"
        );
        assert_eq!(
            l.ask(1002.0, &began(1000.5)),
            Ok(None),
            "older than the restart only"
        );
        assert_eq!(l.snapshot().len(), 2);
    }

    #[derive(Clone, Debug)]
    enum Step {
        Ask(u64),
        /// The oldest in hand goes on: bounced, sent and turned away, sent and run, sent and nothing heard of.
        Next(u8),
        Pass(f64),
        /// With its records, or without.
        Crash(bool),
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            5 => (0u64..4).prop_map(Step::Ask),
            6 => (0u8..4).prop_map(Step::Next),
            2 => (0.0..20.0f64).prop_map(Step::Pass),
            1 => any::<bool>().prop_map(Step::Crash),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(20), ..ProptestConfig::default() })]

        /// Against a model that counts what really ran: whatever is asked, ended, forgotten or lost, a mutating one runs once
        /// at most. Callers say it when they ask again; they stop after less than is remembered.
        #[test]
        fn a_mutating_one_never_runs_twice(steps in proptest::collection::vec(step(), 1..80)) {
            let (mut now, mut l) = (1000.0, ledger());
            let (mut hand, mut records, mut from) = (Vec::<(u64, bool)>::new(), Vec::new(), now);
            let mut ran = HashMap::<u64, u32>::new();
            let mut asked = HashMap::<u64, f64>::new();
            for step in steps {
                match step {
                    Step::Ask(id) => {
                        // A caller goes on for 50 s; after that the id is another hit's.
                        let first = *asked.entry(id).or_insert(now);
                        let id = id + 10 * ((first * 100.0) as u64);
                        if now - first > 50.0 {
                            asked.remove(&(id % 10));
                            continue;
                        }
                        let again = now > first;
                        let a = Ask { id, kind: Kind::Mutating, again, began: Some(first) };
                        if l.ask(now, &a).is_ok() {
                            hand.push((id, false));
                        }
                    }
                    Step::Next(fate) => {
                        let Some((id, _)) = (!hand.is_empty()).then(|| hand.remove(0)) else { continue };
                        if fate == 0 {
                            records.extend(l.ended(now, id, false, Ran::Never));
                            continue;
                        }
                        records.extend(l.sent(now, id, 0, 0));
                        *ran.entry(id).or_default() += u32::from(fate >= 2);
                        let known = if fate == 1 { Ran::Never } else { Ran::Maybe };
                        records.extend(l.ended(now, id, true, known));
                    }
                    Step::Pass(seconds) => now += seconds,
                    Step::Crash(kept) => {
                        // What was in hand was sent, and nobody knows.
                        for (id, _) in hand.drain(..) {
                            records.extend(l.sent(now, id, 0, 0));
                            *ran.entry(id).or_default() += 1;
                        }
                        now += 0.01;
                        if !kept {
                            records.clear();
                            from = now;
                        }
                        l = Ledger::recover(now, BOUNDS, &records, from);
                    }
                }
                prop_assert!(ran.values().all(|n| *n <= 1), "{ran:?}");
                prop_assert!(l.len() <= BOUNDS.most);
            }
        }
    }
}
