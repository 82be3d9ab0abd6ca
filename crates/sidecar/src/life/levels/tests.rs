use super::*;
use crate::testing::*;
use crate::wire::clients;
use crate::wire::nodes::ways;
use magpieline_dispatch::{Chosen, Crowd};
use magpieline_operator_config::Schema;
use std::cell::Cell;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};

#[test]
fn proc_is_read_and_odd_text_is_none() {
    let stat = "7 (a b) c) S 1 7 7 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 1 0 100 1 1";
    assert_eq!(cpu(stat), Some(2.0));
    assert_eq!(
        memory("Name:\ta\nVmRSS:\t    2048 kB\n"),
        Some(2048.0 * 1024.0)
    );
    assert!(cpu(&std::fs::read_to_string("/proc/self/stat").expect("readable")).is_some());
    assert!(memory(&std::fs::read_to_string("/proc/self/status").expect("readable")).is_some());
    assert_eq!(
        (cpu("odd"), cpu("1 (a) S 1"), memory("")),
        (None, None, None)
    );
}

#[test]
fn the_last_change_counts_with_the_last_word_that_it_held() {
    let change = |to: &str, at| Change {
        at,
        from: "full".into(),
        to: to.into(),
        because: "cpu".into(),
    };
    let records = [
        Kept::Stands(1.0),
        Kept::Changed(change("busy", 100.0)),
        Kept::Stands(160.0),
        Kept::Stands(150.0),
    ];
    let (found, ago) = last(&records, 170.0).expect("one");
    assert_eq!((found.to.as_str(), ago), ("busy", 10.0));
    assert!(last(&records[..1], 170.0).is_none());
}

const LEVELS: &str = "<magpieline><levels spacing-s='1' spread-s='0.1' JOURNAL>
        <level name='busy' enter='late(read) > 8% or bounced(read) > 8%'
        leave='late(read) &lt; 6% and bounced(read) &lt; 6% and shortage &lt; 20%' least-stay-s='1'>
          <group name='read' share='0.7' least='0.3' most-waiting='4' longest-wait-s='0.05'/></level>
        <level name='jam' enter='late(read) > 90% for 1s' leave='late(read) &lt; 10%' least-stay-s='1'>
          <group name='read' share='0.4' least='0.2'/></level></levels></magpieline>";

fn values(journal: &str) -> Values {
    Schema::bundled()
        .check(&LEVELS.replace("JOURNAL", journal))
        .expect("good levels")
}

/// An agent over one node whose answers take as long as is said, and where clients reach it. Late is after 40 ms.
async fn agent(pause: Rc<Cell<u64>>) -> (Rc<Exchange>, std::net::SocketAddr) {
    let node = server(move |mut stream| {
        let pause = pause.clone();
        async move {
            while !message(&mut stream).await.is_empty() {
                tokio::time::sleep(Duration::from_millis(pause.get())).await;
                write(
                    &mut stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
                )
                .await;
            }
        }
    });
    let info = serde_json::json!({"discovery": "pushed", "classes": [{"name": "read", "repeat": "retryable",
            "goal_time_us": 40000, "hard_limit_us": 2000000}]});
    let ways = ways(around().times.clone(), None, 1);
    let exchange =
        Rc::new(Exchange::new(1, &info, &Chosen::default(), None, ways).expect("an exchange"));
    exchange.listed(true, true, vec![entry(node.await, 0)]);
    let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
    let at = listener.local_addr().expect("an address");
    actix_rt::spawn(clients::serve(
        exchange.clone(),
        listener,
        Rc::new(Crowd::new(200)),
    ));
    (exchange, at)
}

/// A client that asks one after another until told to stop: how many answers of 200 and 503 it had.
async fn client(at: std::net::SocketAddr, number: usize, until: Instant) -> [usize; 2] {
    let (mut answers, mut asked) = ([0; 2], 0);
    while Instant::now() < until {
        let mut stream = TcpStream::connect(at).await.expect("connected");
        asked += 1;
        let head = format!("GET /read HTTP/1.1\r\nhost: a\r\nx-txn: {number}-{asked}\r\n");
        write(
            &mut stream,
            &format!("{head}x-remaining-ms: 1500\r\nconnection: close\r\n\r\n"),
        )
        .await;
        let answer = message(&mut stream).await;
        match answer.get(..12) {
            Some("HTTP/1.1 200") => answers[0] += 1,
            Some("HTTP/1.1 503") => answers[1] += 1,
            _ => panic!("{answer:?}"),
        }
        let mut more = [0; 64];
        let more = tokio::io::AsyncReadExt::read(&mut stream, &mut more).await;
        assert_eq!(more.unwrap_or(0), 0, "more than one answer");
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    answers
}

/// Load that hovers at an edge, over sockets: at most one change of level within the spacing, one answer for each hit,
/// and the level is entered.
#[test]
fn load_that_oscillates_changes_the_level_at_most_once_within_the_spacing() {
    run_within(40, async {
        let pause = Rc::new(Cell::new(2));
        let (exchange, at) = agent(pause.clone()).await;
        begin(&exchange, &values(""), 1).expect("levels");
        let until = Instant::now() + Duration::from_secs(12);
        let hovers = async {
            let mut slow = false;
            while Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(350)).await;
                slow = !slow;
                pause.set(if slow { 70 } else { 2 });
            }
        };
        let clients = futures_util::future::join_all((0..12).map(|n| client(at, n, until)));
        let (answers, ()) = futures_util::future::join(clients, hovers).await;
        let (stands, changes) = exchange.levels().expect("levels");
        assert!(!changes.is_empty(), "{stands:?}");
        for pair in changes.windows(2) {
            assert!(pair[1].at - pair[0].at >= 1.0, "{pair:?}");
        }
        assert!(
            answers.iter().map(|a| a[0]).sum::<usize>() > 200,
            "{answers:?}"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(exchange.idle());
    });
}

/// A restart in the middle of a level goes on with it where there is a disk, and begins with its first seconds where
/// there is none.
#[test]
fn a_restart_goes_on_with_the_level_that_held() {
    let path = folder("levels").join("levels.journal");
    let file = values(&format!("journal='{}'", path.display()));
    let start = |file: &Values| {
        let exchange = exchange();
        begin(&exchange, file, 1).expect("levels");
        exchange
    };
    run(async {
        let exchange = start(&file);
        assert!(exchange.levels().expect("levels").0.starting);
        exchange.hold_level("jam", 60.0, "ada").expect("held");
        tokio::time::sleep(Duration::from_millis(300)).await;
    });
    std::thread::sleep(Duration::from_millis(300)); // until its thread has let the file go
    run(async {
        let (stands, changes) = start(&file).levels().expect("levels");
        assert_eq!(
            (stands.level.as_str(), stands.starting, changes.len()),
            ("jam", false, 1)
        );
        assert_eq!(
            stands.because,
            "as before the restart: held by ada for 60 s"
        );
        let stands = start(&values("")).levels().expect("levels").0;
        assert_eq!((stands.level.as_str(), stands.starting), ("full", true));
    });
}
