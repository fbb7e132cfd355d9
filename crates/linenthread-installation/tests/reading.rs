//! Reading an installation file: its values, and the errors with their lines.

use std::path::Path;
use std::time::Duration;

use linenthread_installation::{Installation, InstallationError, KnownIndex, ReadFileError};

/// A file with every section.
const EXAMPLE: &str = include_str!("example.xml");

fn known(index: &str) -> Option<KnownIndex> {
    ["pledges", "charities", "history"]
        .contains(&index)
        .then_some(KnownIndex { min_share: 0.5 })
}

fn read(text: &str) -> Result<Installation, InstallationError> {
    Installation::read(text, &known)
}

#[test]
fn a_file_is_read_into_its_values() {
    let installation = read(EXAMPLE).unwrap();
    assert_eq!(installation.merging.plans.len(), 3);
    let cursors = installation.merging.cursors.unwrap();
    assert_eq!(cursors.lifetime, Duration::from_secs(900));
    assert_eq!(
        read(r#"<installation version="1"/>"#),
        Ok(Installation::default())
    );
}

#[test]
fn paths_are_relative_to_the_files_directory_and_errors_name_the_file() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("installation.xml");
    std::fs::write(&file, EXAMPLE).unwrap();
    let installation = Installation::read_file(&file, &known).unwrap();
    let secret = |name: &str| vec![directory.path().join(name)];
    assert_eq!(
        installation.merging.cursors.unwrap().secret_files,
        secret("marks.key")
    );
    assert_eq!(
        installation.gateway.unwrap().secret_files,
        secret("link.key")
    );
    assert_eq!(installation.peers[0].secret_files, secret("link.key"));
    let fleet = installation.fleet.unwrap();
    assert_eq!(fleet.secret_files, secret("fleet.key"));
    assert_eq!(fleet.folder, Some(directory.path().join("record")));

    std::fs::write(&file, "<installation/>").unwrap();
    let error = Installation::read_file(&file, &known).unwrap_err();
    assert!(matches!(error, ReadFileError::Invalid { .. }));
    let expected = format!(
        "{}:1: <installation> lacks its attribute version",
        file.display()
    );
    assert_eq!(error.to_string(), expected);

    let absent = directory.path().join("absent.xml");
    let error = Installation::read_file(&absent, &known).unwrap_err();
    assert!(matches!(error, ReadFileError::Io { .. }));
    assert!(
        error
            .to_string()
            .starts_with(&format!("{}: ", absent.display()))
    );
}

#[test]
fn the_example_of_the_deployment_is_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/installation.xml");
    let text = std::fs::read_to_string(&file).unwrap();
    assert_eq!(read(&text).unwrap().merging.plans.len(), 1);
    // The sections that stand there as comments are valid too.
    let complete = text
        .replace("lower bound.\n", "lower bound. -->\n")
        .replace("as one.\n", "as one. -->\n")
        .replace("</totals>\n    -->", "</totals>")
        .replace("</groups>\n    -->", "</groups>")
        .replace("own roster.\n", "own roster. -->\n")
        .replace("this one.\n", "this one. -->\n")
        .replace("/>\n  -->", "/>")
        .replace("</peers>\n  -->", "</peers>")
        .replace("in common.\n", "in common. -->\n")
        .replace("</zones>\n  -->", "</zones>");
    let complete = read(&complete).unwrap();
    assert_eq!(complete.merging.plans.len(), 3);
    assert_eq!(complete.peers.len(), 1);
    assert!(complete.gateway.is_some());
    assert_eq!(complete.fleet.unwrap().voters.len(), 3);
    assert_eq!(complete.zones.unwrap().zones.len(), 3);
}

/// Each error names its line, and nothing that the schema or a check refuses passes.
#[test]
fn invalid_files_are_refused_with_line_and_cause() {
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
    let mut wrong_lines = Vec::new();
    for (from, to, line, cause) in cases {
        let text = EXAMPLE.replacen(from, to, 1);
        assert_ne!(text, EXAMPLE, "{from}");
        let error = read(&text).expect_err(to);
        assert!(error.cause.contains(cause), "{to}: {error}");
        if error.line != *line {
            wrong_lines.push(format!("{to}: {error}"));
        }
    }
    assert_eq!(wrong_lines, [""; 0]);
}

#[test]
fn what_is_not_one_element_of_some_depth_is_refused() {
    for text in [
        "<a>".repeat(40),
        "<installation version='1'/>".repeat(2),
        String::new(),
        "\u{0}".into(),
    ] {
        assert!(read(&text).is_err());
    }
}
