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
fn a_file_is_read_into_typed_values() {
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
        "{}:1: <installation> has no attribute version",
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
fn the_deployment_example_is_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/installation.xml");
    let text = std::fs::read_to_string(&file).unwrap();
    assert_eq!(read(&text).unwrap().merging.plans.len(), 1);
    // The sections that are commented out are valid too.
    let complete = text
        .replace("lower bound.\n", "lower bound. -->\n")
        .replace("as one.\n", "as one. -->\n")
        .replace("</totals>\n    -->", "</totals>")
        .replace("</groups>\n    -->", "</groups>")
        .replace("discovery.\n", "discovery. -->\n")
        .replace("this one.\n", "this one. -->\n")
        .replace("/>\n  -->", "/>")
        .replace("</peers>\n  -->", "</peers>")
        .replace("failover together.\n", "failover together. -->\n")
        .replace("</zones>\n  -->", "</zones>");
    let complete = read(&complete).unwrap();
    assert_eq!(complete.merging.plans.len(), 3);
    assert_eq!(complete.peers.len(), 1);
    assert!(complete.gateway.is_some());
    assert_eq!(complete.fleet.unwrap().voters.len(), 3);
    assert_eq!(complete.zones.unwrap().zones.len(), 3);
}

/// A change that makes the example invalid.
struct InvalidChange {
    from: &'static str,
    to: &'static str,
    /// The line that the error names.
    line: usize,
    /// Part of the error's cause.
    cause: &'static str,
}

const fn change(
    from: &'static str,
    to: &'static str,
    line: usize,
    cause: &'static str,
) -> InvalidChange {
    InvalidChange {
        from,
        to,
        line,
        cause,
    }
}

/// Files that are not well-formed XML or have an invalid root element.
const INVALID_XML: &[InvalidChange] = &[
    change("version=\"1\"", "version=\"2\"", 2, "not one of 1"),
    change("<!-- money -->", "money", 2, "text"),
    change("</installation>", "", 30, "one complete element"),
    change(
        "<?xml version=\"1.0\"?>",
        "<!DOCTYPE x [<!ENTITY a \"b\">]>",
        1,
        "document type",
    ),
    change("secret=\"marks.key\"", "secret=\"&a;\"", 5, ""),
    change("</merging>", "</merge>", 15, ""),
];

/// Errors in `<merging>`.
const INVALID_MERGING: &[InvalidChange] = &[
    change("<merging>", "<merging why=\"x\">", 4, "attribute why"),
    change("life=\"900\"", "life=\"9\"", 5, "from 10 to 604800"),
    change("life=\"900\" ", "", 5, "has no attribute life"),
    change(
        "figures=\"sum mean\"",
        "figures=\"sum mode\"",
        6,
        "not one of sum",
    ),
    change("figures=\"sum mean\"", "figures=\"\"", 6, "empty"),
    change("figures=\"sum mean\"", "figures=\"sum sum\"", 6, "twice"),
    change(
        "scale=\"2\" negative",
        "scale=\"13\" negative",
        6,
        "from 0 to 12",
    ),
    change(
        "<totals index=\"pledges\">",
        "<totals index=\"gifts\">",
        6,
        "no index gifts",
    ),
    change("index=\"charities\"", "index=\"pledges\"", 7, "twice"),
    change("most=\"20\"", "most=\"0\"", 7, "from 1 to 500"),
    change(
        "most=\"20\" first=\"largest\"",
        "most=\"20\" held=\"9\"",
        7,
        "held",
    ),
    change("page=\"20\"", "page=\"200\"", 10, "page"),
    change("<identity field=\"id\"/>", "", 10, "has no <identity>"),
    change(
        "<identity field=\"id\"/>",
        "<identity field=\"id\"/><distinct field=\"id\"/>",
        13,
        "first order",
    ),
    change(
        "<identity field=\"id\"/>",
        "<identity field=\"id\"/><distinct field=\"date\"/>",
        13,
        "floor",
    ),
    change(
        "<identity field=\"id\"/>",
        "<identity field=\"id\"/><also/>",
        13,
        "is not permitted here",
    ),
    change(
        "field=\"date\" ",
        "field=\"date\" scale=\"1\" ",
        11,
        "scale",
    ),
    change(
        "<marks life=\"900\" secret=\"marks.key\"/>",
        "",
        10,
        "marks",
    ),
];

/// Errors in `<gateway>` and `<peers>`.
const INVALID_LINKS: &[InvalidChange] = &[change(
    "listen=\"127.0.0.1:7400\"",
    "listen=\"messina\"",
    16,
    "not an address",
)];

/// Errors in `<fleet>`.
const INVALID_FLEET: &[InvalidChange] = &[
    change(
        "<voter name=\"n1\" address=\"127.0.0.1:7501\" zone=\"catania\" region=\"sicily\"/>",
        "",
        20,
        "3, 5 or 7",
    ),
    change("name=\"n1\" address", "name=\"n0\" address", 22, "twice"),
    change(
        "zone=\"catania\" region",
        "zone=\"palermo\" region",
        20,
        "most voters are in zone palermo",
    ),
    change(
        "zone=\"messina\" region=\"sicily\"",
        "zone=\"messina\" region=\"malta\"",
        20,
        "wins=\"sicily\"",
    ),
    change(" folder=\"record\"", " wins=\"sicily\"", 20, "two regions"),
    change(
        "folder=\"record\"",
        "folder=\"record\" members=\"1\"",
        20,
        "from 3 to 1000",
    ),
];

/// Errors in `<zones>`.
const INVALID_ZONES: &[InvalidChange] = &[
    change(
        "<zone name=\"palermo\"",
        "<zone name=\"malta\"",
        25,
        "own zone palermo",
    ),
    change(
        "<zone name=\"palermo\"",
        "<zone name=\"catania\"",
        27,
        "twice",
    ),
    change(
        "life=\"60000\"",
        "life=\"60000\" hold=\"5000\" longest-hold=\"400\"",
        25,
        "from 1000 to",
    ),
    change(
        "life=\"60000\"",
        "hold=\"60000\" longest-hold=\"4000\"",
        25,
        "shorter than hold",
    ),
];

/// Checks that each change is rejected by the parser, the schema or a check, and that the error has the right line.
#[test]
fn invalid_files_are_rejected_with_line_and_cause() {
    let sections = [
        INVALID_XML,
        INVALID_MERGING,
        INVALID_LINKS,
        INVALID_FLEET,
        INVALID_ZONES,
    ];
    let mut wrong_lines = Vec::new();
    for invalid in sections.into_iter().flatten() {
        let InvalidChange {
            from,
            to,
            line,
            cause,
        } = invalid;
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
fn malformed_and_too_deeply_nested_files_are_rejected() {
    for text in [
        "<a>".repeat(40),
        "<installation version='1'/>".repeat(2),
        String::new(),
        "\u{0}".into(),
    ] {
        assert!(read(&text).is_err());
    }
}
