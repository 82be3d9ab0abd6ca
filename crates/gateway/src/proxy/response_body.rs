//! The body of a response to a client.

use crate::held_body::HeldBody;
use crate::memory::Reservation;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

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
        let (bytes, reservation) = body.into_parts();
        ResponseBody {
            bytes: Full::new(bytes),
            reservation,
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
