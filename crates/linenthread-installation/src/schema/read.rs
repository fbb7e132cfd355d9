//! Reading a schema from its XML.

use std::str::FromStr;

use super::{
    AttributeDeclaration, ComplexType, ElementDeclaration, Particle, Schema, SimpleType, Term,
};
use crate::xml::Element;
use crate::{InstallationError, ReadStep};

impl Schema {
    /// Reads a schema.
    ///
    /// # Errors
    ///
    /// Fails if the schema has a part that is not supported, or refers to a type that it does not define.
    pub(crate) fn read(element: &Element) -> Result<Schema, InstallationError> {
        let mut schema = Schema::default();
        for child in &element.children {
            let name = required_attribute(child, "name")?.to_owned();
            match child.name.as_str() {
                "xs:element" => schema.root = ElementDeclaration::read(child)?,
                "xs:simpleType" => {
                    schema.simple_types.insert(name, SimpleType::read(child)?);
                }
                "xs:complexType" => {
                    schema.complex_types.insert(name, ComplexType::read(child)?);
                }
                _ => return Err(unsupported(child)),
            }
        }
        match schema.undefined_type() {
            Some(type_name) => Err(error(
                element,
                format!("the schema has no type {type_name}"),
            )),
            None => Ok(schema),
        }
    }

    /// Returns a type that is referred to but not defined.
    fn undefined_type(&self) -> Option<&str> {
        let item_types = self.simple_types.values().filter_map(SimpleType::item_type);
        let attribute_types = self
            .complex_types
            .values()
            .flat_map(|complex| &complex.attributes)
            .map(|attribute| attribute.type_name.as_str());
        let undefined_simple = item_types
            .chain(attribute_types)
            .find(|type_name| !self.simple_types.contains_key(*type_name));
        undefined_simple.or_else(|| {
            self.element_types()
                .into_iter()
                .find(|type_name| !self.complex_types.contains_key(*type_name))
        })
    }

    /// Returns the names of the types of all elements.
    fn element_types(&self) -> Vec<&str> {
        let mut types = vec![self.root.type_name.as_str()];
        let contents = self.complex_types.values();
        let mut particles: Vec<&Particle> = contents.filter_map(|c| c.content.as_ref()).collect();
        while let Some(particle) = particles.pop() {
            match &particle.term {
                Term::Element(element) => types.push(&element.type_name),
                Term::Sequence(all) | Term::Choice(all) | Term::All(all) => particles.extend(all),
            }
        }
        types
    }
}

impl ElementDeclaration {
    fn read(element: &Element) -> Result<ElementDeclaration, InstallationError> {
        Ok(ElementDeclaration {
            name: required_attribute(element, "name")?.to_owned(),
            type_name: required_attribute(element, "type")?.to_owned(),
        })
    }
}

impl SimpleType {
    fn item_type(&self) -> Option<&str> {
        match self {
            SimpleType::List { item_type } => Some(item_type),
            SimpleType::Number { .. } | SimpleType::Text { .. } => None,
        }
    }

    fn read(element: &Element) -> Result<SimpleType, InstallationError> {
        let [inner] = &element.children[..] else {
            return Err(unsupported(element));
        };
        let mut simple = SimpleType::base(inner)?;
        for facet in &inner.children {
            simple.restrict(facet)?;
        }
        Ok(simple)
    }

    /// Reads the base type, which the facets then restrict.
    fn base(inner: &Element) -> Result<SimpleType, InstallationError> {
        let base = inner.attribute("base");
        match (inner.name.as_str(), base, inner.attribute("itemType")) {
            ("xs:list", _, Some(item_type)) => Ok(SimpleType::List {
                item_type: item_type.to_owned(),
            }),
            ("xs:restriction", Some("xs:string"), _) => Ok(SimpleType::Text {
                min_length: 0,
                max_length: None,
                enumeration: Vec::new(),
            }),
            ("xs:restriction", Some("xs:nonNegativeInteger"), _) => {
                Ok(SimpleType::Number { min: 0, max: None })
            }
            ("xs:restriction", Some("xs:positiveInteger"), _) => {
                Ok(SimpleType::Number { min: 1, max: None })
            }
            _ => Err(unsupported(inner)),
        }
    }

    fn restrict(&mut self, facet: &Element) -> Result<(), InstallationError> {
        match (self, facet.name.as_str()) {
            (SimpleType::Number { min, .. }, "xs:minInclusive") => *min = facet_value(facet)?,
            (SimpleType::Number { max, .. }, "xs:maxInclusive") => {
                *max = Some(facet_value(facet)?);
            }
            (SimpleType::Text { min_length, .. }, "xs:minLength") => {
                *min_length = facet_value(facet)?;
            }
            (SimpleType::Text { max_length, .. }, "xs:maxLength") => {
                *max_length = Some(facet_value(facet)?);
            }
            (SimpleType::Text { enumeration, .. }, "xs:enumeration") => {
                enumeration.push(required_attribute(facet, "value")?.to_owned());
            }
            _ => return Err(unsupported(facet)),
        }
        Ok(())
    }
}

impl ComplexType {
    fn read(element: &Element) -> Result<ComplexType, InstallationError> {
        let mut complex = ComplexType::default();
        for child in &element.children {
            if child.name == "xs:attribute" {
                complex.attributes.push(AttributeDeclaration::read(child)?);
            } else {
                complex.content = Some(Particle::read(child)?);
            }
        }
        Ok(complex)
    }
}

impl AttributeDeclaration {
    fn read(element: &Element) -> Result<AttributeDeclaration, InstallationError> {
        Ok(AttributeDeclaration {
            name: required_attribute(element, "name")?.to_owned(),
            type_name: required_attribute(element, "type")?.to_owned(),
            required: element.attribute("use") == Some("required"),
        })
    }
}

impl Particle {
    fn read(element: &Element) -> Result<Particle, InstallationError> {
        let children = || -> Result<Vec<Particle>, InstallationError> {
            element.children.iter().map(Particle::read).collect()
        };
        let term = match element.name.as_str() {
            "xs:element" => Term::Element(ElementDeclaration::read(element)?),
            "xs:sequence" => Term::Sequence(children()?),
            "xs:choice" => Term::Choice(children()?),
            "xs:all" => Term::All(children()?),
            _ => return Err(unsupported(element)),
        };
        Ok(Particle {
            term,
            min_occurs: occurrences(element, "minOccurs")?,
            max_occurs: occurrences(element, "maxOccurs")?,
        })
    }
}

fn error(element: &Element, cause: impl Into<String>) -> InstallationError {
    InstallationError::new(ReadStep::Validate, element.line, cause)
}

fn unsupported(element: &Element) -> InstallationError {
    let cause = format!("<{}> is not supported in the schema", element.name);
    error(element, cause)
}

fn required_attribute<'e>(element: &'e Element, name: &str) -> Result<&'e str, InstallationError> {
    element
        .attribute(name)
        .ok_or_else(|| error(element, format!("<{}> lacks {name}", element.name)))
}

/// Reads how many times a particle must or may occur; the default is 1.
fn occurrences(element: &Element, name: &str) -> Result<usize, InstallationError> {
    match element.attribute(name) {
        None => Ok(1),
        Some("unbounded") => Ok(usize::MAX),
        Some(number) => number
            .parse()
            .map_err(|_| error(element, format!("{name} is not a number"))),
    }
}

fn facet_value<T: FromStr>(facet: &Element) -> Result<T, InstallationError> {
    required_attribute(facet, "value")?
        .parse()
        .map_err(|_| error(facet, "the value of the facet is not a number"))
}
