//! Configurations that are parsed after another one.

use magpieline_config::gateway_config::GatewayConfig;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

fn route(rng: &mut ChaCha8Rng) -> String {
    let (name, service) = (rng.gen_range(0..60), ["a", "b"][rng.gen_range(0..2)]);
    format!(
        r#"{{"name":"r \"{name}\" [,","sort":"safe","sorting":{{"lane_prefix":"/{name}/"}},"dispatch":{{"apportion":
        [{{"service":"{service}","share":{}}}],"give_up":"{}ms"}}}}"#,
        rng.gen_range(0..200).min(2),
        rng.gen_range(0..200).min(3),
    )
}

fn text(rng: &mut ChaCha8Rng, hosts: &[Vec<String>]) -> Arc<str> {
    let wickets: Vec<String> = hosts
        .iter()
        .enumerate()
        .map(|(i, routes)| {
            format!(
                r#"{{"depot":"h{i}","regulations":[{}]}}"#,
                routes.join(",\n")
            )
        })
        .collect();
    let fleet = |name| format!(r#"{{"name":"{name}","regulations":[0]}}"#);
    let fleets = if rng.gen_bool(0.95) {
        fleet("a") + "," + &fleet("b")
    } else {
        fleet("a")
    };
    let body = format!(r#""wickets":[{}],"fleets":[{fleets}]"#, wickets.join(", "));
    format!(r#"{{"edition":{},{body}}}"#, rng.gen_range(1..9)).into()
}

/// Damages a text: a byte is lost, changed or doubled, or a part of it repeated.
fn damage(rng: &mut ChaCha8Rng, text: &str) -> Arc<str> {
    let (at, mut bytes) = (rng.gen_range(0..text.len()), text.as_bytes().to_vec());
    match rng.gen_range(0..4) {
        0 => _ = bytes.remove(at),
        1 => bytes[at] = b"0\"{}[],:\\ "[rng.gen_range(0..10)],
        2 => bytes.insert(at, bytes[at]),
        _ => {
            let end = rng.gen_range(at..bytes.len());
            let part = bytes[at..end].to_vec();
            bytes.splice(at..at, part);
        }
    }
    String::from_utf8(bytes).expect("bytes of ASCII").into()
}

/// A configuration means the same after another one as by itself, and an invalid one is refused although most of it was valid
/// before.
#[test]
fn a_config_parsed_after_another_equals_one_parsed_alone() {
    let (mut valid, mut invalid) = (0, 0);
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts: Vec<Vec<String>> = (0..3)
            .map(|_| (0..rng.gen_range(0..6)).map(|_| route(&mut rng)).collect())
            .collect();
        let mut before: Option<GatewayConfig> = None;
        for _ in 0..20 {
            let host = rng.gen_range(0..3);
            match (rng.gen_range(0..3), hosts[host].len()) {
                (0, 1..) => _ = hosts[host].remove(0),
                (1, n @ 1..) => hosts[host][rng.gen_range(0..n)] = route(&mut rng),
                _ => hosts[host].push(route(&mut rng)),
            }
            let whole = text(&mut rng, &hosts);
            let sent = if rng.gen_bool(0.3) {
                damage(&mut rng, &whole)
            } else {
                whole
            };
            let (after, alone) = (
                GatewayConfig::parse_after(&sent, before.as_ref()),
                GatewayConfig::parse(&sent),
            );
            assert_eq!(after, alone, "seed {seed}: {sent}");
            match after {
                Ok(config) => (valid, before) = (valid + 1, Some(config)),
                Err(_) => invalid += 1,
            }
        }
    }
    assert!(
        valid > 1000 && invalid > 500,
        "{valid} valid, {invalid} invalid"
    );
}

/// Routes are not taken for others' where a name stands twice, or is written with escapes, or where something only looks like
/// a list once the routes are out of it.
#[test]
fn unusual_texts_are_parsed_in_full() {
    let route = |service: &str| {
        format!(
            r#"{{"name":"{service}","sort":"safe","sorting":{{"lane_prefix":"/x/"}},"dispatch":{{"service":"{service}","give_up":"1s"}}}}"#
        )
    };
    let whole = |inner: &str| -> Arc<str> {
        format!(r#"{{"edition":1,{inner},"fleets":[{{"name":"a"}},{{"name":"b"}}]}}"#).into()
    };
    let (a, b) = (route("a"), route("b"));
    let wickets = |name: &str, routes: &str| {
        format!(r#""{name}":[{{"depot":"h","regulations":[{routes}]}}]"#)
    };
    let before = GatewayConfig::parse_after(&whole(&wickets("wickets", &format!("{a},{b}"))), None)
        .expect("valid");
    for inner in [
        format!("{},{}", wickets("wickets", &a), wickets("wickets", &b)),
        format!(
            "{},{}",
            wickets("wickets", &a),
            wickets("wi\\u0063kets", &b)
        ),
        format!(
            "{},{}",
            wickets("wi\\u0063kets", &b),
            wickets("wickets", &a)
        ),
        format!(r#""wickets":[{{"depot":"h","regulations":[{a}],"regulations":[{b}]}}]"#),
        format!(r#""wickets":[{{"depot":"h","regulations":[{a}],"regul\u0061tions":[{b}]}}]"#),
        wickets("wickets", &format!("{a}{b}")),
        wickets("wickets", &format!("{a}0")),
        wickets("wickets", &format!("0{a}")),
        wickets("wickets", &format!("{a}.5")),
        wickets("wickets", &format!("-{a}")),
    ] {
        let text = whole(&inner);
        for before in [None, Some(&before)] {
            assert_eq!(
                GatewayConfig::parse_after(&text, before),
                GatewayConfig::parse(&text),
                "{text}"
            );
        }
    }
}
