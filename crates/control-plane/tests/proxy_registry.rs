//! The leader's view of the counters.

use magpieline_control_plane::messages::{Evidence, Hello, Report, Totals, Vote};
use magpieline_control_plane::proxy_registry::{Pooled, Roster};
use magpieline_control_plane::state_machine::Phase;

const TERM: u64 = 3;

fn hello(node: &str, incarnation: u64) -> Hello {
    Hello {
        node: node.into(),
        zone: "z".into(),
        incarnation,
        ..Hello::default()
    }
}

fn report(evidence: Vec<Evidence>) -> Report {
    Report {
        evidence,
        ..Report::default()
    }
}

fn told(order: u64, bad: u32, vote: Vote) -> Vec<Evidence> {
    let trial = Totals {
        bad,
        outcomes: 10,
        ..Totals::default()
    };
    vec![Evidence {
        service: "s".into(),
        order,
        vote,
        totals: vec![(1, [Totals::default(), trial])],
        taken: 100,
        ..Evidence::default()
    }]
}

/// Guards against evidence that counts twice when it is told twice, or is lost when its counter restarts.
#[test]
fn totals_replace_each_other_and_outlast_their_counter() {
    let mut roster = Roster::default();
    roster.leads_in(Some(TERM));
    assert!(roster.hello(0, 1, TERM, &hello("a", 11)));
    assert!(roster.hello(0, 2, TERM, &hello("b", 12)));
    for _ in 0..3 {
        assert!(roster.report(1, 1, report(told(5, 4, Vote::Back))));
    }
    assert!(roster.report(1, 2, report(told(5, 1, Vote::None))));
    assert!(roster.report(2, 2, report(told(5, 2, Vote::None))));
    let pooled = roster.pooled("s", 5);
    assert_eq!(
        (pooled.routes[&1][1].bad, pooled.taken, pooled.back),
        (6, 200, 1)
    );
    roster.closed(1);
    assert!(roster.hello(3, 3, TERM, &hello("a", 99))); // another life of the first
    assert!(roster.report(3, 3, report(told(5, 1, Vote::None))));
    assert_eq!(roster.pooled("s", 5).routes[&1][1].bad, 7);
    assert_eq!(roster.pooled("s", 4), Pooled::default());
}

/// Guards against a rollout called delivered while a counter has not stopped.
#[test]
fn who_has_not_heard_of_a_move_is_waited_for_while_there() {
    let mut roster = Roster::default();
    roster.leads_in(Some(TERM));
    assert!(roster.hello(0, 1, TERM, &hello("a", 11)));
    assert!(roster.hello(0, 2, TERM, &hello("b", 12)));
    let moving = |under_way| {
        let phase = Some(Phase::Moving);
        vec![Evidence {
            service: "s".into(),
            order: 5,
            under_way,
            phase,
            ..Evidence::default()
        }]
    };
    assert!(roster.report(1, 1, report(moving(2))));
    assert_eq!(roster.leaving(1, "s", 5), (2, 1));
    assert!(roster.report(2, 2, report(moving(0))));
    assert_eq!(roster.leaving(2, "s", 5), (2, 0));
    roster.closed(1);
    assert_eq!(roster.leaving(3, "s", 5), (0, 0));
    assert_eq!(roster.count(3), 2);
}

/// Guards against a counter that is taken up on the word of a leadership that is over, here or as the counter knows, and
/// against a leader that goes on telling one that has heard a newer leader.
#[test]
fn a_link_belongs_to_one_leadership() {
    let mut roster = Roster::default();
    assert!(
        !roster.hello(0, 1, TERM, &hello("a", 1)),
        "it does not lead"
    );
    assert!(roster.leads_in(Some(TERM)) && !roster.leads_in(Some(TERM)));
    assert!(
        !roster.hello(0, 1, TERM - 1, &hello("a", 1)),
        "confirmed in a term that is over"
    );
    assert!(
        !roster.hello(
            0,
            1,
            TERM,
            &Hello {
                term: TERM + 1,
                ..hello("a", 1)
            }
        ),
        "it has heard a newer leader"
    );
    assert!(roster.hello(
        0,
        1,
        TERM,
        &Hello {
            term: TERM,
            at: 7,
            ..hello("a", 1)
        }
    ));
    assert_eq!(roster.asked().collect::<Vec<_>>(), [(1, 7)]);
    assert!(roster.report(
        1,
        1,
        Report {
            at: 9,
            ..report(Vec::new())
        }
    ));
    assert_eq!(roster.asked().collect::<Vec<_>>(), [(1, 9)]);
    assert!(!roster.report(
        2,
        1,
        Report {
            term: TERM + 1,
            ..report(Vec::new())
        }
    ));
    assert_eq!(roster.asked().count(), 0);
    roster.hello(3, 2, TERM, &hello("a", 1));
    assert!(roster.leads_in(None) && roster.all().count() == 0);
    assert!(
        !roster.report(4, 2, report(Vec::new())),
        "of a leadership that is over"
    );
}
