//! Keys at the door, as small indices, in bounded memory.

use std::collections::hash_map::{DefaultHasher, Entry};
use std::collections::HashMap;
use std::hash::{Hash, Hasher};

/// How many keys are told apart. Some twenty bytes each here and eight in the decisions: 8 MB at most.
const MOST: usize = 1 << 18;

/// Gives out indices in the order of first appearance. Keys are kept by their hash alone; two that share an
/// index are taken for one, which under one way binds them both to the newer build: never less than the rule
/// asks. Beyond the bound new keys share the old ones' indices.
#[derive(Default)]
pub struct Keys {
    places: HashMap<u64, u32>,
}

/// What a word is kept by: two alike are one in 10^19.
pub fn hash(word: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    word.hash(&mut hasher);
    hasher.finish()
}

impl Keys {
    pub fn index(&mut self, key: &str) -> usize {
        let (hash, next) = (hash(key.as_bytes()), self.places.len());
        match self.places.entry(hash) {
            Entry::Occupied(place) => *place.get() as usize,
            Entry::Vacant(_) if next >= MOST => hash as usize % MOST,
            Entry::Vacant(place) => *place.insert(next as u32) as usize,
        }
    }
}

#[cfg(test)]
mod tests;
