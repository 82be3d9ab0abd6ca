//! Whether a document is valid, and what it means, depends on the document alone.

use magpieline_config::gateway_config::GatewayConfig;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::sync::Arc;

const CHAINS: u64 = 300;
const EDITS: usize = 12;
const SERVICE_NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// A document that operators may write, and edit step by step.
#[derive(Clone)]
struct Document {
    version: u64,
    idle_s: u32,
    hosts: Vec<Host>,
    services: Vec<&'static str>,
}

#[derive(Clone)]
struct Host {
    name: u32,
    routes: Vec<Route>,
}

#[derive(Clone)]
struct Route {
    name: u32,
    prefix: u32,
    give_up_ms: u32,
    has_target: bool,
    destinations: Vec<(&'static str, u32)>,
}

impl Route {
    fn draw(rng: &mut ChaCha8Rng, services: &[&'static str]) -> Route {
        let count = rng.gen_range(1..=3);
        let mut destination = || (services[rng.gen_range(0..services.len())], 100);
        Route {
            destinations: (0..count).map(|_| destination()).collect(),
            name: rng.gen_range(0..6),
            prefix: rng.gen_range(0..6),
            give_up_ms: 1500,
            has_target: rng.gen_bool(0.5),
        }
    }

    fn text(&self) -> String {
        let part = |(service, share): &(&str, u32)| {
            format!(r#"{{"service":"{service}","share":{share}}}"#)
        };
        let to = match &self.destinations[..] {
            [(service, 100)] => format!(r#""service":"{service}""#),
            parts => {
                let parts: Vec<String> = parts.iter().map(part).collect();
                format!(r#""apportion":[{}]"#, parts.join(","))
            }
        };
        let target = if self.has_target {
            r#""target":"600ms","#
        } else {
            ""
        };
        let Route {
            name,
            prefix,
            give_up_ms,
            ..
        } = self;
        format!(
            r#"{{"name":"r{name}","sort":"safe",{target}"sorting":{{"lane_prefix":"/{prefix}/"}},"dispatch":{{{to},"give_up":"{give_up_ms}ms"}}}}"#
        )
    }
}

impl Document {
    fn draw(rng: &mut ChaCha8Rng) -> Document {
        let services: Vec<_> = SERVICE_NAMES[..rng.gen_range(2..=5)].to_vec();
        let mut host = |name| Host {
            name,
            routes: (0..rng.gen_range(1..5))
                .map(|_| Route::draw(rng, &services))
                .collect(),
        };
        Document {
            version: 1,
            idle_s: 15,
            hosts: (0..3).map(&mut host).collect(),
            services,
        }
    }

    fn text(&self) -> Arc<str> {
        let host = |host: &Host| {
            let routes: Vec<String> = host.routes.iter().map(Route::text).collect();
            format!(
                r#"{{"depot":"h{}","regulations":[{}]}}"#,
                host.name,
                routes.join(",")
            )
        };
        let hosts: Vec<String> = self.hosts.iter().map(host).collect();
        let service = |name: &&str| format!(r#"{{"name":"{name}","conn_cap":110}}"#);
        let services: Vec<String> = self.services.iter().map(service).collect();
        let (hosts, services) = (hosts.join(","), services.join(","));
        let Document {
            version, idle_s, ..
        } = self;
        format!(
            r#"{{"edition":{version},"allowances":{{"idle":"{idle_s}s"}},"wickets":[{hosts}],"fleets":[{services}]}}"#
        )
        .into()
    }

    fn any_route(&mut self, rng: &mut ChaCha8Rng) -> Option<&mut Route> {
        let host = rng.gen_range(0..self.hosts.len());
        let routes = &mut self.hosts[host].routes;
        let count = routes.len();
        (count > 0).then(|| &mut routes[rng.gen_range(0..count)])
    }

    /// Makes one small change, as operators do.
    fn edit(&mut self, rng: &mut ChaCha8Rng) {
        self.version += 1;
        match rng.gen_range(0..12) {
            0 if self.services.len() > 1 => {
                _ = self.services.remove(rng.gen_range(0..self.services.len()));
            }
            1 | 2 => self
                .services
                .push(SERVICE_NAMES[rng.gen_range(0..SERVICE_NAMES.len())]),
            3..=5 => self.change_share(rng),
            6 => self.move_route(rng),
            7 => self.idle_s = rng.gen_range(1..30),
            8 => {
                let name = rng.gen_range(0..4);
                let host = rng.gen_range(0..self.hosts.len());
                self.hosts[host].name = name;
            }
            9 => self.drain_service(rng),
            10 => {
                let give_up_ms = [0, 1500, 2000, 600_001][rng.gen_range(0..4)];
                if let Some(route) = self.any_route(rng) {
                    route.give_up_ms = give_up_ms;
                }
            }
            _ => {
                let route = Route::draw(rng, &SERVICE_NAMES);
                let host = rng.gen_range(0..self.hosts.len());
                self.hosts[host].routes.push(route);
            }
        }
    }

    /// Sends all requests for a service elsewhere; routes that are split keep its name, with weight 0.
    fn drain_service(&mut self, rng: &mut ChaCha8Rng) {
        let drained = self.services[rng.gen_range(0..self.services.len())];
        let Some(other) = self.services.iter().find(|name| **name != drained) else {
            return;
        };
        let routes = self.hosts.iter_mut().flat_map(|host| &mut host.routes);
        for route in routes {
            if route.destinations.iter().all(|(name, _)| *name == drained) {
                route.destinations = vec![(other, 100), (drained, 100)];
            }
            let drained = route
                .destinations
                .iter_mut()
                .filter(|(name, _)| *name == drained);
            drained.for_each(|(_, share)| *share = 0);
        }
    }

    fn change_share(&mut self, rng: &mut ChaCha8Rng) {
        let share = [0, 0, 50, 100][rng.gen_range(0..4)];
        let choice: usize = rng.gen_range(0..3);
        if let Some(route) = self.any_route(rng) {
            let count = route.destinations.len();
            route.destinations[choice % count].1 = share;
        }
    }

    fn move_route(&mut self, rng: &mut ChaCha8Rng) {
        let (from, to) = (rng.gen_range(0..3), rng.gen_range(0..3));
        if !self.hosts[from].routes.is_empty() {
            let route = self.hosts[from].routes.remove(0);
            let at = rng.gen_range(0..=self.hosts[to].routes.len());
            self.hosts[to].routes.insert(at, route);
        }
    }
}

/// Guards against: a configuration was acknowledged because a route's text had been parsed before, and no process that started
/// later could read it (a service with weight 0 was gone).
#[test]
fn a_document_has_the_same_verdict_result_and_diagnostics_whatever_was_parsed_before() {
    let (mut valid, mut invalid) = (0, 0);
    for seed in 0..CHAINS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut document = Document::draw(&mut rng);
        let (mut before, mut last_valid): (Option<GatewayConfig>, _) = (None, document.clone());
        for _ in 0..EDITS {
            let text = document.text();
            let alone = GatewayConfig::parse(&text);
            for before in [None, before.as_ref()] {
                let after = GatewayConfig::parse_after(&text, before);
                assert_eq!(after, alone, "seed {seed}: {text}");
            }
            match alone {
                Ok(_) => {
                    valid += 1;
                    before = GatewayConfig::parse_after(&text, before.as_ref()).ok();
                    last_valid = document.clone();
                }
                Err(_) => {
                    invalid += 1;
                    document = last_valid.clone();
                }
            }
            document.edit(&mut rng);
        }
    }
    assert!(
        valid > 500 && invalid > 500,
        "{valid} valid, {invalid} invalid"
    );
}

/// A document with one route, split over two services, and the services that it lists.
fn split(shares: (u32, u32), services: &[&'static str]) -> Arc<str> {
    let route = Route {
        name: 1,
        prefix: 1,
        give_up_ms: 1500,
        has_target: true,
        destinations: vec![("a", shares.0), ("b", shares.1)],
    };
    let host = Host {
        name: 0,
        routes: vec![route],
    };
    let document = Document {
        version: 7,
        idle_s: 15,
        hosts: vec![host],
        services: services.to_vec(),
    };
    document.text()
}

/// Guards against: the name of a service that gets no requests was not checked where the route had been parsed before.
#[test]
fn a_service_with_weight_0_may_not_be_taken_out_while_a_route_names_it() {
    let before = GatewayConfig::parse_after(&split((100, 0), &["a", "b"]), None).expect("valid");
    let text = split((100, 0), &["a"]);
    let diagnostics = GatewayConfig::parse_after(&text, Some(&before)).expect_err("refused");
    assert_eq!(
        diagnostics[0].to_string(),
        "wickets.0.regulations.0.dispatch.apportion.1.service: found 'b', expected the name of a fleet"
    );
}

/// Guards against: documents nested deeper than the JSON parser allows were valid route by route, and invalid as a whole.
#[test]
fn a_route_is_nested_no_deeper_than_a_document_may_be() {
    for depth in [60, 300, 505, 507, 509, 511, 513] {
        let nested = "[".repeat(depth) + &"]".repeat(depth);
        let text = split((100, 0), &["a", "b"]);
        let text: Arc<str> = text
            .replacen(
                "\"name\":\"r1\"",
                &format!("\"x\":{nested},\"name\":\"r1\""),
                1,
            )
            .into();
        let alone = GatewayConfig::parse(&text);
        assert_eq!(GatewayConfig::parse_after(&text, None), alone, "{depth}");
    }
}

/// What was committed under an earlier release is served as far as it can be, whatever was in force before, and says so.
#[rstest]
#[case::weight_0(split((100, 0), &["a"]), 1)]
#[case::weight_above_0(split((60, 40), &["a"]), 1)]
#[case::valid(split((60, 40), &["a", "b"]), 0)]
fn a_committed_document_with_unknown_services_is_served(
    #[case] text: Arc<str>,
    #[case] unknown: usize,
) {
    let before = GatewayConfig::parse_after(&split((100, 0), &["a", "b"]), None).expect("valid");
    let alone = GatewayConfig::parse_committed(&text, None).expect("readable");
    assert_eq!(
        GatewayConfig::parse_committed(&text, Some(&before)).as_ref(),
        Ok(&alone)
    );
    assert_eq!(alone.unknown_services.len(), unknown);
    assert!(alone.routes().find("h0", "/1/x").is_some());
    assert_eq!(GatewayConfig::parse(&text).is_ok(), unknown == 0);
}

/// A committed document with any other fault is not served: nobody can say what it means.
#[test]
fn a_committed_document_that_is_otherwise_invalid_is_refused() {
    let text: Arc<str> = split((100, 0), &["a"]).replacen("1500ms", "0ms", 1).into();
    let diagnostics = GatewayConfig::parse_committed(&text, None).expect_err("refused");
    assert_eq!(
        diagnostics[0].path,
        "wickets.0.regulations.0.dispatch.give_up"
    );
}
