//! A configuration is read again: of its routes, those whose text is as before are taken over as they were read. Most
//! changes leave most routes as they are, and reading them is nearly all of the work (2,320 routes: 9 ms on a whole core,
//! so 90 ms at a tenth of one, in which a counter serves nobody).

use crate::route_table::Route;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::sync::Arc;

/// The text of each route of a configuration, and what was read from it. Says nothing that the routes don't say, so any
/// two are equal.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sources {
    text: Arc<str>,
    /// By a hash of their text, where it stands.
    routes: HashMap<u64, (Range<usize>, Arc<Route>)>,
}

impl PartialEq for Sources {
    fn eq(&self, _: &Sources) -> bool {
        true
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl Sources {
    pub(crate) fn new(
        text: &Arc<str>,
        routes: impl Iterator<Item = (Range<usize>, Arc<Route>)>,
    ) -> Sources {
        let routes = routes
            .map(|(range, route)| (hash(&text[range.clone()]), (range, route)))
            .collect();
        Sources {
            text: text.clone(),
            routes,
        }
    }

    /// What was read from this very text.
    fn find(&self, text: &str) -> Option<&Arc<Route>> {
        let (range, route) = self.routes.get(&hash(text))?;
        (self.text[range.clone()] == *text).then_some(route)
    }

    /// Of the routes whose texts stand there, those that are known.
    pub(crate) fn known(&self, text: &str, places: &[Range<usize>]) -> Vec<Option<Arc<Route>>> {
        places
            .iter()
            .map(|range| self.find(&text[range.clone()]).cloned())
            .collect()
    }
}

/// A text in which a 0 stands for each route: so that each is read by itself, and no more than one is held as JSON, which
/// takes ten times the room of its text.
pub(crate) fn shorten(text: &str, places: &[Range<usize>]) -> String {
    let (mut short, mut from) = (String::new(), 0);
    for range in places {
        short.push_str(&text[from..range.start]);
        short.push('0');
        from = range.end;
    }
    short.push_str(&text[from..]);
    short
}

/// Where a list or an object stands on the way to the routes.
#[derive(Clone, Copy, PartialEq)]
enum Level {
    Root,
    Wickets,
    Wicket,
    Regulations,
    Other,
}

/// Where the routes' texts stand: each element of each `regulations` of `wickets`. None where it can't be told by a
/// glance (a name twice in an object, or written with escapes); the text may be no JSON all the same.
pub(crate) fn places(text: &str) -> Option<Vec<Range<usize>>> {
    let bytes = text.as_bytes();
    let (mut places, mut levels) = (Vec::new(), Vec::new());
    // The value that comes next is one of `wickets` or `regulations`; a name is awaited; they were met.
    let (mut wanted, mut name_next, mut wickets, mut regulations) = (false, false, false, false);
    let (mut at, mut began) = (0, None);
    while at < bytes.len() {
        let level = levels.last().copied();
        // An element of a list of routes begins.
        if level == Some(Level::Regulations)
            && began.is_none()
            && !b" \t\r\n,]".contains(&bytes[at])
        {
            began = Some(at);
        }
        match bytes[at] {
            b'"' => {
                let from = at + 1;
                at = from;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                let name = text.get(from..at)?;
                if std::mem::take(&mut name_next)
                    && matches!(level, Some(Level::Root | Level::Wicket))
                {
                    let (sought, met) = match level {
                        Some(Level::Root) => ("wickets", &mut wickets),
                        _ => ("regulations", &mut regulations),
                    };
                    wanted = name == sought;
                    if name.contains('\\') || (wanted && std::mem::replace(met, true)) {
                        return None;
                    }
                }
            }
            open @ (b'{' | b'[') => {
                let next = match (level, open) {
                    (None, b'{') => Level::Root,
                    (Some(Level::Root), b'[') if wanted => Level::Wickets,
                    (Some(Level::Wickets), b'{') => Level::Wicket,
                    (Some(Level::Wicket), b'[') if wanted => Level::Regulations,
                    _ => Level::Other,
                };
                regulations &= next != Level::Wicket;
                (wanted, name_next) = (false, open == b'{');
                levels.push(next);
            }
            b'}' | b']' => {
                // A plain value, the last of a list of routes, ends here.
                if level == Some(Level::Regulations) {
                    places.extend(began.take().map(|from| from..at));
                }
                levels.pop()?;
                if levels.last() == Some(&Level::Regulations) {
                    places.extend(began.take().map(|from| from..at + 1));
                }
            }
            b',' => {
                if level == Some(Level::Regulations) {
                    places.extend(began.take().map(|from| from..at));
                }
                (wanted, name_next) = (false, matches!(level, Some(Level::Root | Level::Wicket)));
            }
            _ => {}
        }
        at += 1;
    }
    levels.is_empty().then_some(places)
}
