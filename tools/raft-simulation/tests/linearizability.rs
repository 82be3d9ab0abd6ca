//! The checks of histories themselves: those that no single machine could give are found out, and those that one could
//! give are let pass.

use magpieline_raft_simulation::linearizability::{
    check, ConfigModel, ConfigRequest, ConfigResponse, RecordedCall, RolloutModel, RolloutRequest,
    RolloutResponse, RolloutStatus,
};
use rstest::rstest;
use ConfigResponse::{Accepted, Conflict, Current};

type Documented = RecordedCall<ConfigRequest, ConfigResponse>;
type Rolled = RecordedCall<RolloutRequest, RolloutResponse>;

fn replace(
    version: u64,
    document: u64,
    sent: u64,
    response: Option<(u64, ConfigResponse)>,
) -> Documented {
    RecordedCall {
        request: ConfigRequest::Replace { version, document },
        sent,
        response,
    }
}

fn read(sent: u64, response: u64, held: Option<(u64, u64)>) -> Documented {
    RecordedCall {
        request: ConfigRequest::Read,
        sent,
        response: Some((response, Current(held))),
    }
}

fn begin(order: u64, content: u64, sent: u64, response: Option<(u64, RolloutResponse)>) -> Rolled {
    RecordedCall {
        request: RolloutRequest::Begin { order, content },
        sent,
        response,
    }
}

fn state(sent: u64, response: u64, newest: Option<(u64, RolloutStatus)>) -> Rolled {
    RecordedCall {
        request: RolloutRequest::Read,
        sent,
        response: Some((response, RolloutResponse::Newest(newest))),
    }
}

const ACCEPTED: Option<(u64, RolloutResponse)> = Some((2, RolloutResponse::Accepted));

#[rstest]
#[case::two_under_one_number(vec![replace(7, 1, 0, Some((9, Accepted))), replace(7, 2, 1, Some((8, Accepted)))])]
#[case::two_under_a_lower_number(vec![
    replace(7, 1, 0, Some((1, Accepted))), replace(9, 3, 2, Some((3, Accepted))), replace(7, 2, 4, Some((5, Accepted))),
])]
#[case::confirmed_and_gone(vec![replace(7, 1, 0, Some((1, Accepted))), read(2, 3, None)])]
#[case::confirmed_and_another_in_its_place(vec![
    replace(7, 1, 0, Some((1, Accepted))), replace(7, 2, 0, None), read(2, 3, Some((7, 2))),
])]
#[case::confirmed_one_refused(vec![replace(7, 1, 0, Some((1, Accepted))), replace(7, 1, 2, Some((3, Conflict)))])]
#[case::seen_one_refused(vec![
    replace(7, 1, 0, None), read(1, 2, Some((7, 1))), replace(7, 1, 3, Some((4, Conflict))),
    replace(7, 2, 0, None),
])]
#[case::refused_for_nothing(vec![replace(7, 1, 0, Some((1, Conflict)))])]
#[case::refused_for_a_later_one(vec![replace(7, 1, 0, Some((1, Conflict))), replace(7, 2, 2, Some((3, Accepted)))])]
#[case::a_refused_one_in_force(vec![
    replace(7, 1, 0, Some((1, Accepted))), replace(7, 2, 2, Some((3, Conflict))), read(4, 5, Some((7, 2))),
])]
#[case::a_read_goes_back(vec![
    replace(7, 1, 0, Some((1, Accepted))), replace(9, 2, 2, None), read(3, 4, Some((9, 2))), read(5, 6, Some((7, 1))),
])]
#[case::a_lower_number_in_force(vec![
    replace(9, 1, 0, Some((1, Accepted))), replace(7, 2, 2, Some((3, Accepted))), read(4, 5, Some((7, 2))),
])]
#[case::read_and_never_sent(vec![read(0, 1, Some((7, 1)))])]
#[case::read_before_it_was_sent(vec![read(0, 1, Some((7, 1))), replace(7, 1, 2, Some((3, Accepted)))])]
fn no_machine_gives_these_documents(#[case] calls: Vec<Documented>) {
    check(&ConfigModel, &calls).expect_err("a history that can't be");
}

#[rstest]
#[case::one_of_two(vec![replace(7, 1, 0, Some((9, Accepted))), replace(7, 2, 1, Some((8, Conflict)))])]
#[case::the_unanswered_one_won(vec![
    replace(7, 1, 0, None), replace(7, 2, 1, Some((8, Conflict))), read(9, 10, Some((7, 1))),
])]
#[case::the_unanswered_one_won_late(vec![
    replace(7, 1, 0, None), read(5, 6, None), replace(7, 2, 7, Some((8, Conflict))),
])]
#[case::the_unanswered_one_never_came(vec![replace(7, 1, 0, None), replace(7, 2, 1, Some((8, Accepted)))])]
#[case::again(vec![replace(7, 1, 0, None), replace(7, 1, 3, Some((4, Accepted))), replace(7, 1, 5, Some((6, Accepted)))])]
#[case::overtaken(vec![
    replace(9, 1, 0, Some((1, Accepted))), replace(7, 2, 2, Some((3, Accepted))), replace(7, 3, 4, Some((5, Conflict))),
    read(6, 7, Some((9, 1))),
])]
#[case::reads_at_the_same_time_differ(vec![
    replace(7, 1, 0, Some((9, Accepted))), read(1, 8, None), read(1, 8, Some((7, 1))),
])]
fn a_machine_gives_these_documents(#[case] calls: Vec<Documented>) {
    check(&ConfigModel, &calls).expect("a history that can be");
}

#[rstest]
#[case::two_under_way(vec![
    begin(0, 1, 0, ACCEPTED), state(3, 4, Some((1, RolloutStatus::Active))), begin(1, 2, 5, Some((6, RolloutResponse::Accepted))),
    state(7, 8, Some((1, RolloutStatus::Active))),
])]
#[case::refused_for_nothing(vec![begin(0, 1, 0, Some((1, RolloutResponse::Conflict)))])]
#[case::a_taken_one_refused(vec![
    begin(0, 1, 0, ACCEPTED), begin(1, 2, 3, Some((4, RolloutResponse::Accepted))),
    begin(0, 1, 5, Some((6, RolloutResponse::Conflict))),
])]
#[case::a_copy_begins_anew(vec![
    begin(0, 1, 0, ACCEPTED), state(3, 4, Some((1, RolloutStatus::RolledBack))), begin(0, 1, 5, Some((6, RolloutResponse::Accepted))),
    state(7, 8, Some((1, RolloutStatus::Active))),
])]
#[case::a_copy_goes_back(vec![
    begin(0, 1, 0, ACCEPTED), state(3, 4, Some((1, RolloutStatus::Completed))), begin(1, 2, 5, Some((6, RolloutResponse::Accepted))),
    state(7, 8, Some((2, RolloutStatus::Completed))), begin(0, 1, 9, Some((10, RolloutResponse::Accepted))),
    state(11, 12, Some((1, RolloutStatus::Active))),
])]
#[case::taken_and_gone(vec![begin(0, 1, 0, ACCEPTED), state(3, 4, None)])]
#[case::a_read_goes_back(vec![
    begin(0, 1, 0, ACCEPTED), state(3, 4, Some((1, RolloutStatus::RolledBack))), state(5, 6, Some((1, RolloutStatus::Active))),
])]
fn no_machine_gives_these_rollouts(#[case] calls: Vec<Rolled>) {
    check(&RolloutModel, &calls).expect_err("a history that can't be");
}

#[rstest]
#[case::refused_while_another_is_under_way(vec![
    begin(0, 1, 0, None), begin(1, 2, 3, Some((4, RolloutResponse::Conflict))), state(5, 6, Some((1, RolloutStatus::Active))),
])]
#[case::a_copy_while_another_is_under_way(vec![
    begin(0, 1, 0, None), begin(1, 2, 3, Some((4, RolloutResponse::Accepted))),
    begin(0, 1, 5, Some((6, RolloutResponse::Accepted))), state(7, 8, Some((2, RolloutStatus::Active))),
])]
#[case::a_new_order_for_the_same(vec![
    begin(0, 1, 0, ACCEPTED), state(3, 4, Some((1, RolloutStatus::RolledBack))), begin(1, 1, 5, Some((6, RolloutResponse::Accepted))),
    state(7, 8, Some((1, RolloutStatus::Active))), state(9, 10, Some((1, RolloutStatus::Completed))),
])]
#[case::a_new_order_for_what_stands(vec![
    begin(0, 1, 0, ACCEPTED), state(3, 4, Some((1, RolloutStatus::Completed))), begin(1, 1, 5, Some((6, RolloutResponse::Accepted))),
    state(7, 8, Some((1, RolloutStatus::Completed))),
])]
fn a_machine_gives_these_rollouts(#[case] calls: Vec<Rolled>) {
    check(&RolloutModel, &calls).expect("a history that can be");
}
