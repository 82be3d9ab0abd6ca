//! Reads the body of an operator's call, once there is memory for what is done with it.

use super::super::Controller;
use super::replies::{no_memory, refuse, Reply};
use crate::clock::{now, Micros};
use crate::held_body::{read_whole, ReadError};
use crate::memory::Reservation;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use magpieline_memory_budget::{Purpose, Refusal};

/// Longest body that is accepted, in bytes.
const MAX_BODY_BYTES: u64 = 32 << 20;
/// A body waits for memory for so long: callers go to another controller after a second of silence.
const MEMORY_WAIT: Micros = 400_000;

/// The body of a call, and the memory that is reserved for it.
pub(super) struct RequestBody {
    pub(super) bytes: Bytes,
    pub(super) reservation: Reservation,
}

/// Reads a body. So many `copies` of its bytes are reserved, as what is done with it takes as much; for one that is too long for
/// that all that may be reserved.
///
/// # Errors
///
/// The reply, if it does not come whole, is too long or there is no memory for it.
pub(super) async fn read(
    controller: &Controller,
    mut body: Incoming,
    copies: u64,
) -> Result<RequestBody, Reply> {
    let memory = &controller.memory;
    let longest = memory.usage().limits.longest(Purpose::Request);
    let needed = |length: u64| longest.min(length.saturating_mul(copies));
    let length = body.size_hint().exact().unwrap_or(0);
    if length > MAX_BODY_BYTES {
        discard(&mut body).await;
        return Err(not_read(controller, ReadError::TooLong));
    }
    let wait_until = now() + MEMORY_WAIT;
    let reserved = memory.reserve(Purpose::Request, needed(length), wait_until);
    let mut reservation = match reserved.await {
        Ok(reservation) => reservation,
        Err(refusal) => {
            discard(&mut body).await;
            return Err(refused(controller, refusal));
        }
    };
    let bytes = match read_whole(&mut body, MAX_BODY_BYTES, &mut reservation).await {
        Ok(pieces) => pieces.into_one(),
        Err(error) => {
            discard(&mut body).await;
            return Err(not_read(controller, error));
        }
    };
    // Of a body in chunks the length is known only now.
    match reservation.grow_to(needed(bytes.len() as u64)) {
        Ok(()) => Ok(RequestBody { bytes, reservation }),
        Err(refusal) => Err(refused(controller, refusal)),
    }
}

/// Reads and drops the rest of a body, as far as it may be read at all: left unread it would reset the connection, and the
/// reply might be lost with it.
async fn discard(body: &mut Incoming) {
    let mut left = MAX_BODY_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(rest) = left.checked_sub(length) else {
            return;
        };
        left = rest;
    }
}

fn refused(controller: &Controller, refusal: Refusal) -> Reply {
    controller.metrics.memory.on_refused(refusal);
    tracing::warn!(target: "operator_api", "A call was not read: {refusal}.");
    no_memory()
}

fn not_read(controller: &Controller, error: ReadError) -> Reply {
    match error {
        ReadError::NoMemory(refusal) => refused(controller, refusal),
        ReadError::TooLong => refuse(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            "more",
            "at most 32 MB",
        ),
        // It may have been cut on its way: an order that is to be sent again is not refused for good.
        ReadError::Incomplete => refuse(
            StatusCode::REQUEST_TIMEOUT,
            "body",
            "a part",
            "all of it; send it again",
        ),
    }
}
