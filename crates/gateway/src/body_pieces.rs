//! A body in memory, in one piece or several, and how it is sent.
//!
//! Long bodies are held in pieces of one size. One buffer for each would leave holes of all sizes in the allocator's memory, and one
//! that grows would be copied again and again.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The bytes of a body. Clones share them.
#[derive(Clone, Debug)]
pub(crate) enum BodyPieces {
    /// All of them in one piece, which may be empty.
    One(Bytes),
    /// Several pieces, none of them empty.
    Several(Arc<[Bytes]>),
}

impl Default for BodyPieces {
    fn default() -> BodyPieces {
        BodyPieces::One(Bytes::new())
    }
}

impl From<Vec<Bytes>> for BodyPieces {
    fn from(mut pieces: Vec<Bytes>) -> BodyPieces {
        pieces.retain(|piece| !piece.is_empty());
        match pieces.len() {
            0 | 1 => BodyPieces::One(pieces.pop().unwrap_or_default()),
            _ => BodyPieces::Several(pieces.into()),
        }
    }
}

impl BodyPieces {
    fn as_slice(&self) -> &[Bytes] {
        match self {
            BodyPieces::One(bytes) => std::slice::from_ref(bytes),
            BodyPieces::Several(pieces) => pieces,
        }
    }

    /// Returns how many bytes there are.
    pub(crate) fn len(&self) -> usize {
        self.as_slice().iter().map(Bytes::len).sum()
    }

    /// Returns the bytes in one piece, copied if they are in several.
    pub(crate) fn into_one(self) -> Bytes {
        match self {
            BodyPieces::One(bytes) => bytes,
            BodyPieces::Several(pieces) => pieces.concat().into(),
        }
    }

    /// Returns the body as it is sent.
    pub(crate) fn to_body(&self) -> PiecesBody {
        PiecesBody {
            left: self.len() as u64,
            pieces: self.clone(),
            next: 0,
        }
    }
}

/// A body that is being sent, with its length known beforehand.
#[derive(Clone, Debug)]
pub(crate) struct PiecesBody {
    pieces: BodyPieces,
    /// The next piece, and the bytes from it on.
    next: usize,
    left: u64,
}

impl Body for PiecesBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = self.get_mut();
        if body.left == 0 {
            return Poll::Ready(None);
        }
        let piece = body.pieces.as_slice()[body.next].clone();
        body.next += 1;
        body.left -= piece.len() as u64;
        if body.left == 0 {
            body.pieces = BodyPieces::default();
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
