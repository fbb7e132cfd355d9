//! The verdict on whole runs of `cargo test`, each as text, with its list and its exit status.

use linenthread_ci::{Fault, KnownFault, Report, judge, read_known, read_output, read_programs};
use yare::parameterized;

/// Cargo's message of one program that it built.
fn artifact(id: &str, target: &str, is_test: bool, executable: &str) -> String {
    format!(r#"{{"reason":"compiler-artifact","package_id":"{id}","target":{{"name":"{target}"}},"#)
        + &format!(
            r#""profile":{{"test":{is_test}}},"executable":"/r/target/debug/{executable}"}}"#
        )
        + "\n"
}

/// Two packages with a target of the same name, and a program that is no test.
fn programs() -> String {
    let left = "path+file:///r/crates/left#0.1.0";
    let right = "path+file:///r/crates/r#right@0.1.0";
    artifact(left, "system", true, "deps/system-1")
        + &artifact(right, "system", true, "deps/system-2")
        + &artifact(left, "left", false, "left")
        + r#"{"reason":"build-finished","success":true}"#
}

fn program(file: &str, tests: &[(&str, &str)]) -> String {
    let failed = tests.iter().filter(|t| t.1 == "FAILED").count();
    let ignored = tests.iter().filter(|t| t.1.starts_with("ignored")).count();
    let passed = tests.len() - failed - ignored;
    let lines: String = tests
        .iter()
        .map(|(name, outcome)| format!("test {name} ... {outcome}\n"))
        .collect();
    let word = if failed > 0 { "FAILED" } else { "ok" };
    format!(
        "     Running tests/system.rs (target/debug/deps/{file})\n\nrunning {} tests\n{lines}\n\
         test result: {word}. {passed} passed; {failed} failed; {ignored} ignored; 0 measured; \
         0 filtered out; finished in 0.01s\n\n",
        tests.len()
    )
}

/// The two programs, cargo's last words, and the verdict.
fn verdict(known: &str, left: &[(&str, &str)], right: &[(&str, &str)], status: i32) -> Report {
    let mut text = program("system-1", left) + &program("system-2", right);
    let failed = [left, right]
        .iter()
        .filter(|tests| tests.iter().any(|t| t.1 == "FAILED"))
        .count();
    if failed > 0 {
        text += &format!(
            "error: {failed} target{} failed:\n",
            if failed > 1 { "s" } else { "" }
        );
    }
    verdict_of(known, &text, status)
}

fn verdict_of(known: &str, text: &str, status: i32) -> Report {
    judge(
        &read_known(known).unwrap(),
        &read_programs(&programs()).unwrap(),
        &read_output(text),
        status,
    )
}

const RED: &str = "left::system::a | the fault | 43\n";
const OK: &[(&str, &str)] = &[("a", "ok"), ("b::case", "ok")];
const A_FAILS: &[(&str, &str)] = &[("a", "FAILED"), ("b::case", "ok")];

#[parameterized(
    nothing_listed = { "", OK, OK, 0 },
    blank_list = { "\n\n", OK, OK, 0 },
    one_listed_fails = { RED, A_FAILS, OK, 101 },
    both_of_one_name_listed = { "left::system::a | x | 1\nright::system::a | y | 2\n", A_FAILS, A_FAILS, 101 },
    ignored_ones_are_no_matter = { "", &[("a", "ignored"), ("b", "ignored, slow")], OK, 0 },
)]
fn passes(known: &str, left: &[(&str, &str)], right: &[(&str, &str)], status: i32) {
    let report = verdict(known, left, right, status);
    assert_eq!(report.faults, []);
    assert_eq!(
        report.known.len(),
        known.lines().filter(|l| !l.is_empty()).count()
    );
    assert_eq!(report.summaries.len(), 2);
}

fn failed(test: &str) -> Fault {
    Fault::Failed {
        test: test.to_owned(),
    }
}

#[parameterized(
    not_listed = { "", A_FAILS, OK, 101, failed("left::system::a") },
    another_of_its_name_is_listed = { RED, A_FAILS, A_FAILS, 101, failed("right::system::a") },
    another_test_is_listed = { RED, &[("a", "FAILED"), ("b", "FAILED")], OK, 101, failed("left::system::b") },
    listed_passes = { RED, OK, OK, 0, Fault::ListedPasses { test: "left::system::a".into() } },
    listed_is_ignored = {
        RED, &[("a", "ignored, slow")], OK, 0, Fault::ListedIgnored { test: "left::system::a".into() }
    },
    listed_is_no_test = {
        "left::system::c | x | 1", OK, OK, 0, Fault::ListedUnknown { test: "left::system::c".into() }
    },
    status_without_a_failed_test = { "", OK, OK, 101, Fault::Status { status: 101 } },
    failed_test_without_status = { RED, A_FAILS, OK, 0, Fault::Status { status: 0 } },
    killed_by_a_signal = { RED, A_FAILS, OK, 137, Fault::Status { status: 137 } },
)]
fn fails(known: &str, left: &[(&str, &str)], right: &[(&str, &str)], status: i32, fault: Fault) {
    assert_eq!(verdict(known, left, right, status).faults, [fault]);
}

#[parameterized(
    empty = { "" },
    compile_error = { "error[E0308]: mismatched types\nerror: could not compile `left` (lib test)\n" },
)]
fn nothing_ran(text: &str) {
    for known in ["", RED] {
        assert_eq!(verdict_of(known, text, 101).faults, [Fault::NothingRan]);
    }
}

#[test]
fn an_aborted_program_fails_though_its_test_is_listed() {
    let text = "     Running tests/system.rs (target/debug/deps/system-1)\n\nrunning 2 tests\n\
        test a ... FAILED\nerror: test failed, to rerun pass `-p left --test system`\n\n\
        Caused by:\n  process didn't exit successfully: `x` (signal: 6, SIGABRT: process abort signal)\n"
        .to_owned()
        + &program("system-2", OK)
        + "error: 1 target failed:\n";
    let report = verdict_of(RED, &text, 101);
    assert!(
        report.faults.contains(&Fault::NoSummary {
            program: "left::system".into()
        }),
        "{report:?}"
    );
}

#[test]
fn a_summary_that_disagrees_with_its_lines_fails() {
    let text = program("system-1", A_FAILS)
        .replace("test a ... FAILED", "test a ... words in between")
        + &program("system-2", OK)
        + "error: 1 target failed:\n";
    let faults = verdict_of("", &text, 101).faults;
    assert_eq!(
        faults,
        [Fault::Unclear {
            program: "left::system".into()
        }]
    );
}

#[test]
fn a_program_that_did_not_run_or_is_unknown_fails() {
    let text = program("system-1", OK) + &program("system-3", OK);
    let faults = verdict_of("", &text, 0).faults;
    let unknown = Fault::UnknownProgram {
        program: "system-3".into(),
    };
    assert_eq!(
        faults,
        [
            unknown,
            Fault::NotRun {
                program: "right::system".into()
            }
        ]
    );
}

#[test]
fn tests_of_documentation_are_named_by_their_package() {
    let doc = "   Doc-tests two_words\n\nrunning 1 test\ntest src/lib.rs - f (line 3) ... FAILED\n\n\
        test result: FAILED. 0 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.01s\n\n\
        error: 1 target failed:\n    `-p two-words --doc`\n";
    let text = program("system-1", OK) + &program("system-2", OK) + doc;
    assert_eq!(
        verdict_of("", &text, 101).faults,
        [failed("two-words::doc::src/lib.rs - f (line 3)")]
    );
}

#[test]
fn the_counts_are_of_all_programs() {
    let total = verdict(RED, A_FAILS, &[("a", "ignored")], 101).total;
    assert_eq!((total.passed, total.failed, total.ignored), (1, 1, 1));
}

#[parameterized(
    no_cause = { "p::t::a\n", KnownFault::Malformed { line: 1 } },
    no_issue = { "p::t::a | cause\n", KnownFault::Malformed { line: 1 } },
    empty_issue = { "p::t::a | cause | \n", KnownFault::Malformed { line: 1 } },
    empty_cause = { "p::t::a | | 43\n", KnownFault::Malformed { line: 1 } },
    four_fields = { "p::t::a | cause | 43 | more\n", KnownFault::Malformed { line: 1 } },
    no_package = { "\na | cause | 43\n", KnownFault::Malformed { line: 2 } },
    no_test = { "p::t:: | cause | 43\n", KnownFault::Malformed { line: 1 } },
    comment = { "# p::t::a | cause | 43\n p::t | c | 43", KnownFault::Malformed { line: 2 } },
    twice = { "p::t::a | x | 1\np::t::a | y | 2\n", KnownFault::Twice { test: "p::t::a".into() } },
    four = { "p::t::a|x|1\np::t::b|x|1\np::t::c|x|1\np::t::d|x|1\n", KnownFault::TooMany { count: 4 } },
)]
fn bad_list(text: &str, fault: KnownFault) {
    assert_eq!(read_known(text), Err(fault));
}
