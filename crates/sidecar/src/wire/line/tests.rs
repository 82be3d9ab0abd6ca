use super::*;
use crate::testing::{run, server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A node that resets a connection as it is written to: what the write did not take never arrived.
#[test]
fn a_write_that_fails_is_noted_as_short_and_one_that_is_taken_as_whole() {
    run(async {
        let address = server(|stream| async move { drop(stream) }).await;
        let (_, trace) = traced(async {
            let mut line = Line::new(TcpStream::connect(address).await.expect("connected"));
            assert!(line.write_all(b"GET").await.is_ok());
            assert!(TRACE.with(|t| t.begun.get() && !t.short.get()));
            let _ = line.read(&mut [0; 8]).await; // the end, or the reset
            while line.write_all(b"GET").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        })
        .await;
        assert!(trace.short.get());
    });
}
