//! All that is spoken on sockets, one file a partner.

pub mod clients;
pub mod door;
pub mod framing;
pub mod headers;
pub mod line;
pub mod list;
pub mod nodes;
pub mod place;
pub mod platform;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};

/// The most that a body may hold: the protocol's own bound.
pub const BODY_MOST: usize = 64 << 10;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum Unread {
    TooLarge,
    Broken(String),
}

/// Reads a body whole, up to a bound. A body that came in one piece stays that piece.
pub async fn whole<E: std::fmt::Display>(
    mut stream: impl Stream<Item = Result<Bytes, E>> + Unpin,
    most: usize,
) -> Result<Bytes, Unread> {
    let mut body = Bytes::new();
    let mut pieces: Vec<u8> = Vec::new();
    while let Some(piece) = stream.next().await {
        let piece = piece.map_err(|e| Unread::Broken(e.to_string()))?;
        if body.len() + pieces.len() + piece.len() > most {
            return Err(Unread::TooLarge);
        }
        if body.is_empty() && pieces.is_empty() {
            body = piece;
        } else {
            pieces.extend_from_slice(&std::mem::take(&mut body));
            pieces.extend_from_slice(&piece);
        }
    }
    Ok(if pieces.is_empty() {
        body
    } else {
        pieces.into()
    })
}
