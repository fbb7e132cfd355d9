//! Parsing of XML into a tree of elements with their lines. Depth and size are limited. Document types are rejected,
//! and so are entities other than the five predefined ones.

use quick_xml::events::{BytesStart, Event};
use quick_xml::{Reader, XmlVersion};

use crate::{InstallationError, ReadStep};

/// The maximum size of a file in bytes.
const MAX_BYTES: usize = 1024 * 1024;
/// The maximum nesting depth of elements.
const MAX_DEPTH: usize = 16;
/// The maximum number of elements in a file.
const MAX_ELEMENTS: usize = 50_000;

#[derive(Debug, Default)]
pub(crate) struct Element {
    pub(crate) name: String,
    /// The line in the file on which the element begins, from 1.
    pub(crate) line: usize,
    pub(crate) attributes: Vec<Attribute>,
    pub(crate) children: Vec<Element>,
    /// Whether the element contains text other than white space.
    pub(crate) has_text: bool,
}

#[derive(Debug)]
pub(crate) struct Attribute {
    pub(crate) name: String,
    pub(crate) value: String,
}

impl Element {
    pub(crate) fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|attribute| attribute.name == name)
            .map(|attribute| attribute.value.as_str())
    }

    /// Returns the children with this name.
    pub(crate) fn children<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Element> {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// Returns the first child with this name.
    pub(crate) fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }

    /// Builds an error of [`ReadStep::Check`] at this element.
    pub(crate) fn error(&self, cause: impl Into<String>) -> InstallationError {
        InstallationError::new(ReadStep::Check, self.line, cause)
    }
}

/// Parses a file's text and returns its root element.
///
/// # Errors
///
/// Fails if the text is not well-formed XML or exceeds the limits.
pub(crate) fn parse(text: &str) -> Result<Element, InstallationError> {
    if text.len() > MAX_BYTES {
        let cause = format!("the file has more than {MAX_BYTES} bytes");
        return Err(error(1, cause));
    }
    let mut reader = Reader::from_str(text);
    let mut lines = LineCounter::new(text);
    let mut tree = TreeBuilder::new();
    loop {
        // An element's line is that of its first character, not of the white space before it.
        let line = lines.line_at(reader.buffer_position());
        let event = reader
            .read_event()
            .map_err(|e| error(lines.line_at(reader.error_position()), e.to_string()))?;
        match event {
            Event::Start(start) => {
                tree.count(line)?;
                tree.open.push(element(&start, line)?);
            }
            Event::Empty(start) => {
                tree.count(line)?;
                tree.add(element(&start, line)?);
            }
            Event::End(_) => tree.close(),
            Event::Text(text) => {
                if !text.bytes().all(|byte| byte.is_ascii_whitespace()) {
                    tree.add_text();
                }
            }
            Event::CData(_) | Event::GeneralRef(_) => tree.add_text(),
            Event::DocType(_) => return Err(error(line, "a document type is not permitted")),
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => {}
            Event::Eof => break,
        }
    }
    let last_line = lines.line;
    tree.finish().ok_or_else(|| {
        error(
            last_line,
            "the file does not consist of one complete element",
        )
    })
}

fn error(line: usize, cause: impl Into<String>) -> InstallationError {
    InstallationError::new(ReadStep::Parse, line, cause)
}

fn element(start: &BytesStart, line: usize) -> Result<Element, InstallationError> {
    let mut element = Element {
        name: start.name().as_ref().to_owned(),
        line,
        ..Element::default()
    };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|e| error(line, e.to_string()))?;
        let value = attribute
            .normalized_value(XmlVersion::Explicit1_0)
            .map_err(|e| error(line, e.to_string()))?;
        element.attributes.push(Attribute {
            name: attribute.key.as_ref().to_owned(),
            value: value.into_owned(),
        });
    }
    Ok(element)
}

/// Builds the tree. `open` has the elements that are not closed yet, outermost first; the first entry represents the
/// document itself.
struct TreeBuilder {
    open: Vec<Element>,
    element_count: usize,
}

impl TreeBuilder {
    fn new() -> TreeBuilder {
        TreeBuilder {
            open: vec![Element::default()],
            element_count: 0,
        }
    }

    /// Counts an element that begins on this line, and checks the limits.
    fn count(&mut self, line: usize) -> Result<(), InstallationError> {
        self.element_count += 1;
        if self.open.len() > MAX_DEPTH || self.element_count > MAX_ELEMENTS {
            let cause = "there are too many elements, or they are nested too deeply";
            return Err(error(line, cause));
        }
        Ok(())
    }

    /// Adds an element as a child of the innermost open one.
    fn add(&mut self, element: Element) {
        if let Some(parent) = self.open.last_mut() {
            parent.children.push(element);
        }
    }

    /// Closes the innermost open element.
    fn close(&mut self) {
        if let Some(element) = self.open.pop() {
            self.add(element);
        }
    }

    fn add_text(&mut self) {
        if let Some(element) = self.open.last_mut() {
            element.has_text = true;
        }
    }

    /// Returns the root element, if there is exactly one, all elements are closed, and there is no text outside it.
    fn finish(mut self) -> Option<Element> {
        let document = self.open.pop()?;
        if !self.open.is_empty() || document.has_text {
            return None;
        }
        let [root] = <[Element; 1]>::try_from(document.children).ok()?;
        Some(root)
    }
}

/// Counts lines incrementally as the reader proceeds, so that the file is scanned only once.
struct LineCounter<'a> {
    text: &'a [u8],
    position: usize,
    line: usize,
}

impl LineCounter<'_> {
    fn new(text: &str) -> LineCounter<'_> {
        LineCounter {
            text: text.as_bytes(),
            position: 0,
            line: 1,
        }
    }

    /// Returns the line at a byte position. A position before the greatest one requested so far gives the line at that
    /// one.
    fn line_at(&mut self, position: u64) -> usize {
        let end = usize::try_from(position)
            .unwrap_or(usize::MAX)
            .min(self.text.len());
        let passed = self.text.get(self.position..end).unwrap_or_default();
        self.line += passed.iter().filter(|byte| **byte == b'\n').count();
        self.position = self.position.max(end);
        self.line
    }
}
