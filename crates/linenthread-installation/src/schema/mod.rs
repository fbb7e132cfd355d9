//! An implementation of the parts of XML Schema that `schema/installation.xsd` uses.
//!
//! A schema with other parts is rejected, so that no constraint in it is silently ignored.

mod read;
mod validate;

use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub(crate) struct Schema {
    root: ElementDeclaration,
    simple_types: BTreeMap<String, SimpleType>,
    complex_types: BTreeMap<String, ComplexType>,
}

/// `xs:element`.
#[derive(Debug, Default)]
struct ElementDeclaration {
    name: String,
    type_name: String,
}

/// `xs:simpleType`: the allowed values of an attribute.
#[derive(Debug)]
enum SimpleType {
    /// A list of values of this type, separated by white space.
    List { item_type: String },
    /// A whole number.
    Number { min: u64, max: Option<u64> },
    Text {
        min_length: usize,
        max_length: Option<usize>,
        /// The allowed values; any value if empty.
        enumeration: Vec<String>,
    },
}

/// `xs:complexType`: the allowed content and attributes of an element.
#[derive(Debug, Default)]
struct ComplexType {
    content: Option<Particle>,
    attributes: Vec<AttributeDeclaration>,
}

/// `xs:attribute`.
#[derive(Debug)]
struct AttributeDeclaration {
    name: String,
    type_name: String,
    required: bool,
}

/// A part of an element's content, with the number of times that it may occur.
#[derive(Debug)]
struct Particle {
    term: Term,
    min_occurs: usize,
    max_occurs: usize,
}

#[derive(Debug)]
enum Term {
    Element(ElementDeclaration),
    Sequence(Vec<Particle>),
    Choice(Vec<Particle>),
    /// Each at most once, in any order.
    All(Vec<Particle>),
}
