//! Changes of the operators' configuration, as far as they concern the exchange.

use super::{Exchange, Looks};
use crate::changes;
use crate::changes::Changes;
use magpieline_operator_config::versions::{ChangeEvent, Versions};
use magpieline_operator_config::{watch, Values};
use magpieline_sequential_test::Terms;

impl Exchange {
    // Changes.

    /// From now on hits go by these versions; an error names what the running one can't be held to here.
    pub fn hold(&self, versions: Versions, seed: u64) -> Result<(), String> {
        let changes = Changes::new(versions, self.group_names(), seed);
        changes.fits(&changes.values())?;
        self.state.borrow_mut().changes = Some(changes);
        Ok(())
    }

    /// Whether values name only what there is here, and make sense here.
    pub fn fits_here(&self, values: &Values) -> Result<(), String> {
        changes::bounds(values, &self.group_names())?;
        self.ladder(values).map(drop)
    }

    pub(super) fn group_names(&self) -> Vec<String> {
        let name = |i: usize| {
            Some(self.groups.word(i))
                .filter(|w| !w.is_empty())
                .map(str::to_owned)
        };
        (0..).map_while(name).collect()
    }

    /// Looks at the changes; nothing where they are not enabled.
    pub fn changes<T>(&self, look: impl FnOnce(&Changes) -> T) -> Option<T> {
        self.state.borrow().changes.as_ref().map(look)
    }

    pub fn group_name(&self, group: usize) -> String {
        self.groups.word(group).to_owned()
    }

    /// A step has been written: it holds for hits taken from now on. Gives the values that run, if those are others
    /// than before.
    pub fn adopt(&self, step: &ChangeEvent) -> Result<Option<Values>, String> {
        let state = &mut *self.state.borrow_mut();
        let Some(changes) = &mut state.changes else {
            return Err("changes are not enabled".into());
        };
        let before = changes.versions.running();
        changes
            .adopt(self.clock.now(), step)
            .map_err(|refusal| refusal.to_string())?;
        Ok((changes.versions.running() != before).then(|| changes.values()))
    }

    /// What operators choose for all hits alike: rates of releases to come, where looks at them go.
    pub fn choose(&self, terms: Option<Terms>, looks: Option<Looks>, clients: Option<usize>) {
        self.clients_most.set(clients.unwrap_or(usize::MAX));
        self.state.borrow_mut().balancer.choose_terms(terms);
        *self.looks.borrow_mut() = looks;
    }

    /// What the watch of a change says now.
    pub fn look_at_change(&self) -> watch::Decision {
        let state = &mut *self.state.borrow_mut();
        state
            .changes
            .as_mut()
            .map_or(watch::Decision::Continue, |c| c.look(self.clock.now()))
    }
}
