//! Sockets: listening and connecting with the options that a connection behind a partition needs, frames between agents, and what
//! lets hyper read and write tokio's streams.

use crate::clock::{duration, sleep, Micros};
use magpieline_control_plane::messages::{decode_frame, encode_frame};
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

/// Bytes that the other side does not acknowledge for so long end a connection: links within a region answer in a few
/// milliseconds, across regions in some hundred.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// An operator that takes nothing of a reply for so long, alive or not, is given up: what it was to read takes memory.
const OPERATOR_PAUSE: Duration = Duration::from_secs(15);
/// New connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens at an address; at once again after a restart.
///
/// # Errors
///
/// If the address is not to be had; the message names it.
pub fn listen(at: SocketAddrV4) -> io::Result<TcpListener> {
    let listening = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at.into())?;
        socket.listen(BACKLOG)
    };
    listening().map_err(|e| io::Error::new(e.kind(), format!("{at}: can't listen: {e}")))
}

/// Accepts the next connection. Where the system refuses, as it has no descriptor left, it is asked again after `retry_interval`.
pub async fn accept(listener: &TcpListener, retry_interval: Micros) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(retry_interval).await,
        }
    }
}

/// Sets what a connection between agents, to an endpoint or to the platform needs: no delay for small writes, an end where the
/// other side is silent. The system takes a side that reads nothing for a silent one, as agents never do for so long.
///
/// # Errors
///
/// If the system refuses.
pub fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    limit_silence(stream)
}

/// Ends a connection whose other side acknowledges nothing, or reads nothing, for a while.
///
/// # Errors
///
/// If the system refuses.
pub fn limit_silence(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Leaves it to the caller how long the other side may be silent.
///
/// # Errors
///
/// If the system refuses.
pub fn allow_silence(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(None)
}

/// Sets what a client's connection needs: no delay for small writes. Who serves it bounds the time in which a client takes
/// nothing: the system would end the connection of one that pauses, though it acknowledges every probe of its window.
///
/// # Errors
///
/// If the system refuses.
pub fn configure_client_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

/// Sets what an operator's connection needs: no delay for small writes, an end where the operator takes nothing for so long.
///
/// # Errors
///
/// If the system refuses.
pub fn configure_operator_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(OPERATOR_PAUSE))
}

/// Makes the system find out that the other side of an idle connection is gone, from `after` on.
///
/// # Errors
///
/// If the system refuses.
pub fn enable_keepalive(stream: &TcpStream, after: Duration) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(after)
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Connects within a time.
///
/// # Errors
///
/// If the connection is not up by then.
pub async fn connect(to: SocketAddrV4, within: Micros) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(duration(within), TcpStream::connect(to)).await??;
    configure_stream(&stream)?;
    Ok(stream)
}

/// Reads frames from a stream.
pub struct FrameReader<R> {
    from: R,
    bytes: Vec<u8>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of a stream.
    pub fn new(from: R) -> FrameReader<R> {
        FrameReader {
            from,
            bytes: Vec::new(),
        }
    }

    /// Returns the stream.
    pub fn stream(&self) -> &R {
        &self.from
    }

    /// Returns the next message; none at the end. Cancel safe.
    ///
    /// # Errors
    ///
    /// If the stream fails, or what arrives is no message.
    pub async fn next<T: for<'a> Deserialize<'a>>(&mut self) -> io::Result<Option<T>> {
        loop {
            match decode_frame(&mut self.bytes) {
                Ok(Some(message)) => return Ok(Some(message)),
                Ok(None) => {}
                Err(error) => {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        error.to_string(),
                    ))
                }
            }
            if self.bytes.is_empty() && self.bytes.capacity() > 64 << 10 {
                self.bytes = Vec::new(); // a large message was read; its memory is not kept
            }
            if self.from.read_buf(&mut self.bytes).await? == 0 {
                return Ok(None);
            }
        }
    }
}

/// Writes a message as a frame.
///
/// # Errors
///
/// If the stream fails.
pub async fn write_frame<W: AsyncWrite + Unpin, T: Serialize>(
    to: &mut W,
    message: &T,
) -> io::Result<()> {
    to.write_all(&encode_frame(message)).await
}

thread_local! {
    /// Where bytes are read to before their owner is known.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; 16 << 10]);
}

/// Reads some bytes that have arrived, at most `max`, and hands them to `take`. Returns how many they were; 0 at the end.
pub fn poll_read_some<S: AsyncRead + Unpin>(
    stream: &mut S,
    cx: &mut Context<'_>,
    max: usize,
    take: impl FnOnce(&[u8]),
) -> Poll<io::Result<usize>> {
    SCRATCH.with_borrow_mut(|scratch| {
        let max = max.min(scratch.len());
        let mut buffer = ReadBuf::new(&mut scratch[..max]);
        ready!(Pin::new(stream).poll_read(cx, &mut buffer))?;
        let bytes = buffer.filled();
        if !bytes.is_empty() {
            take(bytes);
        }
        Poll::Ready(Ok(bytes.len()))
    })
}

/// Adapts a tokio stream to hyper.
pub struct HyperIo<S>(pub S);

impl<S: AsyncRead + Unpin> hyper::rt::Read for HyperIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut scratch = [0; 8 << 10];
        let max = into.remaining().min(scratch.len());
        let mut buffer = ReadBuf::new(&mut scratch[..max]);
        ready!(Pin::new(&mut self.0).poll_read(cx, &mut buffer))?;
        into.put_slice(buffer.filled());
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> hyper::rt::Write for HyperIo<S> {
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
