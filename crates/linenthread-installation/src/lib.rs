//! The operators' own file: XML, held to its schema, read into checked values.
//!
//! [`Installation::read`] takes the file's text and what the platform's settings know of their indexes; it
//! gives typed values or one [`Fault`] with line and cause. Each subsystem has a section and a module here.
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod fleet;
mod links;
mod merging;
mod schema;
mod tree;

use std::fmt;
use std::path::Path;

use serde::Deserialize;

pub use fleet::{Fleet, Voter, Zone, Zones};
pub use links::{Gateway, Peer};
pub use merging::{MarkFiles, Merging};
use schema::Schema;

/// The schema, as it stands in the repository.
pub const SCHEMA: &str = include_str!("../schema/installation.xsd");

/// What is wrong with a file, and in which line of it, from 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub line: usize,
    pub cause: String,
}

impl Fault {
    pub(crate) fn new(line: usize, cause: impl Into<String>) -> Self {
        Fault {
            line,
            cause: cause.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.cause)
    }
}

/// What the platform's settings say of an index that the file names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownIndex {
    /// The least share of an answer's weight that may be given.
    pub floor: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Installation {
    pub merging: Merging,
    pub gateway: Option<Gateway>,
    pub peers: Vec<Peer>,
    pub fleet: Option<Fleet>,
    pub zones: Option<Zones>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(rename = "@version")]
    #[allow(
        dead_code,
        reason = "the schema holds it; named so that no other attribute passes"
    )]
    version: String,
    merging: Option<merging::Section>,
    gateway: Option<links::GatewaySection>,
    peers: Option<links::PeersSection>,
    fleet: Option<fleet::FleetSection>,
    zones: Option<fleet::ZonesSection>,
}

impl Installation {
    /// Reads and checks a file's text. `known` tells of an index that the settings name.
    ///
    /// # Errors
    ///
    /// The first fault found, with its line.
    pub fn read(
        text: &str,
        known: &dyn Fn(&str) -> Option<KnownIndex>,
    ) -> Result<Installation, Fault> {
        let schema = Schema::read(&tree::read(SCHEMA)?)?;
        let mut root = tree::read(text)?;
        schema.hold(&mut root)?;
        let document: Document =
            quick_xml::de::from_str(text).map_err(|e| Fault::new(root.line, e.to_string()))?;
        let merging = match (document.merging, root.all("merging").next()) {
            (Some(section), Some(node)) => merging::check(section, node, known)?,
            _ => Merging::default(),
        };
        let gateway = document.gateway.zip(root.all("gateway").next());
        let gateway = gateway
            .map(|(said, node)| links::gateway(said, node))
            .transpose()?;
        let peers = document.peers.zip(root.all("peers").next());
        let peers = peers
            .map(|(said, node)| links::peers(said, node))
            .transpose()?
            .unwrap_or_default();
        let fleet = document.fleet.zip(root.all("fleet").next());
        let fleet = fleet
            .map(|(said, node)| fleet::fleet(said, node))
            .transpose()?;
        let zones = document.zones.zip(root.all("zones").next());
        let zones = zones
            .map(|(said, node)| fleet::zones(said, node, fleet.as_ref()))
            .transpose()?;
        Ok(Installation {
            merging,
            gateway,
            peers,
            fleet,
            zones,
        })
    }

    /// Reads a file; see [`Installation::read`].
    ///
    /// # Errors
    ///
    /// One line with the file, the line in it and the cause.
    pub fn read_file(
        file: &Path,
        known: &dyn Fn(&str) -> Option<KnownIndex>,
    ) -> Result<Self, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let mut read =
            Self::read(&text, known).map_err(|fault| format!("{}:{fault}", file.display()))?;
        let folder = file.parent().unwrap_or(Path::new(""));
        let marks = read.merging.marks.iter_mut().flat_map(|m| &mut m.files);
        let gateway = read.gateway.iter_mut().flat_map(|g| &mut g.secrets);
        let peers = read.peers.iter_mut().flat_map(|p| &mut p.secrets);
        let fleet = read
            .fleet
            .iter_mut()
            .flat_map(|f| f.secrets.iter_mut().chain(&mut f.folder));
        marks
            .chain(gateway)
            .chain(peers)
            .chain(fleet)
            .for_each(|path| *path = folder.join(&*path));
        Ok(read)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXAMPLE: &str = r#"<?xml version="1.0"?>
<installation version="1">
  <!-- money -->
  <merging>
    <marks life="900" secret="marks.key"/>
    <totals index="pledges"><measure field="amount" scale="2" negative="no" figures="sum mean"/></totals>
    <groups index="charities" most="20" first="largest">
      <measure field="amount" scale="2" figures="sum count"/>
    </groups>
    <rows index="history" page="20" most="100">
      <order field="date" direction="descending"/>
      <order field="amount" kind="decimal" scale="2"/>
      <identity field="id"/>
    </rows>
  </merging>
  <gateway listen="127.0.0.1:7400" secret="link.key"/>
  <peers>
    <peer name="messina" address="127.0.0.1:7401" secret="link.key"/>
  </peers>
  <fleet address="127.0.0.1:7500" secret="fleet.key" machine="m1" zone="palermo" region="sicily" folder="record">
    <voter name="n0" address="127.0.0.1:7500" zone="palermo" region="sicily"/>
    <voter name="n1" address="127.0.0.1:7501" zone="catania" region="sicily"/>
    <voter name="n2" address="127.0.0.1:7502" zone="messina" region="sicily"/>
  </fleet>
  <zones life="60000">
    <zone name="palermo" region="sicily" room="150"/>
    <zone name="catania" region="sicily"/>
  </zones>
</installation>
"#;

    fn known(index: &str) -> Option<KnownIndex> {
        ["pledges", "charities", "history"]
            .contains(&index)
            .then_some(KnownIndex { floor: 0.5 })
    }

    fn read(text: &str) -> Result<Installation, Fault> {
        Installation::read(text, &known)
    }

    #[test]
    fn a_file_is_read_into_its_values() {
        let read = read(EXAMPLE).unwrap();
        assert_eq!(read.merging.plans.len(), 3);
        assert_eq!(read.merging.marks.unwrap().life, 900);
        assert_eq!(
            super::tests::read(r#"<installation version="1"/>"#),
            Ok(Installation::default())
        );
    }

    #[test]
    fn the_example_is_a_good_file() {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/installation.xml");
        let text = std::fs::read_to_string(&file).unwrap();
        // What stands there as a comment is good too.
        let whole = text
            .replace("lower bound.\n", "lower bound. -->\n")
            .replace("as one.\n", "as one. -->\n");
        let whole = whole
            .replace("</totals>\n    -->", "</totals>")
            .replace("</groups>\n    -->", "</groups>");
        assert_eq!(read(&text).unwrap().merging.plans.len(), 1);
        let whole = whole
            .replace("own roster.\n", "own roster. -->\n")
            .replace("this one.\n", "this one. -->\n");
        let whole = whole
            .replace("/>\n  -->", "/>")
            .replace("</peers>\n  -->", "</peers>");
        let whole = whole
            .replace("in common.\n", "in common. -->\n")
            .replace("</zones>\n  -->", "</zones>");
        let whole = read(&whole).unwrap();
        assert_eq!(
            (
                whole.merging.plans.len(),
                whole.peers.len(),
                whole.gateway.is_some()
            ),
            (3, 1, true)
        );
        assert_eq!(
            (
                whole.fleet.unwrap().voters.len(),
                whole.zones.unwrap().zones.len()
            ),
            (3, 3)
        );
    }

    /// Each fault names its line, and nothing that the schema or a check refuses passes.
    #[test]
    fn bad_files_are_refused_with_line_and_cause() {
        let cases: &[(&str, &str, usize, &str)] = &[
            ("version=\"1\"", "version=\"2\"", 2, "none of 1"),
            ("<merging>", "<merging why=\"x\">", 4, "attribute why"),
            ("life=\"900\"", "life=\"9\"", 5, "from 10 to 604800"),
            ("life=\"900\" ", "", 5, "lacks its attribute life"),
            (
                "figures=\"sum mean\"",
                "figures=\"sum mode\"",
                6,
                "none of sum",
            ),
            ("figures=\"sum mean\"", "figures=\"\"", 6, "empty"),
            ("figures=\"sum mean\"", "figures=\"sum sum\"", 6, "twice"),
            (
                "scale=\"2\" negative",
                "scale=\"13\" negative",
                6,
                "from 0 to 12",
            ),
            (
                "<totals index=\"pledges\">",
                "<totals index=\"gifts\">",
                6,
                "no index gifts",
            ),
            ("index=\"charities\"", "index=\"pledges\"", 7, "twice"),
            ("most=\"20\"", "most=\"0\"", 7, "from 1 to 500"),
            (
                "most=\"20\" first=\"largest\"",
                "most=\"20\" held=\"9\"",
                7,
                "held",
            ),
            ("page=\"20\"", "page=\"200\"", 10, "page"),
            ("<identity field=\"id\"/>", "", 10, "lacks a <identity>"),
            (
                "<identity field=\"id\"/>",
                "<identity field=\"id\"/><distinct field=\"id\"/>",
                13,
                "first order",
            ),
            (
                "<identity field=\"id\"/>",
                "<identity field=\"id\"/><distinct field=\"date\"/>",
                13,
                "floor",
            ),
            (
                "<identity field=\"id\"/>",
                "<identity field=\"id\"/><also/>",
                13,
                "cannot stand here",
            ),
            (
                "field=\"date\" ",
                "field=\"date\" scale=\"1\" ",
                11,
                "scale",
            ),
            (
                "<marks life=\"900\" secret=\"marks.key\"/>",
                "",
                10,
                "marks",
            ),
            ("<!-- money -->", "money", 2, "text"),
            ("</installation>", "", 30, "begun and ended"),
            (
                "<voter name=\"n1\" address=\"127.0.0.1:7501\" zone=\"catania\" region=\"sicily\"/>",
                "",
                20,
                "3, 5 or 7",
            ),
            ("name=\"n1\" address", "name=\"n0\" address", 22, "twice"),
            (
                "zone=\"catania\" region",
                "zone=\"palermo\" region",
                20,
                "most voters are in zone palermo",
            ),
            (
                "zone=\"messina\" region=\"sicily\"",
                "zone=\"messina\" region=\"malta\"",
                20,
                "wins=\"sicily\"",
            ),
            (" folder=\"record\"", " wins=\"sicily\"", 20, "two regions"),
            (
                "folder=\"record\"",
                "folder=\"record\" members=\"1\"",
                20,
                "from 3 to 1000",
            ),
            (
                "<zone name=\"palermo\"",
                "<zone name=\"malta\"",
                25,
                "own zone palermo",
            ),
            (
                "<zone name=\"palermo\"",
                "<zone name=\"catania\"",
                27,
                "twice",
            ),
            (
                "life=\"60000\"",
                "life=\"60000\" hold=\"5000\" longest-hold=\"400\"",
                25,
                "from 1000 to",
            ),
            (
                "life=\"60000\"",
                "hold=\"60000\" longest-hold=\"4000\"",
                25,
                "shorter than hold",
            ),
            (
                "listen=\"127.0.0.1:7400\"",
                "listen=\"messina\"",
                16,
                "not an address",
            ),
            (
                "<?xml version=\"1.0\"?>",
                "<!DOCTYPE x [<!ENTITY a \"b\">]>",
                1,
                "document type",
            ),
            ("secret=\"marks.key\"", "secret=\"&a;\"", 5, ""),
            ("</merging>", "</merge>", 15, ""),
        ];
        let mut wrong = Vec::new();
        for (from, to, line, cause) in cases {
            let text = EXAMPLE.replacen(from, to, 1);
            assert_ne!(text, EXAMPLE, "{from}");
            let fault = read(&text).expect_err(to);
            assert!(fault.cause.contains(cause), "{to}: {fault}");
            wrong.extend((fault.line != *line).then(|| format!("{to}: {fault}")));
        }
        assert_eq!(wrong, [""; 0]);
        for deep in [
            "<a>".repeat(40),
            "<installation version='1'/>".repeat(2),
            "".into(),
            "\u{0}".into(),
        ] {
            assert!(read(&deep).is_err());
        }
    }

    fn write(node: &tree::Node) -> String {
        let attributes: String = node
            .attributes
            .iter()
            .map(|(n, v)| format!(" {n}=\"{v}\""))
            .collect();
        let inner: String = node.children.iter().map(write).collect();
        format!("<{0}{attributes}>{inner}</{0}>", node.name)
    }

    /// The decoder and the schema hold the same: every value that the schema has is decoded, each attribute
    /// can be left out just where its default then counts, and no other name passes the decoder alone.
    #[test]
    fn the_decoder_takes_what_the_schema_allows() {
        let schema = Schema::read(&tree::read(SCHEMA).unwrap()).unwrap();
        let whole = EXAMPLE.replace("negative=\"no\" ", "").replace(
            "<identity field=\"id\"/>",
            "<identity field=\"id\"/><distinct field=\"date\"/>",
        );
        let at = [
            ("Installation", "<installation"),
            ("Marks", "<marks"),
            ("Totals", "<totals"),
            ("Groups", "<groups"),
            ("Measure", "<measure"),
            ("Rows", "<rows"),
            ("Order", "<order"),
            ("Field", "<distinct"),
            ("Gateway", "<gateway"),
            ("Peer", "<peer"),
            ("Fleet", "<fleet"),
            ("Voter", "<voter"),
            ("Zones", "<zones"),
            ("Zone", "<zone"),
        ];
        let decode = |text: &str| {
            quick_xml::de::from_str::<Document>(text).map(|d| {
                format!(
                    "{:?}{:?}{:?}{:?}{:?}",
                    d.merging, d.gateway, d.peers, d.fleet, d.zones
                )
            })
        };
        assert!(decode(&whole).is_ok());
        let samples = schema.samples();
        for (kind, name, values) in &samples {
            let element = at.iter().find(|(k, _)| k == kind).expect(kind).1;
            for value in values {
                // Put first; where the element has the attribute already, that one is taken out.
                let start = whole.find(&format!("{element} ")).unwrap();
                let end = start + whole[start..].find('>').unwrap();
                let tag = &whole[start..end];
                let tag = match tag.find(&format!(" {name}=\"")) {
                    Some(from) => {
                        let length = tag[from..]
                            .split('"')
                            .take(2)
                            .map(|p| p.len() + 1)
                            .sum::<usize>();
                        format!("{}{}", &tag[..from], &tag[from + length..])
                    }
                    None => tag.to_owned(),
                };
                let tag = tag.replacen(element, &format!("{element} {name}=\"{value}\""), 1);
                let text = format!("{}{tag}{}", &whole[..start], &whole[end..]);
                schema
                    .hold(&mut tree::read(&text).unwrap())
                    .unwrap_or_else(|e| panic!("{tag}: {e}"));
                decode(&text)
                    .unwrap_or_else(|e| panic!("the schema allows {tag}, the decoder not: {e}"));
                let other = text.replacen(&format!("{name}=\""), &format!("{name}x=\""), 1);
                assert!(decode(&other).is_err(), "{other}");
            }
        }
        assert!(samples.len() > 20);
        // A tree in which the schema has filled in its defaults says just what the decoder reads without.
        let mut filled = tree::read(&whole).unwrap();
        schema.hold(&mut filled).unwrap();
        let filled = write(&filled);
        assert!(
            filled.len() > whole.replace("  ", "").len() - 60,
            "defaults were filled in"
        );
        assert_eq!(decode(&filled).unwrap(), decode(&whole).unwrap());
        for name in schema.element_names() {
            assert!(
                whole.contains(&format!("<{name} ")) || whole.contains(&format!("<{name}>")),
                "{name}"
            );
        }
    }
}
