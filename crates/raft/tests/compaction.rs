//! When the log is compacted, and what a member that is behind gets then.

use magpieline_raft::{Action, Core, Event, Start, Stored};

/// A core that votes alone, on a disk that takes every write at once, and its state: the commands' bytes.
struct Alone {
    now: u64,
    core: Core,
    state: Vec<u8>,
}

impl Alone {
    fn founded() -> Alone {
        let me = "10.0.0.1:7720".parse().expect("an address");
        let start = Start {
            me,
            seeds: vec![me],
            first_run: true,
            seed: 1,
            withstand: 0,
            catch_up: 4_000_000,
        };
        let (core, actions) = Core::start(0, start, Stored::default());
        let mut alone = Alone {
            now: 0,
            core,
            state: Vec::new(),
        };
        alone.carry_out(actions, true);
        while !alone.core.leads(alone.now) {
            alone.now = alone.core.next_wake().max(alone.now + 1);
            alone.step(Event::Tick, true);
        }
        alone
    }

    fn step(&mut self, event: Event, syncs: bool) {
        let actions = self.core.step(self.now, event);
        self.carry_out(actions, syncs);
    }

    fn carry_out(&mut self, actions: Vec<Action>, syncs: bool) {
        for action in actions {
            match action {
                Action::Write { serial, .. } if syncs => self.step(Event::Synced { serial }, true),
                Action::Apply { command, .. } => self.state = command,
                _ => {}
            }
        }
    }

    fn compact(&mut self) {
        let event = Event::Compact {
            index: self.core.applied(),
            state: self.state.clone(),
        };
        self.step(event, true);
    }
}

/// Guards against a machine that hangs on the first large command: a compaction was wanted again and again while the
/// command's entries, which are not in force yet, made the log long; the owner carries it out before anything else.
#[test]
fn a_compaction_is_never_wanted_again_at_once() {
    for bytes in [3 << 20, 5 << 20, 15 << 20] {
        let mut alone = Alone::founded();
        alone.step(
            Event::Propose {
                ticket: 1,
                command: b"small".to_vec(),
            },
            true,
        );
        alone.compact();
        // On its way to the disk.
        alone.step(
            Event::Propose {
                ticket: 2,
                command: vec![7; bytes],
            },
            false,
        );
        if alone.core.wants_compact() {
            alone.compact();
        }
        assert!(
            !alone.core.wants_compact(),
            "{bytes} bytes under way, and the log can't be shorter"
        );
    }
}

/// Guards the disk: the log never holds more than twice the state, or 4 MB, and the last command beside it.
#[test]
fn the_log_stays_short_however_large_the_commands() {
    for bytes in [100, 300_000, 4 << 20] {
        let mut alone = Alone::founded();
        let mut compactions = 0;
        for ticket in 0..2_000_000_000 / (bytes as u64 + 1_000_000) {
            alone.step(
                Event::Propose {
                    ticket,
                    command: vec![ticket as u8; bytes],
                },
                true,
            );
            assert!(alone.state.len() == bytes, "applied");
            if alone.core.wants_compact() {
                alone.compact();
                compactions += 1;
                assert!(!alone.core.wants_compact(), "again at once");
            }
        }
        let weighed = 2_000_000_000 / (bytes as u64 + 1_000_000) * bytes as u64;
        assert!(
            compactions <= weighed / (4 << 20) + 1,
            "{compactions} for {weighed} bytes"
        );
        assert!(
            bytes < 1000 || compactions > 100,
            "{compactions} for {weighed} bytes"
        );
    }
}
