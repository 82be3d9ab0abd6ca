//! Levels of reduced service: how they are set, kept, read and held.

use super::{time, Answer, Changed, Exchange, State};
use crate::crowd::Crowd;
use magpieline_degradation::{Change, Installation, Ladder, Levels, Reading, Stands};
use magpieline_operator_config::Values;
use std::convert::Infallible;
use std::rc::Rc;

impl Exchange {
    // Levels.

    /// The levels of these values; an error lists all that makes no sense here.
    pub(super) fn ladder(&self, values: &Values) -> Result<Option<Ladder>, String> {
        let one_way = self.state.borrow().balancer.one_way();
        Ladder::read(values, &self.group_names(), one_way).map_err(|all| {
            let lines: Vec<String> = all.into_iter().map(|e| format!("levels: {e}")).collect();
            lines.join("\n")
        })
    }

    /// Takes the levels of these values, all of them, and none where there are none; an error lists all that makes no
    /// sense here, and nothing has changed. `last`: the last change that a journal holds, and how long ago it held.
    pub fn set_levels(
        &self,
        values: &Values,
        seed: u64,
        last: Option<(&Change, f64)>,
    ) -> Result<(), String> {
        let (ladder, now) = (self.ladder(values)?, self.clock.now());
        let here = Installation {
            benefits: self.state.borrow().balancer.benefits(),
            groups: self.group_names(),
            accounts: self.accounts.len(),
            longest_back: self.state.borrow().balancer.longest_back(),
        };
        let state = &mut *self.state.borrow_mut();
        let change = match (ladder, &mut state.levels) {
            (None, levels) => {
                *levels = None;
                None
            }
            (Some(ladder), Some(levels)) => levels.settle(now, ladder),
            (Some(ladder), levels) => {
                *levels = Some(Levels::start(ladder, here, now, seed, last));
                None
            }
        };
        // Who waits by the word of levels that are no more is answered.
        if state.levels.is_none() {
            for (_, waiting) in std::mem::take(&mut state.waiting) {
                state.ids.remove(&waiting.load.id);
                let _ = waiting.answer.send(Answer::Bounced { again_after: 0.0 });
                // the client may have left
            }
        }
        self.level_changed(state, change);
        Ok(())
    }

    /// Told of each change of level from now on.
    pub fn keep_levels(&self, changed: Option<Changed>) {
        self.changed.replace(changed);
    }

    pub(super) fn level_changed(&self, state: &mut State, change: Option<Change>) {
        let Some(change) = change else { return };
        let Change {
            from, to, because, ..
        } = &change;
        log::warn!(level = to.as_str(), from = from.as_str(); "level: {from} -> {to}: {because}");
        state.balancer.other_hits(self.clock.now());
        if let Some(changed) = &*self.changed.borrow() {
            changed(&change);
        }
    }

    /// Looks at the levels, for as long as the program runs.
    pub async fn tend_levels(self: Rc<Self>) -> Infallible {
        loop {
            tokio::time::sleep(time(magpieline_degradation::LOOK)).await;
            {
                let state = &mut *self.state.borrow_mut();
                let change = state.levels.as_mut().and_then(|l| l.look(self.clock.now()));
                self.level_changed(state, change);
            }
            self.let_in();
        }
    }

    /// A reading of the program itself, as a part of what it may use.
    pub fn reading(&self, what: Reading, value: f64) {
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .levels
            .iter_mut()
            .for_each(|l| l.read(now, what, value));
    }

    /// How the levels stand, and the changes that are remembered; nothing where there are none.
    pub fn levels(&self) -> Option<(Stands, Vec<Change>)> {
        let state = self.state.borrow();
        let levels = state.levels.as_ref()?;
        Some((
            levels.stands(self.clock.now()),
            levels.changes().cloned().collect(),
        ))
    }

    /// The level that holds; nothing where there are none.
    pub fn level(&self) -> Option<String> {
        self.state
            .borrow()
            .levels
            .as_ref()
            .map(|l| l.name().to_owned())
    }

    /// Holds a level by hand for so many seconds.
    pub fn hold_level(&self, name: &str, seconds: f64, who: &str) -> Result<(), String> {
        let state = &mut *self.state.borrow_mut();
        let levels = state
            .levels
            .as_mut()
            .ok_or("levels: the operators' file names none")?;
        let change = levels.hold(self.clock.now(), name, seconds, who)?;
        self.level_changed(state, change);
        Ok(())
    }

    /// Conditions decide again from now on.
    pub fn release_level(&self, who: &str) -> Result<(), String> {
        let state = &mut *self.state.borrow_mut();
        let levels = state
            .levels
            .as_mut()
            .ok_or("levels: the operators' file names none")?;
        if levels.release(who) {
            Ok(())
        } else {
            Err("level: none is held".into())
        }
    }

    /// How many connections clients may hold now.
    pub fn clients_bound(&self, crowd: &Crowd) -> usize {
        let part = self
            .state
            .borrow()
            .levels
            .as_ref()
            .map_or(1.0, Levels::connections);
        let bound = self.clients_most.get().min(crowd.most());
        if part < 1.0 {
            (bound as f64 * part).ceil().max(1.0) as usize
        } else {
            bound
        }
    }
}
