//! Nodes at the door: small indices for their names, and how to reach them, in bounded memory.

use crate::exchange::{Way, Ways};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Beyond so many names a new one takes the place of a node that is gone. The decisions look at every place
/// for each hit, so it is not large; it is far more than are ever listed at once.
const MOST: usize = 1024;

/// What tells one process from the next under the same name: build, start, address and protocol.
type Process = (u32, f64, SocketAddr, u8);

/// A node's name, and how to reach it and as which process; none for one that is gone.
#[derive(Default)]
struct Held {
    uid: String,
    reach: Option<Rc<dyn Way>>,
    process: Option<Process>,
}

#[derive(Default)]
pub struct Nodes {
    places: HashMap<String, usize>,
    held: Vec<Held>,
}

impl Nodes {
    pub fn known(&self, uid: &str) -> Option<usize> {
        self.places.get(uid).copied()
    }

    /// The place of a node that is listed.
    pub fn index(&mut self, uid: &str) -> usize {
        if let Some(place) = self.known(uid) {
            return place;
        }
        let gone = || self.held.iter().position(|h| h.reach.is_none());
        let place = if self.held.len() < MOST { None } else { gone() };
        let place = place.unwrap_or(self.held.len());
        if place == self.held.len() {
            self.held.push(Default::default());
        }
        self.places.remove(&self.held[place].uid);
        self.held[place].uid = uid.to_owned();
        self.places.insert(uid.to_owned(), place);
        place
    }

    /// The name of a place.
    pub fn uid(&self, place: usize) -> Option<&str> {
        self.held.get(place).map(|h| h.uid.as_str())
    }

    /// The node that is reached at this address.
    pub fn at(&self, address: SocketAddr) -> Option<usize> {
        let is_there = |h: &Held| h.reach.is_some() && h.process.is_some_and(|p| p.2 == address);
        self.held.iter().position(is_there)
    }

    pub fn reach(&self, place: usize) -> Option<&Rc<dyn Way>> {
        self.held.get(place)?.reach.as_ref()
    }

    /// Every way to reach a node, to be changed; none closes its idle connections.
    pub fn reaches(&mut self) -> impl Iterator<Item = &mut Option<Rc<dyn Way>>> {
        self.held.iter_mut().map(|h| &mut h.reach)
    }

    /// New ways to all nodes that have one: the old ones close their idle connections once nothing is on them.
    pub fn anew(&mut self, ways: &Ways) {
        for held in &mut self.held {
            if let (Some(way), Some((.., address, speaks))) = (&mut held.reach, held.process) {
                if let Ok(new) = ways(address, speaks) {
                    *way = new;
                }
            }
        }
    }

    pub fn set(&mut self, place: usize, reach: Option<Rc<dyn Way>>) {
        if let Some(held) = self.held.get_mut(place) {
            held.reach = reach;
        }
    }

    /// Whether this is another process than was listed last at this place, or none could be reached; from now
    /// on it is the one listed.
    pub fn is_new(&mut self, place: usize, process: Process) -> bool {
        let Some(held) = self.held.get_mut(place) else {
            return true;
        };
        held.process.replace(process) != Some(process) || held.reach.is_none()
    }
}

#[cfg(test)]
mod tests;
