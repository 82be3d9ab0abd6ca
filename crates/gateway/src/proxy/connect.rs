//! How a counter comes by connections to appliances: sockets in service, streams of their own in rigs.

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
pub type Dialled = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>> + Send>>;

/// Connects to an address within a time.
pub type Dial = Arc<dyn Fn(SocketAddrV4, Micros) -> Dialled + Send + Sync>;

/// Connects by TCP.
pub fn tcp() -> Dial {
    Arc::new(|to, within| {
        Box::pin(async move { Ok(Box::new(net::connect(to, within).await?) as Box<dyn Stream>) })
    })
}
