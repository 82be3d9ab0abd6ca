//! Where operators' calls are answered, by what a machine knows of who leads.

use magpieline_gateway::controller::leader_redirect::{way, Sight, Way, LONG};

const UNTIL: u64 = 10_800_000;

/// Guards against a machine that answers an order because it led a moment ago, and against one that is cut off and keeps
/// each caller waiting, or has it wait beyond the second after which callers go elsewhere.
#[test]
fn only_who_leads_now_answers_and_who_knows_nobody_says_so_in_time() {
    let other = "10.0.0.2:7720".parse().ok();
    let now = 10_000_000;
    let leads = Sight {
        leads: true,
        ..Sight::default()
    };
    assert_eq!(way(&leads, now, UNTIL), Way::Here);
    // Its lease is over, and nobody has told it of another leader yet.
    let led = Sight {
        leads: false,
        other: None,
        leaderless_since: None,
    };
    let (mut at, mut asked) = (now, 0);
    while let Way::Wait(then) = way(&led, at, UNTIL) {
        assert!(then > at && then <= UNTIL);
        (at, asked) = (then, asked + 1);
    }
    assert_eq!((at, way(&led, at, UNTIL)), (UNTIL, Way::Nobody));
    assert!(asked <= 40, "{asked}");
    let follows = Sight {
        other,
        ..Sight::default()
    };
    assert_eq!(
        way(&follows, now, UNTIL),
        Way::There(other.expect("an address"))
    );
    let alone = Sight {
        leaderless_since: Some(now - LONG),
        ..Sight::default()
    };
    assert_eq!(way(&alone, now, UNTIL), Way::Nobody);
    let newly = Sight {
        leaderless_since: Some(now - 1),
        ..Sight::default()
    };
    assert!(matches!(way(&newly, now, UNTIL), Way::Wait(_)));
}
