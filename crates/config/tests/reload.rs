//! Configurations that are read after another one.

use magpieline_config::gateway_config::Edition;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

fn route(chance: &mut ChaCha8Rng) -> String {
    let (name, service) = (chance.gen_range(0..60), ["a", "b"][chance.gen_range(0..2)]);
    format!(
        r#"{{"name":"r \"{name}\" [,","sort":"safe","sorting":{{"lane_prefix":"/{name}/"}},"dispatch":{{"apportion":
        [{{"service":"{service}","share":{}}}],"give_up":"{}ms"}}}}"#,
        chance.gen_range(0..200).min(2),
        chance.gen_range(0..200).min(3),
    )
}

fn text(chance: &mut ChaCha8Rng, hosts: &[Vec<String>]) -> Arc<str> {
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
    let fleets = if chance.gen_bool(0.95) {
        fleet("a") + "," + &fleet("b")
    } else {
        fleet("a")
    };
    let body = format!(r#""wickets":[{}],"fleets":[{fleets}]"#, wickets.join(", "));
    format!(r#"{{"edition":{},{body}}}"#, chance.gen_range(1..9)).into()
}

/// Spoils a text: a byte is lost, changed or doubled, or a part of it repeated.
fn spoil(chance: &mut ChaCha8Rng, text: &str) -> Arc<str> {
    let (at, mut bytes) = (chance.gen_range(0..text.len()), text.as_bytes().to_vec());
    match chance.gen_range(0..4) {
        0 => _ = bytes.remove(at),
        1 => bytes[at] = b"0\"{}[],:\\ "[chance.gen_range(0..10)],
        2 => bytes.insert(at, bytes[at]),
        _ => {
            let end = chance.gen_range(at..bytes.len());
            let part = bytes[at..end].to_vec();
            bytes.splice(at..at, part);
        }
    }
    String::from_utf8(bytes).expect("bytes of ASCII").into()
}

/// Guards against a change that means something else after another configuration than by itself, and against a wrong one
/// that is taken because most of it was sound before.
#[test]
fn what_is_read_after_another_is_what_is_read_alone() {
    let (mut sound, mut wrong) = (0, 0);
    for seed in 0..150 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts: Vec<Vec<String>> = (0..3)
            .map(|_| {
                (0..chance.gen_range(0..6))
                    .map(|_| route(&mut chance))
                    .collect()
            })
            .collect();
        let mut before: Option<Edition> = None;
        for _ in 0..20 {
            let host = chance.gen_range(0..3);
            match (chance.gen_range(0..3), hosts[host].len()) {
                (0, 1..) => _ = hosts[host].remove(0),
                (1, n @ 1..) => hosts[host][chance.gen_range(0..n)] = route(&mut chance),
                _ => hosts[host].push(route(&mut chance)),
            }
            let whole = text(&mut chance, &hosts);
            let told = if chance.gen_bool(0.3) {
                spoil(&mut chance, &whole)
            } else {
                whole
            };
            let (after, alone) = (
                Edition::read_after(&told, before.as_ref()),
                Edition::read(&told),
            );
            assert_eq!(after, alone, "seed {seed}: {told}");
            match after {
                Ok(edition) => (sound, before) = (sound + 1, Some(edition)),
                Err(_) => wrong += 1,
            }
        }
    }
    assert!(sound > 1000 && wrong > 500, "{sound} sound, {wrong} wrong");
}

/// Guards against routes that are taken for others': a name that stands twice, or is written with escapes, and what only
/// looks like a list once the routes are out of it.
#[test]
fn odd_texts_are_read_as_a_whole() {
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
    let before =
        Edition::read_after(&whole(&wickets("wickets", &format!("{a},{b}"))), None).expect("sound");
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
                Edition::read_after(&text, before),
                Edition::read(&text),
                "{text}"
            );
        }
    }
}
