//! A whole configuration: read by hand from JSON, checked as a whole, taken or refused as a whole.

use crate::place::{quoted, under, Complaint};
use crate::reload::{self, Sources};
use crate::route_table::{Part, Route, Sort, Table};
use crate::{durations, Micros};
use jzon::JsonValue as Json;
use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::sync::Arc;

/// The longest time that a request may be held by a sound configuration: ten minutes.
const LONGEST: Micros = 600_000_000;
/// A target lies less than this over its route's `give_up`: a minute.
const BEYOND: Micros = 60_000_000;
/// So many complaints are told at once; more help nobody.
const MOST_TOLD: usize = 20;

/// What clients may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowances {
    pub header_bytes: usize,
    pub body_bytes: u64,
    /// The longest time from a head's first byte to its last.
    pub header: Micros,
    /// The longest time that a connection may be without a request.
    pub idle: Micros,
}

/// What holds where a configuration is silent.
impl Default for Allowances {
    fn default() -> Allowances {
        Allowances {
            header_bytes: 16_384,
            body_bytes: 1 << 26,
            header: 3_000_000,
            idle: 15_000_000,
        }
    }
}

/// A service's appliances, as operators describe them.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub name: Arc<str>,
    pub health_path: String,
    /// Connections that one appliance takes from all callers.
    pub conn_cap: u32,
}

/// A sound configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Edition {
    /// Its version.
    pub number: u64,
    pub allowances: Allowances,
    pub fleets: HashMap<Arc<str>, Fleet>,
    table: Table,
    sources: Sources,
}

impl Edition {
    /// Reads and checks a configuration; what is wrong with it is returned, up to twenty complaints.
    pub fn read(text: &str) -> Result<Edition, Vec<Complaint>> {
        Edition::examine(text).map_err(|mut wrong| {
            wrong.truncate(MOST_TOLD);
            wrong
        })
    }

    /// Reads and checks a configuration; all that is wrong with it is returned.
    pub fn examine(text: &str) -> Result<Edition, Vec<Complaint>> {
        let root = jzon::parse(text).map_err(|e| {
            vec![Complaint::new(
                "document",
                quoted(&e.to_string()),
                "JSON, whole",
            )]
        })?;
        let mut reader = Reader::default();
        let edition = reader.edition(&root);
        match edition.filter(|_| reader.wrong.is_empty()) {
            Some(edition) => Ok(edition),
            None => Err(reader.wrong),
        }
    }

    /// Reads and checks a configuration as [`Edition::read`] does; routes whose text is as in the one before aren't read
    /// again.
    pub fn read_after(
        text: &Arc<str>,
        before: Option<&Edition>,
    ) -> Result<Edition, Vec<Complaint>> {
        // What is wrong is told as by the one who reads the whole.
        Edition::reread(text, before).map_or_else(|| Edition::read(text), Ok)
    }

    fn reread(text: &Arc<str>, before: Option<&Edition>) -> Option<Edition> {
        let places = reload::places(text)?;
        let none = Sources::default();
        let known = before.map_or(&none, |b| &b.sources).known(text, &places);
        let mut reader = Reader {
            text,
            places: &places,
            known,
            ..Reader::default()
        };
        let mut edition = reader.edition(&jzon::parse(&reload::shorten(text, &places)).ok()?)?;
        let whole = reader.wrong.is_empty() && reader.routes.len() == places.len();
        let routes = std::mem::take(&mut reader.routes);
        edition.sources = Sources::new(text, places.into_iter().zip(routes));
        whole.then_some(edition)
    }

    pub fn table(&self) -> &Table {
        &self.table
    }
}

/// The version that a text claims, without a check of the rest.
pub fn number_of(text: &str) -> Option<u64> {
    jzon::parse(text).ok()?["edition"].as_u64()
}

#[derive(Default)]
struct Reader<'a> {
    wrong: Vec<Complaint>,
    /// The routes' texts where they aren't in what is read, and those that were read before; by their place among all.
    text: &'a str,
    places: &'a [Range<usize>],
    known: Vec<Option<Arc<Route>>>,
    /// All that are met.
    routes: Vec<Arc<Route>>,
    /// Names of the services.
    names: HashSet<Arc<str>>,
}

/// What a JSON value looks like in a complaint.
fn shown(value: &Json) -> String {
    match value {
        Json::Null => "nothing".into(),
        Json::Short(_) | Json::String(_) => quoted(value.as_str().unwrap_or("")),
        Json::Object(_) => "an object".into(),
        Json::Array(_) => "a list".into(),
        other => other.dump(),
    }
}

impl Reader<'_> {
    fn complain(&mut self, place: String, found: &Json, expected: &str) {
        self.wrong
            .push(Complaint::new(place, shown(found), expected));
    }
    fn whole(
        &mut self,
        body: &Json,
        place: &str,
        name: &str,
        otherwise: Option<u64>,
    ) -> Option<u64> {
        let value = &body[name];
        match (value.as_u64(), otherwise) {
            (Some(number), _) if value.is_number() => Some(number),
            (_, Some(number)) if value.is_null() => Some(number),
            _ => {
                self.complain(under(place, name), value, "a whole number of 0 or more");
                None
            }
        }
    }
    fn time(
        &mut self,
        body: &Json,
        place: &str,
        name: &str,
        otherwise: Option<Micros>,
    ) -> Option<Micros> {
        let value = &body[name];
        match (value.as_str().and_then(durations::read), otherwise) {
            (Some(micros), _) => Some(micros),
            (None, Some(micros)) if value.is_null() => Some(micros),
            _ => {
                self.complain(under(place, name), value, "a time such as 1500ms or 2.5s");
                None
            }
        }
    }
    fn text<'a>(&mut self, body: &'a Json, place: &str, name: &str) -> Option<&'a str> {
        let text = body[name].as_str().filter(|t| !t.is_empty());
        if text.is_none() {
            self.complain(under(place, name), &body[name], "a text");
        }
        text
    }
    fn list<'a>(&mut self, body: &'a Json, place: &str, name: &str) -> &'a [Json] {
        match &body[name] {
            Json::Array(list) => list,
            other => {
                self.complain(under(place, name), other, "a list");
                &[]
            }
        }
    }

    fn edition(&mut self, root: &Json) -> Option<Edition> {
        if !root.is_object() {
            self.complain("document".into(), root, "an object");
            return None;
        }
        let number = self.whole(root, "", "edition", None);
        let allowances = self.allowances(&root["allowances"]);
        let mut fleets = HashMap::new();
        for (i, body) in self.list(root, "", "fleets").iter().enumerate() {
            let place = format!("fleets.{i}");
            let name = self.text(body, &place, "name").map(Arc::<str>::from);
            let conn_cap = self.whole(body, &place, "conn_cap", Some(u64::from(u32::MAX)));
            let health_path = body["health_path"].as_str().unwrap_or("/health").to_owned();
            if let (Some(name), Some(cap)) = (name, conn_cap) {
                self.names.insert(name.clone());
                let conn_cap = u32::try_from(cap).unwrap_or(u32::MAX);
                fleets.insert(
                    name.clone(),
                    Fleet {
                        name,
                        health_path,
                        conn_cap,
                    },
                );
            }
        }
        let mut table = Table::default();
        for (i, wicket) in self.list(root, "", "wickets").iter().enumerate() {
            let place = format!("wickets.{i}");
            let host = self
                .text(wicket, &place, "depot")
                .unwrap_or_default()
                .to_owned();
            for (j, body) in self.list(wicket, &place, "regulations").iter().enumerate() {
                let (nth, place) = (self.routes.len(), || format!("{place}.regulations.{j}"));
                let route = match (self.known.get(nth).cloned().flatten(), self.places.get(nth)) {
                    (Some(known), _)
                        if known.parts.iter().all(|p| self.names.contains(&p.service)) =>
                    {
                        Some(known)
                    }
                    (_, Some(range)) => match jzon::parse(&self.text[range.clone()]) {
                        Ok(body) => self.route(&body, &place()).map(Arc::new),
                        Err(_) => {
                            self.complain(place(), body, "JSON");
                            None
                        }
                    },
                    (_, None) => self.route(body, &place()).map(Arc::new),
                };
                if let Some(route) = route {
                    self.routes.push(route.clone());
                    table.add(&host, route);
                }
            }
        }
        Some(Edition {
            number: number?,
            allowances: allowances?,
            fleets,
            table,
            sources: Sources::default(),
        })
    }

    fn allowances(&mut self, body: &Json) -> Option<Allowances> {
        let (plain, place) = (Allowances::default(), "allowances");
        if !body.is_object() && !body.is_null() {
            self.complain(place.into(), body, "an object");
        }
        Some(Allowances {
            header_bytes: self.whole(
                body,
                place,
                "header_bytes",
                Some(plain.header_bytes as u64),
            )? as usize,
            body_bytes: self.whole(body, place, "body_bytes", Some(plain.body_bytes))?,
            header: self.time(body, place, "header", Some(plain.header))?,
            idle: self.time(body, place, "idle", Some(plain.idle))?,
        })
    }

    fn route(&mut self, body: &Json, place: &str) -> Option<Route> {
        let name = self.text(body, place, "name");
        let sort = match body["sort"].as_str() {
            Some("safe") => Some(Sort::Safe),
            Some("unsafe") => Some(Sort::Unsafe),
            _ => {
                self.complain(under(place, "sort"), &body["sort"], "'safe' or 'unsafe'");
                None
            }
        };
        let (dispatch, inner) = (&body["dispatch"], under(place, "dispatch"));
        let give_up = self.time(dispatch, &inner, "give_up", None);
        if give_up.is_some_and(|t| t == 0 || t > LONGEST) {
            self.complain(
                under(&inner, "give_up"),
                &dispatch["give_up"],
                "a time above 0, at most 600s",
            );
        }
        let target = self.time(body, place, "target", give_up);
        if let (Some(target), Some(give_up)) = (target, give_up) {
            if target >= give_up.saturating_add(BEYOND) {
                let most = format!(
                    "less than 60s over its give_up of {}",
                    durations::write(give_up)
                );
                self.complain(under(place, "target"), &body["target"], &most);
            }
        }
        let precedence = self.whole(body, place, "precedence", Some(0));
        let tries = self.whole(dispatch, &inner, "tries", Some(1));
        let prefix = self.text(&body["sorting"], &under(place, "sorting"), "lane_prefix");
        let parts = self.parts(dispatch, &inner);
        Some(Route {
            name: name?.into(),
            sort: sort?,
            target: target?,
            precedence: u32::try_from(precedence?).unwrap_or(u32::MAX),
            prefix: prefix?.to_owned(),
            parts: parts?,
            give_up: give_up?,
            tries: u32::try_from(tries?.max(1)).unwrap_or(u32::MAX),
        })
    }

    /// Where a route's requests go: one service, or several with shares.
    fn parts(&mut self, dispatch: &Json, place: &str) -> Option<Vec<Part>> {
        if dispatch["apportion"].is_null() {
            let service = self.service(dispatch, place)?;
            return Some(vec![Part {
                service,
                share: 1.0,
            }]);
        }
        let (mut parts, place) = (Vec::new(), under(place, "apportion"));
        for (i, body) in self.list(dispatch, "", "apportion").iter().enumerate() {
            let place = under(&place, i);
            let service = self.service(body, &place);
            let share = body["share"]
                .as_f64()
                .filter(|s| s.is_finite() && *s >= 0.0);
            if share.is_none() {
                self.complain(
                    under(&place, "share"),
                    &body["share"],
                    "a number of 0 or more",
                );
            }
            parts.extend(
                service
                    .zip(share)
                    .map(|(service, share)| Part { service, share }),
            );
        }
        parts.retain(|p| p.share > 0.0);
        if parts.is_empty() {
            self.complain(
                place,
                &dispatch["apportion"],
                "shares that add up to more than 0",
            );
            return None;
        }
        Some(parts)
    }

    fn service(&mut self, body: &Json, place: &str) -> Option<Arc<str>> {
        let name = self.text(body, place, "service")?;
        let known = self.names.get(name).cloned();
        if known.is_none() {
            self.complain(
                under(place, "service"),
                &body["service"],
                "the name of a fleet",
            );
        }
        known
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const SOUND: &str = r#"{"edition":7,"allowances":{"header_bytes":16384,"body_bytes":67108864,"header":"3000ms",
"idle":"15000ms"},"wickets":[{"depot":"ficu.example","regulations":[{"name":"r-1","sort":"safe","target":"600ms",
"precedence":2,"sorting":{"lane_prefix":"/lohu/"},"dispatch":{"apportion":[{"service":"a","share":90},
{"service":"b","share":10}],"give_up":"1500ms","tries":2}},{"name":"r-2","sort":"unsafe","target":"800ms",
"precedence":1,"sorting":{"lane_prefix":"/lohu/pufi/"},"dispatch":{"service":"a","give_up":"2000ms","tries":2}}]}],
"fleets":[{"name":"a","health_path":"/health","conn_cap":130,"protocol":"h1","tls":false},
{"name":"b","health_path":"/health","conn_cap":130,"protocol":"h1","tls":false}]}"#;

    /// Guards against requests that go to another route than the operators meant.
    #[rstest]
    #[case("ficu.example", "/lohu/x", Some("r-1"))]
    #[case("FICU.example:8080", "/lohu/pufi/x/y", Some("r-2"))]
    #[case("ficu.example", "/lohu/pufi", Some("r-1"))]
    #[case("ficu.example", "/lohu", None)]
    #[case("ficu.example", "/x/lohu/", None)]
    #[case("other.example", "/lohu/x", None)]
    #[case("ficu.example", "", None)]
    fn the_longest_prefix_of_the_host_holds(
        #[case] host: &str,
        #[case] path: &str,
        #[case] name: Option<&str>,
    ) {
        let edition = Edition::read(SOUND).expect("sound");
        assert_eq!(edition.table().find(host, path).map(|r| &*r.name), name);
    }

    /// Guards against shares that are not kept to, at their edges most of all.
    #[test]
    fn draws_fall_by_share() {
        let edition = Edition::read(SOUND).expect("sound");
        let route = edition
            .table()
            .find("ficu.example", "/lohu/")
            .expect("a route");
        let drawn = [0.0, 0.89, 0.91, 1.0].map(|d| route.part(d).service.to_string());
        assert_eq!(drawn, ["a", "a", "b", "b"]);
    }

    /// Guards against a wrong configuration in force: each case that the pages name, with its place.
    #[rstest]
    #[case::unknown_service(
        r#""service":"a","give"#,
        r#""service":"z","give"#,
        "wickets.0.regulations.1.dispatch.service"
    )]
    #[case::no_weight(
        "\"share\":90},\n{\"service\":\"b\",\"share\":10",
        "\"share\":0},\n{\"service\":\"b\",\"share\":0",
        "wickets.0.regulations.0.dispatch.apportion"
    )]
    #[case::no_timeout("1500ms", "0ms", "wickets.0.regulations.0.dispatch.give_up")]
    #[case::long_timeout("1500ms", "600.1s", "wickets.0.regulations.0.dispatch.give_up")]
    #[case::aim_over("\"600ms\"", "\"61.5s\"", "wickets.0.regulations.0.target")]
    #[case::odd_kind("unsafe", "odd", "wickets.0.regulations.1.sort")]
    #[case::no_number("\"edition\":7", "\"edition\":\"7\"", "edition")]
    #[case::no_prefix(
        "\"lane_prefix\":\"/lohu/\"",
        "\"lane\":\"/lohu/\"",
        "wickets.0.regulations.0.sorting.lane_prefix"
    )]
    #[case::cut_short("\"tls\":false}]}", "\"tls\":fal", "document")]
    fn what_is_invalid_is_refused_with_its_place(
        #[case] from: &str,
        #[case] to: &str,
        #[case] place: &str,
    ) {
        assert!(SOUND.contains(from));
        let wrong = Edition::read(&SOUND.replacen(from, to, 1)).expect_err("refused");
        assert_eq!(
            wrong.iter().map(|c| c.place.as_str()).collect::<Vec<_>>(),
            [place]
        );
    }

    /// Guards against refusing what lies just inside the bounds.
    #[test]
    fn what_lies_at_the_bounds_is_sound() {
        let far = SOUND
            .replacen("1500ms", "600s", 1)
            .replacen("\"800ms\"", "\"61.999s\"", 1);
        assert!(Edition::read(&far).is_ok());
        assert_eq!((number_of(SOUND), number_of("{")), (Some(7), None));
    }
}
