use super::*;
use magpieline_operator_config::versions::Staging;

fn changes() -> Changes {
    Changes::new(
        Versions::new(Schema::bundled()),
        vec!["read".into(), "pay".into()],
        1,
    )
}

fn step(c: &mut Changes, step: Result<ChangeEvent, ChangeError>) {
    c.adopt(0.0, &step.expect("allowed")).expect("it follows");
}

/// Stages and applies a file that bounds reads to one forward.
fn apply(c: &mut Changes, most: u32) -> u64 {
    let text = format!(
        "<magpieline><hits><group name='read' most-forwards='{most}'/></hits></magpieline>"
    );
    let Ok(Staging::New(staged)) = c.versions.stage(&text, "ada", "", 0.0) else {
        panic!("a new version");
    };
    step(c, Ok(staged));
    let number = c
        .versions
        .iter()
        .map(|(v, ..)| v.number)
        .max()
        .expect("one");
    let applied = c.versions.apply(number, "ada", 0.0);
    step(c, applied);
    number
}

#[test]
fn a_hit_keeps_the_version_it_was_taken_under() {
    let mut c = changes();
    let (before, free) = c.take(0.0, 0);
    let number = apply(&mut c, 1);
    let (after, bound) = c.take(0.1, 0);
    assert_eq!((before.version, free.most), (0, 0));
    assert_eq!(
        (after.version, bound.most, c.take(0.1, 1).1.most),
        (number, 1, 0)
    );
    let undone = c.versions.undo("ada", "", 0.2);
    step(&mut c, undone);
    assert_eq!(c.take(0.3, 0).0.version, 0);
    assert!(c.versions.values(number).is_some(), "pinned");
    c.ended(after);
}

#[test]
fn a_change_that_spoils_hits_is_undone_and_hits_from_before_it_tell_nothing() {
    let mut c = changes();
    for i in 0..400 {
        let (pinned, _) = c.take(f64::from(i) * 0.01, 0);
        c.outcome(f64::from(i) * 0.01, pinned, 0, false);
        c.ended(pinned);
    }
    let (early, _) = c.take(0.0, 0);
    apply(&mut c, 1);
    (0..100).for_each(|_| c.outcome(0.1, early, 0, true));
    assert!(!c.watch.as_ref().expect("watched").in_doubt());
    for i in 0..4000 {
        let now = 4.0 + f64::from(i) * 0.01;
        let (pinned, bounds) = c.take(now, 0);
        c.outcome(now, pinned, 0, bounds.most == 1 && i % 3 == 0);
        c.ended(pinned);
        if matches!(c.look(now), Decision::Undo { .. }) {
            assert!(i < 1000, "{i}");
            return;
        }
    }
    panic!("never undone");
}

#[test]
fn groups_that_the_platform_does_not_have_are_refused() {
    let read = |text: &str| Schema::bundled().check(text).expect("a good file");
    let odd = read("<magpieline><hits><group name='odd'/></hits></magpieline>");
    assert_eq!(
        changes().fits(&odd),
        Err("hits/group: found 'odd', expected one of read, pay".into())
    );
    let twice =
        read("<magpieline><hits><group name='pay'/><group name='pay'/></hits></magpieline>");
    assert!(changes().fits(&twice).is_err_and(|e| e.contains("again")));
    // The schema has a default for each.
    let WatchPolicy {
        max_false_undo_rate,
        harmless_share,
        min_seconds,
        max_seconds,
    } = watch_policy(&Values::new());
    assert!(
        [max_false_undo_rate, harmless_share, min_seconds]
            .iter()
            .all(|x| *x > 0.0)
            && max_seconds > min_seconds
    );
    assert_eq!(
        watch_policy(&read("<magpieline><watch harm='0.2'/></magpieline>")).harmless_share,
        0.2
    );
}

/// A measurement, not a check of CI: `cargo test --release -p magpieline-sidecar cost_of -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn cost_of_pinning_a_hit() {
    let mut spent = Vec::new();
    for round in 0..7 {
        let mut c = changes();
        apply(&mut c, 3);
        if round == 6 {
            c.watch = None;
        }
        let begun = std::time::Instant::now();
        for i in 0..1_000_000 {
            let now = f64::from(i) * 0.001;
            let (pinned, bounds) = c.take(now, i as usize % 2);
            std::hint::black_box(bounds);
            c.outcome(now, pinned, i as usize % 2, i % 100 == 0);
            c.ended(pinned);
        }
        spent.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    println!("ns a hit, watched six times, then not: {spent:.0?}");
}
