//! The part of XML Schema that `schema/installation.xsd` uses.
//!
//! A schema with anything else in it is rejected, so that nothing in it is silently not enforced.

mod read;
mod validate;

use std::collections::BTreeMap;

/// A schema.
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

/// `xs:simpleType`: what an attribute's value may be.
#[derive(Debug)]
enum SimpleType {
    /// A list of values of this type, separated by white space.
    List { item_type: String },
    /// A whole number.
    Number { min: u64, max: Option<u64> },
    Text {
        min_length: usize,
        max_length: Option<usize>,
        /// The values that are allowed; all if empty.
        enumeration: Vec<String>,
    },
}

/// `xs:complexType`: what an element may have in it.
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

/// A part of an element's content, with how many times it may occur.
#[derive(Debug)]
struct Particle {
    term: Term,
    min_occurs: usize,
    max_occurs: usize,
}

/// What a particle consists of.
#[derive(Debug)]
enum Term {
    Element(ElementDeclaration),
    Sequence(Vec<Particle>),
    Choice(Vec<Particle>),
    /// Each at most once, in any order.
    All(Vec<Particle>),
}
