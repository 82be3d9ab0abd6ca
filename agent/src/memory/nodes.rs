//! Nodes at the door: small indices for their names, and how to reach them, in bounded memory.

use crate::wire::nodes::Reach;
use std::collections::HashMap;

/// Beyond so many names a new one takes the place of a node that is gone. The decisions look at every place
/// for each hit, so it is not large; it is far more than are ever listed at once.
const MOST: usize = 1024;

#[derive(Default)]
pub struct Nodes {
    places: HashMap<String, usize>,
    /// By place: its name, and how to reach it; none for one that is gone.
    held: Vec<(String, Option<Reach>)>,
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
        let gone = || self.held.iter().position(|(_, reach)| reach.is_none());
        let place = if self.held.len() < MOST { None } else { gone() };
        let place = place.unwrap_or(self.held.len());
        if place == self.held.len() {
            self.held.push(Default::default());
        }
        self.places.remove(&self.held[place].0);
        self.held[place].0 = uid.to_owned();
        self.places.insert(uid.to_owned(), place);
        place
    }

    pub fn reach(&self, place: usize) -> Option<&Reach> {
        self.held.get(place)?.1.as_ref()
    }

    /// Every way to reach a node, to be changed; none closes its idle connections.
    pub fn reaches(&mut self) -> impl Iterator<Item = &mut Option<Reach>> {
        self.held.iter_mut().map(|(_, reach)| reach)
    }

    pub fn set(&mut self, place: usize, reach: Option<Reach>) {
        if let Some(held) = self.held.get_mut(place) {
            held.1 = reach;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn places_of_gone_nodes_are_used_again_once_there_are_many() {
        let (mut nodes, second) = (Nodes::default(), Duration::from_secs(1));
        let reach = || Reach::new("127.0.0.1:1".parse().unwrap(), second, second).ok();
        for i in 0..MOST {
            let place = nodes.index(&i.to_string());
            nodes.set(place, reach());
        }
        nodes.set(7, None);
        assert_eq!((nodes.index("new"), nodes.known("7"), nodes.known("8")), (7, None, Some(8)));
        nodes.set(7, reach());
        assert_eq!(nodes.index("newer"), MOST, "none is gone: it grows rather than mix two nodes up");
    }
}
