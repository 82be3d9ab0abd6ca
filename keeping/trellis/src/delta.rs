//! What has changed between two texts, as pieces kept and pieces added: how an edition reaches counters that hold the
//! one before. Pieces of the old text are found by blocks (as in Tridgell's rsync, both texts being at hand).

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Shorter runs are not worth naming: a kept piece takes up to eleven bytes.
const BLOCK: usize = 24;
/// Places of one block that are remembered; texts of many alike routes hold some blocks thousands of times.
const PLACES: usize = 4;

/// A part of the new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// So many bytes of the old text, from there.
    Keep {
        from: u32,
        length: u32,
    },
    Add(Vec<u8>),
}

/// The pieces that make `new` out of `old`.
pub fn diff(old: &str, new: &str) -> Vec<Piece> {
    let (old, new) = (old.as_bytes(), new.as_bytes());
    let mut places: HashMap<&[u8], Vec<usize>> = HashMap::new();
    for (i, block) in old.chunks_exact(BLOCK).enumerate() {
        let known = places.entry(block).or_default();
        if known.len() < PLACES {
            known.push(i * BLOCK);
        }
    }
    let mut pieces = Vec::new();
    let (mut at, mut added_from) = (0, 0);
    // Where the old text goes on after the last kept piece: most changes leave what follows in its place.
    let mut next_old = 0;
    while at < new.len() {
        let candidates = new.get(at..at + BLOCK).and_then(|block| places.get(block));
        let found =
            candidates.into_iter().flatten().copied().chain((next_old < old.len()).then_some(next_old));
        let best = found.map(|from| (alike(&old[from..], &new[at..]), from)).max();
        match best.filter(|(length, _)| *length >= BLOCK) {
            Some((length, from)) => {
                // The run may begin before the block.
                let back = new[added_from..at].iter().rev().zip(old[..from].iter().rev());
                let back = back.take_while(|(n, o)| n == o).count();
                add(&mut pieces, &new[added_from..at - back]);
                pieces.push(Piece::Keep { from: (from - back) as u32, length: (length + back) as u32 });
                at += length;
                (added_from, next_old) = (at, from + length);
            }
            None => at += 1,
        }
    }
    add(&mut pieces, &new[added_from..]);
    pieces
}

fn alike(old: &[u8], new: &[u8]) -> usize {
    old.iter().zip(new).take_while(|(o, n)| o == n).count()
}

fn add(pieces: &mut Vec<Piece>, bytes: &[u8]) {
    if !bytes.is_empty() {
        pieces.push(Piece::Add(bytes.to_vec()));
    }
}

/// Puts pieces together on the old text; none where they don't fit it.
pub fn apply(old: &str, pieces: &[Piece]) -> Option<String> {
    let mut new = Vec::new();
    for piece in pieces {
        match piece {
            Piece::Keep { from, length } => {
                let from = *from as usize;
                new.extend_from_slice(old.as_bytes().get(from..from.checked_add(*length as usize)?)?);
            }
            Piece::Add(bytes) => new.extend_from_slice(bytes),
        }
    }
    String::from_utf8(new).ok()
}

/// A text as a number, to tell whether two are the same (FNV-1a).
pub fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};

    fn routes(chance: &mut rand_chacha::ChaCha8Rng, count: usize) -> Vec<String> {
        let route = |i| {
            format!("{{\"name\":\"r-{i}\",\"sort\":\"safe\",\"target\":\"600ms\",\"prefix\":\"/é{i}/\"}}")
        };
        (0..count).map(|_| route(chance.gen_range(0..50_000))).collect()
    }

    /// Guards against a configuration put together wrongly, and against changes that cost as much as a whole.
    #[test]
    fn what_is_put_together_is_the_new_text_and_small_changes_are_small() {
        let mut chance = rand_chacha::ChaCha8Rng::seed_from_u64(5);
        for round in 0..60 {
            let mut list = routes(&mut chance, 200);
            let old = list.join(",");
            for _ in 0..round % 4 {
                let at = chance.gen_range(0..list.len());
                match chance.gen_range(0..3) {
                    0 => _ = list.remove(at),
                    1 => list.insert(at, routes(&mut chance, 1).remove(0)),
                    _ => list[at] = list[at].replace("600ms", "1.5s"),
                }
            }
            let new = list.join(",");
            let pieces = diff(&old, &new);
            assert_eq!(apply(&old, &pieces).as_deref(), Some(&*new), "round {round}");
            let size = postcard::to_stdvec(&pieces).expect("plain data").len();
            assert!(size < 1200, "round {round}: {size} bytes of {}", new.len());
        }
        assert_eq!(apply("", &diff("", "abc")).as_deref(), Some("abc"));
        assert_eq!(apply("abc", &diff("abc", "")).as_deref(), Some(""));
    }

    /// Guards against pieces for another text that are taken for this one's.
    #[test]
    fn pieces_that_do_not_fit_are_found_out() {
        let (old, new) = ("x".repeat(100), "x".repeat(90) + "y");
        let pieces = diff(&old, &new);
        let other = apply("short", &pieces);
        assert!(other.is_none_or(|text| digest(&text) != digest(&new)));
        assert_eq!(apply("x", &[Piece::Keep { from: u32::MAX, length: u32::MAX }]), None);
    }
}
