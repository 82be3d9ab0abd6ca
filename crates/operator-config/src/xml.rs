//! XML as a tree with line numbers: bounded in size and depth, without document types, so nothing can be
//! expanded; only the five entities that XML itself knows and numbered characters are.

use quick_xml::events::{BytesStart, Event};
use quick_xml::{Reader, XmlVersion};

/// The longest text that is read: some hundred times a full file.
pub const LONGEST: usize = 256 << 10;
/// The deepest nesting; the schema's own needs eight.
pub const DEEPEST: usize = 16;

/// An element.
#[derive(Clone, Debug, PartialEq)]
pub struct Element {
    pub name: String,
    pub line: usize,
    pub attributes: Vec<(String, String)>,
    pub children: Vec<Element>,
    /// All text directly within it, trimmed.
    pub text: String,
}

impl Element {
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
    /// Children of a name, its prefix left aside.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Element> {
        self.children.iter().filter(move |c| c.local() == name)
    }
    /// The name without its prefix.
    pub fn local(&self) -> &str {
        self.name.rsplit(':').next().unwrap_or(&self.name)
    }
}

fn element(tag: &BytesStart, line: usize) -> Result<Element, String> {
    let mut attributes = Vec::new();
    for attribute in tag.attributes() {
        let attribute = attribute.map_err(|e| format!("line {line}: expected attributes: {e}"))?;
        let value = attribute.normalized_value(XmlVersion::Implicit1_0);
        let value = value.map_err(|e| format!("line {line}: expected a value: {e}"))?;
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

/// Reads a text; an error names the line and what was expected.
pub fn read(text: &str) -> Result<Element, String> {
    if text.len() > LONGEST {
        return Err(format!(
            "found {} bytes, expected {LONGEST} at most",
            text.len()
        ));
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
                return Err(format!("line {line}: expected XML: {e}"));
            }
        };
        let lines = |bytes: &[u8]| bytes.iter().filter(|b| **b == b'\n').count();
        let (began, passed) = (line, lines(&text.as_bytes()[from..here]));
        (line, counted) = (line + passed, here);
        let closed = match event {
            Event::Start(tag) => {
                if open.len() >= DEEPEST {
                    return Err(format!(
                        "line {began}: found more than {DEEPEST} elements within one another"
                    ));
                }
                open.push(element(&tag, began)?);
                continue;
            }
            Event::Empty(tag) => Some(element(&tag, began)?),
            Event::End(_) => open.pop(),
            Event::Text(part) => {
                add(&mut open, &part.xml10_content(), began)?;
                None
            }
            Event::CData(part) => {
                add(&mut open, &part.xml10_content(), began)?;
                None
            }
            Event::GeneralRef(reference) => {
                let name = reference.clone().into_inner();
                let text = quick_xml::escape::unescape(&format!("&{name};"))
                    .map_err(|_| {
                        format!("line {began}: found &{name};, expected one of XML's own entities")
                    })?
                    .into_owned();
                add(&mut open, &text, began)?;
                None
            }
            Event::DocType(_) => {
                return Err(format!(
                    "line {began}: found a document type, expected none"
                ))
            }
            Event::Eof if !open.is_empty() => {
                return Err(format!(
                    "line {line}: expected the end of <{}>",
                    open[open.len() - 1].name
                ));
            }
            Event::Eof => return root.ok_or_else(|| format!("line {line}: expected an element")),
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => None,
        };
        let Some(mut done) = closed else { continue };
        done.text = done.text.trim().to_owned();
        match open.last_mut() {
            Some(parent) => parent.children.push(done),
            None if root.is_some() => {
                return Err(format!("line {began}: found a second element at the top"))
            }
            None => root = Some(done),
        }
    }
}

/// Text of the innermost element; outside of all there may be none.
fn add(open: &mut [Element], text: &str, line: usize) -> Result<(), String> {
    match open.last_mut() {
        Some(element) => element.text.push_str(text),
        None if text.trim().is_empty() => {}
        None => return Err(format!("line {line}: found text outside of all elements")),
    }
    Ok(())
}
