//! The part of W3C XML Schema (1.1, Structures and Datatypes) that the operators' schema uses: elements that hold
//! elements in any order or in sequence, attributes with defaults, restrictions of decimal, integer, boolean and
//! string, and assertions that one attribute lies below another. Whatever else a schema says is an error.

use crate::xml::{self, Element};
use std::collections::BTreeMap;

/// What a value may be.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    Decimal,
    Integer,
    Boolean,
    Text,
}

/// A simple type: its kind and what restricts it.
#[derive(Clone, Debug, PartialEq)]
pub struct Simple {
    pub kind: Kind,
    pub least: Option<f64>,
    pub most: Option<f64>,
    /// Above, not at.
    pub above: Option<f64>,
    pub words: Vec<String>,
    pub longest: Option<usize>,
    pub shortest: Option<usize>,
}

/// An attribute.
#[derive(Clone, Debug)]
pub struct Attribute {
    pub name: String,
    pub simple: Simple,
    pub needed: bool,
    pub default: Option<String>,
    pub about: String,
}

/// `first` lies below `second`, or at most at it, where both are given.
#[derive(Clone, Debug)]
pub struct Below {
    pub first: String,
    pub second: String,
    pub or_equal: bool,
}

/// An element.
#[derive(Clone, Debug)]
pub struct Rule {
    pub name: String,
    pub about: String,
    pub needed: bool,
    /// How many of it may stand side by side; more than one become a list.
    pub most: usize,
    pub attributes: Vec<Attribute>,
    pub children: Vec<Rule>,
    pub below: Vec<Below>,
}

/// The most of a kind where the schema states no number.
const UNBOUNDED: usize = 1000;

/// A schema, read.
#[derive(Clone, Debug)]
pub struct Schema {
    pub root: Rule,
}

type Types = BTreeMap<String, Simple>;

fn wrong(at: &Element, what: impl std::fmt::Display) -> String {
    format!("schema: line {}: {}: {what}", at.line, at.name)
}

/// A value of one of the schema's own attributes.
fn of<T: std::str::FromStr>(at: &Element, name: &str) -> Result<T, String> {
    let value = at
        .attribute(name)
        .ok_or_else(|| wrong(at, format!("expected {name}")))?;
    value
        .parse()
        .map_err(|_| wrong(at, format!("{name}: found '{value}'")))
}

fn about(at: &Element) -> String {
    let texts = at
        .all("annotation")
        .flat_map(|a| a.all("documentation").map(|d| d.text.clone()));
    let words: Vec<String> = texts.collect();
    words
        .join(" ")
        .split_whitespace()
        .collect::<Vec<_>>()
        .join(" ")
}

fn base(name: &str, at: &Element, types: &Types) -> Result<Simple, String> {
    let kind = match name.rsplit(':').next().unwrap_or(name) {
        "decimal" => Kind::Decimal,
        "integer" => Kind::Integer,
        "boolean" => Kind::Boolean,
        "string" | "token" => Kind::Text,
        own => {
            return types
                .get(own)
                .cloned()
                .ok_or_else(|| wrong(at, format!("unknown type {name}")))
        }
    };
    let (least, most, above, longest, shortest) = (None, None, None, None, None);
    Ok(Simple {
        kind,
        least,
        most,
        above,
        words: Vec::new(),
        longest,
        shortest,
    })
}

fn simple(at: &Element, types: &Types) -> Result<Simple, String> {
    let restriction = at
        .all("restriction")
        .next()
        .ok_or_else(|| wrong(at, "expected a restriction"))?;
    let mut simple = base(&of::<String>(restriction, "base")?, restriction, types)?;
    for facet in restriction
        .children
        .iter()
        .filter(|c| c.local() != "annotation")
    {
        match facet.local() {
            "minInclusive" => simple.least = Some(of(facet, "value")?),
            "maxInclusive" => simple.most = Some(of(facet, "value")?),
            "minExclusive" => simple.above = Some(of(facet, "value")?),
            "enumeration" => simple.words.push(of(facet, "value")?),
            "maxLength" => simple.longest = Some(of(facet, "value")?),
            "minLength" => simple.shortest = Some(of(facet, "value")?),
            _ => return Err(wrong(facet, "not known here")),
        }
    }
    Ok(simple)
}

fn attribute(at: &Element, types: &Types) -> Result<Attribute, String> {
    let simple = match at.all("simpleType").next() {
        Some(own) => simple(own, types)?,
        None => base(&of::<String>(at, "type")?, at, types)?,
    };
    let default = at.attribute("default").map(str::to_owned);
    if let Some(value) = &default {
        simple
            .read(value)
            .map_err(|expected| wrong(at, format!("default: expected {expected}")))?;
    }
    let needed = at.attribute("use") == Some("required");
    Ok(Attribute {
        name: of(at, "name")?,
        simple,
        needed,
        default,
        about: about(at),
    })
}

/// `@first lt @second`, as XPath 2 writes it; either may be absent, then the whole holds.
fn below(at: &Element) -> Result<Below, String> {
    let test: String = of(at, "test")?;
    let words: Vec<&str> = test.split_whitespace().collect();
    match words[..] {
        [first, op @ ("lt" | "le"), second]
            if first.starts_with('@') && second.starts_with('@') =>
        {
            Ok(Below {
                first: first[1..].into(),
                second: second[1..].into(),
                or_equal: op == "le",
            })
        }
        _ => Err(wrong(
            at,
            format!("test: found '{test}', expected @one lt @other"),
        )),
    }
}

fn rule(at: &Element, types: &Types) -> Result<Rule, String> {
    let number = |name: &str, otherwise: usize| match at.attribute(name) {
        None => Ok(otherwise),
        Some("unbounded") => Ok(UNBOUNDED),
        Some(_) => of(at, name),
    };
    let mut rule = Rule {
        name: of(at, "name")?,
        about: about(at),
        needed: number("minOccurs", 1)? > 0,
        most: number("maxOccurs", 1)?,
        attributes: Vec::new(),
        children: Vec::new(),
        below: Vec::new(),
    };
    let Some(holds) = at.all("complexType").next() else {
        return Ok(rule);
    };
    for part in &holds.children {
        match part.local() {
            "all" | "sequence" => {
                for child in &part.children {
                    rule.children.push(self::rule(child, types)?);
                }
            }
            "attribute" => rule.attributes.push(attribute(part, types)?),
            "assert" => rule.below.push(below(part)?),
            "annotation" => {}
            _ => return Err(wrong(part, "not known here")),
        }
    }
    Ok(rule)
}

impl Schema {
    /// Reads a schema with one element at its top.
    pub fn read(text: &str) -> Result<Schema, String> {
        let file = xml::read(text).map_err(|e| format!("schema: {e}"))?;
        let (mut types, mut root) = (Types::new(), None);
        for part in &file.children {
            match part.local() {
                "simpleType" => {
                    let simple = simple(part, &types)?;
                    types.insert(of(part, "name")?, simple);
                }
                "element" if root.is_none() => root = Some(rule(part, &types)?),
                "annotation" => {}
                _ => return Err(wrong(part, "not known here")),
            }
        }
        let root = root.ok_or_else(|| wrong(&file, "expected an element"))?;
        Ok(Schema { root })
    }

    /// The operators' own, as it stands in `deploy/`.
    pub fn own() -> Schema {
        // It is part of the program; a test reads it, so it can be read.
        Schema::read(include_str!("../../../deploy/magpieline.xsd"))
            .unwrap_or_else(|e| unreachable!("{e}"))
    }

    /// What an element or attribute is for, by its dotted name (`verdict.bad_carried`), with what it may be.
    pub fn explain(&self, name: &str) -> Option<String> {
        let (mut rule, mut text) = (&self.root, None);
        for part in name.split('.').filter(|p| p.parse::<usize>().is_err()) {
            let part = part.replace('_', "-");
            if let Some(child) = rule.children.iter().find(|c| c.name == part) {
                (rule, text) = (child, Some(child.about.clone()));
            } else {
                let a = rule.attributes.iter().find(|a| a.name == part)?;
                let default = match (&a.default, a.needed) {
                    (Some(default), _) => format!("; {default} if it is not given"),
                    (None, true) => "; has to be given".into(),
                    (None, false) => String::new(),
                };
                return Some(format!(
                    "{} Expected: {}{default}.",
                    a.about,
                    a.simple.expected()
                ));
            }
        }
        let names = rule
            .attributes
            .iter()
            .map(|a| a.name.as_str())
            .chain(rule.children.iter().map(|c| c.name.as_str()));
        let names: Vec<&str> = names.collect();
        text.map(|t| format!("{t} Holds: {}.", names.join(", ")))
    }
}
