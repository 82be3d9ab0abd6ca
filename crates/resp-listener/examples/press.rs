//! Presses GETs on a RESP address on loopback, closed loop: `press ADDRESS CONNECTIONS PIPELINE SECONDS`. Prints hits,
//! errors, and the times of whole batches.

use bytes::{Bytes, BytesMut};
use magpieline_resp::{Limits, Reader, Value, Version};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn press(
    at: String,
    number: usize,
    depth: usize,
    until: Instant,
) -> std::io::Result<(u64, u64, Vec<f64>)> {
    let mut stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut hits, mut errors, mut times) =
        (Reader::new(Limits::default()), 0, 0, Vec::new());
    while Instant::now() < until {
        let mut out = BytesMut::new();
        for i in 0..depth {
            let key = format!("k{}", (number * 31 + i * 7 + hits as usize) % 997);
            let words = vec![
                Value::Bulk(Bytes::from_static(b"GET")),
                Value::Bulk(key.into()),
            ];
            Value::Array(words).write(Version::Resp2, &mut out);
        }
        let begun = Instant::now();
        stream.write_all(&out).await?;
        let mut owed = depth;
        while owed > 0 {
            let mut piece = BytesMut::with_capacity(64 << 10);
            if stream.read_buf(&mut piece).await? == 0 {
                return Err(std::io::Error::other("closed"));
            }
            reader.feed(&piece);
            while let Some(value) = reader
                .next_value()
                .map_err(|e| std::io::Error::other(e.0))?
            {
                (hits, owed) = (hits + 1, owed - 1);
                errors += u64::from(value.is_error());
            }
        }
        times.push(begun.elapsed().as_secs_f64());
    }
    Ok((hits, errors, times))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize, otherwise| {
        words
            .get(i)
            .and_then(|w| w.parse().ok())
            .unwrap_or(otherwise)
    };
    let at = words
        .first()
        .cloned()
        .unwrap_or_else(|| "127.0.0.1:6380".into());
    let (connections, depth, seconds) = (number(1, 16), number(2, 1), number(3, 5));
    let until = Instant::now() + Duration::from_secs(seconds as u64);
    let all = (0..connections)
        .map(|n| tokio::spawn(press(at.clone(), n, depth, until)))
        .collect::<Vec<_>>();
    let (mut hits, mut errors, mut times) = (0, 0, Vec::new());
    for one in all {
        let (h, e, t) = one.await.map_err(std::io::Error::other)??;
        (hits, errors) = (hits + h, errors + e);
        times.extend(t);
    }
    times.sort_by(f64::total_cmp);
    let at = |part: f64| {
        times
            .get((times.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(f64::NAN)
            * 1e3
    };
    println!(
        "{hits} hits, {errors} errors, {} a second, batch p50 {:.2} ms, p99 {:.2} ms",
        hits / seconds as u64,
        at(0.5),
        at(0.99)
    );
    Ok(())
}
