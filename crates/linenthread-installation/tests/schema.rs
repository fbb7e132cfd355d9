//! Checks that the schema and the decoder accept the same files and have the same defaults.

/// The decoder's types, compiled into this test so that they can be tested without the schema's validation.
#[path = "../src/document.rs"]
mod document;

use std::collections::BTreeMap;

use document::Document;
use linenthread_installation::{Installation, KnownIndex, ReadStep, SCHEMA};
use quick_xml::Reader;
use quick_xml::events::{BytesStart, Event};

/// A file with every section.
const EXAMPLE: &str = include_str!("example.xml");

/// The element types with attributes, and where the example has an element of that type.
const ELEMENTS: [(&str, &str); 15] = [
    ("Installation", "<installation"),
    ("Marks", "<marks"),
    ("Totals", "<totals"),
    ("Groups", "<groups"),
    ("Measure", "<measure"),
    ("Rows", "<rows"),
    ("Order", "<order"),
    ("Field", "<distinct"),
    ("Field", "<identity"),
    ("Gateway", "<gateway"),
    ("Peer", "<peer"),
    ("Fleet", "<fleet"),
    ("Voter", "<voter"),
    ("Zones", "<zones"),
    ("Zone", "<zone"),
];

/// An attribute as the schema declares it.
struct Attribute {
    element_type: String,
    name: String,
    value_type: String,
    default: Option<String>,
}

/// The restrictions of a simple type.
#[derive(Default)]
struct ValueType {
    item_type: Option<String>,
    is_number: bool,
    enumeration: Vec<String>,
    bounds: Vec<String>,
    min_length: usize,
}

impl ValueType {
    /// Adds a facet; `value` returns its attributes by name.
    fn restrict(&mut self, facet: &str, value: impl Fn(&str) -> String) {
        match facet {
            "xs:list" => self.item_type = Some(value("itemType")),
            "xs:restriction" => self.is_number = value("base").ends_with("Integer"),
            "xs:enumeration" => self.enumeration.push(value("value")),
            "xs:minInclusive" | "xs:maxInclusive" => self.bounds.push(value("value")),
            "xs:minLength" => self.min_length = value("value").parse().unwrap(),
            "xs:maxLength" => {}
            other => panic!("{other}"),
        }
    }
}

/// The declarations in the schema that the tests need, read independently of the crate.
#[derive(Default)]
struct Declarations {
    attributes: Vec<Attribute>,
    value_types: BTreeMap<String, ValueType>,
    element_names: Vec<String>,
}

impl Declarations {
    fn read() -> Declarations {
        let mut declarations = Declarations::default();
        let mut reader = Reader::from_str(SCHEMA);
        let mut current_type = String::new();
        loop {
            match reader.read_event().unwrap() {
                Event::Start(start) | Event::Empty(start) => {
                    declarations.add(&start, &mut current_type);
                }
                Event::Eof => return declarations,
                _ => {}
            }
        }
    }

    fn add(&mut self, start: &BytesStart, current_type: &mut String) {
        let value = |name: &str| attribute(start, name).unwrap_or_default();
        if let "xs:simpleType" | "xs:complexType" = start.name().as_ref() {
            *current_type = value("name");
        }
        match start.name().as_ref() {
            "xs:element" => self.element_names.push(value("name")),
            "xs:attribute" => self.attributes.push(Attribute {
                element_type: current_type.clone(),
                name: value("name"),
                value_type: value("type"),
                default: attribute(start, "default"),
            }),
            "xs:complexType" | "xs:schema" | "xs:sequence" | "xs:choice" | "xs:all" => {}
            "xs:simpleType" => {
                let value_type = ValueType::default();
                self.value_types.insert(current_type.clone(), value_type);
            }
            facet => {
                let value_type = self.value_types.get_mut(current_type);
                value_type
                    .expect("a facet stands in a simple type")
                    .restrict(facet, value);
            }
        }
    }

    /// Returns sample values of an attribute: all values of an enumeration, the bounds of a number, or else one allowed
    /// text.
    fn samples(&self, attribute: &Attribute) -> Vec<String> {
        let value_type = &self.value_types[&attribute.value_type];
        let item_type = value_type.item_type.as_ref();
        let value_type = item_type.map_or(value_type, |name| &self.value_types[name]);
        if !value_type.enumeration.is_empty() {
            value_type.enumeration.clone()
        } else if value_type.is_number {
            value_type.bounds.clone()
        } else {
            vec!["a".repeat(value_type.min_length.max(1))]
        }
    }
}

fn attribute(start: &BytesStart, name: &str) -> Option<String> {
    let attribute = start.try_get_attribute(name).unwrap()?;
    let value = attribute.normalized_value(quick_xml::XmlVersion::Explicit1_0);
    Some(value.unwrap().into_owned())
}

/// Returns the example with a distinct field, and without the attribute `negative`, so that its default applies.
fn complete_example() -> String {
    EXAMPLE.replace("negative=\"no\" ", "").replace(
        "<identity field=\"id\"/>",
        "<identity field=\"id\"/><distinct field=\"date\"/>",
    )
}

/// Sets an attribute of the first element that begins with `element`, or replaces its value.
fn with_attribute(text: &str, element: &str, name: &str, value: &str) -> String {
    let start = text.find(&format!("{element} ")).expect(element);
    let end = start + text[start..].find('>').unwrap();
    let tag = without_attribute(&text[start..end], name);
    let tag = tag.replacen(element, &format!("{element} {name}=\"{value}\""), 1);
    format!("{}{tag}{}", &text[..start], &text[end..])
}

fn without_attribute(tag: &str, name: &str) -> String {
    let Some(start) = tag.find(&format!(" {name}=\"")) else {
        return tag.to_owned();
    };
    let value_start = start + tag[start..].find('"').unwrap() + 1;
    let value_end = value_start + tag[value_start..].find('"').unwrap() + 1;
    format!("{}{}", &tag[..start], &tag[value_end..])
}

fn decode(text: &str) -> Result<Document, quick_xml::DeError> {
    quick_xml::de::from_str(text)
}

/// Asserts that a file is valid by the schema, even if the checks reject its values.
fn assert_is_schema_valid(text: &str, what: &str) {
    let known = |_: &str| Some(KnownIndex { min_share: 1.0 });
    match Installation::read(text, &known) {
        Ok(_) => {}
        Err(error) => assert_eq!(error.step, ReadStep::Check, "{what}: {error}"),
    }
}

/// Checks that the decoder accepts each sample value that the schema allows, and rejects misspelled attribute names.
#[test]
fn the_decoder_accepts_what_the_schema_allows() {
    let declarations = Declarations::read();
    let complete = complete_example();
    assert!(decode(&complete).is_ok());
    for attribute in &declarations.attributes {
        let name = &attribute.name;
        let mut elements = ELEMENTS.iter();
        let element = elements.find(|(element_type, _)| *element_type == attribute.element_type);
        let element = element.expect(&attribute.element_type).1;
        for value in declarations.samples(attribute) {
            let what = format!("{element} {name}=\"{value}\"");
            let text = with_attribute(&complete, element, name, &value);
            assert_is_schema_valid(&text, &what);
            decode(&text).unwrap_or_else(|e| {
                panic!("the schema allows {what}, but the decoder does not: {e}")
            });
            let misnamed = text.replacen(&format!("{name}=\""), &format!("{name}x=\""), 1);
            assert!(decode(&misnamed).is_err(), "{misnamed}");
        }
    }
    assert!(declarations.attributes.len() > 20);
}

/// Checks that each attribute with a default is optional, and that the decoder has the schema's default.
#[test]
fn the_decoder_has_the_defaults_of_the_schema() {
    let declarations = Declarations::read();
    let complete = complete_example();
    let mut filled = complete.clone();
    for attribute in &declarations.attributes {
        let Some(default) = &attribute.default else {
            continue;
        };
        let of_type = ELEMENTS
            .iter()
            .filter(|(element_type, _)| *element_type == attribute.element_type);
        for (_, element) in of_type {
            filled = fill_in(&filled, element, &attribute.name, default);
        }
    }
    assert!(
        filled.len() > complete.len() + 200,
        "defaults were filled in: {filled}"
    );
    assert_is_schema_valid(&filled, "filled in");
    assert_eq!(decode(&filled).unwrap(), decode(&complete).unwrap());
}

/// Sets an attribute of all elements that begin with `element` and lack it.
fn fill_in(text: &str, element: &str, name: &str, value: &str) -> String {
    let beginning = format!("{element} ");
    let mut parts = text.split(&beginning);
    let mut filled = parts.next().unwrap().to_owned();
    for part in parts {
        let tag = part.split('>').next().unwrap();
        filled += &beginning;
        if !format!(" {tag}").contains(&format!(" {name}=\"")) {
            filled += &format!("{name}=\"{value}\" ");
        }
        filled += part;
    }
    filled
}

#[test]
fn the_example_has_every_element_of_the_schema() {
    let complete = complete_example();
    for name in Declarations::read().element_names {
        assert!(
            complete.contains(&format!("<{name} ")) || complete.contains(&format!("<{name}>")),
            "{name}"
        );
    }
}
