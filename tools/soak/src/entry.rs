//! Where clients connect: the platform sends new connections to proxies that say they are ready, or to all where fewer than half
//! do.

use crate::agents::Network;
use crate::http_call::call;
use crate::SeededRng;
use rand::Rng;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A proxy that fails so many probes in a row gets no new connections.
const MAX_MISSES: u32 = 2;

/// The entry of a run.
pub(crate) struct Entry {
    network: Network,
    /// Failed probes in a row, by proxy.
    misses: Mutex<Vec<u32>>,
}

impl Entry {
    pub(crate) fn new(network: Network, proxies: usize) -> Entry {
        Entry {
            network,
            misses: Mutex::new(vec![0; proxies]),
        }
    }

    fn misses(&self) -> std::sync::MutexGuard<'_, Vec<u32>> {
        self.misses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Probes one proxy, for ever.
    pub(crate) async fn probe(&self, proxy: usize) {
        loop {
            let is_ready = self.is_ready(proxy).await;
            self.on_probe(proxy, is_ready);
            sleep(PROBE_INTERVAL).await;
        }
    }

    fn on_probe(&self, proxy: usize, is_ready: bool) {
        let misses = &mut self.misses()[proxy];
        *misses = if is_ready { 0 } else { *misses + 1 };
    }

    /// Asks a proxy whether it is ready.
    pub(crate) async fn is_ready(&self, proxy: usize) -> bool {
        let address = self.network.readiness(proxy);
        let answer = call(address, "GET", "/v1/ready", "", PROBE_INTERVAL).await;
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Chooses a proxy for a new connection.
    pub(crate) fn choose(&self, rng: &mut SeededRng) -> usize {
        let misses = self.misses();
        let is_in = |proxy: &usize| misses[*proxy] < MAX_MISSES;
        let ready: Vec<usize> = (0..misses.len()).filter(is_in).collect();
        match ready.len() * 2 < misses.len() {
            true => rng.gen_range(0..misses.len()),
            false => ready[rng.gen_range(0..ready.len())],
        }
    }
}
