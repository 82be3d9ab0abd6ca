//! One call over a connection of its own.

use magpieline_proxy_simulation::http_reader::{Message, Reader};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Calls and returns the answer; none if there is none in time.
pub(crate) async fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> Option<Message> {
    let calling = async {
        let mut stream = TcpStream::connect(SocketAddr::V4(address)).await.ok()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut reader = Reader::default();
        let mut answer = reader.read_head(&mut stream).await.ok()?;
        reader.read_body(&mut stream, &mut answer).await.ok()?;
        Some(answer)
    };
    timeout(within, calling).await.ok().flatten()
}
