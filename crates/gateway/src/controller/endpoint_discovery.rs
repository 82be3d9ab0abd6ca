//! The leader reads the platform's list and tells the counters what has changed.

use super::Sorting;
use crate::clock::{now, span, Micros};
use crate::platform_client::{Carrier, Failed, List, Reading};
use magpieline_control_plane::messages::{Down, Entry, Listing};
use magpieline_control_plane::state_machine::Command;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Between two readings: an appliance that leaves must be known everywhere well within the time that it still
/// serves, and each call has a price.
const EVERY: Micros = 900_000;
/// After a reading that failed.
const AGAIN: Micros = 250_000;
/// Who does not lead looks this often whether it does.
const LOOK: Micros = 50_000;
/// A list whose reading began so long ago is not told any more: pages take a few milliseconds each.
const OLD: Micros = 2_000_000;

pub async fn run(sorting: Arc<Sorting>) {
    let Some(mut carrier) = Carrier::of(&sorting.settings) else {
        return;
    };
    let mut led = None;
    loop {
        let Some(term) = sorting.council.leads_in() else {
            sorting.council.changed(now() + LOOK).await;
            continue;
        };
        if led != Some(term) {
            // What another leader told since is not known here: all is told anew.
            (led, sorting.state().list) = (Some(term), None);
        }
        let asked = now();
        let pause = match carrier.list().await {
            Ok(list) => {
                // While it was read this machine may have stood still, and another one may lead.
                if now() < asked + OLD && sorting.council.leads_in() == Some(term) {
                    stand(&sorting, &list).await;
                    tell(&sorting, term, list);
                }
                EVERY
            }
            Err(failed) => {
                tracing::warn!(target: "list", "The list could not be read: {failed:?}.");
                if matches!(failed, Failed::Refused(429)) {
                    EVERY
                } else {
                    AGAIN
                }
            }
        };
        tokio::time::sleep(span(pause)).await;
    }
}

/// Tells all counters what has changed since the last reading, if this machine still leads in the term that it was read
/// in.
fn tell(sorting: &Sorting, term: u64, list: List) {
    if sorting.council.leads_in() != Some(term) {
        return;
    }
    let mut state = sorting.state();
    let mut entries = Vec::new();
    let known = state.list.take();
    match &known {
        None => entries.extend(
            list.iter()
                .map(|(id, entry)| (id.clone(), Some(entry.clone()))),
        ),
        Some(known) => {
            for (id, entry) in &list {
                if !known.list.get(id).is_some_and(|old| alike(old, entry)) {
                    entries.push((id.clone(), Some(entry.clone())));
                }
            }
            let gone = known.list.keys().filter(|id| !list.contains_key(*id));
            entries.extend(gone.map(|id| (id.clone(), None)));
        }
    }
    state.list = Some(Reading::new(list));
    if known.is_none() || !entries.is_empty() {
        state.tell_all(&Down::Listing(Listing {
            whole: known.is_none(),
            entries,
        }));
    }
}

/// Whether an entry says the same; the time that is left of its being cold goes on by itself.
fn alike(old: &Entry, new: &Entry) -> bool {
    *old == Entry {
        cold: old.cold,
        ..new.clone()
    }
}

/// A service that is seen with one version alone for the first time stands with that one.
async fn stand(sorting: &Sorting, list: &List) {
    let mut versions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for entry in list.values() {
        let seen = versions.entry(&entry.service).or_default();
        if !seen.contains(&&*entry.version) {
            seen.push(&entry.version);
        }
    }
    for (service, seen) in versions {
        let known = sorting
            .state()
            .records
            .services
            .get(service)
            .is_some_and(|s| s.version.is_some());
        if let ([version], false) = (&seen[..], known) {
            let command = Command::Stands {
                service: service.to_owned(),
                version: (*version).to_owned(),
            };
            let _ = sorting.council.propose(&command).await;
        }
    }
}
