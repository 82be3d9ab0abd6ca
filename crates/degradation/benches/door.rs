//! What a hit costs at the door of the levels, from there to its end: `cargo bench -p magpieline-degradation`.

use criterion::{criterion_group, criterion_main, Criterion};
use magpieline_degradation::{Door, Ended, Fate, Installation, Ladder, Levels};
use magpieline_operator_config::Schema;
use std::hint::black_box;

const FILE: &str =
    "<magpieline><levels><level name='busy' enter='late(pay) above 3% or in-flight above 2 of limit'
    leave='late(pay) below 1% and in-flight below 0.9 of limit and shortage below 2%'>
    <group name='read' share='0.9' least='0.2'/></level></levels></magpieline>";

fn levels() -> Levels {
    let groups: Vec<String> = ["pay", "hold", "read", "calendar"]
        .map(str::to_owned)
        .to_vec();
    let values = Schema::bundled().check(FILE).expect("a good file");
    let ladder = Ladder::read(&values, &groups, false)
        .expect("it makes sense")
        .expect("levels");
    let here = Installation {
        groups,
        benefits: vec![5.0, 3.0, 2.0, 1.0],
        accounts: 40,
        longest_back: 30.0,
    };
    Levels::start(ladder, here, 0.0, 1, None)
}

/// A thousand hits a second, each taken and ended; a look each quarter of a second.
fn hit(levels: &mut Levels, now: &mut f64, i: usize) {
    *now += 1e-3;
    if i.is_multiple_of(250) {
        black_box(levels.look(*now));
    }
    if levels.take(*now, i % 4, i % 40, 1.0) == Door::Go {
        let fate = if i.is_multiple_of(200) {
            Fate::Late
        } else {
            Fate::InTime
        };
        levels.ended(
            *now,
            Ended {
                group: i % 4,
                fate: Some(fate),
                spent: 0.05,
                part: 0.1,
                waited: Some(0.0),
            },
        );
    }
}

fn door(c: &mut Criterion) {
    for held in [false, true] {
        let (mut levels, mut now, mut i) = (levels(), 0.0, 0);
        (0..20_000).for_each(|i| hit(&mut levels, &mut now, i));
        if held {
            levels.hold(now, "busy", 86_000.0, "bench").expect("held");
        }
        let name = if held {
            "a hit within a level"
        } else {
            "a hit at full service"
        };
        c.bench_function(name, |b| {
            b.iter(|| {
                i += 1;
                hit(&mut levels, &mut now, i);
            });
        });
    }
}

criterion_group!(benches, door);
criterion_main!(benches);
