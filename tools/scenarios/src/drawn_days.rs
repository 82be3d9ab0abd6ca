//! Days drawn from every kind of trouble that may come, also those that a deployment's own list does not name: planned work in series
//! that overlaps faults. No deployment's names or figures stand in them, so they are played on any.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use toml::{Table, Value};

/// When entries begin, in seconds from the start of traffic.
const BEGIN_S: Range<f64> = 0.5..24.0;
/// Entries of a day.
const ENTRIES: Range<usize> = 3..9;
/// How often an entry comes several times in a row, and the pause between.
const SERIES: f64 = 0.3;
const SERIES_LENGTH: Range<usize> = 2..5;
const SERIES_PAUSE_S: Range<f64> = 0.3..3.0;

/// What an entry of a kind may hold, each left out where the range is `None`.
struct Kind {
    name: &'static str,
    is_planned: bool,
    for_s: Option<Range<f64>>,
    share: Option<Range<f64>>,
    count: Option<Range<i64>>,
    x: Option<Range<f64>>,
    gap_s: Option<Range<f64>>,
    /// The class of machines, where it has to be named.
    on: &'static [&'static str],
    hows: &'static [&'static str],
}

/// A kind without any field: what the others are written against.
const NOTHING: Kind = Kind {
    name: "",
    is_planned: false,
    for_s: None,
    share: None,
    count: None,
    x: None,
    gap_s: None,
    on: &[],
    hows: &[],
};

/// All kinds that contracts of the gateway's deployments may bring.
const KINDS: &[Kind] = &[
    Kind {
        name: "srv_crash",
        for_s: Some(1.0..8.0),
        share: Some(0.05..0.5),
        hows: &["", "dark", "gone", "across", "across dark"],
        ..NOTHING
    },
    Kind {
        name: "release",
        is_planned: true,
        share: Some(0.2..0.8),
        x: Some(1.0..4.0),
        gap_s: Some(0.4..2.0),
        ..NOTHING
    },
    Kind {
        name: "scale_in",
        is_planned: true,
        share: Some(0.05..0.3),
        hows: &["", "spot"],
        ..NOTHING
    },
    Kind {
        name: "scale_out",
        is_planned: true,
        share: Some(0.1..0.5),
        gap_s: Some(1.0..6.0),
        ..NOTHING
    },
    Kind {
        name: "answer_lost",
        for_s: Some(2.0..8.0),
        share: Some(0.2..0.6),
        x: Some(0.01..0.1),
        hows: &["", "reset"],
        ..NOTHING
    },
    Kind {
        name: "garble",
        for_s: Some(2.0..8.0),
        share: Some(0.2..0.6),
        x: Some(0.01..0.1),
        hows: &["", "extra", "unframed", "early", "extra late"],
        ..NOTHING
    },
    Kind {
        name: "node_kill",
        for_s: Some(0.5..4.0),
        share: Some(0.1..0.4),
        on: &["front"],
        hows: &["", "power"],
        ..NOTHING
    },
    Kind {
        name: "node_kill",
        for_s: Some(0.5..4.0),
        count: Some(1..2),
        on: &["core"],
        hows: &[
            "",
            "power",
            "leader",
            "leader race drain",
            "meet drain",
            "seed",
        ],
        ..NOTHING
    },
    Kind {
        name: "node_freeze",
        for_s: Some(0.3..4.0),
        share: Some(0.1..0.4),
        on: &["front"],
        ..NOTHING
    },
    Kind {
        name: "node_freeze",
        for_s: Some(0.3..4.0),
        count: Some(1..2),
        on: &["core"],
        hows: &["", "leader", "leader race"],
        ..NOTHING
    },
    Kind {
        name: "node_slow",
        for_s: Some(1.0..8.0),
        share: Some(0.1..0.4),
        x: Some(2.0..10.0),
        on: &["front"],
        ..NOTHING
    },
    Kind {
        name: "roll_term",
        is_planned: true,
        share: Some(0.3..1.0),
        x: Some(1.0..5.0),
        gap_s: Some(0.4..2.5),
        hows: &["", "busy"],
        ..NOTHING
    },
    Kind {
        name: "herd_kill",
        for_s: Some(0.5..3.0),
        share: Some(0.2..0.7),
        hows: &["", "power"],
        ..NOTHING
    },
    Kind {
        name: "after_ack_kill",
        for_s: Some(1.0..4.0),
        hows: &["", "kill", "timed"],
        ..NOTHING
    },
    Kind {
        name: "after_ack_wipe",
        for_s: Some(1.0..4.0),
        hows: &["", "oldest"],
        ..NOTHING
    },
    Kind {
        name: "disk_slow",
        for_s: Some(2.0..8.0),
        count: Some(1..2),
        x: Some(5.0..40.0),
        hows: &["", "leader"],
        ..NOTHING
    },
    Kind {
        name: "disk_full",
        for_s: Some(2.0..8.0),
        count: Some(1..2),
        ..NOTHING
    },
    Kind {
        name: "disk_stall",
        for_s: Some(1.0..5.0),
        count: Some(1..2),
        ..NOTHING
    },
    Kind {
        name: "core_cut",
        for_s: Some(1.0..8.0),
        count: Some(1..2),
        hows: &["", "leader", "leader one_way", "leader race", "all", "near"],
        ..NOTHING
    },
    Kind {
        name: "node_cut",
        for_s: Some(1.0..8.0),
        share: Some(0.1..0.4),
        hows: &["", "all", "refuse", "reset"],
        ..NOTHING
    },
    Kind {
        name: "config_change",
        is_planned: true,
        hows: &["route", "weights", "timeout", "idle"],
        ..NOTHING
    },
    Kind {
        name: "config_race",
        is_planned: true,
        count: Some(1..4),
        gap_s: Some(0.5..2.0),
        ..NOTHING
    },
    Kind {
        name: "bad_config",
        is_planned: true,
        count: Some(1..4),
        gap_s: Some(0.3..1.5),
        ..NOTHING
    },
    Kind {
        name: "rollout_good",
        is_planned: true,
        for_s: Some(12.0..18.0),
        ..NOTHING
    },
    Kind {
        name: "rollout_bad",
        is_planned: true,
        for_s: Some(12.0..18.0),
        share: Some(0.3..0.7),
        gap_s: Some(2.0..5.0),
        hows: &["errors", "slow", "under_load", "late"],
        ..NOTHING
    },
    Kind {
        name: "burst",
        for_s: Some(2.0..10.0),
        x: Some(1.2..3.0),
        ..NOTHING
    },
    Kind {
        name: "retry_abuse",
        for_s: Some(2.0..10.0),
        share: Some(0.1..0.6),
        x: Some(1.0..4.0),
        ..NOTHING
    },
    Kind {
        name: "give_up",
        for_s: Some(2.0..20.0),
        share: Some(0.2..1.0),
        ..NOTHING
    },
    Kind {
        name: "srv_slow",
        for_s: Some(2.0..10.0),
        share: Some(0.1..1.0),
        x: Some(2.0..20.0),
        ..NOTHING
    },
    Kind {
        name: "replace_with_reuse",
        share: Some(0.05..0.3),
        hows: &["", "drain", "dark"],
        ..NOTHING
    },
    Kind {
        name: "replace_core",
        x: Some(0.5..3.0),
        hows: &["", "planned", "oldest"],
        ..NOTHING
    },
    Kind {
        name: "seed_turnover",
        ..NOTHING
    },
    Kind {
        name: "clock_step",
        for_s: Some(2.0..8.0),
        share: Some(0.2..0.6),
        x: Some(500.0..5000.0),
        hows: &["back", "ahead"],
        ..NOTHING
    },
    Kind {
        name: "hup",
        is_planned: true,
        share: Some(0.2..1.0),
        gap_s: Some(0.5..3.0),
        ..NOTHING
    },
    Kind {
        name: "reset_conns",
        share: Some(0.1..0.6),
        x: Some(0.2..1.0),
        ..NOTHING
    },
    Kind {
        name: "ack_lost",
        for_s: Some(2.0..10.0),
        x: Some(0.3..0.9),
        ..NOTHING
    },
];

/// A day as a TOML text; the same for the same seed.
pub fn draw_day(seed: u64) -> String {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let (mut plan, mut faults) = (Vec::new(), Vec::new());
    for _ in 0..rng.gen_range(ENTRIES) {
        let kind = KINDS.choose(rng).expect("there are some");
        let entry = draw_entry(rng, kind);
        let times = match rng.gen_bool(SERIES) && may_repeat(kind) {
            true => rng.gen_range(SERIES_LENGTH),
            false => 1,
        };
        let (begin, pause) = (rng.gen_range(BEGIN_S), rng.gen_range(SERIES_PAUSE_S));
        for i in 0..times {
            let mut entry = entry.clone();
            entry.insert("at".into(), rounded(begin + i as f64 * pause));
            let list = if kind.is_planned {
                &mut plan
            } else {
                &mut faults
            };
            list.push(Value::Table(entry));
        }
    }
    let mut day = Table::new();
    day.insert("name".into(), Value::String(format!("drawn-{seed}")));
    day.insert("slot".into(), Value::String("trouble".into()));
    day.insert("seed".into(), Value::Integer((seed % 1_000_000) as i64));
    day.insert("one".into(), Value::Float(1.0));
    day.insert("zero".into(), Value::Float(0.5));
    let mut goal = Table::new();
    goal.insert("floor".into(), Value::Float(0.0));
    day.insert("goal".into(), Value::Table(goal));
    day.insert("plan".into(), Value::Array(plan));
    day.insert("faults".into(), Value::Array(faults));
    day.to_string()
}

/// Whether an entry may come several times in a row. Rollouts and the replacement of a core machine wait for the one before;
/// factors that overlap would multiply.
fn may_repeat(kind: &Kind) -> bool {
    let comes_once = ["replace_core", "burst", "srv_slow", "node_slow"];
    !kind.name.starts_with("rollout") && !comes_once.contains(&kind.name)
}

fn draw_entry(rng: &mut ChaCha8Rng, kind: &Kind) -> Table {
    let mut entry = Table::new();
    entry.insert("kind".into(), Value::String(kind.name.into()));
    let ranges = [
        ("for_s", &kind.for_s),
        ("share", &kind.share),
        ("gap_s", &kind.gap_s),
    ];
    for (field, range) in ranges {
        if let Some(range) = range {
            entry.insert(field.into(), rounded(rng.gen_range(range.clone())));
        }
    }
    if let Some(range) = &kind.x {
        let x = rng.gen_range(range.clone());
        // Numbers of machines and factors above ten are whole.
        let is_whole = kind.is_planned || x >= 10.0;
        entry.insert("x".into(), rounded(if is_whole { x.round() } else { x }));
    }
    if let Some(range) = &kind.count {
        entry.insert("count".into(), Value::Integer(rng.gen_range(range.clone())));
    }
    for (field, values) in [("on", kind.on), ("how", kind.hows)] {
        if let Some(value) = values.choose(rng).filter(|value| !value.is_empty()) {
            entry.insert(field.into(), Value::String((*value).into()));
        }
    }
    entry
}

/// A number with two digits behind the point: enough for times, and short to read.
fn rounded(number: f64) -> Value {
    Value::Float((number * 100.0).round() / 100.0)
}
