//! The body of a response to a client.

use crate::body_pieces::PiecesBody;
use crate::held_body::HeldBody;
use crate::memory::Reservation;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response to a client.
#[derive(Debug)]
pub(super) struct ResponseBody {
    body: PiecesBody,
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
        let (pieces, reservation) = body.into_parts();
        ResponseBody {
            body: pieces.to_body(),
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
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
