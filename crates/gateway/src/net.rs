//! Sockets: listening and connecting with the options that a connection behind a cut needs, frames between agents,
//! and what lets hyper read and write tokio's streams.

use crate::clock::{span, Micros};
use magpieline_control_plane::messages;
use serde::{Deserialize, Serialize};
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Bytes that the other side does not take for so long end a connection: links within a region answer in a few
/// milliseconds, across regions in some hundred.
const UNTAKEN: Duration = Duration::from_millis(1500);
/// New connections that may wait to be taken.
const WAITING: u32 = 1024;

/// Listens at an address, at once again after a restart.
pub fn listen(at: SocketAddrV4) -> io::Result<TcpListener> {
    let listening = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at.into())?;
        socket.listen(WAITING)
    };
    listening().map_err(|e| io::Error::new(e.kind(), format!("{at}: can't listen: {e}")))
}

/// Sets what every connection needs: no delay for small writes, an end where the other side is silent.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNTAKEN))
}

/// Lets the system find out that the other side of an idle connection is gone.
pub fn watch_idle(stream: &TcpStream, after: Duration) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(after)
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Connects within a time.
pub async fn connect(to: SocketAddrV4, within: Micros) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(span(within), TcpStream::connect(to)).await??;
    prepare(&stream)?;
    Ok(stream)
}

/// Reads frames off a stream.
pub struct Frames<R> {
    from: R,
    bytes: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Frames<R> {
    pub fn new(from: R) -> Frames<R> {
        Frames {
            from,
            bytes: Vec::new(),
        }
    }

    /// What they are read off.
    pub fn source(&self) -> &R {
        &self.from
    }

    /// The next message; none at the end. Cancel safe.
    pub async fn next<T: for<'a> Deserialize<'a>>(&mut self) -> io::Result<Option<T>> {
        loop {
            match messages::unframe(&mut self.bytes) {
                Ok(Some(message)) => return Ok(Some(message)),
                Ok(None) => {}
                Err(wrong) => {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        wrong.to_string(),
                    ))
                }
            }
            if self.bytes.is_empty() && self.bytes.capacity() > 64 << 10 {
                self.bytes = Vec::new(); // a large message was read; its room is not kept
            }
            if self.from.read_buf(&mut self.bytes).await? == 0 {
                return Ok(None);
            }
        }
    }
}

/// Writes a message as a frame.
pub async fn say<W: AsyncWrite + Unpin, T: Serialize>(to: &mut W, message: &T) -> io::Result<()> {
    to.write_all(&messages::frame(message)).await
}

thread_local! {
    /// Where bytes are read to while it is not known whose they are.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; 16 << 10]);
}

/// Reads some bytes that are there, at most `most`, and hands them on; how many they were, 0 at the end.
pub fn poll_some<S: AsyncRead + Unpin>(
    stream: &mut S,
    cx: &mut Context<'_>,
    most: usize,
    take: impl FnOnce(&[u8]),
) -> Poll<io::Result<usize>> {
    SCRATCH.with_borrow_mut(|room| {
        let most = most.min(room.len());
        let mut buffer = ReadBuf::new(&mut room[..most]);
        ready!(Pin::new(stream).poll_read(cx, &mut buffer))?;
        let bytes = buffer.filled();
        if !bytes.is_empty() {
            take(bytes);
        }
        Poll::Ready(Ok(bytes.len()))
    })
}

/// A stream as hyper wants it.
pub struct Wire<S>(pub S);

impl<S: AsyncRead + Unpin> hyper::rt::Read for Wire<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut room = [0; 8 << 10];
        let most = into.remaining().min(room.len());
        let mut buffer = ReadBuf::new(&mut room[..most]);
        ready!(Pin::new(&mut self.0).poll_read(cx, &mut buffer))?;
        into.put_slice(buffer.filled());
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> hyper::rt::Write for Wire<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, parts)
    }
}
