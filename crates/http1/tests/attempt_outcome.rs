//! What the end of an attempt means for its request.

use magpieline_http1::attempt_outcome::{
    retry_after_seconds, AttemptOutcome, NextStep, RequestState,
};
use rstest::rstest;

fn sent(is_idempotent: bool, max_attempts: u32) -> RequestState {
    let mut request = RequestState::new(is_idempotent, max_attempts, 1000);
    request.on_sent();
    request
}

/// Guards against a request that runs twice, and against a promise that is none: what may run once is sent again or
/// refused only where it provably never ran.
#[rstest]
#[case(AttemptOutcome::Answered { status: 200 }, NextStep::Respond)]
#[case(AttemptOutcome::Answered { status: 500 }, NextStep::Respond)]
#[case(AttemptOutcome::Answered { status: 503 }, NextStep::BadGateway)]
#[case(AttemptOutcome::Rejected, NextStep::Retry)]
#[case(AttemptOutcome::NotSent, NextStep::Retry)]
#[case(AttemptOutcome::ConnectionLost, NextStep::BadGateway)]
#[case(AttemptOutcome::InvalidResponse, NextStep::BadGateway)]
#[case(AttemptOutcome::TimedOut, NextStep::BadGateway)]
#[case(AttemptOutcome::Cancelled, NextStep::BadGateway)]
fn what_is_not_idempotent(#[case] outcome: AttemptOutcome, #[case] next: NextStep) {
    assert_eq!(sent(false, 2).on_outcome(10, outcome, true), next);
    let without = if next == NextStep::Retry {
        NextStep::RejectUnprocessed
    } else {
        next
    };
    assert_eq!(sent(false, 2).on_outcome(10, outcome, false), without);
}

/// Guards against idempotent requests that fail although another endpoint could have answered them.
#[rstest]
#[case(AttemptOutcome::Answered { status: 404 }, NextStep::Respond, NextStep::Respond)]
#[case(AttemptOutcome::Answered { status: 500 }, NextStep::Retry, NextStep::Respond)]
#[case(AttemptOutcome::Rejected, NextStep::Retry, NextStep::RejectUnprocessed)]
#[case(AttemptOutcome::ConnectionLost, NextStep::Retry, NextStep::BadGateway)]
#[case(AttemptOutcome::InvalidResponse, NextStep::Retry, NextStep::BadGateway)]
fn what_is_idempotent(
    #[case] outcome: AttemptOutcome,
    #[case] first: NextStep,
    #[case] last: NextStep,
) {
    let mut request = sent(true, 2);
    assert_eq!(request.on_outcome(10, outcome, true), first);
    if first == NextStep::Retry {
        request.on_sent();
        // The second try was the last; what was refused twice and never ran is refused.
        assert_eq!(request.on_outcome(20, outcome, true), last);
    }
}

/// Guards against a request answered by the failure of one attempt while the other still runs.
#[test]
fn of_two_attempts_the_one_that_serves_answers() {
    let mut request = sent(true, 3);
    assert!(request.may_hedge());
    request.on_sent();
    assert!(!request.may_hedge());
    assert_eq!(
        request.on_outcome(10, AttemptOutcome::ConnectionLost, true),
        NextStep::Wait
    );
    assert_eq!(
        request.on_outcome(20, AttemptOutcome::Answered { status: 200 }, true),
        NextStep::Respond
    );
}

/// Guards against refusals after the time is over that hide that something may have run.
#[test]
fn a_silent_endpoint_is_no_promise() {
    assert_eq!(
        sent(false, 2).on_outcome(1000, AttemptOutcome::TimedOut, true),
        NextStep::GatewayTimeout
    );
    assert_eq!(
        sent(true, 2).on_outcome(1000, AttemptOutcome::TimedOut, true),
        NextStep::GatewayTimeout
    );
    assert_eq!(
        RequestState::new(false, 2, 1000).give_up(2000),
        NextStep::RejectUnprocessed
    );
    assert_eq!(
        (
            retry_after_seconds(200_000, 3_000_000),
            retry_after_seconds(900_000, 300_000)
        ),
        (0.2, 0.1)
    );
}
