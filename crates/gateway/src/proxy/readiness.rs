//! Answers the platform's question whether new clients may come.

use super::Counter;
use crate::net::Wire;
use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;

pub async fn run(counter: Arc<Counter>, asked: TcpListener) {
    loop {
        let Ok((stream, _)) = asked.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        let counter = counter.clone();
        tokio::spawn(async move {
            let _ = crate::net::prepare(&stream);
            let answer = service_fn(move |_| {
                let status = if counter.ready() {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                let mut response = Response::new(Full::<Bytes>::default());
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(Wire(stream), answer)
                .await;
        });
    }
}
