//! Three machines on a perfect network whose disks sync at once. Faults are played in the raft-simulation.

use magpieline_raft::{
    Action, Core, Entry, Envelope, Event, Message, Micros, Outcome, Payload, Role, Seat, Start,
    Stored,
};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

const STEP: Micros = 1_000;

struct Three {
    now: Micros,
    cores: Vec<Core>,
    stored: Vec<Stored>,
    applied: Vec<Vec<Vec<u8>>>,
    done: Vec<(u64, Outcome)>,
    due: VecDeque<(usize, Action)>,
}

fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, machine as u8 + 1].into(), 7720)
}

impl Three {
    fn founded() -> Three {
        let mut three = Three {
            now: 0,
            cores: Vec::new(),
            stored: vec![Stored::default(); 3],
            applied: vec![Vec::new(); 3],
            done: Vec::new(),
            due: VecDeque::new(),
        };
        for machine in 0..3 {
            let seeds = (0..3).map(address).collect();
            let start = Start {
                me: address(machine),
                seeds,
                first_run: true,
                seed: machine as u64,
                withstand: 1,
                catch_up: 4_000_000,
            };
            let (core, actions) = Core::start(0, start, Stored::default());
            three.cores.push(core);
            three
                .due
                .extend(actions.into_iter().map(|action| (machine, action)));
        }
        three.run_for(1_000_000);
        three
    }

    fn give(&mut self, machine: usize, event: Event) {
        let actions = self.cores[machine].step(self.now, event);
        self.due
            .extend(actions.into_iter().map(|action| (machine, action)));
    }

    fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            while let Some((machine, action)) = self.due.pop_front() {
                self.carry_out(machine, action);
            }
            self.now += STEP;
            for machine in 0..3 {
                if self.cores[machine].next_wake() <= self.now {
                    self.give(machine, Event::Tick);
                }
            }
        }
    }

    fn carry_out(&mut self, machine: usize, action: Action) {
        match action {
            Action::Send(envelope) => {
                let to = (0..3)
                    .find(|to| address(*to) == envelope.to.address)
                    .unwrap();
                self.give(to, Event::Receive(envelope));
            }
            Action::Write { serial, batch } => {
                batch.apply(&mut self.stored[machine]);
                self.give(machine, Event::Synced { serial });
            }
            Action::Apply { command, .. } => self.applied[machine].push(command),
            Action::Restore { .. } => {}
            Action::Done { ticket, outcome } => self.done.push((ticket, outcome)),
        }
    }

    fn leader(&self) -> usize {
        (0..3)
            .find(|machine| self.cores[*machine].role() == Role::Leader)
            .expect("a leader")
    }
}

/// Guards the plain path: one leader within a second, commands in order on all, long ones whole.
#[test]
fn three_founders_agree() {
    let mut three = Three::founded();
    let leader = three.leader();
    let long: Vec<u8> = (0..200_000u32).map(|at| at as u8).collect();
    three.give(
        leader,
        Event::Propose {
            ticket: 1,
            command: b"first".to_vec(),
        },
    );
    three.give(
        leader,
        Event::Propose {
            ticket: 2,
            command: long.clone(),
        },
    );
    three.give(leader, Event::Read { ticket: 3 });
    three.give(
        (leader + 1) % 3,
        Event::Propose {
            ticket: 4,
            command: b"elsewhere".to_vec(),
        },
    );
    three.run_for(300_000);
    for applied in &three.applied {
        assert_eq!(*applied, [b"first".to_vec(), long.clone()]);
    }
    let hint = Some(address(leader));
    assert!(three.done.contains(&(4, Outcome::NotLeader { hint })));
    for ticket in 1..=3 {
        assert!(
            three
                .done
                .iter()
                .any(|(done, outcome)| *done == ticket
                    && matches!(outcome, Outcome::Committed { .. }))
        );
    }
    assert!(three.cores[leader].leads(three.now));
}

/// Guards what is given back at a restart: the store as it was written, state first, then what followed it.
#[test]
fn a_restart_restores_the_snapshot_and_applies_the_rest() {
    let mut three = Three::founded();
    let leader = three.leader();
    for ticket in 0..5 {
        three.give(
            leader,
            Event::Propose {
                ticket,
                command: vec![ticket as u8],
            },
        );
        three.run_for(200_000);
    }
    let index = three.cores[leader].applied() - 2;
    three.give(
        leader,
        Event::Compact {
            index,
            state: b"0 to 2".to_vec(),
        },
    );
    // A change of term has the commit written, too.
    three.run_for(200_000);
    three.give(leader, Event::GiveWay);
    three.run_for(1_000_000);
    let start = Start {
        me: address(leader),
        seeds: Vec::new(),
        first_run: false,
        seed: 9,
        withstand: 1,
        catch_up: 4_000_000,
    };
    let (core, actions) = Core::start(three.now, start, three.stored[leader].clone());
    assert!(
        matches!(&actions[0], Action::Restore { index: at, state } if *at == index && state == b"0 to 2")
    );
    assert!(matches!(&actions[1], Action::Apply { command, .. } if command == &[3]));
    assert_eq!(core.voters().len(), 3);
    assert_ne!(three.leader(), leader);
}

/// Guards a leader's lease over a restart of those who answered it: one that has just restarted stands early only if every
/// voter has, and one that has heard a leader since, or has restarted again, is not bound by what it said before.
#[test]
fn who_restarts_stands_early_only_where_all_have() {
    let founded = Three::founded();
    let start = |i: usize, seed| {
        let (me, seeds) = (address(i), Vec::new());
        let start = Start {
            me,
            seeds,
            first_run: false,
            seed,
            withstand: 1,
            catch_up: 4_000_000,
        };
        Core::start(0, start, founded.stored[i].clone()).0
    };
    let probed = |core: &mut Core| {
        let due = core.next_wake();
        assert!(due < 100_000);
        core.step(due, Event::Tick)
    };
    // What `to` answers to whatever `from` said to it.
    let carry = |actions: Vec<Action>, to: &mut Core| -> Vec<Action> {
        let mut answers = Vec::new();
        for action in actions {
            match action {
                Action::Send(e) if e.to == to.me() => answers.extend(to.step(0, Event::Receive(e))),
                _ => {}
            }
        }
        answers
    };
    let (mut one, mut two, mut three) = (start(0, 11), start(1, 12), start(2, 13));
    let asked = probed(&mut one);
    let said = carry(asked.clone(), &mut two);
    carry(said, &mut one);
    assert_eq!(
        one.role(),
        Role::PreCandidate,
        "two of three have restarted: the third may lead"
    );
    let said = carry(asked, &mut three);
    let asked = carry(said, &mut one);
    assert_eq!(one.role(), Role::Candidate);
    // Its requests wait for its disk.
    let write = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::Write { serial, .. } = a {
                Some(*serial)
            } else {
                None
            }
        })
    };
    let requests = one.step(
        0,
        Event::Synced {
            serial: write(&asked).expect("a write"),
        },
    );
    let voted = |core: &mut Core| write(&carry(requests.clone(), core)).is_some();
    assert!(voted(&mut two));
    assert!(
        !voted(&mut start(2, 14)),
        "another start of the third said nothing"
    );
    assert!(voted(&mut three));
}

/// The first of three founders, leading, with the others to be played by hand.
struct Led {
    core: Core,
    term: u64,
    serial: u64,
}

impl Led {
    /// After a start on a store whose last entry is in force nowhere yet.
    fn new() -> Led {
        let mut stored = Three::founded().stored.swap_remove(0);
        let term = stored.hard.unwrap().term;
        let index = stored.entries.last().unwrap().index + 1;
        let payload = Payload::Command {
            more: false,
            bytes: b"old".to_vec(),
        };
        stored.entries.push(Entry {
            index,
            term,
            payload,
        });
        let start = Start {
            me: address(0),
            seeds: Vec::new(),
            first_run: false,
            seed: 3,
            withstand: 1,
            catch_up: 4_000_000,
        };
        let (core, _) = Core::start(0, start, stored);
        let mut led = Led {
            core,
            term,
            serial: 0,
        };
        // By then it has kept to what it may have promised a leader before its restart.
        led.core.step(800_000, Event::Tick);
        led.hear(
            1,
            0,
            Message::PreVoteReply {
                next_term: term + 1,
                granted: true,
            },
        );
        led.sync();
        led.term += 1;
        led.hear(1, 0, Message::VoteReply { granted: true });
        assert_eq!(
            (led.core.role(), led.core.last()),
            (Role::Leader, index + 1)
        );
        led
    }

    fn hear(&mut self, machine: usize, life: u64, message: Message) {
        let from = Seat {
            address: address(machine),
            life,
        };
        let envelope = Envelope {
            from,
            to: self.core.me(),
            term: self.term,
            message,
        };
        self.core.step(0, Event::Receive(envelope));
    }

    fn hear_matched(&mut self, machine: usize, life: u64, matched: u64) {
        self.hear(
            machine,
            life,
            Message::AppendReply {
                round: 1,
                matched,
                missing: None,
            },
        );
    }

    fn sync(&mut self) {
        self.serial += 1;
        self.core.step(
            0,
            Event::Synced {
                serial: self.serial,
            },
        );
    }
}

/// Guards against Raft's figure 8, which chaos hardly ever meets: an entry of an earlier term on more than half is not in
/// force until one of the leader's own term is, too.
#[test]
fn entries_of_earlier_terms_wait_for_one_of_this() {
    let mut led = Led::new();
    let (before, last) = (led.core.commit(), led.core.last());
    led.hear_matched(1, 0, last - 1);
    assert_eq!(led.core.commit(), before);
    led.sync();
    led.hear_matched(1, 0, last);
    assert_eq!(led.core.commit(), last);
}

/// Guards against a list of voters that its own new seat helps into force: the old seat may have voted for another leader
/// before it was wiped, so that more than half of the old list have to take it, too.
#[test]
fn a_new_seat_needs_more_than_half_of_the_old_list() {
    let mut led = Led::new();
    led.sync();
    let last = led.core.last();
    led.hear(2, 9, Message::Ask { last: 0 });
    led.hear_matched(2, 9, last);
    assert_eq!(
        led.core.last(),
        last,
        "no change before an entry of this term is in force"
    );
    led.hear_matched(1, 0, last);
    assert_eq!((led.core.commit(), led.core.last()), (last, last + 1));
    assert!(led.core.voters().contains(&Seat {
        address: address(2),
        life: 9
    }));
    led.sync();
    led.hear_matched(2, 9, last + 1);
    assert_eq!(led.core.commit(), last);
    led.hear_matched(1, 0, last + 1);
    assert_eq!(led.core.commit(), last + 1);
    assert_eq!(led.core.voters_before(), None);
}

/// Guards a machine on its own, the smallest core: it agrees with itself, and answers reads without waiting for a beat.
#[test]
fn one_founder_agrees_with_itself() {
    let start = Start {
        me: address(0),
        seeds: vec![address(0)],
        first_run: true,
        seed: 1,
        withstand: 1,
        catch_up: 4_000_000,
    };
    let (mut core, _) = Core::start(0, start, Stored::default());
    core.step(0, Event::Synced { serial: 1 });
    let now = core.next_wake();
    core.step(now, Event::Tick);
    core.step(now, Event::Synced { serial: 2 });
    core.step(now, Event::Synced { serial: 3 });
    let done = |actions: Vec<Action>| {
        actions.iter().any(|action| {
            matches!(
                action,
                Action::Done {
                    outcome: Outcome::Committed { .. },
                    ..
                }
            )
        })
    };
    core.step(
        now,
        Event::Propose {
            ticket: 1,
            command: Vec::new(),
        },
    );
    assert!(done(core.step(now, Event::Synced { serial: 4 })));
    assert!(done(core.step(now, Event::Read { ticket: 2 })));
}
