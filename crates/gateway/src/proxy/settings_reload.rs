//! Goes along with the settings file: what it changes of the budget for further forwards.

use super::Counter;
use std::sync::Arc;

pub async fn run(counter: Arc<Counter>) {
    let mut settings = counter.settings.clone();
    while settings.changed().await.is_ok() {
        let terms = settings.borrow_and_update().terms.clone();
        let mut state = counter.state();
        let counters = state.counters;
        state
            .budget
            .retune(terms.retry_ratio, terms.retry_slack, counters);
    }
}
