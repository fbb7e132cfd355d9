//! XML read into a small tree that knows its lines. Depth and size are bounded, entities other than the five
//! of XML itself and document types are refused.

use quick_xml::Reader;
use quick_xml::XmlVersion;
use quick_xml::events::{BytesStart, Event};

use crate::Fault;

/// Larger files, deeper ones, and those with more elements are not read.
const MOST_BYTES: usize = 1024 * 1024;
const DEEPEST: usize = 16;
const MOST_NODES: usize = 50_000;

/// An element, with its line in the file from 1.
#[derive(Debug, Default)]
pub(crate) struct Node {
    pub name: String,
    pub line: usize,
    pub attributes: Vec<(String, String)>,
    pub children: Vec<Node>,
    pub has_text: bool,
}

impl Node {
    pub(crate) fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    pub(crate) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Node> {
        self.children.iter().filter(move |c| c.name == name)
    }
}

/// Lines counted as the reader goes on, so that long files are not counted over and over.
struct Lines<'a> {
    text: &'a [u8],
    at: usize,
    line: usize,
}

impl Lines<'_> {
    fn line(&mut self, at: u64) -> usize {
        let at = (at as usize).min(self.text.len());
        let new = self.text.get(self.at..at).unwrap_or_default();
        self.line += new.iter().filter(|b| **b == b'\n').count();
        self.at = self.at.max(at);
        self.line
    }
}

fn element(start: &BytesStart, line: usize) -> Result<Node, Fault> {
    let fault = |e: String| Fault::new(line, e);
    let mut node = Node {
        name: start.name().as_ref().to_owned(),
        line,
        ..Node::default()
    };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|e| fault(e.to_string()))?;
        let value = attribute
            .normalized_value(XmlVersion::Explicit1_0)
            .map_err(|e| fault(e.to_string()))?;
        node.attributes
            .push((attribute.key.as_ref().to_owned(), value.into_owned()));
    }
    Ok(node)
}

/// Reads a whole file.
///
/// # Errors
///
/// The line and cause of what is no well-formed XML, or is beyond the bounds.
pub(crate) fn read(text: &str) -> Result<Node, Fault> {
    if text.len() > MOST_BYTES {
        return Err(Fault::new(
            1,
            format!("the file has more than {MOST_BYTES} bytes"),
        ));
    }
    let mut reader = Reader::from_str(text);
    let mut lines = Lines {
        text: text.as_bytes(),
        at: 0,
        line: 1,
    };
    let mut open: Vec<Node> = vec![Node::default()];
    let mut count = 0;
    loop {
        // An element's line is that of its first letter, white space before it aside.
        let line = lines.line(reader.buffer_position());
        let event = reader.read_event().map_err(|e| {
            let line = lines.line(reader.error_position());
            Fault::new(line, e.to_string())
        })?;
        let is_start = matches!(event, Event::Start(_));
        match event {
            Event::Start(start) | Event::Empty(start) => {
                count += 1;
                if open.len() > DEEPEST || count > MOST_NODES {
                    return Err(Fault::new(
                        line,
                        "there are too many elements, or one within another",
                    ));
                }
                let node = element(&start, line)?;
                match is_start {
                    true => open.push(node),
                    false => open
                        .last_mut()
                        .map_or((), |parent| parent.children.push(node)),
                }
            }
            Event::End(_) => {
                if let (Some(node), true) = (open.pop(), !open.is_empty())
                    && let Some(parent) = open.last_mut()
                {
                    parent.children.push(node);
                }
            }
            Event::Text(said) => {
                if !said.bytes().all(|b| b.is_ascii_whitespace())
                    && let Some(node) = open.last_mut()
                {
                    node.has_text = true;
                }
            }
            Event::CData(_) | Event::GeneralRef(_) => {
                if let Some(node) = open.last_mut() {
                    node.has_text = true;
                }
            }
            Event::DocType(_) => return Err(Fault::new(line, "a document type is not taken")),
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => {}
            Event::Eof => break,
        }
    }
    let mut document = open.pop().filter(|_| open.is_empty());
    let roots = document
        .as_mut()
        .map(|d| std::mem::take(&mut d.children))
        .unwrap_or_default();
    let stray = document.is_none_or(|d| d.has_text);
    match <[Node; 1]>::try_from(roots) {
        Ok([root]) if !stray => Ok(root),
        _ => Err(Fault::new(
            lines.line,
            "the file is not one element, begun and ended",
        )),
    }
}
