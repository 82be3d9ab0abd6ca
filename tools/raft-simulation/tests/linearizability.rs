//! The checks of histories themselves: those that no single machine could give are found out, and those that one could
//! give are let pass.

use magpieline_raft_simulation::linearizability::{
    check, DocumentAnswer, DocumentAsked, Documents, Fate, RecordedCall, RolloutAnswer,
    RolloutAsked, Rollouts,
};
use rstest::rstest;
use DocumentAnswer::{Held, Refused, Taken};

type Documented = RecordedCall<DocumentAsked, DocumentAnswer>;
type Rolled = RecordedCall<RolloutAsked, RolloutAnswer>;

fn replace(
    number: u64,
    document: u64,
    sent: u64,
    back: Option<(u64, DocumentAnswer)>,
) -> Documented {
    RecordedCall {
        asked: DocumentAsked::Replace { number, document },
        sent,
        back,
    }
}

fn read(sent: u64, back: u64, held: Option<(u64, u64)>) -> Documented {
    RecordedCall {
        asked: DocumentAsked::Read,
        sent,
        back: Some((back, Held(held))),
    }
}

fn begin(order: u64, content: u64, sent: u64, back: Option<(u64, RolloutAnswer)>) -> Rolled {
    RecordedCall {
        asked: RolloutAsked::Begin { order, content },
        sent,
        back,
    }
}

fn state(sent: u64, back: u64, newest: Option<(u64, Fate)>) -> Rolled {
    RecordedCall {
        asked: RolloutAsked::State,
        sent,
        back: Some((back, RolloutAnswer::Newest(newest))),
    }
}

const TAKEN: Option<(u64, RolloutAnswer)> = Some((2, RolloutAnswer::Taken));

#[rstest]
#[case::two_under_one_number(vec![replace(7, 1, 0, Some((9, Taken))), replace(7, 2, 1, Some((8, Taken)))])]
#[case::two_under_a_lower_number(vec![
    replace(7, 1, 0, Some((1, Taken))), replace(9, 3, 2, Some((3, Taken))), replace(7, 2, 4, Some((5, Taken))),
])]
#[case::confirmed_and_gone(vec![replace(7, 1, 0, Some((1, Taken))), read(2, 3, None)])]
#[case::confirmed_and_another_in_its_place(vec![
    replace(7, 1, 0, Some((1, Taken))), replace(7, 2, 0, None), read(2, 3, Some((7, 2))),
])]
#[case::confirmed_one_refused(vec![replace(7, 1, 0, Some((1, Taken))), replace(7, 1, 2, Some((3, Refused)))])]
#[case::seen_one_refused(vec![
    replace(7, 1, 0, None), read(1, 2, Some((7, 1))), replace(7, 1, 3, Some((4, Refused))),
    replace(7, 2, 0, None),
])]
#[case::refused_for_nothing(vec![replace(7, 1, 0, Some((1, Refused)))])]
#[case::refused_for_a_later_one(vec![replace(7, 1, 0, Some((1, Refused))), replace(7, 2, 2, Some((3, Taken)))])]
#[case::a_refused_one_in_force(vec![
    replace(7, 1, 0, Some((1, Taken))), replace(7, 2, 2, Some((3, Refused))), read(4, 5, Some((7, 2))),
])]
#[case::a_read_goes_back(vec![
    replace(7, 1, 0, Some((1, Taken))), replace(9, 2, 2, None), read(3, 4, Some((9, 2))), read(5, 6, Some((7, 1))),
])]
#[case::a_lower_number_in_force(vec![
    replace(9, 1, 0, Some((1, Taken))), replace(7, 2, 2, Some((3, Taken))), read(4, 5, Some((7, 2))),
])]
#[case::read_and_never_sent(vec![read(0, 1, Some((7, 1)))])]
#[case::read_before_it_was_sent(vec![read(0, 1, Some((7, 1))), replace(7, 1, 2, Some((3, Taken)))])]
fn no_machine_gives_these_documents(#[case] calls: Vec<Documented>) {
    check(&Documents, &calls).expect_err("a history that can't be");
}

#[rstest]
#[case::one_of_two(vec![replace(7, 1, 0, Some((9, Taken))), replace(7, 2, 1, Some((8, Refused)))])]
#[case::the_unanswered_one_won(vec![
    replace(7, 1, 0, None), replace(7, 2, 1, Some((8, Refused))), read(9, 10, Some((7, 1))),
])]
#[case::the_unanswered_one_won_late(vec![
    replace(7, 1, 0, None), read(5, 6, None), replace(7, 2, 7, Some((8, Refused))),
])]
#[case::the_unanswered_one_never_came(vec![replace(7, 1, 0, None), replace(7, 2, 1, Some((8, Taken)))])]
#[case::again(vec![replace(7, 1, 0, None), replace(7, 1, 3, Some((4, Taken))), replace(7, 1, 5, Some((6, Taken)))])]
#[case::overtaken(vec![
    replace(9, 1, 0, Some((1, Taken))), replace(7, 2, 2, Some((3, Taken))), replace(7, 3, 4, Some((5, Refused))),
    read(6, 7, Some((9, 1))),
])]
#[case::reads_at_the_same_time_differ(vec![
    replace(7, 1, 0, Some((9, Taken))), read(1, 8, None), read(1, 8, Some((7, 1))),
])]
fn a_machine_gives_these_documents(#[case] calls: Vec<Documented>) {
    check(&Documents, &calls).expect("a history that can be");
}

#[rstest]
#[case::two_under_way(vec![
    begin(0, 1, 0, TAKEN), state(3, 4, Some((1, Fate::UnderWay))), begin(1, 2, 5, Some((6, RolloutAnswer::Taken))),
    state(7, 8, Some((1, Fate::UnderWay))),
])]
#[case::refused_for_nothing(vec![begin(0, 1, 0, Some((1, RolloutAnswer::Refused)))])]
#[case::a_taken_one_refused(vec![
    begin(0, 1, 0, TAKEN), begin(1, 2, 3, Some((4, RolloutAnswer::Taken))),
    begin(0, 1, 5, Some((6, RolloutAnswer::Refused))),
])]
#[case::a_copy_begins_anew(vec![
    begin(0, 1, 0, TAKEN), state(3, 4, Some((1, Fate::Returned))), begin(0, 1, 5, Some((6, RolloutAnswer::Taken))),
    state(7, 8, Some((1, Fate::UnderWay))),
])]
#[case::a_copy_goes_back(vec![
    begin(0, 1, 0, TAKEN), state(3, 4, Some((1, Fate::Delivered))), begin(1, 2, 5, Some((6, RolloutAnswer::Taken))),
    state(7, 8, Some((2, Fate::Delivered))), begin(0, 1, 9, Some((10, RolloutAnswer::Taken))),
    state(11, 12, Some((1, Fate::UnderWay))),
])]
#[case::taken_and_gone(vec![begin(0, 1, 0, TAKEN), state(3, 4, None)])]
#[case::a_read_goes_back(vec![
    begin(0, 1, 0, TAKEN), state(3, 4, Some((1, Fate::Returned))), state(5, 6, Some((1, Fate::UnderWay))),
])]
fn no_machine_gives_these_rollouts(#[case] calls: Vec<Rolled>) {
    check(&Rollouts, &calls).expect_err("a history that can't be");
}

#[rstest]
#[case::refused_while_another_is_under_way(vec![
    begin(0, 1, 0, None), begin(1, 2, 3, Some((4, RolloutAnswer::Refused))), state(5, 6, Some((1, Fate::UnderWay))),
])]
#[case::a_copy_while_another_is_under_way(vec![
    begin(0, 1, 0, None), begin(1, 2, 3, Some((4, RolloutAnswer::Taken))),
    begin(0, 1, 5, Some((6, RolloutAnswer::Taken))), state(7, 8, Some((2, Fate::UnderWay))),
])]
#[case::a_new_order_for_the_same(vec![
    begin(0, 1, 0, TAKEN), state(3, 4, Some((1, Fate::Returned))), begin(1, 1, 5, Some((6, RolloutAnswer::Taken))),
    state(7, 8, Some((1, Fate::UnderWay))), state(9, 10, Some((1, Fate::Delivered))),
])]
#[case::a_new_order_for_what_stands(vec![
    begin(0, 1, 0, TAKEN), state(3, 4, Some((1, Fate::Delivered))), begin(1, 1, 5, Some((6, RolloutAnswer::Taken))),
    state(7, 8, Some((1, Fate::Delivered))),
])]
fn a_machine_gives_these_rollouts(#[case] calls: Vec<Rolled>) {
    check(&Rollouts, &calls).expect("a history that can be");
}
