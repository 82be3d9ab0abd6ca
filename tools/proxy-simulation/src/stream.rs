//! Connections in memory: two ends, bytes in pieces, resets, closes that nobody hears of.

use crate::Dice;
use rand::Rng;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes on their way in one direction, at most: small windows hold writers up.
const WINDOW: usize = 4 << 10;

/// What is on its way to one end.
#[derive(Default)]
struct Way {
    bytes: VecDeque<u8>,
    /// No more will come.
    closed: bool,
    /// Its reader is gone; whoever writes is reset.
    unheard: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct Wire {
    ways: [Way; 2],
    /// Each end is told at its next reading or writing.
    reset: [bool; 2],
    /// What end 0 may still write before the connection is reset under it.
    until_reset: Option<usize>,
    /// It was reset by that.
    torn: bool,
}

/// Sees what end 0 hands over: the bytes offered, and how many of them were taken.
pub trait Tap: Send {
    fn written(&mut self, offered: &[u8], taken: usize);
}

/// One end of a connection.
pub struct End {
    side: usize,
    wire: Arc<Mutex<Wire>>,
    dice: Dice,
    /// One in so many readings and writings comes a turn later; 0: none.
    late: u32,
    tap: Option<Box<dyn Tap>>,
    gone: bool,
}

/// A connection; end 0 first.
pub fn pair(dice: &mut Dice, late: u32, tap: Option<Box<dyn Tap>>) -> (End, End) {
    let wire = Wire {
        ways: Default::default(),
        reset: [false; 2],
        until_reset: None,
        torn: false,
    };
    let wire = Arc::new(Mutex::new(wire));
    let mut end = |side, tap| End {
        side,
        wire: wire.clone(),
        dice: crate::dice(dice.gen()),
        late,
        tap,
        gone: false,
    };
    (end(0, tap), end(1, None))
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

impl Wire {
    fn break_off(&mut self, side: usize) {
        self.reset[side] = true;
        for way in &mut self.ways {
            wake(&mut way.reader);
            wake(&mut way.writer);
        }
    }
}

impl End {
    fn wire(&self) -> MutexGuard<'_, Wire> {
        self.wire.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the connection by a reset: bytes on their way are lost.
    pub fn reset(mut self) {
        let (side, mut wire) = (self.side, self.wire());
        wire.ways.iter_mut().for_each(|way| way.bytes.clear());
        wire.break_off(1 - side);
        drop(wire);
        self.gone = true;
    }

    /// Forgets it without a word: the next bytes that the other end sends are reset.
    pub fn forget(mut self) {
        self.wire().ways[self.side].unheard = true;
        self.gone = true;
    }

    /// After so many further bytes the other end is reset.
    pub fn reset_after(&self, bytes: usize) {
        self.wire().until_reset = Some(bytes);
    }

    /// Whether the network broke it, not the other end.
    pub fn torn(&self) -> bool {
        self.wire().torn
    }

    /// Comes a turn later, now and then.
    fn tarries(&mut self, cx: &mut Context<'_>) -> bool {
        let tarries = self.late > 0 && self.dice.gen_ratio(1, self.late);
        if tarries {
            cx.waker().wake_by_ref();
        }
        tarries
    }
}

impl AsyncRead for End {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.tarries(cx) {
            return Poll::Pending;
        }
        let most = if self.late > 0 {
            self.dice.gen_range(1..=2000)
        } else {
            usize::MAX
        };
        let side = self.side;
        let mut wire = self.wire();
        if wire.reset[side] {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        let way = &mut wire.ways[side];
        if way.bytes.is_empty() {
            if way.closed {
                return Poll::Ready(Ok(()));
            }
            way.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let some = way.bytes.len().min(into.remaining()).min(most);
        let bytes: Vec<u8> = way.bytes.drain(..some).collect();
        into.put_slice(&bytes);
        wake(&mut way.writer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for End {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.tarries(cx) {
            return Poll::Pending;
        }
        let side = self.side;
        let mut most = bytes.len();
        if self.late > 0 && self.dice.gen_ratio(1, 4) && most > 1 {
            most = self.dice.gen_range(1..most);
        }
        let mut wire = self.wire();
        if wire.reset[side] {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if side == 0 {
            if let Some(left) = wire.until_reset {
                if left == 0 {
                    wire.break_off(0);
                    wire.break_off(1);
                    return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
                }
                most = most.min(left);
            }
        }
        let way = &mut wire.ways[1 - side];
        let some = if way.unheard {
            most
        } else {
            most.min(WINDOW.saturating_sub(way.bytes.len()))
        };
        if some == 0 {
            way.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if way.unheard {
            // They leave, and come back as a reset.
            wire.break_off(side);
        } else {
            way.bytes.extend(&bytes[..some]);
            wake(&mut way.reader);
        }
        if side == 0 {
            if let Some(left) = &mut wire.until_reset {
                *left -= some;
                if *left == 0 {
                    wire.torn = true;
                    wire.break_off(0);
                    wire.break_off(1);
                }
            }
        }
        drop(wire);
        if let Some(tap) = &mut self.tap {
            tap.written(bytes, some);
        }
        Poll::Ready(Ok(some))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut wire = self.wire();
        let way = &mut wire.ways[1 - self.side];
        way.closed = true;
        wake(&mut way.reader);
        Poll::Ready(Ok(()))
    }
}

impl Drop for End {
    fn drop(&mut self) {
        if self.gone {
            return;
        }
        let side = self.side;
        let mut wire = self.wire();
        let unread = !wire.ways[side].bytes.is_empty();
        wire.ways[side].unheard = true;
        wire.ways[1 - side].closed = true;
        if unread {
            // A close over unread bytes is a reset, and what was on its way may be lost with it.
            wire.ways[1 - side].bytes.clear();
            wire.break_off(1 - side);
        }
        wake(&mut wire.ways[1 - side].reader);
        wake(&mut wire.ways[side].writer);
    }
}
