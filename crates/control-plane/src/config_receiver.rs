//! A counter takes in editions: pieces are put together, and what is whole is put on what is held.

use crate::delta;
use crate::messages::{Piece, LONGEST};
use crate::state_machine::Kept;

/// The edition that is coming in over one link; a new link begins a new one.
#[derive(Debug, Default)]
pub struct Intake {
    number: u64,
    from: u64,
    /// What has come of it; its length is where the next piece begins.
    told: Vec<u8>,
}

/// What a piece made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// More is to come; so many bytes are here.
    More(u32),
    /// A whole edition, newer than the one held.
    Whole(Kept),
    /// Nothing: as new an edition is held.
    Stale,
    /// It does not go with what is held here; the whole is needed.
    Unfit,
}

impl Intake {
    /// Takes in a piece; `held` is the edition in force.
    pub fn take(&mut self, held: Option<&Kept>, piece: &Piece) -> Taken {
        if held.is_some_and(|h| h.number >= piece.number) {
            *self = Intake::default();
            return Taken::Stale;
        }
        if piece.at == 0 {
            (self.number, self.from) = (piece.number, piece.from);
            self.told.clear();
        }
        let follows = (self.number, self.from, self.told.len())
            == (piece.number, piece.from, piece.at as usize)
            && piece.bytes.len() <= (piece.length as usize).saturating_sub(piece.at as usize)
            && piece.length as usize <= LONGEST;
        if !follows {
            *self = Intake::default();
            return Taken::Unfit;
        }
        self.told.extend_from_slice(&piece.bytes);
        if self.told.len() < piece.length as usize {
            return Taken::More(self.told.len() as u32);
        }
        let told = std::mem::take(self).told;
        let old = match held {
            _ if piece.from == 0 => Some(""),
            Some(held) if held.number == piece.from => Some(&*held.text),
            _ => None,
        };
        match old.and_then(|old| delta::apply(old, &told, LONGEST)) {
            Some(text) => Taken::Whole(Kept {
                number: piece.number,
                text: text.into(),
            }),
            None => Taken::Unfit,
        }
    }
}
