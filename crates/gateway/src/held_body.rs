//! Bodies that are held in memory, whole, with the reservation of their bytes.

use crate::memory::Reservation;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use magpieline_memory_budget::Refusal;
use std::fmt;
use std::pin::pin;

/// Why a body could not be read whole.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
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
pub(crate) struct HeldBody {
    bytes: Bytes,
    /// None for bytes of the gateway's own.
    reservation: Option<Reservation>,
}

impl HeldBody {
    /// Returns the bytes; they are shared, and to be dropped before this is.
    pub(crate) fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Reads a body of `max` bytes at most. `reservation` is of its length where that is known, and grows where it is not.
    ///
    /// # Errors
    ///
    /// If it can't be held whole.
    pub(crate) async fn read<B>(
        body: B,
        max: u64,
        mut reservation: Reservation,
    ) -> Result<HeldBody, ReadError>
    where
        B: Body<Data = Bytes>,
    {
        let bytes = read_whole(body, max, &mut reservation).await?;
        reservation.shrink(bytes.len() as u64);
        Ok(HeldBody {
            bytes,
            reservation: Some(reservation),
        })
    }

    /// Returns the bytes and their reservation.
    pub(crate) fn into_parts(self) -> (Bytes, Option<Reservation>) {
        (self.bytes, self.reservation)
    }
}

/// Reads a body of `max` bytes at most into one piece, and reserves its bytes as they come, beyond those that are reserved.
///
/// # Errors
///
/// If it can't be held whole.
pub(crate) async fn read_whole<B>(
    body: B,
    max: u64,
    reservation: &mut Reservation,
) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes>,
{
    let expected = body.size_hint().exact().filter(|length| *length <= max);
    let mut bytes = Vec::with_capacity(expected.unwrap_or(0) as usize);
    let mut body = pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length as u64 > max {
            return Err(ReadError::TooLong);
        }
        reservation
            .grow_amply(length as u64)
            .map_err(ReadError::NoMemory)?;
        if bytes.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        if length > bytes.capacity() {
            bytes.reserve_exact(reservation.bytes() as usize - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.into())
}

impl<T: Into<Bytes>> From<T> for HeldBody {
    fn from(bytes: T) -> HeldBody {
        HeldBody {
            bytes: bytes.into(),
            reservation: None,
        }
    }
}
