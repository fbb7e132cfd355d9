//! Validation of a document against a schema.

use super::{AttributeDeclaration, Particle, Schema, SimpleType, Term};
use crate::xml::Element;
use crate::{InstallationError, ReadStep};

impl Schema {
    /// Validates a document.
    ///
    /// # Errors
    ///
    /// Fails at the first violation.
    pub(crate) fn validate(&self, root: &Element) -> Result<(), InstallationError> {
        if root.name != self.root.name {
            let cause = format!(
                "the root element is <{}>, not <{}>",
                root.name, self.root.name
            );
            return Err(error(root, cause));
        }
        self.validate_element(root, &self.root.type_name)
    }

    fn validate_element(
        &self,
        element: &Element,
        type_name: &str,
    ) -> Result<(), InstallationError> {
        let Some(complex) = self.complex_types.get(type_name) else {
            return Err(error(
                element,
                format!("the schema has no type {type_name}"),
            ));
        };
        let name = &element.name;
        if element.has_text {
            return Err(error(element, format!("<{name}> cannot contain text")));
        }
        self.validate_attributes(element, &complex.attributes)?;
        self.validate_content(element, complex.content.as_ref())
    }

    /// Checks that each attribute is declared and has an allowed value, and that no required one is missing.
    fn validate_attributes(
        &self,
        element: &Element,
        declarations: &[AttributeDeclaration],
    ) -> Result<(), InstallationError> {
        let name = &element.name;
        for attribute in &element.attributes {
            let mut declared = declarations.iter();
            let Some(declaration) = declared.find(|d| d.name == attribute.name) else {
                let cause = format!("<{name}> cannot have an attribute {}", attribute.name);
                return Err(error(element, cause));
            };
            self.validate_value(&attribute.value, &declaration.type_name)
                .map_err(|violation| {
                    let value = &attribute.value;
                    let cause = format!("<{name}> {}=\"{value:.60}\": {violation}", attribute.name);
                    error(element, cause)
                })?;
        }
        let mut required = declarations.iter().filter(|a| a.required);
        if let Some(missing) = required.find(|a| element.attribute(&a.name).is_none()) {
            let cause = format!("<{name}> has no attribute {}", missing.name);
            return Err(error(element, cause));
        }
        Ok(())
    }

    /// Checks that the content allows the children, and that they are valid themselves.
    fn validate_content(
        &self,
        element: &Element,
        content: Option<&Particle>,
    ) -> Result<(), InstallationError> {
        let mut matcher = ContentMatcher {
            element,
            position: 0,
            child_types: Vec::new(),
        };
        if let Some(content) = content {
            matcher.match_particle(content)?;
        }
        if let Some(extra) = matcher.next_child() {
            let cause = format!(
                "<{}> is not permitted here in <{}>",
                extra.name, element.name
            );
            return Err(error(extra, cause));
        }
        let mut children = element.children.iter().zip(matcher.child_types);
        children.try_for_each(|(child, type_name)| self.validate_element(child, type_name))
    }

    /// Checks a value against a simple type. `Err` has a description of the violation, to be appended to the value in a
    /// message.
    fn validate_value(&self, value: &str, type_name: &str) -> Result<(), String> {
        match self.simple_types.get(type_name) {
            None => Err(format!("the schema has no type {type_name}")),
            Some(SimpleType::List { item_type }) => {
                let mut items = value.split_whitespace().peekable();
                if items.peek().is_none() {
                    return Err("is empty".into());
                }
                items.try_for_each(|item| self.validate_value(item, item_type))
            }
            Some(SimpleType::Number { min, max }) => validate_number(value, *min, *max),
            Some(SimpleType::Text {
                min_length,
                max_length,
                enumeration,
            }) => {
                if !enumeration.is_empty() && !enumeration.iter().any(|allowed| allowed == value) {
                    return Err(format!("is not one of {}", enumeration.join(", ")));
                }
                let length = value.chars().count();
                if length < *min_length || max_length.is_some_and(|max| length > max) {
                    return Err(format!("has an invalid length of {length} characters"));
                }
                Ok(())
            }
        }
    }
}

fn validate_number(value: &str, min: u64, max: Option<u64>) -> Result<(), String> {
    let is_digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let number = value.parse().ok().filter(|_| is_digits);
    let range = min..=max.unwrap_or(u64::MAX);
    if number.is_some_and(|number: u64| range.contains(&number)) {
        return Ok(());
    }
    match max {
        Some(max) => Err(format!("is not a whole number from {min} to {max}")),
        None => Err(format!("is not a whole number from {min}")),
    }
}

fn error(element: &Element, cause: impl Into<String>) -> InstallationError {
    InstallationError::new(ReadStep::Validate, element.line, cause)
}

/// Matches an element's children in order with the particles of its type.
struct ContentMatcher<'e, 's> {
    element: &'e Element,
    /// The index of the first child that is not matched yet.
    position: usize,
    /// The types of the matched children.
    child_types: Vec<&'s str>,
}

impl<'e, 's> ContentMatcher<'e, 's> {
    fn next_child(&self) -> Option<&'e Element> {
        self.element.children.get(self.position)
    }

    /// Matches as many children as the particle allows.
    fn match_particle(&mut self, particle: &'s Particle) -> Result<(), InstallationError> {
        for occurrence in 0..particle.max_occurs {
            let position_before = self.position;
            let is_required = occurrence < particle.min_occurs;
            match &particle.term {
                Term::Element(declaration) => {
                    if self.can_begin(particle) {
                        self.child_types.push(&declaration.type_name);
                        self.position += 1;
                    } else if is_required {
                        return Err(self.missing(&declaration.name));
                    }
                }
                Term::Sequence(parts) => {
                    if self.can_begin(particle) || is_required {
                        parts
                            .iter()
                            .try_for_each(|part| self.match_particle(part))?;
                    }
                }
                Term::Choice(options) => {
                    if let Some(option) = options.iter().find(|option| self.can_begin(option)) {
                        self.match_particle(option)?;
                    }
                }
                Term::All(parts) => return self.match_all(parts),
            }
            if self.position == position_before {
                break;
            }
        }
        Ok(())
    }

    /// Matches each of the particles at most once, in any order.
    fn match_all(&mut self, parts: &'s [Particle]) -> Result<(), InstallationError> {
        let mut remaining: Vec<&Particle> = parts.iter().collect();
        while let Some(next) = remaining.iter().position(|part| self.can_begin(part)) {
            self.match_particle(remaining.remove(next))?;
        }
        // Particles that have not occurred must be optional.
        remaining
            .into_iter()
            .try_for_each(|part| self.match_particle(part))
    }

    /// Reports whether the next child can be the first element of the particle.
    fn can_begin(&self, particle: &Particle) -> bool {
        let Some(child) = self.next_child() else {
            return false;
        };
        match &particle.term {
            Term::Element(declaration) => child.name == declaration.name,
            Term::Sequence(parts) | Term::Choice(parts) | Term::All(parts) => {
                parts.iter().any(|part| self.can_begin(part))
            }
        }
    }

    /// Builds the error that an element is missing before the next child.
    fn missing(&self, name: &str) -> InstallationError {
        let at = self.next_child().unwrap_or(self.element);
        error(at, format!("<{}> has no <{name}> here", self.element.name))
    }
}
