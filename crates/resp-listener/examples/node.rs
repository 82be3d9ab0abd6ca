//! A stand-in RESP node on loopback: answers GET with its key, everything else with OK, HELLO with a map. Counts nothing
//! and stores nothing. `node 127.0.0.1:6500`

use bytes::{Bytes, BytesMut};
use magpieline_resp::{Limits, Reader, Value, Version};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut reader = Reader::new(Limits::default());
    loop {
        let (mut piece, mut out) = (BytesMut::with_capacity(64 << 10), BytesMut::new());
        if stream.read_buf(&mut piece).await? == 0 {
            return Ok(());
        }
        reader.feed(&piece);
        while let Some(words) = reader
            .next_command()
            .map_err(|e| std::io::Error::other(e.0))?
        {
            let reply = match (&words[0][..], words.get(1)) {
                (b"HELLO", _) => {
                    Value::Map(vec![(Value::Simple("proto".into()), Value::Integer(3))])
                }
                (b"GET", Some(key)) => Value::Bulk(key.clone()),
                _ => Value::Simple(Bytes::from_static(b"OK")),
            };
            reply.write(Version::Resp3, &mut out);
        }
        stream.write_all(&out).await?;
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let at = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:6500".into());
    let listener = TcpListener::bind(&at).await?;
    println!("a stand-in node at {}", listener.local_addr()?);
    tokio::task::LocalSet::new()
        .run_until(async move {
            loop {
                let (stream, _) = listener.accept().await?;
                stream.set_nodelay(true)?;
                tokio::task::spawn_local(serve(stream));
            }
        })
        .await
}
