//! Three machines on a perfect network whose disks sync at once. Faults are played in the nursery.

use magpieline_rootstock::{Action, Core, Event, Micros, Outcome, Role, Start, Stored};
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
            let start = Start { me: address(machine), seeds, first_run: true, seed: machine as u64 };
            let (core, actions) = Core::start(0, start, Stored::default());
            three.cores.push(core);
            three.due.extend(actions.into_iter().map(|action| (machine, action)));
        }
        three.run_for(1_000_000);
        three
    }

    fn give(&mut self, machine: usize, event: Event) {
        let actions = self.cores[machine].step(self.now, event);
        self.due.extend(actions.into_iter().map(|action| (machine, action)));
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
                let to = (0..3).find(|to| address(*to) == envelope.to.address).unwrap();
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
        (0..3).find(|machine| self.cores[*machine].role() == Role::Leader).expect("a leader")
    }
}

/// Guards the plain path: one leader within a second, commands in order on all, long ones whole.
#[test]
fn three_founders_agree() {
    let mut three = Three::founded();
    let leader = three.leader();
    let long: Vec<u8> = (0..200_000u32).map(|at| at as u8).collect();
    three.give(leader, Event::Propose { ticket: 1, command: b"first".to_vec() });
    three.give(leader, Event::Propose { ticket: 2, command: long.clone() });
    three.give(leader, Event::Read { ticket: 3 });
    three.give((leader + 1) % 3, Event::Propose { ticket: 4, command: b"elsewhere".to_vec() });
    three.run_for(300_000);
    for applied in &three.applied {
        assert_eq!(*applied, [b"first".to_vec(), long.clone()]);
    }
    let hint = Some(address(leader));
    assert!(three.done.contains(&(4, Outcome::NotLeader { hint })));
    for ticket in 1..=3 {
        assert!(three
            .done
            .iter()
            .any(|(done, outcome)| *done == ticket && matches!(outcome, Outcome::Committed { .. })));
    }
    assert!(three.cores[leader].leads(three.now));
}

/// Guards what is given back at a restart: the store as it was written, state first, then what followed it.
#[test]
fn a_restart_restores_the_snapshot_and_applies_the_rest() {
    let mut three = Three::founded();
    let leader = three.leader();
    for ticket in 0..5 {
        three.give(leader, Event::Propose { ticket, command: vec![ticket as u8] });
        three.run_for(200_000);
    }
    let index = three.cores[leader].applied() - 2;
    three.give(leader, Event::Compact { index, state: b"0 to 2".to_vec() });
    // A change of term has the commit written, too.
    three.run_for(200_000);
    three.give(leader, Event::GiveWay);
    three.run_for(1_000_000);
    let start = Start { me: address(leader), seeds: Vec::new(), first_run: false, seed: 9 };
    let (core, actions) = Core::start(three.now, start, three.stored[leader].clone());
    assert!(
        matches!(&actions[0], Action::Restore { index: at, state } if *at == index && state == b"0 to 2")
    );
    assert!(matches!(&actions[1], Action::Apply { command, .. } if command == &[3]));
    assert_eq!(core.voters().len(), 3);
    assert_ne!(three.leader(), leader);
}
