//! Where operators' calls are answered, by what a machine knows of who leads.

use magpieline_gateway::controller::leader_redirect::{
    target, LeaderView, Target, LEADERLESS_TIMEOUT,
};

const UNTIL: u64 = 10_800_000;

/// Guards against a machine that answers an order because it led a moment ago, and against one that is cut off and keeps
/// each caller waiting, or has it wait beyond the second after which callers go elsewhere.
#[test]
fn only_who_leads_now_answers_and_who_knows_nobody_says_so_in_time() {
    let other = "10.0.0.2:7720".parse().ok();
    let now = 10_000_000;
    let leads = LeaderView {
        holds_lease: true,
        ..LeaderView::default()
    };
    assert_eq!(target(&leads, now, UNTIL), Target::Local);
    // Its lease is over, and nobody has told it of another leader yet.
    let led = LeaderView {
        holds_lease: false,
        other_leader: None,
        leaderless_since: None,
    };
    let (mut at, mut asked) = (now, 0);
    while let Target::Wait(then) = target(&led, at, UNTIL) {
        assert!(then > at && then <= UNTIL);
        (at, asked) = (then, asked + 1);
    }
    assert_eq!((at, target(&led, at, UNTIL)), (UNTIL, Target::Unavailable));
    assert!(asked <= 40, "{asked}");
    let follows = LeaderView {
        other_leader: other,
        ..LeaderView::default()
    };
    assert_eq!(
        target(&follows, now, UNTIL),
        Target::Redirect(other.expect("an address"))
    );
    let alone = LeaderView {
        leaderless_since: Some(now - LEADERLESS_TIMEOUT),
        ..LeaderView::default()
    };
    assert_eq!(target(&alone, now, UNTIL), Target::Unavailable);
    let newly = LeaderView {
        leaderless_since: Some(now - 1),
        ..LeaderView::default()
    };
    assert!(matches!(target(&newly, now, UNTIL), Target::Wait(_)));
}
