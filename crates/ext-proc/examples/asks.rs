//! Asks a processor on loopback, closed loop, and tells it at once that all went well: `asks ADDRESS STREAMS SECONDS`.
//! Each ask is a stream of its own, as proxies do it. Prints calls, what they were answered, and the times to the answer.

use magpieline_ext_proc::messages::*;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic_prost::ProstCodec;

fn shown(shown: fn(HttpHeaders) -> Shown, pairs: &[(&str, &str)]) -> ProcessingRequest {
    ProcessingRequest {
        request: Some(shown(HttpHeaders::alone(pairs))),
        observability_mode: false,
    }
}

/// One ask: whether it was told where to go, and how long that took.
async fn ask(channel: Channel, id: String) -> Result<(bool, f64), tonic::Status> {
    let begun = Instant::now();
    let (say, said) = mpsc::channel(4);
    let mut grpc = tonic::client::Grpc::new(channel);
    grpc.ready()
        .await
        .map_err(|e| tonic::Status::unavailable(e.to_string()))?;
    let path = http::uri::PathAndQuery::from_static(
        "/envoy.service.ext_proc.v3.ExternalProcessor/Process",
    );
    let codec: ProstCodec<ProcessingRequest, ProcessingResponse> = ProstCodec::default();
    let path_of_hit = if id.ends_with('7') {
        "/pay/a"
    } else {
        "/read/a"
    };
    let pairs = [
        (":method", "GET"),
        (":path", path_of_hit),
        (":authority", "studio.example"),
        ("user-agent", "asks"),
        ("x-request-id", id.as_str()),
    ];
    let _ = say.send(shown(Shown::RequestHeaders, &pairs)).await; // the channel is ours
    let mut told = grpc
        .streaming(tonic::Request::new(ReceiverStream::new(said)), path, codec)
        .await?
        .into_inner();
    let answer = told.message().await?.and_then(|m| m.response);
    let spent = begun.elapsed().as_secs_f64();
    let goes = matches!(answer, Some(Reply::RequestHeaders(_)));
    if goes {
        let _ = say
            .send(shown(Shown::ResponseHeaders, &[(":status", "200")]))
            .await;
        told.message().await?;
    }
    Ok((goes, spent))
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let words: Vec<String> = std::env::args().collect();
    let at = words
        .get(1)
        .cloned()
        .unwrap_or_else(|| "127.0.0.1:9300".into());
    let streams: usize = words.get(2).map_or(Ok(16), |w| w.parse())?;
    let seconds: u64 = words.get(3).map_or(Ok(5), |w| w.parse())?;
    let channel = Endpoint::from_shared(format!("http://{at}"))?
        .connect()
        .await?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let run = std::process::id();
    let tasks = (0..streams).map(|n| {
        let channel = channel.clone();
        tokio::spawn(async move {
            let (mut times, mut bounced, mut asked) = (Vec::new(), 0u64, 0u64);
            while Instant::now() < until {
                asked += 1;
                match ask(channel.clone(), format!("{run}-{n}-{asked}")).await {
                    Ok((true, spent)) => times.push(spent),
                    _ => bounced += 1,
                }
            }
            (times, bounced)
        })
    });
    let (mut times, mut bounced) = (Vec::new(), 0);
    for task in tasks.collect::<Vec<_>>() {
        let (own, others) = task.await?;
        times.extend(own);
        bounced += others;
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
        "{} calls, {bounced} not sent on, {} a second, answer p50 {:.3} ms, p99 {:.3} ms",
        times.len(),
        times.len() as u64 / seconds,
        at(0.5),
        at(0.99)
    );
    Ok(())
}
