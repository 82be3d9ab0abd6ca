//! A counter's hold on the leader.

use magpieline_control_plane::controller_client::{Action, Event, Tendril};
use magpieline_control_plane::messages::{Down, Fenced};
use std::net::SocketAddrV4;

/// A link that is not up after this is given up.
const UP_WITHIN: u64 = 250_000;

fn at(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), 7720)
}

fn elsewhere(term: u64, leader: Option<SocketAddrV4>, core: &[SocketAddrV4]) -> Fenced<Down> {
    Fenced {
        term,
        word: Down::Elsewhere {
            leader,
            core: core.to_vec(),
        },
    }
}

fn welcome(term: u64, asked: u64) -> Fenced<Down> {
    Fenced {
        term,
        word: Down::Welcome {
            core: vec![at(1), at(2), at(3)],
            counters: 9,
            asked,
        },
    }
}

fn beat(term: u64, asked: u64) -> Fenced<Down> {
    Fenced {
        term,
        word: Down::Beat {
            counters: 9,
            asked,
            edition: 0,
        },
    }
}

/// Held by the first machine in `term` from `now` on.
fn held(now: u64, term: u64) -> Tendril {
    let mut t = Tendril::new(now, vec![at(1), at(2), at(3)], 2);
    assert_eq!(t.step(now, Event::Tick), [Action::Dial(at(1))]);
    assert_eq!(t.step(now, Event::Opened), [Action::Hello]);
    assert_eq!(
        t.step(now, Event::Heard(&welcome(term, now))),
        [Action::Take, Action::Report]
    );
    t
}

/// Guards against a counter that holds on to a dead seed, or that does not find a leader who is no seed.
#[test]
fn it_goes_from_dead_seeds_to_the_leader_that_a_live_one_names() {
    let mut t = Tendril::new(0, vec![at(1), at(2)], 1);
    assert_eq!(t.step(0, Event::Tick), [Action::Dial(at(1))]);
    // The first says nothing: it is given up in time, the second asked.
    assert_eq!(
        t.step(UP_WITHIN, Event::Tick),
        [Action::HangUp, Action::Dial(at(2))]
    );
    assert_eq!(t.step(UP_WITHIN + 1, Event::Opened), [Action::Hello]);
    let down = elsewhere(1, Some(at(5)), &[at(2), at(5)]);
    assert_eq!(
        t.step(UP_WITHIN + 2, Event::Heard(&down)),
        [Action::HangUp, Action::Dial(at(5))]
    );
    t.step(UP_WITHIN + 3, Event::Opened);
    assert_eq!(
        t.step(UP_WITHIN + 4, Event::Heard(&welcome(1, UP_WITHIN + 3))),
        [Action::Take, Action::Report]
    );
    assert!(t.holds(UP_WITHIN + 5) && t.counters() == 9);
}

/// Guards against a counter that goes on asking seeds that are said to be gone.
#[test]
fn other_seeds_take_the_place_of_those_before() {
    let mut t = Tendril::new(0, vec![at(1)], 0);
    assert_eq!(t.step(0, Event::Tick), [Action::Dial(at(1))]);
    t.reseed(vec![at(2)]);
    assert_eq!(
        t.step(UP_WITHIN, Event::Tick),
        [Action::HangUp, Action::Dial(at(2))]
    );
}

/// Guards against a counter that goes on as if in touch behind a cut that nothing reports.
#[test]
fn a_silent_leader_is_let_go_of_and_the_others_are_asked() {
    let mut t = Tendril::new(0, vec![at(1), at(2), at(3)], 0);
    t.step(0, Event::Tick);
    t.step(1, Event::Opened);
    t.step(2, Event::Heard(&welcome(1, 1)));
    let mut asked = Vec::new();
    let mut now = 2;
    while now < 4_000_000 {
        now = t.next().max(now + 1);
        asked.extend(
            t.step(now, Event::Tick)
                .into_iter()
                .filter(|a| matches!(a, Action::Dial(_))),
        );
    }
    assert!(!t.holds(now) && t.adrift(now) > 2_500_000);
    for n in 1..=3 {
        assert!(
            asked.contains(&Action::Dial(at(n))),
            "{n} was never asked: {asked:?}"
        );
    }
}

/// Guards against words of a leader of the past, on its own link or on a new one, that a counter takes into force after a
/// newer leader has spoken to it.
#[test]
fn a_word_of_a_lower_term_is_refused_and_its_link_ends() {
    let mut t = held(0, 4);
    assert_eq!(t.step(1, Event::Heard(&beat(3, 0))), [Action::HangUp]);
    let now = t.next();
    assert_eq!(t.step(now, Event::Tick), [Action::Dial(at(2))]);
    t.step(now, Event::Opened);
    assert_eq!(
        t.step(now, Event::Heard(&welcome(3, now))),
        [Action::HangUp]
    );
    assert_eq!((t.term(), t.holds(now)), (4, false));
    let now = t.next();
    assert_eq!(t.step(now, Event::Tick), [Action::Dial(at(3))]);
    t.step(now, Event::Opened);
    assert_eq!(
        t.step(now, Event::Heard(&welcome(5, now))),
        [Action::Take, Action::Report]
    );
    assert_eq!((t.term(), t.holds(now)), (5, true));
}

/// Guards against a link on which words of two leaderships are mixed.
#[test]
fn a_link_says_things_of_one_term_only() {
    let mut t = held(0, 4);
    assert_eq!(t.step(1, Event::Heard(&beat(5, 0))), [Action::HangUp]);
    assert_eq!(t.term(), 4);
}

/// Guards against a machine that stood for election in vain, and whose term would shut a counter off from the leader; and
/// against one that is behind and sends counters to a leader of the past.
#[test]
fn who_does_not_lead_moves_no_term_and_who_is_behind_points_nowhere() {
    let mut t = Tendril::new(0, vec![at(1), at(2), at(3)], 2);
    t.step(0, Event::Tick);
    t.step(0, Event::Opened);
    t.step(0, Event::Heard(&elsewhere(9, Some(at(2)), &[])));
    t.step(0, Event::Opened);
    assert_eq!(
        t.step(0, Event::Heard(&welcome(4, 0))),
        [Action::Take, Action::Report]
    );
    t.step(1, Event::Closed);
    t.step(1, Event::Opened);
    assert_eq!(
        t.step(1, Event::Heard(&elsewhere(3, Some(at(7)), &[at(7)]))),
        [Action::HangUp]
    );
    assert!(!t.core().contains(&at(7)) && t.next() > 1);
}

/// Guards against beats that were said long ago and waited on their way: they name an old report, and count from there.
#[test]
fn what_a_leader_says_is_as_old_as_the_report_it_names() {
    let mut t = held(0, 4);
    assert!(t.holds(900_000));
    let mut now = 0;
    // They come all the time, and all name the hello.
    while now < 1_900_000 {
        now += 300_000;
        t.step(now, Event::Heard(&beat(4, 0)));
    }
    assert!(!t.holds(2_000_000) && t.confirmed_at() == Some(0));
    t.step(2_000_001, Event::Heard(&beat(4, 1_500_000)));
    assert!(t.holds(2_000_002));
    // A link on which only old words come is let go of.
    let mut hung_up = false;
    while !hung_up && now < 10_000_000 {
        now += 300_000;
        hung_up = t
            .step(now, Event::Heard(&beat(4, 1_500_000)))
            .contains(&Action::HangUp);
    }
    assert!(hung_up && now < 7_000_000, "{now}");
}
