//! The part of W3C XML Schema (1.1, Structures and Datatypes) that the operators' schema uses: elements that hold
//! elements in any order or in sequence, attributes with defaults, restrictions of decimal, integer, boolean and
//! string, and assertions that one attribute lies below another. Whatever else a schema says is an error.

use crate::xml::{self, Element, XmlError};
use std::collections::BTreeMap;
use std::fmt;

/// The base type of a value.
#[derive(Clone, Debug, PartialEq)]
pub enum ValueKind {
    /// A number.
    Decimal,
    /// A whole number.
    Integer,
    /// True or false.
    Boolean,
    /// A text.
    Text,
}

/// A simple type: a base type and its restrictions.
#[derive(Clone, Debug, PartialEq)]
pub struct SimpleType {
    /// Its base type.
    pub kind: ValueKind,
    /// The least value.
    pub min: Option<f64>,
    /// The greatest value.
    pub max: Option<f64>,
    /// Values are above this one.
    pub exclusive_min: Option<f64>,
    /// The only values allowed, unless empty.
    pub allowed: Vec<String>,
    /// The most characters.
    pub max_length: Option<usize>,
    /// The fewest characters.
    pub min_length: Option<usize>,
}

/// An attribute.
#[derive(Clone, Debug)]
pub struct Attribute {
    /// Its name.
    pub name: String,
    /// What its value may be.
    pub value_type: SimpleType,
    /// Whether it has to be given.
    pub required: bool,
    /// The value where it is not given.
    pub default: Option<String>,
    /// What it is for.
    pub documentation: String,
}

/// An assertion that one attribute is smaller than another, where both are given.
#[derive(Clone, Debug)]
pub struct AttributeOrder {
    /// The attribute with the smaller value.
    pub smaller: String,
    /// The attribute with the larger value.
    pub larger: String,
    /// Whether they may be equal.
    pub or_equal: bool,
}

/// What an element may hold.
#[derive(Clone, Debug)]
pub struct ElementType {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub documentation: String,
    /// Whether it has to be there.
    pub required: bool,
    /// How many of it may stand side by side; more than one become a list.
    pub max_occurs: usize,
    /// Its attributes.
    pub attributes: Vec<Attribute>,
    /// The elements that it may hold.
    pub children: Vec<ElementType>,
    /// Orders between its attributes.
    pub attribute_orders: Vec<AttributeOrder>,
}

/// The limit for `maxOccurs="unbounded"`.
const UNBOUNDED: usize = 1000;

/// A parsed schema.
#[derive(Clone, Debug)]
pub struct Schema {
    /// The element at the top.
    pub root: ElementType,
}

/// Why a text is no schema that can be used here.
#[derive(Clone, Debug, PartialEq)]
pub enum SchemaError {
    /// It is not well-formed.
    Xml(XmlError),
    /// An element of it is invalid or not implemented.
    Invalid {
        /// The line, from 1.
        line: usize,
        /// The element.
        element: String,
        /// What is wrong.
        message: String,
    },
}

impl fmt::Display for SchemaError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SchemaError::Xml(error) => write!(f, "schema: {error}"),
            SchemaError::Invalid {
                line,
                element,
                message,
            } => write!(f, "schema: line {line}: {element}: {message}"),
        }
    }
}

impl std::error::Error for SchemaError {}

type Types = BTreeMap<String, SimpleType>;

fn invalid(at: &Element, message: impl fmt::Display) -> SchemaError {
    SchemaError::Invalid {
        line: at.line,
        element: at.name.clone(),
        message: message.to_string(),
    }
}

/// A value of one of the schema's own attributes.
fn parse_attribute<T: std::str::FromStr>(at: &Element, name: &str) -> Result<T, SchemaError> {
    let value = at
        .attribute(name)
        .ok_or_else(|| invalid(at, format!("expected {name}")))?;
    value
        .parse()
        .map_err(|_| invalid(at, format!("{name}: found '{value}'")))
}

fn documentation(at: &Element) -> String {
    let texts = at
        .children_named("annotation")
        .flat_map(|a| a.children_named("documentation").map(|d| d.text.clone()));
    let words: Vec<String> = texts.collect();
    words
        .join(" ")
        .split_whitespace()
        .collect::<Vec<_>>()
        .join(" ")
}

fn base_type(name: &str, at: &Element, types: &Types) -> Result<SimpleType, SchemaError> {
    let kind = match name.rsplit(':').next().unwrap_or(name) {
        "decimal" => ValueKind::Decimal,
        "integer" => ValueKind::Integer,
        "boolean" => ValueKind::Boolean,
        "string" | "token" => ValueKind::Text,
        own => {
            return types
                .get(own)
                .cloned()
                .ok_or_else(|| invalid(at, format!("unknown type {name}")))
        }
    };
    Ok(SimpleType {
        kind,
        min: None,
        max: None,
        exclusive_min: None,
        allowed: Vec::new(),
        max_length: None,
        min_length: None,
    })
}

fn simple_type(at: &Element, types: &Types) -> Result<SimpleType, SchemaError> {
    let restriction = at
        .children_named("restriction")
        .next()
        .ok_or_else(|| invalid(at, "expected a restriction"))?;
    let mut simple = base_type(
        &parse_attribute::<String>(restriction, "base")?,
        restriction,
        types,
    )?;
    for facet in restriction
        .children
        .iter()
        .filter(|c| c.local_name() != "annotation")
    {
        match facet.local_name() {
            "minInclusive" => simple.min = Some(parse_attribute(facet, "value")?),
            "maxInclusive" => simple.max = Some(parse_attribute(facet, "value")?),
            "minExclusive" => simple.exclusive_min = Some(parse_attribute(facet, "value")?),
            "enumeration" => simple.allowed.push(parse_attribute(facet, "value")?),
            "maxLength" => simple.max_length = Some(parse_attribute(facet, "value")?),
            "minLength" => simple.min_length = Some(parse_attribute(facet, "value")?),
            _ => return Err(invalid(facet, "not known here")),
        }
    }
    Ok(simple)
}

fn attribute_type(at: &Element, types: &Types) -> Result<Attribute, SchemaError> {
    let value_type = match at.children_named("simpleType").next() {
        Some(own) => simple_type(own, types)?,
        None => base_type(&parse_attribute::<String>(at, "type")?, at, types)?,
    };
    let default = at.attribute("default").map(str::to_owned);
    if let Some(value) = &default {
        value_type
            .parse(value)
            .map_err(|expected| invalid(at, format!("default: expected {expected}")))?;
    }
    let required = at.attribute("use") == Some("required");
    Ok(Attribute {
        name: parse_attribute(at, "name")?,
        value_type,
        required,
        default,
        documentation: documentation(at),
    })
}

/// `@first lt @second`, as XPath 2 writes it; either may be absent, then the whole holds.
fn attribute_order(at: &Element) -> Result<AttributeOrder, SchemaError> {
    let test: String = parse_attribute(at, "test")?;
    let words: Vec<&str> = test.split_whitespace().collect();
    match words[..] {
        [first, op @ ("lt" | "le"), second]
            if first.starts_with('@') && second.starts_with('@') =>
        {
            Ok(AttributeOrder {
                smaller: first[1..].into(),
                larger: second[1..].into(),
                or_equal: op == "le",
            })
        }
        _ => Err(invalid(
            at,
            format!("test: found '{test}', expected @one lt @other"),
        )),
    }
}

fn element_type(at: &Element, types: &Types) -> Result<ElementType, SchemaError> {
    let number = |name: &str, otherwise: usize| match at.attribute(name) {
        None => Ok(otherwise),
        Some("unbounded") => Ok(UNBOUNDED),
        Some(_) => parse_attribute(at, name),
    };
    let mut element = ElementType {
        name: parse_attribute(at, "name")?,
        documentation: documentation(at),
        required: number("minOccurs", 1)? > 0,
        max_occurs: number("maxOccurs", 1)?,
        attributes: Vec::new(),
        children: Vec::new(),
        attribute_orders: Vec::new(),
    };
    let Some(holds) = at.children_named("complexType").next() else {
        return Ok(element);
    };
    for part in &holds.children {
        match part.local_name() {
            "all" | "sequence" => {
                for child in &part.children {
                    element.children.push(self::element_type(child, types)?);
                }
            }
            "attribute" => element.attributes.push(attribute_type(part, types)?),
            "assert" => element.attribute_orders.push(attribute_order(part)?),
            "annotation" => {}
            _ => return Err(invalid(part, "not known here")),
        }
    }
    Ok(element)
}

impl Schema {
    /// Parses a schema with one element at its top.
    ///
    /// # Errors
    ///
    /// If the text is no schema, or uses what is not implemented.
    pub fn parse(text: &str) -> Result<Schema, SchemaError> {
        let file = xml::parse(text).map_err(SchemaError::Xml)?;
        let (mut types, mut root) = (Types::new(), None);
        for part in &file.children {
            match part.local_name() {
                "simpleType" => {
                    let simple = simple_type(part, &types)?;
                    types.insert(parse_attribute(part, "name")?, simple);
                }
                "element" if root.is_none() => root = Some(element_type(part, &types)?),
                "annotation" => {}
                _ => return Err(invalid(part, "not known here")),
            }
        }
        let root = root.ok_or_else(|| invalid(&file, "expected an element"))?;
        Ok(Schema { root })
    }

    /// Returns the schema of `deploy/magpieline.xsd`, which is part of the program.
    pub fn bundled() -> Schema {
        // It is part of the program; a test reads it, so it can be read.
        Schema::parse(include_str!("../../../deploy/magpieline.xsd"))
            .unwrap_or_else(|e| unreachable!("{e}"))
    }

    /// Returns what an element or attribute is for, by its dotted name (`verdict.bad_carried`), and what it may be.
    pub fn explain(&self, name: &str) -> Option<String> {
        let (mut rule, mut text) = (&self.root, None);
        for part in name.split('.').filter(|p| p.parse::<usize>().is_err()) {
            let part = part.replace('_', "-");
            if let Some(child) = rule.children.iter().find(|c| c.name == part) {
                (rule, text) = (child, Some(child.documentation.clone()));
            } else {
                let a = rule.attributes.iter().find(|a| a.name == part)?;
                let default = match (&a.default, a.required) {
                    (Some(default), _) => format!("; {default} if it is not given"),
                    (None, true) => "; has to be given".into(),
                    (None, false) => String::new(),
                };
                return Some(format!(
                    "{} Expected: {}{default}.",
                    a.documentation,
                    a.value_type.expected()
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
