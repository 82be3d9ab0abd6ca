//! Follows the settings file: takes over new limits of the retry budget and of the memory for bodies.

use super::Proxy;
use std::sync::Arc;

/// Takes over each change, for as long as the settings are watched.
pub(super) async fn run(proxy: Arc<Proxy>) {
    let mut settings = proxy.settings.clone();
    while settings.changed().await.is_ok() {
        let (guarantees, memory_mb) = {
            let settings = settings.borrow_and_update();
            (settings.guarantees.clone(), settings.memory_mb)
        };
        proxy.memory.set_memory(memory_mb);
        let mut state = proxy.state();
        let proxies = state.proxies;
        state
            .retry_budget
            .set_limits(guarantees.retry_ratio, guarantees.retry_slack, proxies);
    }
}
