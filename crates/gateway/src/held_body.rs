//! Bodies that are held in memory, whole, with the reservation of their bytes.

use crate::body_pieces::{BodyPieces, PiecesBody};
use crate::memory::Reservation;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use magpieline_memory_budget::Refusal;
use std::fmt;
use std::pin::pin;

/// A long body is held in pieces of so many bytes: buffers of one size leave no holes in the allocator's memory.
const PIECE_BYTES: usize = 64 << 10;
/// The first piece of a body whose length isn't known: most bodies are short.
const FIRST_PIECE_BYTES: usize = 16 << 10;

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
    pieces: BodyPieces,
    /// None for bytes of the gateway's own.
    reservation: Option<Reservation>,
}

impl HeldBody {
    /// Returns the body as it is sent; it shares the bytes, and is to be dropped before this is.
    pub(crate) fn to_body(&self) -> PiecesBody {
        self.pieces.to_body()
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
        let pieces = read_whole(body, max, &mut reservation).await?;
        Ok(HeldBody {
            pieces,
            reservation: Some(reservation),
        })
    }

    /// Returns the bytes and their reservation.
    pub(crate) fn into_parts(self) -> (BodyPieces, Option<Reservation>) {
        (self.pieces, self.reservation)
    }
}

impl<T: Into<Bytes>> From<T> for HeldBody {
    fn from(bytes: T) -> HeldBody {
        HeldBody {
            pieces: BodyPieces::One(bytes.into()),
            reservation: None,
        }
    }
}

/// Reads a body of `max` bytes at most. What it takes beyond what is reserved is reserved as it comes.
///
/// # Errors
///
/// If it can't be held whole.
pub(crate) async fn read_whole<B>(
    body: B,
    max: u64,
    reservation: &mut Reservation,
) -> Result<BodyPieces, ReadError>
where
    B: Body<Data = Bytes>,
{
    let known_length = body.size_hint().exact().filter(|length| *length <= max);
    let mut body = pin!(body);
    let mut pieces = Pieces::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (pieces.length + data.len()) as u64 > max {
            return Err(ReadError::TooLong);
        }
        let is_all = pieces.length == 0 && body.is_end_stream();
        if is_all {
            let length = data.len() as u64;
            reservation.grow_to(length).map_err(ReadError::NoMemory)?;
            return Ok(BodyPieces::One(data));
        }
        pieces
            .append(&data, known_length, reservation)
            .map_err(ReadError::NoMemory)?;
    }
    Ok(pieces.finish())
}

/// A body that is being read.
#[derive(Default)]
struct Pieces {
    /// Pieces that are full.
    full: Vec<Bytes>,
    last: Vec<u8>,
    /// Bytes that have come.
    length: usize,
    /// Bytes of all buffers.
    capacity: usize,
}

impl Pieces {
    fn append(
        &mut self,
        mut data: &[u8],
        known_length: Option<u64>,
        reservation: &mut Reservation,
    ) -> Result<(), Refusal> {
        self.length += data.len();
        while !data.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                self.add_buffer(known_length, reservation)?;
                continue;
            }
            let (fits, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(fits);
            data = rest;
        }
        Ok(())
    }

    /// Adds a buffer for what comes next, once its bytes are reserved.
    fn add_buffer(
        &mut self,
        known_length: Option<u64>,
        reservation: &mut Reservation,
    ) -> Result<(), Refusal> {
        let size = match known_length {
            Some(length) => PIECE_BYTES.min((length as usize).saturating_sub(self.capacity).max(1)),
            None if self.capacity == 0 => FIRST_PIECE_BYTES,
            None => PIECE_BYTES,
        };
        let capacity = self.capacity + size;
        reservation.grow_to(capacity as u64)?;
        self.capacity = capacity;
        let full = std::mem::replace(&mut self.last, Vec::with_capacity(size));
        self.full.push(full.into());
        Ok(())
    }

    fn finish(mut self) -> BodyPieces {
        self.full.push(self.last.into());
        self.full.into()
    }
}
