//! Made-up configurations and lists.

use magpieline_control_plane::messages::{Endpoint, EndpointState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// An endpoint with its id, as in an update.
pub type ListedEndpoint = (Arc<str>, Option<Endpoint>);

/// Routes in one host's list.
const ROUTES_OF_HOST: usize = 40;

/// Made-up configurations and endpoints of these services.
pub struct Texts {
    services: Vec<String>,
}

fn word(rng: &mut ChaCha8Rng, letters: usize) -> String {
    (0..letters)
        .map(|_| char::from(b"abcdefghijklmnopqrstuvwxyz234567"[rng.gen_range(0..32)]))
        .collect()
}

impl Texts {
    /// Draws the names of so many services.
    pub fn new(services: usize) -> Texts {
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        Texts {
            services: (0..services)
                .map(|i| format!("{}{i}", word(&mut rng, 5)))
                .collect(),
        }
    }

    /// Draws routes, each as the text of one regulation.
    pub fn routes(&self, seed: u64, count: usize) -> Vec<String> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let route = |_| {
            let (name, prefix) = (word(&mut rng, 7), word(&mut rng, 9));
            let sort = if rng.gen_bool(0.6) { "safe" } else { "unsafe" };
            let service = &self.services[rng.gen_range(0..self.services.len())];
            let (target, give_up) = (rng.gen_range(4..12) * 100, rng.gen_range(3..8) * 500);
            let precedence = rng.gen_range(0..3);
            format!(
                "{{\"name\":\"r-{name}\",\"sort\":\"{sort}\",\"target\":\"{target}ms\",\"precedence\":{precedence},\
                 \"sorting\":{{\"lane_prefix\":\"/{prefix}/\"}},\"dispatch\":{{\"service\":\"{service}\",\
                 \"give_up\":\"{give_up}ms\",\"tries\":2}}}}"
            )
        };
        (0..count).map(route).collect()
    }

    /// Puts routes together to a configuration.
    pub fn configuration(&self, version: u64, routes: &[String]) -> String {
        let wickets: Vec<String> = routes
            .chunks(ROUTES_OF_HOST)
            .enumerate()
            .map(|(i, some)| {
                format!(
                    "{{\"depot\":\"h{i}.example\",\"regulations\":[{}]}}",
                    some.join(",")
                )
            })
            .collect();
        let fleet = |s: &String| {
            format!("{{\"name\":\"{s}\",\"health_path\":\"/health\",\"conn_cap\":130}}")
        };
        let fleets: Vec<String> = self.services.iter().map(fleet).collect();
        let (wickets, fleets) = (wickets.join(","), fleets.join(","));
        format!("{{\"edition\":{version},\"wickets\":[{wickets}],\"fleets\":[{fleets}]}}")
    }

    /// Endpoints with their ids.
    pub fn endpoints(&self, count: usize) -> Vec<ListedEndpoint> {
        let mut rng = ChaCha8Rng::seed_from_u64(9);
        let names: Vec<Arc<str>> = self.services.iter().map(|s| s.as_str().into()).collect();
        let (zones, version): (Vec<Arc<str>>, Arc<str>) = (
            (0..11).map(|z| format!("zone-{z}").into()).collect(),
            "v1".into(),
        );
        let endpoint = |i: usize| Endpoint {
            service: names[i % names.len()].clone(),
            address: SocketAddrV4::new([10, (i >> 16) as u8, (i >> 8) as u8, i as u8].into(), 8080),
            zone: zones[i % zones.len()].clone(),
            version: version.clone(),
            concurrency: 3,
            state: EndpointState::Ready,
            warmup_left: 0,
        };
        (0..count)
            .map(|i| {
                (
                    format!("i-{:08x}", rng.gen::<u32>()).into(),
                    Some(endpoint(i)),
                )
            })
            .collect()
    }
}
