use super::*;
use crate::testing::*;
use crate::wire::clients;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

const HIT: &str = "GET /read HTTP/1.1\r\nhost: a\r\nx-txn: %\r\nx-remaining-ms: 1900\r\n\r\n";

/// An agent over one node that answers after a while, and where clients reach it.
async fn agent(after: u64) -> (Rc<Exchange>, Rc<Crowd>, SocketAddr) {
    let slow = server(move |mut stream| async move {
        while !message(&mut stream).await.is_empty() {
            tokio::time::sleep(Duration::from_millis(after)).await;
            write(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
            )
            .await;
        }
    });
    let (exchange, crowd) = (exchange_of(&[slow.await]), Rc::new(Crowd::new(100)));
    let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(clients::serve(exchange.clone(), listener, crowd.clone()));
    (exchange, crowd, address)
}

async fn asked(address: SocketAddr) -> std::io::Result<String> {
    let (mut stream, mut answer) = (TcpStream::connect(address).await?, String::new());
    let id = stream.local_addr()?.port().to_string();
    write(&mut stream, &HIT.replace('%', &id)).await;
    stream
        .read_to_string(&mut answer)
        .await
        .expect("an answer and the end");
    Ok(answer)
}

/// What was taken before the signal and what comes after it are answered; an idle connection is closed;
/// then it ends by itself.
#[test]
fn it_ends_once_nothing_is_in_hand() {
    run(async {
        let (exchange, crowd, address) = agent(800).await;
        let mut idle = TcpStream::connect(address).await.expect("connected");
        let answers = [0, 300].map(|after| {
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(after)).await;
                asked(address).await.expect("connected")
            })
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
        let begun = Instant::now();
        finish(exchange, crowd).await;
        assert!(
            begun.elapsed() < Duration::from_millis(1800),
            "{:?}",
            begun.elapsed()
        );
        for answer in answers {
            let answer = answer.await.expect("a task that ends");
            assert!(
                answer.starts_with("HTTP/1.1 200 OK") && answer.ends_with("body"),
                "{answer}"
            );
        }
        assert_eq!(idle.read(&mut [0; 8]).await.expect("the end"), 0);
    });
}

/// Clients that go on coming do not hold up the end: after a while their connections are refused.
#[test]
fn clients_that_never_stop_are_refused_in_the_end() {
    run(async {
        let (exchange, crowd, address) = agent(20).await;
        let client = actix_rt::spawn(async move {
            while let Ok(answer) = asked(address).await {
                assert!(answer.ends_with("body"), "{answer}");
            }
        });
        let begun = Instant::now();
        finish(exchange, crowd).await;
        assert!(
            begun.elapsed() < Duration::from_millis(1500),
            "{:?}",
            begun.elapsed()
        );
        client.await.expect("every answer whole");
    });
}
