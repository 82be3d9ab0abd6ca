//! The platform's list read by the counter itself, while no leader tells it of changes.

use super::Counter;
use crate::clock::{now, span, Micros};
use crate::platform_client::Carrier;
use magpieline_control_plane::messages::Listing;
use rand::Rng;
use std::sync::Arc;

/// A list is read here when the leader has not been held for so long; spread over counters.
const ADRIFT: Micros = 1_000_000;
/// Between two readings, at least.
const EVERY: Micros = 1_000_000;
/// Of the calls that the platform takes from all together so much may go to counters that read it themselves.
const OF_CALLS: f64 = 0.5;

pub async fn run(counter: Arc<Counter>) {
    let Some(mut carrier) = Carrier::of(&counter.settings) else {
        return;
    };
    loop {
        // Counters that are cut off together must not ask in step.
        let all = f64::from(counter.state().counters.max(1));
        let shared = (2.0 * all / (OF_CALLS * counter.settings.borrow().carrier.per_s.max(1.0))
            * 1e6) as Micros;
        let pause = EVERY.max(shared);
        let pause = rand::thread_rng().gen_range(pause / 2..pause * 3 / 2);
        tokio::time::sleep(span(pause)).await;
        let adrift = {
            let state = counter.state();
            !state.held && state.listed_at.is_none_or(|at| now() > at + ADRIFT)
        };
        if !adrift || counter.leaving() {
            continue;
        }
        match carrier.list().await {
            Ok(list) if !counter.state().held => {
                let entries = list
                    .into_iter()
                    .map(|(id, entry)| (id, Some(entry)))
                    .collect();
                counter.take_listing(&Listing {
                    whole: true,
                    entries,
                });
            }
            Ok(_) => {}
            Err(failed) => {
                tracing::warn!(target: "list", "The list could not be read: {failed:?}.")
            }
        }
    }
}
