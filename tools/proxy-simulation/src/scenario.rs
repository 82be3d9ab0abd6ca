//! What a run is made of.

use crate::endpoint::EndpointBehaviour;
use crate::recorder::Micros;
use crate::SeededRng;
use rand::Rng;

/// What a run is made of. Rates are 1 in so many; 0: never.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) endpoints: EndpointBehaviour,
    /// Nothing fails: every request must be served.
    pub(crate) is_calm: bool,
    /// Readings and writings that come a turn later.
    pub(crate) delay_rate: u32,
    /// Connections that do not come up, or slowly.
    pub(crate) no_connection_rate: u32,
    /// Connections that are reset after some bytes.
    pub(crate) reset_rate: u32,
    pub(crate) changes_config: bool,
    pub(crate) changes_endpoints: bool,
    /// When SIGTERM comes, in milliseconds.
    pub(crate) shutdown_at: Option<u64>,
    pub(crate) clients: usize,
}

impl Scenario {
    /// Draws a scenario. On calm ones of even seeds configurations change while connections come up slowly: nobody may notice.
    pub(crate) fn draw(rng: &mut SeededRng, is_even: bool) -> Scenario {
        let is_calm = rng.gen_ratio(1, 10);
        let rate = |rng: &mut SeededRng, rates: [u32; 4]| match is_calm {
            true => 0,
            false => rates[rng.gen_range(0..4)],
        };
        Scenario {
            is_calm,
            endpoints: EndpointBehaviour {
                misbehaviour_rate: rate(rng, [0, 2, 4, 10]),
                forget_rate: rate(rng, [0, 0, 2, 6]),
                max_work_ms: match is_calm {
                    true => 100,
                    false => [30, 200, 600, 2_500][rng.gen_range(0..4)],
                },
            },
            delay_rate: [0, 3, 10, 40][rng.gen_range(0..4)],
            no_connection_rate: rate(rng, [0, 0, 3, 8]),
            reset_rate: rate(rng, [0, 0, 3, 8]),
            changes_config: if is_calm { is_even } else { rng.gen() },
            changes_endpoints: !is_calm && rng.gen(),
            shutdown_at: (!is_calm && rng.gen_ratio(1, 3)).then(|| rng.gen_range(100..3_000)),
            clients: rng.gen_range(1..7),
        }
    }

    /// Draws the timeout of the routes, in milliseconds.
    pub(crate) fn draw_timeout_ms(&self, rng: &mut SeededRng) -> u64 {
        match self.is_calm {
            true => 9_000,
            false => [300, 1_500, 4_000][rng.gen_range(0..3)],
        }
    }
}

/// Draws true for 1 in `rate`; 0: never.
pub(crate) fn draw(rng: &mut SeededRng, rate: u32) -> bool {
    rate > 0 && rng.gen_ratio(1, rate)
}

/// Milliseconds in microseconds.
pub(crate) const MILLI: Micros = 1_000;
