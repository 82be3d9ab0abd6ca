//! Connections in memory: two ends, bytes in pieces, resets, and closes that the other end is not told of.

use crate::SeededRng;
use magpieline_gateway::proxy::client_stream::ClientStream;
use rand::Rng;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes in flight in one direction, at most: small windows hold writers up.
const WINDOW_BYTES: usize = 4 << 10;

/// What is in flight to one end.
#[derive(Default)]
struct Direction {
    bytes: VecDeque<u8>,
    /// No more will come.
    is_closed: bool,
    /// Its reader is gone; whoever writes is reset.
    is_reader_gone: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct Connection {
    directions: [Direction; 2],
    /// Each end is told at its next reading or writing.
    reset: [bool; 2],
    /// What end 0 may still write before the connection is reset under it.
    bytes_until_reset: Option<usize>,
    /// It was reset by that.
    was_reset_by_network: bool,
}

/// Observes what end 0 writes.
pub(crate) trait Tap: Send {
    /// Called after each write with the bytes offered, and how many of them were written.
    fn on_write(&mut self, offered: &[u8], written: usize);
}

/// One end of a connection.
pub(crate) struct MemoryStream {
    side: usize,
    connection: Arc<Mutex<Connection>>,
    rng: SeededRng,
    /// One in so many readings and writings comes a turn later; 0: none.
    delay_rate: u32,
    tap: Option<Box<dyn Tap>>,
    is_over: bool,
}

/// Creates a connection; end 0 first.
pub(crate) fn pair(
    rng: &mut SeededRng,
    delay_rate: u32,
    tap: Option<Box<dyn Tap>>,
) -> (MemoryStream, MemoryStream) {
    let connection = Connection {
        directions: Default::default(),
        reset: [false; 2],
        bytes_until_reset: None,
        was_reset_by_network: false,
    };
    let connection = Arc::new(Mutex::new(connection));
    let mut end = |side, tap| MemoryStream {
        side,
        connection: connection.clone(),
        rng: crate::rng(rng.gen()),
        delay_rate,
        tap,
        is_over: false,
    };
    (end(0, tap), end(1, None))
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

impl Connection {
    fn reset_side(&mut self, side: usize) {
        self.reset[side] = true;
        for direction in &mut self.directions {
            wake(&mut direction.reader);
            wake(&mut direction.writer);
        }
    }
}

impl MemoryStream {
    fn connection(&self) -> MutexGuard<'_, Connection> {
        self.connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the connection by a reset: bytes in flight are lost.
    pub(crate) fn reset(&mut self) {
        let (side, mut connection) = (self.side, self.connection());
        connection
            .directions
            .iter_mut()
            .for_each(|direction| direction.bytes.clear());
        connection.reset_side(1 - side);
        drop(connection);
        self.is_over = true;
    }

    /// Forgets the connection without telling the other end: the next bytes that it sends are reset.
    pub(crate) fn forget(&mut self) {
        self.connection().directions[self.side].is_reader_gone = true;
        self.is_over = true;
    }

    /// Resets the other end after so many further bytes.
    pub(crate) fn reset_after(&self, bytes: usize) {
        self.connection().bytes_until_reset = Some(bytes);
    }

    /// Whether the network has reset it, not the other end.
    pub(crate) fn was_reset_by_network(&self) -> bool {
        self.connection().was_reset_by_network
    }

    /// Draws whether a reading or a writing comes a turn later.
    fn is_delayed(&mut self, cx: &mut Context<'_>) -> bool {
        let is_delayed = self.delay_rate > 0 && self.rng.gen_ratio(1, self.delay_rate);
        if is_delayed {
            cx.waker().wake_by_ref();
        }
        is_delayed
    }
}

impl ClientStream for MemoryStream {
    fn is_closed_by_client(&self, _: &mut Context<'_>) -> bool {
        let connection = self.connection();
        connection.reset[self.side] || connection.directions[self.side].is_closed
    }
}

impl AsyncRead for MemoryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_delayed(cx) {
            return Poll::Pending;
        }
        let max = if self.delay_rate > 0 {
            self.rng.gen_range(1..=2000)
        } else {
            usize::MAX
        };
        let side = self.side;
        let mut connection = self.connection();
        if connection.reset[side] {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        let direction = &mut connection.directions[side];
        if direction.bytes.is_empty() {
            if direction.is_closed {
                return Poll::Ready(Ok(()));
            }
            direction.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let len = direction.bytes.len().min(into.remaining()).min(max);
        let bytes: Vec<u8> = direction.bytes.drain(..len).collect();
        into.put_slice(&bytes);
        wake(&mut direction.writer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_delayed(cx) {
            return Poll::Pending;
        }
        let side = self.side;
        let mut max = bytes.len();
        if self.delay_rate > 0 && self.rng.gen_ratio(1, 4) && max > 1 {
            max = self.rng.gen_range(1..max);
        }
        let mut connection = self.connection();
        if connection.reset[side] {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if side == 0 {
            if let Some(left) = connection.bytes_until_reset {
                if left == 0 {
                    connection.reset_side(0);
                    connection.reset_side(1);
                    return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
                }
                max = max.min(left);
            }
        }
        let direction = &mut connection.directions[1 - side];
        let len = if direction.is_reader_gone {
            max
        } else {
            max.min(WINDOW_BYTES.saturating_sub(direction.bytes.len()))
        };
        if len == 0 {
            direction.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if direction.is_reader_gone {
            // They leave, and a reset comes back.
            connection.reset_side(side);
        } else {
            direction.bytes.extend(&bytes[..len]);
            wake(&mut direction.reader);
        }
        if side == 0 {
            if let Some(left) = &mut connection.bytes_until_reset {
                *left -= len;
                if *left == 0 {
                    connection.was_reset_by_network = true;
                    connection.reset_side(0);
                    connection.reset_side(1);
                }
            }
        }
        drop(connection);
        if let Some(tap) = &mut self.tap {
            tap.on_write(bytes, len);
        }
        Poll::Ready(Ok(len))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut connection = self.connection();
        let direction = &mut connection.directions[1 - self.side];
        direction.is_closed = true;
        wake(&mut direction.reader);
        Poll::Ready(Ok(()))
    }
}

impl Drop for MemoryStream {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let side = self.side;
        let mut connection = self.connection();
        let behind_close = !connection.directions[side].bytes.is_empty();
        connection.directions[side].is_reader_gone = true;
        connection.directions[1 - side].is_closed = true;
        if behind_close {
            // A close over unread bytes is a reset, and what was in flight may be lost with it.
            connection.directions[1 - side].bytes.clear();
            connection.reset_side(1 - side);
        }
        wake(&mut connection.directions[1 - side].reader);
        wake(&mut connection.directions[side].writer);
    }
}
