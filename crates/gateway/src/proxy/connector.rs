//! How a proxy connects to endpoints: by sockets in service, by streams of their own in simulations.

use super::endpoint_stream::EndpointStream;
use crate::clock::Micros;
use crate::net;
use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};

/// A connection's bytes.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> Stream for S {}

/// A connection that comes up, or does not.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>> + Send>>;

/// Connects to an address within a time.
pub type Connector = Arc<dyn Fn(SocketAddrV4, Micros) -> Connecting + Send + Sync>;

/// Returns a connector over TCP.
pub fn tcp() -> Connector {
    Arc::new(|address, timeout| {
        Box::pin(async move {
            let stream = net::connect(address, timeout).await?;
            let stream = EndpointStream::new(stream);
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    })
}
