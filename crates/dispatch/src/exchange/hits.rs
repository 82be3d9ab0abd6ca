//! What becomes of a hit: taken, forwarded, answered, settled.

use super::{fewer, time, Answer, Exchange, Held, Load, Place, Ticket, Waiting};
use crate::end::End;
use crate::guard::guarded;
use magpieline::interface::*;
use magpieline::Balancer;
use magpieline_degradation::{Door as LevelDoor, Ended, Fate, Levels};
use std::cell::Cell;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

impl Exchange {
    /// Takes a hit, unless one in hand bears the same id.
    pub fn take(self: &Rc<Self>, arrival: Arrival, load: Load) -> Option<Ticket> {
        let now = self.clock.now();
        let door = {
            let state = &mut *self.state.borrow_mut();
            if !state.ids.insert(load.id) {
                return None;
            }
            let Arrival {
                group,
                account,
                remaining,
                ..
            } = arrival;
            state
                .levels
                .as_mut()
                .map_or(LevelDoor::Go, |l| l.take(now, group, account, remaining))
        };
        let (sender, answer) = oneshot::channel();
        let place = match door {
            LevelDoor::Go => Place::Held(self.hand_on(arrival, now, now, load, sender)),
            LevelDoor::Wait { number, at_most } => {
                let place = Rc::new(Cell::new(None));
                let waiting = Waiting {
                    arrival,
                    taken: now,
                    load,
                    answer: sender,
                    place: place.clone(),
                };
                self.state.borrow_mut().waiting.insert(number, waiting);
                let own = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time(at_most)).await;
                    own.waits_no_more(number);
                });
                Place::Waits(number, place)
            }
            LevelDoor::Turned { again_after } => {
                self.state.borrow_mut().ids.remove(&load.id);
                let _ = sender.send(Answer::Bounced { again_after }); // it is held just below
                Place::Over
            }
        };
        Some(Ticket {
            exchange: self.clone(),
            place,
            answer,
            answered: false,
        })
    }

    /// Hands a hit that came at `taken` to the decisions, and carries out what they say.
    pub(super) fn hand_on(
        self: &Rc<Self>,
        arrival: Arrival,
        taken: f64,
        now: f64,
        load: Load,
        answer: oneshot::Sender<Answer>,
    ) -> HitHandle {
        let (handle, next) = {
            let state = &mut *self.state.borrow_mut();
            let (mut arrival, mut pinned, group) = (arrival, None, arrival.group);
            arrival.remaining -= now - taken;
            if let Some(changes) = &mut state.changes {
                let (pin, bounds) = changes.take(now, group);
                arrival.most = fewer(arrival.most, bounds.most);
                arrival.longest = bounds.longest;
                pinned = Some(pin);
            }
            if let Some(levels) = &state.levels {
                arrival.most = fewer(arrival.most, levels.forwards(now, group));
                if levels.holds_trial() {
                    arrival.spares = state.balancer.can_be_spared();
                }
            }
            let (handle, next) = state.balancer.take(now, arrival);
            let place = handle.place as usize;
            if place >= state.held.len() {
                state.held.resize_with(place + 1, || None);
            }
            let (load, answer) = (Rc::new(load), Some(answer));
            state.held[place] = Some(Held {
                handle,
                load,
                answer,
                group,
                taken,
                forwarded: None,
                pinned,
            });
            (handle, next)
        };
        self.carry_out(handle, next);
        handle
    }

    /// Hands on hits that wait, while there is room.
    pub(super) fn let_in(self: &Rc<Self>) {
        loop {
            let waiting = {
                let state = &mut *self.state.borrow_mut();
                let number = state.levels.as_mut().and_then(Levels::released);
                let Some(number) = number else { return };
                state.waiting.remove(&number)
            };
            let Some(Waiting {
                arrival,
                taken,
                load,
                answer,
                place,
            }) = waiting
            else {
                continue;
            };
            place.set(Some(self.hand_on(
                arrival,
                taken,
                self.clock.now(),
                load,
                answer,
            )));
        }
    }

    /// A hit that still waits has waited long enough, or its client has left: it is answered at once, it never ran.
    pub(super) fn waits_no_more(&self, number: u64) {
        let state = &mut *self.state.borrow_mut();
        let Some(waiting) = state.waiting.remove(&number) else {
            return;
        };
        state.levels.iter_mut().for_each(|l| l.gone(number));
        state.ids.remove(&waiting.load.id);
        let again_after = state.levels.as_mut().map_or(0.0, Levels::again_after);
        let _ = waiting.answer.send(Answer::Bounced { again_after }); // the client may have left
    }

    /// The client has ended its sending or is gone: no further forward, but an answer under way is passed on.
    pub(super) fn left(&self, handle: HitHandle) {
        handle.left(&mut self.state.borrow_mut().balancer, self.clock.now());
        self.settle(handle);
    }

    /// Asks the decisions what to do with a hit. Should they panic, which they must not, it is given up.
    pub(super) fn ask(&self, call: impl FnOnce(&mut Balancer, f64) -> Next) -> Next {
        let (state, now) = (&mut *self.state.borrow_mut(), self.clock.now());
        catch_unwind(AssertUnwindSafe(|| call(&mut state.balancer, now))).unwrap_or_else(|_| {
            log::error!("decisions: a panic, shown above; the hit in hand is given up");
            Next::GiveUp
        })
    }

    /// Carries out what the decisions said of a hit.
    pub(super) fn carry_out(self: &Rc<Self>, handle: HitHandle, next: Next) {
        match next {
            Next::Forward { node, limit } => self.forward(handle, node, limit),
            Next::Wait { pause } => {
                let own = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time(pause)).await;
                    let next = own.ask(|b, now| handle.resume(b, now));
                    own.carry_out(handle, next);
                });
            }
            Next::Bounce { again_after } => self.answer(handle, Answer::Bounced { again_after }),
            Next::GiveUp => self.answer(handle, Answer::Failed),
            Next::Nothing => {}
        }
        self.settle(handle);
    }

    /// Gives the final answer; a second one finds nobody.
    pub(super) fn answer(&self, handle: HitHandle, answer: Answer) {
        let state = &mut *self.state.borrow_mut();
        let held = state
            .held
            .get_mut(handle.place as usize)
            .and_then(Option::as_mut);
        let Some(held) = held.filter(|h| h.handle == handle) else {
            return;
        };
        let Some(sender) = held.answer.take() else {
            return;
        };
        let (pinned, now, group) = (held.pinned, self.clock.now(), held.group);
        let target = self
            .targets
            .borrow()
            .get(group)
            .copied()
            .unwrap_or(f64::INFINITY);
        let spent = now - held.taken;
        // One whose client has left says nothing of service.
        let fate = match answer {
            _ if sender.is_closed() => None,
            Answer::Delivered { .. } if spent <= target => Some(Fate::InTime),
            Answer::Delivered { .. } => Some(Fate::Late),
            Answer::Bounced { .. } => Some(Fate::Bounced),
            Answer::Failed => Some(Fate::Failed),
        };
        if let (Some(pin), Some(changes), Some(fate)) = (pinned, &mut state.changes, fate) {
            changes.outcome(now, pin, group, fate != Fate::InTime);
        }
        if let Some(levels) = &mut state.levels {
            let waited = held.forwarded.map(|at| at - held.taken);
            levels.ended(
                now,
                Ended {
                    group,
                    fate,
                    spent,
                    part: spent / target,
                    waited,
                },
            );
        }
        let _ = sender.send(answer); // the client may have left
    }

    /// Forgets a hit that is over; one that is still owed an answer then has failed.
    pub(super) fn settle(&self, handle: HitHandle) {
        if handle.pending(&self.state.borrow().balancer) {
            return;
        }
        self.answer(handle, Answer::Failed);
        let state = &mut *self.state.borrow_mut();
        let place = state.held.get_mut(handle.place as usize);
        if let Some(held) = place.and_then(|p| p.take_if(|h| h.handle == handle)) {
            state.ids.remove(&held.load.id);
            if let (Some(pin), Some(changes)) = (held.pinned, &mut state.changes) {
                changes.ended(pin);
            }
        }
    }

    pub(super) fn forward(self: &Rc<Self>, handle: HitHandle, node: usize, limit: f64) {
        let (way, load) = {
            let state = &mut *self.state.borrow_mut();
            let held = state
                .held
                .get_mut(handle.place as usize)
                .and_then(Option::as_mut);
            let load = held.map(|h| {
                // Only levels ask for it.
                if state.levels.is_some() && h.forwarded.is_none() {
                    h.forwarded = Some(self.clock.now());
                }
                h.load.clone()
            });
            (state.nodes.reach(node).cloned(), load)
        };
        let own = self.clone();
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let limit = time(limit);
            let end = match (way, load) {
                (Some(way), Some(load)) => guarded("forward", way.forward(load, limit))
                    .await
                    .unwrap_or(End::Fault),
                _ => End::Nowhere,
            };
            own.returned(handle, end, begun.elapsed());
        });
    }

    pub(super) fn returned(self: &Rc<Self>, handle: HitHandle, end: End, spent: Duration) {
        log::trace!("{handle:?}: {end:?} after {spent:?}");
        let ending = end.ending();
        if matches!(end, End::NoRoom) {
            self.complain("forward", "no descriptor left");
            self.drop_idle();
        }
        if let End::Answered { kind, body } = end {
            self.answer(handle, Answer::Delivered { kind, body });
        }
        let over = ending == Ending::Delivered;
        let end = Return {
            ending,
            spent: spent.as_secs_f64(),
            over,
        };
        let next = self.ask(|b, now| handle.returned(b, now, end));
        self.carry_out(handle, next);
        self.let_in();
    }
}
