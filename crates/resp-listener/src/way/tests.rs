use super::*;
use crate::testing::*;

const LIMIT: Duration = Duration::from_millis(400);

fn pipes(address: SocketAddr) -> Pipes {
    Pipes::new(address, LIMIT, Duration::from_secs(5), None, 1)
}

/// Sends commands at once; how each ended, in their order.
async fn all(pipes: &Pipes, commands: &[&str], limit: Duration) -> Vec<End> {
    let sent = commands.iter().map(|c| pipes.forward(load(c), limit));
    futures_util::future::join_all(sent).await
}

fn text(end: &End) -> String {
    match end {
        End::Answered { body, .. } => String::from_utf8_lossy(body).into_owned(),
        other => format!("{other:?}"),
    }
}

#[test]
fn replies_go_to_their_commands_and_connections_are_few() {
    run(async {
        let node = echo(Duration::from_millis(20)).await;
        let way = pipes(node.address);
        let names: Vec<String> = (0..40).map(|i| format!("k{i}")).collect();
        let commands: Vec<String> = names.iter().map(|n| format!("GET {n}")).collect();
        let commands: Vec<&str> = commands.iter().map(String::as_str).collect();
        let ends = all(&way, &commands, 5 * LIMIT).await;
        for (end, name) in ends.iter().zip(&names) {
            assert_eq!(text(end), format!("${}\r\n{name}\r\n", name.len()));
        }
        assert!(node.connections.get() <= MOST, "{}", node.connections.get());
        assert_eq!(node.seen.borrow().values().sum::<u32>(), 40);
    });
}

#[test]
fn more_than_may_be_owed_is_turned_away_unsent() {
    run(async {
        let node = echo(Duration::from_secs(9)).await;
        let way = pipes(node.address);
        let many = MOST * DEPTH + 5;
        let commands: Vec<String> = (0..many).map(|i| format!("GET k{i}")).collect();
        let commands: Vec<&str> = commands.iter().map(String::as_str).collect();
        let ends = all(&way, &commands, LIMIT).await;
        let busy = ends.iter().filter(|e| matches!(e, End::Busy)).count();
        assert!(busy >= 5 && busy < many, "{busy}");
        let seen = node.seen.borrow().values().sum::<u32>() as usize;
        assert!(seen <= many - busy);
    });
}

#[test]
fn errors_mean_what_their_words_say() {
    run(async {
        let words = [
            "-TRYAGAIN",
            "-LOADING now",
            "-ERR no",
            "!5\r\nOOM a",
            "|1\r\n+a\r\n:1\r\n-ERR",
        ];
        let text: String = words.iter().map(|w| format!("{w}\r\n")).collect();
        let way = pipes(scripted(vec![text.into_bytes()]).await);
        let ends = all(&way, &["A 1", "A 2", "A 3", "A 4", "A 5"][..1], LIMIT).await;
        assert!(matches!(ends[0], End::TurnedAway), "{ends:?}");
        let reader = &mut Reader::new(Limits::default());
        reader.feed(
                b"-TRYAGAIN\r\n-LOADING now\r\n-ERR no\r\n!5\r\nOOM a\r\n|1\r\n+a\r\n:1\r\n-ERR\r\n:1\r\n",
            );
        let ends: Vec<String> = std::iter::from_fn(|| reader.next_value().expect("readable"))
            .map(|v| super::tests::text(&end(v)))
            .collect();
        assert_eq!(
            ends,
            [
                "TurnedAway",
                "TurnedAway",
                "Failed",
                "TurnedAway",
                "Failed",
                ":1\r\n"
            ]
        );
    });
}

/// A batch's connection breaks after each byte of its replies in turn: those that came whole are answered, the
/// rest may have run, and none is taken for another's.
#[test]
fn a_batch_that_loses_its_connection_at_any_byte_shifts_nothing() {
    let replies = b"$2\r\nk0\r\n>1\r\n+x\r\n$2\r\nk1\r\n|1\r\n+a\r\n:1\r\n$2\r\nk2\r\n";
    let whole_at = [8, 24, 44];
    for cut in 0..=replies.len() {
        run(async {
            let way = pipes(scripted(vec![replies[..cut].to_vec()]).await);
            let ends = all(&way, &["GET k0", "GET k1", "GET k2"], 4 * LIMIT).await;
            for (i, end) in ends.iter().enumerate() {
                if cut >= whole_at[i] {
                    assert!(
                        text(end).ends_with(&format!("$2\r\nk{i}\r\n")),
                        "{cut}: {end:?}"
                    );
                } else {
                    assert!(matches!(end, End::CutAfter), "{cut}: {end:?}");
                }
            }
        });
    }
}

/// What was never written whole never ran; it is far beyond what the kernel holds for a node that reads nothing.
#[test]
fn a_command_that_was_cut_in_writing_provably_never_ran() {
    run(async {
        let way = pipes(deaf(Duration::from_millis(150)).await);
        let long = format!("SET k {}", "v".repeat(32 << 20));
        let ends = all(&way, &["GET a", &long, "GET b"], 10 * LIMIT).await;
        assert!(matches!(ends[0], End::CutAfter), "{ends:?}");
        assert!(matches!(ends[1], End::CutBefore), "{ends:?}");
        assert!(matches!(ends[2], End::CutBefore), "{ends:?}");
    });
}

/// Else its bytes would reach the node whenever that reads again, long after it was told to drain.
#[test]
fn a_node_that_takes_no_byte_is_left_before_any_grace_ends() {
    run(async {
        let way = pipes(deaf(Duration::from_secs(20)).await);
        let long = format!("SET k {}", "v".repeat(32 << 20));
        let begun = Instant::now();
        let ends = all(&way, &["GET a", &long, "GET b"], Duration::from_secs(10)).await;
        assert!(
            begun.elapsed() < Duration::from_secs(6),
            "{:?}",
            begun.elapsed()
        );
        assert!(
            matches!(ends[..], [End::CutAfter, End::CutBefore, End::CutBefore]),
            "{ends:?}"
        );
    });
}

#[test]
fn replies_that_cannot_be_believed_end_the_connection() {
    run(async {
        // One too many: the first is answered, and the connection is not used again.
        let way = pipes(scripted(vec![b":1\r\n:2\r\n".to_vec(), b":3\r\n".to_vec()]).await);
        assert_eq!(text(&all(&way, &["A"], LIMIT).await[0]), ":1\r\n");
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(text(&all(&way, &["A"], LIMIT).await[0]), ":3\r\n");
        // One too few, and one that never ends: silence.
        let way = pipes(held(b":1\r\n".to_vec()).await);
        let ends = all(&way, &["A", "B"], LIMIT).await;
        assert_eq!(
            (text(&ends[0]), text(&ends[1])),
            (":1\r\n".into(), "Silent".into())
        );
        let way = pipes(held(b"*?\r\n:1\r\n:1\r\n".to_vec()).await);
        assert_eq!(text(&all(&way, &["A"], LIMIT).await[0]), "Silent");
        // No reply at all by the protocol: it may have run, and so may what was behind it.
        let way = pipes(held(b"HTTP/1.1 400 Bad Request\r\n".to_vec()).await);
        let ends = all(&way, &["A", "B"], LIMIT).await;
        assert_eq!(
            (text(&ends[0]), text(&ends[1])),
            ("Unreadable".into(), "CutAfter".into())
        );
    });
}

/// A reply that comes after it was given up answers nobody else.
#[test]
fn a_reply_for_a_command_already_given_up_is_not_the_next_one_s() {
    run(async {
        let node = echo(Duration::from_millis(300)).await;
        let way = pipes(node.address);
        assert_eq!(
            text(&all(&way, &["GET a"], Duration::from_millis(150)).await[0]),
            "Silent"
        );
        let ends = all(&way, &["GET b", "GET c"], 5 * LIMIT).await;
        assert_eq!(
            (text(&ends[0]), text(&ends[1])),
            ("$1\r\nb\r\n".into(), "$1\r\nc\r\n".into())
        );
    });
}

#[test]
fn an_older_node_is_greeted_in_its_own_way() {
    run(async {
        let way = pipes(older().await);
        assert_eq!(text(&all(&way, &["GET a"], LIMIT).await[0]), "$1\r\na\r\n");
    });
}

#[test]
fn a_node_that_refuses_is_left_alone_for_a_while() {
    run(async {
        let way = pipes(nobody().await);
        assert!(matches!(all(&way, &["A"], LIMIT).await[0], End::Refused));
        let begun = Instant::now();
        for _ in 0..1000 {
            assert!(matches!(all(&way, &["A"], LIMIT).await[0], End::Refused));
        }
        assert!(way.0.failures.get() < 20, "{}", way.0.failures.get());
        assert!(begun.elapsed() < Duration::from_secs(2));
    });
}

#[test]
fn a_way_sends_nothing_of_another_front() {
    run(async {
        let node = echo(Duration::ZERO).await;
        let other = Rc::new(Load {
            id: 1,
            head: Box::new(()),
            body: Bytes::from_static(b"*1\r\n$1\r\nA\r\n"),
        });
        assert!(matches!(
            pipes(node.address).forward(other, LIMIT).await,
            End::Nowhere
        ));
        assert_eq!(node.connections.get(), 0);
    });
}
