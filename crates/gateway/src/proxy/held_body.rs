//! Bodies that are held in memory, whole, with the reservation of their bytes.

use crate::memory::Reservation;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use magpieline_memory_budget::Refusal;
use std::convert::Infallible;
use std::fmt;
use std::pin::{pin, Pin};
use std::task::{Context, Poll};

/// Why a body could not be read whole.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ReadError {
    /// It is longer than it may be.
    TooLong,
    /// There is no memory for it.
    NoMemory(Refusal),
    /// It broke off.
    Incomplete,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::TooLong => f.write_str("longer than it may be"),
            ReadError::NoMemory(refusal) => refusal.fmt(f),
            ReadError::Incomplete => f.write_str("broken off"),
        }
    }
}

impl std::error::Error for ReadError {}

/// A body, held until it is dropped.
#[derive(Debug, Default)]
pub(super) struct HeldBody {
    bytes: Bytes,
    /// None for bytes of the gateway's own.
    reservation: Option<Reservation>,
}

impl HeldBody {
    /// Returns the bytes; they are shared, and to be dropped before this is.
    pub(super) fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Reads a body of `max` bytes at most into one piece. `reservation` is of its length where that is known, and grows where it
    /// is not.
    ///
    /// # Errors
    ///
    /// If it can't be held whole.
    pub(super) async fn read<B>(
        body: B,
        max: u64,
        mut reservation: Reservation,
    ) -> Result<HeldBody, ReadError>
    where
        B: Body<Data = Bytes>,
    {
        let mut body = pin!(body);
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Incomplete)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() as u64 + data.len() as u64;
            if length > max {
                return Err(ReadError::TooLong);
            }
            reservation
                .grow_amply(length)
                .map_err(ReadError::NoMemory)?;
            if bytes.is_empty() && body.is_end_stream() {
                reservation.shrink(length);
                return Ok(HeldBody {
                    bytes: data,
                    reservation: Some(reservation),
                });
            }
            let room = reservation.bytes() as usize - bytes.len();
            bytes.reserve_exact(room);
            bytes.extend_from_slice(&data);
        }
        reservation.shrink(bytes.len() as u64);
        Ok(HeldBody {
            bytes: bytes.into(),
            reservation: Some(reservation),
        })
    }
}

impl<T: Into<Bytes>> From<T> for HeldBody {
    fn from(bytes: T) -> HeldBody {
        HeldBody {
            bytes: bytes.into(),
            reservation: None,
        }
    }
}

/// The body of a response to a client.
#[derive(Debug)]
pub(super) struct ResponseBody {
    bytes: Full<Bytes>,
    reservation: Option<Reservation>,
}

impl ResponseBody {
    /// Takes the reservation of its bytes, to be kept until they are written.
    pub(super) fn take_reservation(&mut self) -> Option<Reservation> {
        self.reservation.take()
    }
}

impl From<HeldBody> for ResponseBody {
    fn from(body: HeldBody) -> ResponseBody {
        ResponseBody {
            bytes: Full::new(body.bytes),
            reservation: body.reservation,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.bytes).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes.size_hint()
    }
}
