use super::*;
use crate::testing::*;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::AsyncReadExt;

const LIMIT: Duration = Duration::from_millis(300);

fn parcel(body: &'static str) -> (Head, Bytes) {
    let mut headers = awc::http::header::HeaderMap::new();
    headers.insert(
        http::HeaderName::from_static("x-txn"),
        http::HeaderValue::from_static("a1"),
    );
    let method = if body.is_empty() {
        Method::GET
    } else {
        Method::POST
    };
    (
        Head {
            method,
            target: PathAndQuery::from_static("/read/a%20b?c=d"),
            headers,
        },
        body.into(),
    )
}

impl Reach {
    async fn sent(&self, (head, body): &(Head, Bytes), limit: Duration) -> End {
        self.forward(head, body, limit).await
    }
}

fn reach(address: SocketAddr) -> Reach {
    Reach::new(address, Duration::from_millis(150), Duration::from_secs(1)).expect("an address")
}

/// How a forward ends at a node that answers like this and then hangs up.
fn ends(text: &'static str) -> End {
    run(async move {
        let address = server(move |mut stream| async move {
            message(&mut stream).await;
            write(&mut stream, text).await;
        });
        reach(address.await).sent(&parcel("body"), LIMIT).await
    })
}

#[test]
fn the_client_s_bytes_go_on_and_the_wait_is_told() {
    run(async {
        let address = server(|mut stream| async move {
            let came = message(&mut stream).await;
            write(
                &mut stream,
                &format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{came}",
                    came.len()
                ),
            )
            .await;
        });
        let end = reach(address.await)
            .sent(&parcel("{ \"a\" : 1}"), LIMIT)
            .await;
        let End::Answered { body, .. } = end else {
            panic!("{end:?}")
        };
        let came = String::from_utf8_lossy(&body).into_owned();
        assert!(
            came.starts_with("POST /read/a%20b?c=d HTTP/1.1\r\n"),
            "{came}"
        );
        assert!(
            came.contains("X-Txn: a1\r\n") && came.contains("X-Remaining-Ms: 300\r\n"),
            "{came}"
        );
        assert!(came.ends_with("\r\n\r\n{ \"a\" : 1}"), "{came}");
    });
}

#[test]
fn answers_are_told_apart() {
    let whole = ends("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    assert!(matches!(whole, End::Answered { body, .. } if body == "ok"));
    assert!(matches!(
        ends("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n"),
        End::Failed
    ));
    assert!(matches!(
        ends("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"),
        End::Failed
    ));
    for status in ["503", "504"] {
        let text = format!("HTTP/1.1 {status} No\r\nX-Turned-Away: 1\r\ncontent-length: 0\r\n\r\n");
        assert!(matches!(ends(text.leak()), End::TurnedAway));
    }
    assert!(matches!(
        ends("HTTP/1.1 500 No\r\nX-Turned-Away: 1\r\ncontent-length: 0\r\n\r\n"),
        End::Failed
    ));
    // The library follows no redirect and unpacks nothing.
    assert!(matches!(
        ends("HTTP/1.1 302 Go\r\nlocation: /\r\ncontent-length: 0\r\n\r\n"),
        End::Failed
    ));
    let packed = ends("HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 3\r\n\r\nabc");
    assert!(matches!(packed, End::Answered { body, .. } if body == "abc"));
}

#[test]
fn answers_that_are_not_whole_may_have_run() {
    assert!(matches!(ends(""), End::CutAfter));
    assert!(matches!(
        ends("HTTP/1.1 200 O"),
        End::CutAfter | End::Unreadable
    ));
    assert!(matches!(
        ends("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"),
        End::CutAfter
    ));
    assert!(matches!(
        ends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"),
        End::CutAfter
    ));
    let whole = ends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    assert!(matches!(whole, End::Answered { body, .. } if body == "ok"));
    assert!(matches!(ends("what is this\r\n\r\n"), End::Unreadable));
    let large = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: 65537\r\n\r\n{}",
        "a".repeat(65537)
    );
    assert!(matches!(ends(large.leak()), End::TooLarge));
}

#[test]
fn a_connection_that_is_refused_or_never_up_never_ran_and_silence_may_have() {
    run(async {
        assert!(matches!(
            reach(nobody().await).sent(&parcel(""), LIMIT).await,
            End::Refused
        ));
        let (address, _listener, _held) = full().await;
        assert!(matches!(
            reach(address).sent(&parcel(""), LIMIT).await,
            End::NeverUp
        ));
        let short = Duration::from_millis(20); // before the connect's own bound
        assert!(matches!(
            reach(address).sent(&parcel(""), short).await,
            End::NeverUp
        ));
        let silent = server(|mut stream| async move {
            message(&mut stream).await;
            tokio::time::sleep(Duration::from_secs(9)).await;
        });
        assert!(matches!(
            reach(silent.await).sent(&parcel(""), LIMIT).await,
            End::Silent
        ));
    });
}

/// An answer that can't be used ends its forward as soon as it shows, and its connection.
#[test]
fn spoilt_answers_end_at_once_and_are_passed_on_to_nobody() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 3221225472\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ncontent-length: none\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\n\r\nbody",
        "\u{0}\u{1}\u{2}\u{3}\r\n\r\n",
    ] {
        run(async move {
            let address = server(move |mut stream| async move {
                message(&mut stream).await;
                write(&mut stream, text).await;
                let closed = stream.read(&mut [0; 8]).await; // held open until the other side closes
                assert!(matches!(closed, Ok(0) | Err(_)));
            });
            let (reach, begun) = (reach(address.await), std::time::Instant::now());
            let end = reach.sent(&parcel("body"), 3 * LIMIT).await;
            assert!(
                matches!(end, End::Unreadable | End::TooLarge),
                "{text}: {end:?}"
            );
            assert!(begun.elapsed() < LIMIT / 2, "{text}: {:?}", begun.elapsed());
        });
    }
    // A part only is known once nothing more comes.
    run(async {
        let address = server(|mut stream| async move {
            message(&mut stream).await;
            write(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody",
            )
            .await;
            std::future::pending::<()>().await
        });
        let end = reach(address.await).sent(&parcel("body"), 3 * LIMIT).await;
        assert!(matches!(end, End::Unreadable), "{end:?}");
    });
}

/// What comes in front of an answer or behind it is nobody's: the answer is good, the next hit gets its own.
#[test]
fn interim_answers_are_passed_over_and_a_surplus_ends_its_connection() {
    const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    const OTHER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno";
    for (front, behind, later, connections) in [
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: a\r\n\r\n",
            "",
            "",
            1,
        ),
        ("", OTHER, "", 3),
        ("", "noise", "", 3),
        ("", "", OTHER, 3),
        ("", "", "noise", 3),
    ] {
        run(async move {
            let (address, made) = counted(move |mut stream| async move {
                while !message(&mut stream).await.is_empty() {
                    write(&mut stream, &format!("{front}{GOOD}{behind}")).await;
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    write(&mut stream, later).await;
                }
            })
            .await;
            let reach = reach(address);
            for _ in 0..3 {
                let end = reach.sent(&parcel(""), LIMIT).await;
                assert!(
                    matches!(&end, End::Answered { body, .. } if body == "ok"),
                    "{behind}{later}: {end:?}"
                );
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            assert_eq!(made.get(), connections, "{front}{behind}{later}");
        });
    }
}

/// A time-out covers the body as well, and closes the connection: the node sees the end.
#[test]
fn a_forward_given_up_closes_its_connection() {
    run(async {
        let closed = Rc::new(Cell::new(false));
        let seen = closed.clone();
        let address = server(move |mut stream| {
            let seen = seen.clone();
            async move {
                message(&mut stream).await;
                write(
                    &mut stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
                )
                .await;
                seen.set(matches!(stream.read(&mut [0; 8]).await, Ok(0) | Err(_)));
            }
        });
        assert!(matches!(
            reach(address.await).sent(&parcel(""), LIMIT / 2).await,
            End::Silent
        ));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(closed.get());
    });
}

/// A connection is used again after a whole answer only; one that its node has closed meanwhile is not; a
/// hit under which one breaks is not sent again by the library.
#[test]
fn connections_are_used_again_with_care() {
    run(async {
        let (address, made) = counted(|mut stream| async move {
            for _ in 0..2 {
                message(&mut stream).await;
                write(
                    &mut stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                )
                .await;
            }
            message(&mut stream).await; // the third is read and dropped
        })
        .await;
        let reach = reach(address);
        let hit = parcel("");
        for _ in 0..2 {
            assert!(matches!(
                reach.sent(&hit, LIMIT).await,
                End::Answered { .. }
            ));
        }
        assert!(matches!(reach.sent(&hit, LIMIT).await, End::CutAfter));
        assert_eq!(made.get(), 1);
        assert!(matches!(
            reach.sent(&hit, LIMIT).await,
            End::Answered { .. }
        ));
        assert_eq!(made.get(), 2);

        // The node closes it while it is idle: it is not written to again, and its end is not taken for
        // that of the next one.
        let once = server(|mut stream| async move {
            message(&mut stream).await;
            let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
            write(&mut stream, text).await;
        });
        let reach = super::tests::reach(once.await);
        for _ in 0..2 {
            assert!(matches!(
                reach.sent(&hit, LIMIT).await,
                End::Answered { .. }
            ));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        let closing =
            answering("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok").await;
        let reach = super::tests::reach(closing);
        for _ in 0..2 {
            assert!(matches!(
                reach.sent(&hit, LIMIT).await,
                End::Answered { .. }
            ));
        }
    });
}

/// The library's own bound of a hundred connections is lifted; none is kept beyond its idle time.
#[test]
fn many_hits_are_under_way_at_once_and_idle_connections_do_not_last() {
    run(async {
        let (address, made) = counted(|mut stream| async move {
            while !message(&mut stream).await.is_empty() {
                tokio::time::sleep(Duration::from_millis(100)).await;
                write(
                    &mut stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                )
                .await;
            }
        })
        .await;
        let idle = Duration::from_millis(50);
        let reach = Reach::new(address, LIMIT, idle).expect("an address");
        let hit = parcel("");
        let all =
            futures_util::future::join_all((0..150).map(|_| reach.sent(&hit, 3 * LIMIT))).await;
        assert!(all.iter().all(|end| matches!(end, End::Answered { .. })));
        assert_eq!(made.get(), 150);
        tokio::time::sleep(2 * idle).await;
        assert!(matches!(
            reach.sent(&hit, LIMIT).await,
            End::Answered { .. }
        ));
        assert_eq!(made.get(), 151);
    });
}
