use super::*;

#[test]
fn only_what_proves_it_never_ran_says_so() {
    let body = Bytes::new();
    let all = [
        (End::Answered { kind: None, body }, Ending::Delivered),
        (End::Failed, Ending::Errored),
        (End::Unreadable, Ending::Spoilt),
        (End::TooLarge, Ending::Spoilt),
        (End::TurnedAway, Ending::TurnedAway),
        (End::Refused, Ending::NoConnection),
        (End::NeverUp, Ending::NoConnection),
        (End::CutBefore, Ending::NoConnection),
        (End::CutAfter, Ending::Broken),
        (End::Fault, Ending::Broken),
        (End::Silent, Ending::NoAnswer),
        (End::CalledOff, Ending::CalledOff),
        (End::NoRoom, Ending::NeverSent),
        (End::Nowhere, Ending::NeverSent),
        (End::Busy, Ending::TurnedAway),
    ];
    all.into_iter()
        .for_each(|(end, means)| assert_eq!(end.ending(), means, "{end:?}"));
}
