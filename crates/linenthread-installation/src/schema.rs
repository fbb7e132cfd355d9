//! Holds a tree to a schema: the part of XML Schema that `schema/installation.xsd` uses, and no more. A schema
//! with anything else in it is refused, so nothing that it says is silently not held.

use std::collections::BTreeMap;

use crate::Fault;
use crate::tree::Node;

/// What a value may be.
#[derive(Debug, Default)]
struct Simple {
    number: bool,
    least: Option<u64>,
    most: Option<u64>,
    shortest: usize,
    longest: Option<usize>,
    words: Vec<String>,
    /// A list of such values, parted by white space.
    list_of: Option<String>,
}

#[derive(Debug)]
struct Attribute {
    name: String,
    kind: String,
    required: bool,
    default: Option<String>,
}

#[derive(Debug)]
enum What {
    Element {
        name: String,
        kind: String,
    },
    Sequence(Vec<Particle>),
    Choice(Vec<Particle>),
    /// Each at most once, in any order.
    All(Vec<Particle>),
}

#[derive(Debug)]
struct Particle {
    what: What,
    least: usize,
    most: usize,
}

#[derive(Debug, Default)]
struct Complex {
    content: Option<Particle>,
    attributes: Vec<Attribute>,
}

/// A schema, read.
#[derive(Debug, Default)]
pub(crate) struct Schema {
    root: (String, String),
    simple: BTreeMap<String, Simple>,
    complex: BTreeMap<String, Complex>,
}

fn must<'a>(node: &'a Node, name: &str) -> Result<&'a str, Fault> {
    node.attribute(name)
        .ok_or_else(|| Fault::new(node.line, format!("<{}> lacks {name}", node.name)))
}

fn unknown(node: &Node) -> Fault {
    Fault::new(
        node.line,
        format!("the schema's <{}> is not known here", node.name),
    )
}

fn count(node: &Node, name: &str) -> Result<usize, Fault> {
    match node.attribute(name) {
        None => Ok(1),
        Some("unbounded") => Ok(usize::MAX),
        Some(n) => n
            .parse()
            .map_err(|_| Fault::new(node.line, format!("{name} is no number"))),
    }
}

fn number<T: std::str::FromStr>(node: &Node) -> Result<T, Fault> {
    must(node, "value")?
        .parse()
        .map_err(|_| Fault::new(node.line, "its value is no number"))
}

fn simple(node: &Node) -> Result<Simple, Fault> {
    let [inner] = &node.children[..] else {
        return Err(unknown(node));
    };
    let mut simple = Simple::default();
    match (
        inner.name.as_str(),
        inner.attribute("base"),
        inner.attribute("itemType"),
    ) {
        ("xs:list", _, Some(of)) => simple.list_of = Some(of.to_owned()),
        ("xs:restriction", Some("xs:string"), _) => {}
        ("xs:restriction", Some("xs:nonNegativeInteger"), _) => simple.number = true,
        ("xs:restriction", Some("xs:positiveInteger"), _) => {
            (simple.number, simple.least) = (true, Some(1));
        }
        _ => return Err(unknown(inner)),
    }
    for facet in &inner.children {
        match facet.name.as_str() {
            "xs:enumeration" => simple.words.push(must(facet, "value")?.to_owned()),
            "xs:minInclusive" => simple.least = Some(number(facet)?),
            "xs:maxInclusive" => simple.most = Some(number(facet)?),
            "xs:minLength" => simple.shortest = number(facet)?,
            "xs:maxLength" => simple.longest = Some(number(facet)?),
            _ => return Err(unknown(facet)),
        }
    }
    Ok(simple)
}

fn particle(node: &Node) -> Result<Particle, Fault> {
    let all = || {
        node.children
            .iter()
            .map(particle)
            .collect::<Result<Vec<_>, _>>()
    };
    let what = match node.name.as_str() {
        "xs:element" => What::Element {
            name: must(node, "name")?.to_owned(),
            kind: must(node, "type")?.to_owned(),
        },
        "xs:sequence" => What::Sequence(all()?),
        "xs:choice" => What::Choice(all()?),
        "xs:all" => What::All(all()?),
        _ => return Err(unknown(node)),
    };
    Ok(Particle {
        what,
        least: count(node, "minOccurs")?,
        most: count(node, "maxOccurs")?,
    })
}

fn complex(node: &Node) -> Result<Complex, Fault> {
    let mut complex = Complex::default();
    for child in &node.children {
        if child.name != "xs:attribute" {
            complex.content = Some(particle(child)?);
            continue;
        }
        complex.attributes.push(Attribute {
            name: must(child, "name")?.to_owned(),
            kind: must(child, "type")?.to_owned(),
            required: child.attribute("use") == Some("required"),
            default: child.attribute("default").map(str::to_owned),
        });
    }
    Ok(complex)
}

impl Schema {
    /// Reads a schema.
    ///
    /// # Errors
    ///
    /// The line and cause of what is not known here, types that are not there included.
    pub(crate) fn read(node: &Node) -> Result<Schema, Fault> {
        let mut schema = Schema::default();
        for child in &node.children {
            let name = must(child, "name")?.to_owned();
            match child.name.as_str() {
                "xs:element" => schema.root = (name, must(child, "type")?.to_owned()),
                "xs:simpleType" => drop(schema.simple.insert(name, simple(child)?)),
                "xs:complexType" => drop(schema.complex.insert(name, complex(child)?)),
                _ => return Err(unknown(child)),
            }
        }
        let lists = schema.simple.values().filter_map(|s| s.list_of.as_ref());
        let attributes = schema
            .complex
            .values()
            .flat_map(|c| &c.attributes)
            .map(|a| &a.kind);
        let of_values = lists
            .chain(attributes)
            .find(|kind| !schema.simple.contains_key(*kind));
        let mut of_elements = vec![&schema.root.1];
        let mut particles: Vec<_> = schema
            .complex
            .values()
            .filter_map(|c| c.content.as_ref())
            .collect();
        while let Some(particle) = particles.pop() {
            match &particle.what {
                What::Element { kind, .. } => of_elements.push(kind),
                What::Sequence(all) | What::Choice(all) | What::All(all) => particles.extend(all),
            }
        }
        let of_elements = of_elements
            .into_iter()
            .find(|kind| !schema.complex.contains_key(*kind));
        match of_values.or(of_elements) {
            Some(kind) => Err(Fault::new(
                node.line,
                format!("the schema has no type {kind}"),
            )),
            None => Ok(schema),
        }
    }

    /// Holds a document to the schema, and fills in what it leaves to defaults.
    ///
    /// # Errors
    ///
    /// The first fault, by line.
    pub(crate) fn hold(&self, root: &mut Node) -> Result<(), Fault> {
        if root.name != self.root.0 {
            return Err(Fault::new(
                root.line,
                format!("<{}> stands where <{}> must", root.name, self.root.0),
            ));
        }
        self.element(root, &self.root.1)
    }

    fn element(&self, node: &mut Node, kind: &str) -> Result<(), Fault> {
        let Some(complex) = self.complex.get(kind) else {
            return Err(Fault::new(
                node.line,
                format!("the schema has no type {kind}"),
            ));
        };
        let fault = |why: String| Fault::new(node.line, format!("<{}> {why}", node.name));
        if node.has_text {
            return Err(fault("cannot have text in it".into()));
        }
        for (name, value) in &node.attributes {
            let Some(attribute) = complex.attributes.iter().find(|a| a.name == *name) else {
                return Err(fault(format!("cannot have an attribute {name}")));
            };
            self.value(value, &attribute.kind)
                .map_err(|why| fault(format!("{name}=\"{value:.60}\": {why}")))?;
        }
        if let Some(lacks) = complex
            .attributes
            .iter()
            .find(|a| a.required && node.attribute(&a.name).is_none())
        {
            return Err(fault(format!("lacks its attribute {}", lacks.name)));
        }
        for attribute in &complex.attributes {
            if let (None, Some(default)) = (node.attribute(&attribute.name), &attribute.default) {
                node.attributes
                    .push((attribute.name.clone(), default.clone()));
            }
        }
        let mut kinds = Vec::new();
        let taken = match &complex.content {
            Some(content) => self.content(content, node, 0, &mut kinds)?,
            None => 0,
        };
        if let Some(extra) = node.children.get(taken) {
            return Err(Fault::new(
                extra.line,
                format!("<{}> cannot stand here in <{}>", extra.name, node.name),
            ));
        }
        node.children
            .iter_mut()
            .zip(kinds)
            .try_for_each(|(child, kind)| self.element(child, kind))
    }

    /// Takes as many children as the particle has room for, from one on; tells where it stopped.
    fn content<'s>(
        &'s self,
        particle: &'s Particle,
        node: &Node,
        mut at: usize,
        kinds: &mut Vec<&'s str>,
    ) -> Result<usize, Fault> {
        for time in 0..particle.most {
            let before = at;
            match &particle.what {
                What::Element { name, kind } => {
                    if node.children.get(at).is_some_and(|c| c.name == *name) {
                        kinds.push(kind);
                        at += 1;
                    }
                }
                What::Sequence(all) if self.begins(particle, node, at) || time < particle.least => {
                    for one in all {
                        at = self.content(one, node, at, kinds)?;
                    }
                }
                What::Choice(all) => {
                    if let Some(one) = all.iter().find(|one| self.begins(one, node, at)) {
                        at = self.content(one, node, at, kinds)?;
                    }
                }
                What::All(all) => {
                    let mut left: Vec<_> = all.iter().collect();
                    while let Some(next) = left.iter().position(|one| self.begins(one, node, at)) {
                        at = self.content(left.remove(next), node, at, kinds)?;
                    }
                    for lacks in left {
                        at = self.content(lacks, node, at, kinds)?;
                    }
                    return Ok(at);
                }
                What::Sequence(_) => {}
            }
            if at == before {
                return match &particle.what {
                    What::Element { name, .. } if time < particle.least => {
                        let line = node.children.get(at).map_or(node.line, |c| c.line);
                        Err(Fault::new(
                            line,
                            format!("<{}> lacks a <{name}> here", node.name),
                        ))
                    }
                    _ => Ok(at),
                };
            }
        }
        Ok(at)
    }

    fn begins(&self, particle: &Particle, node: &Node, at: usize) -> bool {
        let Some(child) = node.children.get(at) else {
            return false;
        };
        match &particle.what {
            What::Element { name, .. } => child.name == *name,
            What::Sequence(all) | What::Choice(all) | What::All(all) => {
                all.iter().any(|one| self.begins(one, node, at))
            }
        }
    }

    fn value(&self, value: &str, kind: &str) -> Result<(), String> {
        let Some(simple) = self.simple.get(kind) else {
            return Err(format!("no type {kind}"));
        };
        if let Some(of) = &simple.list_of {
            return match value.split_whitespace().count() {
                0 => Err("is empty".into()),
                _ => value
                    .split_whitespace()
                    .try_for_each(|one| self.value(one, of)),
            };
        }
        if simple.number {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let number: Option<u64> = value.parse().ok().filter(|_| digits);
            let (least, most) = (simple.least.unwrap_or(0), simple.most.unwrap_or(u64::MAX));
            return match number.is_some_and(|n| (least..=most).contains(&n)) {
                true => Ok(()),
                false if most == u64::MAX => Err(format!("is no whole number from {least}")),
                false => Err(format!("is no whole number from {least} to {most}")),
            };
        }
        if !simple.words.is_empty() && !simple.words.iter().any(|w| w == value) {
            return Err(format!("is none of {}", simple.words.join(", ")));
        }
        let length = value.chars().count();
        if length < simple.shortest || simple.longest.is_some_and(|longest| length > longest) {
            return Err(format!("cannot be of {length} letters"));
        }
        Ok(())
    }

    /// Every attribute value that the schema has by name: each word of an enumeration, else one that fits;
    /// as (type of the element, attribute, values). For the test that holds the decoder to the schema.
    #[cfg(test)]
    pub(crate) fn samples(&self) -> Vec<(&str, &str, Vec<String>)> {
        let of = |kind: &str| -> Vec<String> {
            let simple = &self.simple[kind];
            let simple = simple
                .list_of
                .as_ref()
                .map_or(simple, |of| &self.simple[of]);
            match (simple.words.is_empty(), simple.number) {
                (false, _) => simple.words.clone(),
                (true, true) => [simple.least, simple.most]
                    .iter()
                    .flatten()
                    .map(u64::to_string)
                    .collect(),
                (true, false) => vec!["a".repeat(simple.shortest.max(1))],
            }
        };
        let attribute = |c: &'_ str, a: &'_ Attribute| (c.to_owned(), a.name.clone(), of(&a.kind));
        let all = self
            .complex
            .iter()
            .flat_map(|(c, complex)| complex.attributes.iter().map(move |a| (c, a)));
        all.map(|(c, a)| {
            let (_, _, values) = attribute(c, a);
            (c.as_str(), a.name.as_str(), values)
        })
        .collect()
    }

    #[cfg(test)]
    pub(crate) fn element_names(&self) -> Vec<&str> {
        let mut names = vec![self.root.0.as_str()];
        let mut particles: Vec<_> = self
            .complex
            .values()
            .filter_map(|c| c.content.as_ref())
            .collect();
        while let Some(particle) = particles.pop() {
            match &particle.what {
                What::Element { name, .. } => names.push(name),
                What::Sequence(all) | What::Choice(all) | What::All(all) => particles.extend(all),
            }
        }
        names
    }
}
