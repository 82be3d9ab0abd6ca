//! Editions as what has changed.

use magpieline_control_plane::delta::{apply, diff};
use magpieline_control_plane::messages::MAX_FRAME_BYTES;
use rand::{Rng, SeedableRng};

fn routes(chance: &mut rand_chacha::ChaCha8Rng, count: usize) -> Vec<String> {
    let route = |i| {
        format!(
            "{{\"name\":\"r-{i}\",\"sort\":\"safe\",\"target\":\"600ms\",\"prefix\":\"/é{i}/\"}}"
        )
    };
    (0..count)
        .map(|_| route(chance.gen_range(0..50_000)))
        .collect()
}

/// Guards against a configuration put together wrongly, and against changes that cost as much as a whole.
#[test]
fn what_is_put_together_is_the_new_text_and_small_changes_are_small() {
    let mut chance = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    for round in 0..60 {
        let mut list = routes(&mut chance, 200);
        let old = list.join(",");
        for _ in 0..round % 4 {
            let at = chance.gen_range(0..list.len());
            match chance.gen_range(0..3) {
                0 => _ = list.remove(at),
                1 => list.insert(at, routes(&mut chance, 1).remove(0)),
                _ => list[at] = list[at].replace("600ms", "1.5s"),
            }
        }
        let new = list.join(",");
        let told = diff(&old, &new);
        assert_eq!(
            apply(&old, &told, MAX_FRAME_BYTES).as_deref(),
            Some(&*new),
            "round {round}"
        );
        assert!(
            told.len() < 300,
            "round {round}: {} bytes of {}",
            told.len(),
            new.len()
        );
        assert_eq!(
            apply("", &diff("", &new), MAX_FRAME_BYTES).as_deref(),
            Some(&*new),
            "round {round}"
        );
    }
    assert_eq!(
        apply("", &diff("", "abc"), MAX_FRAME_BYTES).as_deref(),
        Some("abc")
    );
    assert_eq!(
        apply("abc", &diff("abc", ""), MAX_FRAME_BYTES).as_deref(),
        Some("")
    );
}

/// Guards against changes for another text that are taken for this one's, against what was cut short, and against a few
/// bytes that fill the memory.
#[test]
fn changes_that_do_not_fit_are_found_out() {
    let mut chance = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let old = routes(&mut chance, 60).join(",");
    let new = old.replace("600ms", "1.5s");
    let told = diff(&old, &new);
    for other in [
        "",
        "short",
        &routes(&mut chance, 60).join(","),
        &old[..old.len() - 1],
    ] {
        assert_eq!(apply(other, &told, MAX_FRAME_BYTES), None);
    }
    // As long as the right one, and other in what is taken from it.
    assert_eq!(
        apply(&old.replacen("safe", "sage", 30), &told, MAX_FRAME_BYTES),
        None
    );
    // What differs only where nothing is taken from makes the new text all the same, or nothing.
    assert!(apply(&old[1..], &told, MAX_FRAME_BYTES).is_none_or(|made| made == new));
    for cut in 0..told.len() {
        assert_eq!(
            apply(&old, &told[..cut], MAX_FRAME_BYTES),
            None,
            "cut to {cut}"
        );
    }
    assert_eq!(apply("", &diff("", &"z".repeat(1 << 20)), 1 << 16), None);
}
