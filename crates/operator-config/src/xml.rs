//! XML as a tree with line numbers: bounded in size and depth, without document types, so nothing can be
//! expanded; only the five entities that XML itself knows and numbered characters are.

use quick_xml::events::{BytesStart, Event};
use quick_xml::{Reader, XmlVersion};
use std::fmt;

/// The largest text that is parsed: some hundred times a full configuration.
pub const MAX_BYTES: usize = 256 << 10;
/// The deepest nesting; the bundled schema needs eight.
pub const MAX_DEPTH: usize = 16;

/// An element.
#[derive(Clone, Debug, PartialEq)]
pub struct Element {
    /// Its name, with the prefix.
    pub name: String,
    /// The line on which it begins, from 1.
    pub line: usize,
    /// Names and values of its attributes.
    pub attributes: Vec<(String, String)>,
    /// The elements directly within it.
    pub children: Vec<Element>,
    /// All text directly within it, trimmed.
    pub text: String,
}

impl Element {
    /// Returns the value of an attribute, if it is given.
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
    /// Iterates over the children of this name, without regard to its prefix.
    pub fn children_named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Element> {
        self.children.iter().filter(move |c| c.local_name() == name)
    }
    /// Returns the name without its prefix.
    pub fn local_name(&self) -> &str {
        self.name.rsplit(':').next().unwrap_or(&self.name)
    }
}

/// Why a text is not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum XmlError {
    /// It has so many bytes.
    TooLong(usize),
    /// It is not well-formed, or uses what is not accepted here.
    Malformed {
        /// The line, from 1.
        line: usize,
        /// What was found and what was expected.
        message: String,
    },
}

impl fmt::Display for XmlError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            XmlError::TooLong(bytes) => {
                write!(f, "found {bytes} bytes, expected {MAX_BYTES} at most")
            }
            XmlError::Malformed { line, message } => write!(f, "line {line}: {message}"),
        }
    }
}

impl std::error::Error for XmlError {}

fn malformed(line: usize, message: impl Into<String>) -> XmlError {
    XmlError::Malformed {
        line,
        message: message.into(),
    }
}

fn element(tag: &BytesStart, line: usize) -> Result<Element, XmlError> {
    let mut attributes = Vec::new();
    for attribute in tag.attributes() {
        let attribute =
            attribute.map_err(|e| malformed(line, format!("expected attributes: {e}")))?;
        let value = attribute.normalized_value(XmlVersion::Implicit1_0);
        let value = value.map_err(|e| malformed(line, format!("expected a value: {e}")))?;
        attributes.push((attribute.key.as_ref().to_owned(), value.into_owned()));
    }
    let name = tag.name().as_ref().to_owned();
    Ok(Element {
        name,
        line,
        attributes,
        children: Vec::new(),
        text: String::new(),
    })
}

/// Parses a text with one element at its top.
///
/// # Errors
///
/// If the text is too long, too deeply nested or not well-formed.
pub fn parse(text: &str) -> Result<Element, XmlError> {
    if text.len() > MAX_BYTES {
        return Err(XmlError::TooLong(text.len()));
    }
    let mut reader = Reader::from_str(text);
    let (mut open, mut root): (Vec<Element>, Option<Element>) = (Vec::new(), None);
    // Lines are counted as the reader goes on, so that a long file is walked once.
    let (mut line, mut counted) = (1, 0);
    loop {
        let event = reader.read_event();
        let from = counted.min(text.len());
        let here = (reader.buffer_position() as usize).clamp(from, text.len());
        let event = match event {
            Ok(event) => event,
            Err(e) => {
                let at = (reader.error_position() as usize).min(text.len());
                let line = 1 + text.as_bytes()[..at]
                    .iter()
                    .filter(|b| **b == b'\n')
                    .count();
                return Err(malformed(line, format!("expected XML: {e}")));
            }
        };
        let lines = |bytes: &[u8]| bytes.iter().filter(|b| **b == b'\n').count();
        let (began, passed) = (line, lines(&text.as_bytes()[from..here]));
        (line, counted) = (line + passed, here);
        let closed = match event {
            Event::Start(tag) => {
                if open.len() >= MAX_DEPTH {
                    return Err(malformed(
                        began,
                        format!("found more than {MAX_DEPTH} elements within one another"),
                    ));
                }
                open.push(element(&tag, began)?);
                continue;
            }
            Event::Empty(tag) => Some(element(&tag, began)?),
            Event::End(_) => open.pop(),
            Event::Text(part) => {
                add_text(&mut open, &part.xml10_content(), began)?;
                None
            }
            Event::CData(part) => {
                add_text(&mut open, &part.xml10_content(), began)?;
                None
            }
            Event::GeneralRef(reference) => {
                let name = reference.clone().into_inner();
                let text = quick_xml::escape::unescape(&format!("&{name};"))
                    .map_err(|_| {
                        malformed(
                            began,
                            format!("found &{name};, expected one of XML's own entities"),
                        )
                    })?
                    .into_owned();
                add_text(&mut open, &text, began)?;
                None
            }
            Event::DocType(_) => {
                return Err(malformed(began, "found a document type, expected none"))
            }
            Event::Eof if !open.is_empty() => {
                return Err(malformed(
                    line,
                    format!("expected the end of <{}>", open[open.len() - 1].name),
                ));
            }
            Event::Eof => return root.ok_or_else(|| malformed(line, "expected an element")),
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => None,
        };
        let Some(mut done) = closed else { continue };
        done.text = done.text.trim().to_owned();
        match open.last_mut() {
            Some(parent) => parent.children.push(done),
            None if root.is_some() => {
                return Err(malformed(began, "found a second element at the top"))
            }
            None => root = Some(done),
        }
    }
}

/// Text of the innermost element; outside of all there may be none.
fn add_text(open: &mut [Element], text: &str, line: usize) -> Result<(), XmlError> {
    match open.last_mut() {
        Some(element) => element.text.push_str(text),
        None if text.trim().is_empty() => {}
        None => return Err(malformed(line, "found text outside of all elements")),
    }
    Ok(())
}
