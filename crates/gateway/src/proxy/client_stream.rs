//! Streams of clients, which may have ended behind bytes that are not read yet.

use super::connector::Stream;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll};
use tokio::io::{DuplexStream, Interest};
use tokio::net::TcpStream;

/// A client's connection.
pub trait ClientStream: Stream {
    /// Whether the client has ended or reset the connection, as far as that is known: also while bytes that came before are
    /// unread.
    fn is_closed_by_client(&self, cx: &mut Context<'_>) -> bool;
}

impl ClientStream for TcpStream {
    fn is_closed_by_client(&self, cx: &mut Context<'_>) -> bool {
        match pin!(self.ready(Interest::READABLE)).poll(cx) {
            Poll::Ready(Ok(readiness)) => readiness.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }
}

impl ClientStream for DuplexStream {
    /// Its end is known only once all before it is read.
    fn is_closed_by_client(&self, _: &mut Context<'_>) -> bool {
        false
    }
}
