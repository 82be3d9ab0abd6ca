use super::*;
use crate::testing::*;
use magpieline_attempt_log::request::{AttemptRequest, Idempotency, Outcome, Rejection};
use magpieline_operator_config::Schema;

fn values(journal: &Path) -> Values {
    let file = format!(
        "<magpieline><extproc listen='127.0.0.1:0' journal='{}'>\
             <route prefix='/pay' group='pay' timeout-ms='1500'/></extproc></magpieline>",
        journal.display()
    );
    Schema::bundled().check(&file).expect("a good file")
}

/// What was told before a restart is known after it, what was not is not; a damaged journal vouches for nothing
/// older.
#[test]
fn a_restart_knows_what_was_told() {
    let path = folder("extproc").join("calls.journal");
    let ask = |id| AttemptRequest {
        id,
        idempotency: Idempotency::NonIdempotent,
        is_retry: false,
        received_at: Some(unix() - 0.5),
    };
    let start = || {
        let exchange = exchange_of(&["127.0.0.1:1".parse().expect("an address")]);
        front(&values(&path), &exchange)
            .expect("a front")
            .expect("one that is asked for")
            .1
    };
    run(async {
        let front = start();
        assert_eq!(
            front.ask(&ask(1)),
            Err(Rejection::Unknown),
            "older than the journal"
        );
        for id in 1..4 {
            front
                .ask(&AttemptRequest {
                    received_at: None,
                    ..ask(id)
                })
                .expect("new");
        }
        front
            .sent(1, "127.0.0.1:1".parse().expect("an address"))
            .await
            .expect("written");
        front
            .sent(2, "127.0.0.1:1".parse().expect("an address"))
            .await
            .expect("written");
        front.over(2, true, Outcome::NeverRan);
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    });
    std::thread::sleep(std::time::Duration::from_millis(300)); // until its thread has let the file go
    run(async {
        let front = start();
        assert_eq!(front.ask(&ask(1)), Err(Rejection::MayHaveRun));
        assert_eq!(front.ask(&ask(2)), Ok(None), "turned away unseen");
        assert_eq!(front.ask(&ask(3)), Ok(None), "never told");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    });
    std::thread::sleep(std::time::Duration::from_millis(300));
    let mut bytes = std::fs::read(&path).expect("a file");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    std::fs::write(&path, &bytes).expect("flipped");
    run(async {
        let front = start();
        assert_eq!(
            front.ask(&ask(9)),
            Err(Rejection::Unknown),
            "older than what is known"
        );
        let file = values(Path::new("/proc/nowhere/calls.journal"));
        assert!(
            super::front(&file, &exchange()).is_err_and(|e| e.starts_with("extproc/@journal: "))
        );
    });
}
