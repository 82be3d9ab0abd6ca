//! A new configuration: at SIGHUP the file is read anew. Its addresses of discovery and platform hold from
//! then on; the list and the news that stand in it may be old and are left alone, both are asked for at once.

use crate::life::control::Hands;
use crate::life::{listen, start};
use crate::memory::exchange::Exchange;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind};

/// Before a file that could not be read is looked at again: whoever replaces it may be half-way.
const PAUSE: Duration = Duration::from_millis(100);

/// The signal that asks for it.
pub fn signals() -> Result<Signal, String> {
    listen(SignalKind::hangup())
}

/// Takes the file's addresses; an error says what is wrong with it, and what held goes on.
fn take(exchange: &Exchange, path: &Path) -> Result<(), String> {
    let start = start::file(path)?;
    exchange.discovery.set(&start.discovery);
    exchange.platform.set(&start.platform);
    log::info!("reload: discovery at {}, platform at {}", start.discovery, start.platform);
    Ok(())
}

/// Reads the file as often as told; one that is wrong, until it is right.
pub async fn follow(exchange: Rc<Exchange>, path: PathBuf, hands: Option<Rc<Hands>>, mut asked: Signal) {
    while asked.recv().await.is_some() {
        // The operators' file goes the way of every change: checked, applied as a whole, watched.
        if let Some(hands) = &hands {
            if let Err(e) = hands.take_file("SIGHUP").await {
                log::warn!("config: {e}");
            }
        }
        while let Err(e) = take(&exchange, &path) {
            exchange.complain("reload", &e);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::*;
    use crate::wire::{list, platform};

    /// Discovery, or a platform, that answers its first call and then keeps silent; which turn was asked.
    async fn silent(answer: String) -> (String, Rc<std::cell::Cell<usize>>) {
        let (address, made) = counted(move |mut stream| {
            let answer = answer.clone();
            async move {
                message(&mut stream).await;
                write(&mut stream, &answer).await;
                std::future::pending::<()>().await
            }
        })
        .await;
        (address.to_string(), made)
    }

    /// With a watch and a stream open and silent at the old addresses, the new ones are asked within moments,
    /// whatever the environment says; a file that is wrong changes nothing and is looked at again.
    #[test]
    fn new_addresses_hold_at_once_and_a_wrong_file_is_read_again() {
        run(async {
            let list = r#"{"rev":7,"all":true,"targets":[]}"#;
            let list = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
            let stream = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
            let (old_list, new_list) = (silent(list.clone()).await, silent(list).await);
            let (old_news, new_news) = (silent(stream.clone()).await, silent(stream).await);
            let exchange = exchange();
            exchange.discovery.set(&old_list.0);
            exchange.platform.set(&old_news.0);
            actix_rt::spawn(list::follow(exchange.clone()));
            actix_rt::spawn(platform::follow(exchange.clone()));
            actix_rt::time::sleep(PAUSE).await;
            assert_eq!((old_list.1.get(), old_news.1.get()), (1, 1));

            let path = std::env::temp_dir().join(format!("magpieline-reload-{}.json", std::process::id()));
            std::fs::write(&path, "{").expect("a file");
            let told = take(&exchange, &path).expect_err("a complaint");
            assert!(told.contains("expected JSON"), "{told}");
            let signal = signals().expect("a signal");
            actix_rt::spawn(follow(exchange.clone(), path.clone(), None, signal));
            let id = std::process::id().to_string();
            let sent = std::process::Command::new("kill").args(["-HUP", &id]).status();
            assert!(sent.is_ok_and(|s| s.success()));
            actix_rt::time::sleep(PAUSE / 2).await;
            let body = start::tests::body_at(&new_list.0, &new_news.0);
            std::fs::write(&path, body.to_string()).expect("a file");
            actix_rt::time::sleep(3 * PAUSE).await;
            assert_eq!((new_list.1.get(), new_news.1.get()), (1, 1));
            assert_eq!((old_list.1.get(), old_news.1.get()), (1, 1));
            std::fs::remove_file(&path).expect("removed");
        });
    }
}
