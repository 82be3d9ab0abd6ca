//! The end: what has been taken and what still arrives is served, then the program ends by itself.

use crate::memory::exchange::Exchange;
use crate::wire::clients::Crowd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};

/// How long after the signal connections stay open: others hear of the end within four tenths of a second
/// and go on using them until then.
const OPEN_FOR: Duration = Duration::from_millis(500);
/// How often it is looked whether all is done.
const LOOK: Duration = Duration::from_millis(20);
/// How often nothing may be found in hand in a row before the end: no more can come then.
const QUIET: u32 = 10;
/// How long connections that carry nothing may hold up the end: longer than one that came late is waited for.
const LINGER: Duration = Duration::from_secs(2);

/// Waits for SIGTERM (or SIGINT).
pub async fn asked() -> Result<(), String> {
    let listen = |kind| signal(kind).map_err(|e| format!("signals: could not be listened for: {e}"));
    let (mut term, mut int) = (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Serves what is in hand and what still arrives, until all is done.
pub async fn finish(exchange: Rc<Exchange>, crowd: Rc<Crowd>) {
    log::info!("stopping: serving what is in hand");
    let begun = Instant::now();
    exchange.stop();
    tokio::time::sleep(OPEN_FOR).await;
    exchange.close();
    let mut quiet = 0;
    while quiet < QUIET {
        tokio::time::sleep(LOOK).await;
        let done = exchange.idle() && (crowd.is_empty() || begun.elapsed() > LINGER);
        quiet = if done { quiet + 1 } else { 0 };
    }
    log::info!("stopped");
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::*;
    use crate::wire::clients;
    use tokio::io::AsyncReadExt;
    use tokio::net::{TcpListener, TcpStream};

    /// What was taken before the signal and what comes after it are answered; an idle connection is closed; then
    /// it ends by itself.
    #[test]
    fn it_ends_once_nothing_is_in_hand() {
        run(async {
            let slow = server(|mut stream| async move {
                message(&mut stream).await;
                tokio::time::sleep(Duration::from_millis(800)).await;
                write(&mut stream, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody").await;
            });
            let (exchange, crowd) = (exchange_of(&[slow.await]), Rc::new(Crowd::new(100)));
            let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
            let address = listener.local_addr().expect("an address");
            actix_rt::spawn(clients::serve(exchange.clone(), listener, crowd.clone()));
            let mut idle = TcpStream::connect(address).await.expect("connected");
            let hit = "GET /read HTTP/1.1\r\nhost: a\r\nx-remaining-ms: 1900\r\n\r\n";
            let answers: Vec<_> = [0, 300]
                .map(|after| {
                    actix_rt::spawn(async move {
                        tokio::time::sleep(Duration::from_millis(after)).await;
                        let mut stream = TcpStream::connect(address).await.expect("connected");
                        write(&mut stream, hit).await;
                        let mut answer = String::new();
                        stream.read_to_string(&mut answer).await.expect("an answer and the end");
                        answer
                    })
                })
                .into();
            tokio::time::sleep(Duration::from_millis(100)).await;
            let begun = Instant::now();
            finish(exchange, crowd).await;
            assert!(begun.elapsed() < Duration::from_millis(1800), "{:?}", begun.elapsed());
            for answer in answers {
                let answer = answer.await.expect("a task that ends");
                assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.ends_with("body"), "{answer}");
            }
            assert_eq!(idle.read(&mut [0; 8]).await.expect("the end"), 0);
        });
    }
}
