//! Merged indexes through the program on loopback sockets, checked against the full data of the stub replicas.

use std::time::Duration;

use linenthread_fakes::checker::{self, PagedRead, ShardWeight};
use linenthread_fakes::row_store::{INSTALLATION, RowStore};
use linenthread_fakes::{
    Behavior, Class, RowReplicas, Service, ServiceDiscovery, SubRequest, config_of, member,
    membership,
};
use oorandom::Rand64;
use serde_json::{Value, json};

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");
const SHARDS: usize = 6;
/// A soft deadline for queries that are to lack shards, and one that no stall of the machine reaches.
const SOFT_MS: u64 = 400;
const AMPLE_MS: u64 = 15_000;
const FLOOR: f64 = 0.5;

struct Rig {
    hosts: RowReplicas,
    service: Service,
    known: String,
    roster: ServiceDiscovery,
}

fn configuration(roster: &ServiceDiscovery, known: &str, soft_ms: u64) -> Value {
    let class = |name, floor| Class {
        name,
        non_idempotent: false,
        soft_deadline: Duration::from_millis(soft_ms),
        floor,
    };
    let classes = [
        class("history", FLOOR),
        class("pledges", FLOOR),
        class("charities", FLOOR),
        Class {
            name: "order",
            non_idempotent: true,
            soft_deadline: Duration::from_millis(soft_ms),
            floor: 1.0,
        },
    ];
    config_of(roster.address, known, &classes, 3, SHARDS)
}

/// Three replicas over one ledger, each shard on two of them.
fn start(
    ledger: RowStore,
    most_rows: usize,
    installation: &str,
    cue: impl FnMut(&SubRequest) -> (Duration, Behavior) + Send + 'static,
) -> Rig {
    start_with(SOFT_MS, ledger, most_rows, installation, cue)
}

/// As [`start`], with another soft deadline.
fn start_with(
    soft_ms: u64,
    ledger: RowStore,
    most_rows: usize,
    installation: &str,
    cue: impl FnMut(&SubRequest) -> (Duration, Behavior) + Send + 'static,
) -> Rig {
    let hosts = RowReplicas::start(3, ledger, most_rows, cue);
    let entries = hosts
        .addresses
        .iter()
        .enumerate()
        .map(|(i, a)| member(i, *a, "active"));
    let known = membership(1, true, entries.collect());
    let roster = ServiceDiscovery::start(known.clone());
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("marks.key"), "a secret of some length\n").unwrap();
    std::fs::write(folder.path().join("installation.xml"), installation).unwrap();
    let words = ["--installation", "installation.xml"];
    let service = Service::start_in(
        folder,
        EXE,
        &configuration(&roster, &known, soft_ms),
        &words,
    );
    Rig {
        hosts,
        service,
        known,
        roster,
    }
}

fn weights(shards: &[usize]) -> Vec<ShardWeight> {
    let weight = 1.0 / shards.len() as f64;
    shards
        .iter()
        .map(|&shard| ShardWeight { shard, weight })
        .collect()
}

fn now(_: &SubRequest) -> (Duration, Behavior) {
    (Duration::ZERO, Behavior::Respond)
}

/// A fault, or a response after a random delay, which seldom exceeds the time that a query waits.
fn faulty(mut chance: Rand64) -> impl FnMut(&SubRequest) -> (Duration, Behavior) + Send {
    move |_| {
        let how = match chance.rand_range(0..100) {
            0..2 => Behavior::RespondTwice,
            2..5 => Behavior::UnreadableValue,
            5..6 => Behavior::MalformedFrame,
            6..9 => Behavior::Fault,
            9..11 => Behavior::Overload,
            11..12 => Behavior::Disconnect,
            12..14 => Behavior::NoResponse,
            _ => Behavior::Respond,
        };
        (Duration::from_micros(chance.rand_range(0..8_000)), how)
    }
}

/// Reads chains of pages, with rows added between them, or queries totals or groups, until so many queries were sent.
/// Rejected and abandoned queries have no response; every response is checked.
fn read_on(seed: u128, lookups: usize) -> (usize, usize) {
    let mut chance = Rand64::new(seed);
    let ledger = RowStore::new(&mut chance, SHARDS, 14);
    let rig = start(ledger, 4, INSTALLATION, faulty(Rand64::new(seed + 1)));
    let (mut answered, mut partial, mut asked) = (0, 0, 0);
    while asked < lookups {
        let mut shards: Vec<usize> = (0..SHARDS)
            .filter(|_| chance.rand_range(0..3) > 0)
            .collect();
        if shards.is_empty() {
            shards.push(0);
        }
        let with = weights(&shards);
        let mut reading = PagedRead::new(&with);
        let (mut added, mut mark) = (Vec::new(), Value::Null);
        let index =
            ["history", "history", "pledges", "charities"][chance.rand_range(0..4) as usize];
        loop {
            asked += 1;
            let id = format!("m{seed}-{asked}");
            let limit = 1 + chance.rand_range(0..8) as usize;
            let page = if index == "history" {
                json!({"rows": limit, "after": mark})
            } else {
                Value::Null
            };
            let (status, answer) = rig
                .service
                .connect()
                .query_merged(index, &id, &shards, index, &page);
            let ledger = rig.hosts.store.lock().unwrap().clone();
            if status != 200 {
                assert!(
                    [502, 503].contains(&status),
                    "seed {seed}, lookup {asked}: {status} {answer}"
                );
                break;
            }
            answered += 1;
            partial += usize::from(answer["finished"] == json!(false));
            let judged = match index {
                "history" => reading.check_page(&ledger, &with, FLOOR, limit, &answer),
                "pledges" => checker::check_totals(&ledger, &with, FLOOR, &answer),
                _ => checker::check_groups(&ledger, &with, FLOOR, 3, &answer),
            };
            judged.unwrap_or_else(|why| {
                panic!("seed {seed}, lookup {asked}, {index}: {why}\n{answer}")
            });
            mark = answer["next"].clone();
            if index == "history" && mark.is_null() {
                reading.check_end(&ledger, &added).unwrap();
            }
            if mark.is_null() || asked >= lookups {
                break;
            }
            if chance.rand_range(0..2) == 0 {
                let slice = shards[chance.rand_range(0..shards.len() as u64) as usize];
                added.push(rig.hosts.store.lock().unwrap().add(&mut chance, slice));
            }
        }
    }
    (answered, partial)
}

#[test]
fn merged_responses_match_the_full_data_under_delays_and_faults() {
    let threads: Vec<_> = (0..4)
        .map(|n| std::thread::spawn(move || read_on(7 + 10 * n, 100)))
        .collect();
    let all = threads.into_iter().map(|t| t.join().unwrap());
    let (answered, partial) = all.fold((0, 0), |(a, p), (answered, partial)| {
        (a + answered, p + partial)
    });
    assert!(
        answered > 300 && partial > 0,
        "{answered} of 400 answered, {partial} partial"
    );
}

#[test]
fn a_cursor_is_valid_at_another_process_and_for_its_own_query_only() {
    let ledger = RowStore::new(&mut Rand64::new(3), SHARDS, 9);
    let rig = start(ledger, 50, INSTALLATION, now);
    let ask = |shards: &[usize], id: &str, text: &str, mark: &str| {
        rig.service.connect().query_merged(
            "history",
            id,
            shards,
            text,
            &json!({"rows": 3, "after": mark}),
        )
    };
    let shards = [0, 1, 2, 3];
    let page = json!({"rows": 3});
    let (status, first) = rig
        .service
        .connect()
        .query_merged("history", "p1", &shards, "all", &page);
    assert_eq!(status, 200);
    let mark = first["next"].as_str().unwrap().to_owned();
    // Another process with the same secret serves page two from the cursor alone.
    let folder = tempfile::tempdir().unwrap();
    for file in ["marks.key", "installation.xml"] {
        std::fs::copy(rig.service.file(file), folder.path().join(file)).unwrap();
    }
    let words = ["--installation", "installation.xml"];
    let other = Service::start_in(
        folder,
        EXE,
        &configuration(&rig.roster, &rig.known, SOFT_MS),
        &words,
    );
    let next = json!({"rows": 3, "after": mark});
    let (status, second) = other
        .connect()
        .query_merged("history", "p2", &shards, "all", &next);
    let ledger = rig.hosts.store.lock().unwrap().clone();
    let mut reading = PagedRead::new(&weights(&shards));
    reading
        .check_page(&ledger, &weights(&shards), FLOOR, 3, &first)
        .unwrap();
    assert_eq!(status, 200);
    reading
        .check_page(&ledger, &weights(&shards), FLOOR, 3, &second)
        .unwrap();
    // Anything but that cursor for that query gets a plain 400.
    let forged = format!(
        "{}{}",
        &mark[..mark.len() - 2],
        if mark.ends_with("AA") { "BB" } else { "AA" }
    );
    let cases = [
        (
            &shards[..],
            "all",
            forged.as_str(),
            "not one that was given here",
        ),
        (&shards, "all", &mark[..40], "not one that was given here"),
        (&shards, "all", "", "not one that was given here"),
        (&shards, "some", &mark, "another lookup"),
        (&shards[..3], "all", &mark, "another layout"),
    ];
    for (n, (shards, text, mark, why)) in cases.into_iter().enumerate() {
        let (status, said) = ask(shards, &format!("bad{n}"), text, mark);
        assert!(
            status == 400 && said.to_string().contains(why),
            "{n}: {status} {said}"
        );
    }
    let (status, said) = rig.service.connect().query_merged(
        "history",
        "rows",
        &shards,
        "all",
        &json!({"rows": 101}),
    );
    assert!(
        status == 400 && said.to_string().contains("from 1 to 100"),
        "{said}"
    );
    let (status, said) =
        rig.service
            .connect()
            .query_merged("pledges", "t", &shards, "pledges", &json!({"rows": 1}));
    assert!(
        status == 400 && said.to_string().contains("no pages"),
        "{said}"
    );
}

#[test]
fn the_installation_file_is_validated_and_reloaded() {
    let rig = start(
        RowStore::new(&mut Rand64::new(5), SHARDS, 9),
        50,
        INSTALLATION,
        now,
    );
    let merged = || {
        rig.service
            .connect()
            .query_merged("pledges", &fresh(), &[0, 1], "pledges", &Value::Null)
            .1
    };
    assert!(merged()["totals"].is_object());
    // An invalid file changes nothing; a valid one applies from the next query on.
    let file = rig.service.file("installation.xml");
    std::fs::write(
        &file,
        INSTALLATION.replace("index=\"pledges\"", "index=\"gifts\""),
    )
    .unwrap();
    rig.service.signal("-HUP");
    let line = rig.service.wait_for_log("installation not taken");
    assert!(
        line.contains("installation.xml:9: the settings have no index gifts"),
        "{line}"
    );
    assert!(merged()["totals"].is_object());
    std::fs::write(&file, "<installation version=\"1\"/>").unwrap();
    rig.service.signal("-HUP");
    rig.service.wait_for_log("installation read again");
    assert!(merged()["found"].is_array(), "answered as ever");
    // The same fault at the start is one line and exit code 2, from check and from serve.
    std::fs::write(
        &file,
        "<installation version=\"1\">\n<merge/></installation>",
    )
    .unwrap();
    let config = rig.service.file("config.json");
    for words in [["check", "--installation"], ["serve", "--installation"]] {
        let mut program = std::process::Command::new(EXE);
        program.args(words).arg(&file);
        match words[0] {
            "check" => program.arg(&config),
            _ => program.env("EDGE_CONFIG", &config),
        };
        let output = program.output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(
            said.contains("installation.xml:2: <merge>") && said.lines().count() == 1,
            "{said}"
        );
    }
}

fn fresh() -> String {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static IDS: AtomicUsize = AtomicUsize::new(0);
    format!("f{}", IDS.fetch_add(1, Ordering::Relaxed))
}

#[test]
fn an_invalid_shard_response_is_named_and_affects_nothing_else() {
    let unreadable = |part: &SubRequest| {
        let how = if part.shard == 2 {
            Behavior::UnreadableValue
        } else {
            Behavior::Respond
        };
        (Duration::ZERO, how)
    };
    let ledger = RowStore::new(&mut Rand64::new(11), SHARDS, 9);
    let rig = start(ledger, 50, INSTALLATION, unreadable);
    let shards = [0, 1, 2, 3];
    let (status, answer) =
        rig.service
            .connect()
            .query_merged("pledges", "u1", &shards, "pledges", &Value::Null);
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["slices"]["missing"], json!({"unreadable": [2]}));
    let ledger = rig.hosts.store.lock().unwrap().clone();
    checker::check_totals(&ledger, &weights(&shards), FLOOR, &answer).unwrap();
    rig.service.wait_for_log("a part's value cannot be merged");
    // Below the minimum share there is no result.
    let (status, _) =
        rig.service
            .connect()
            .query_merged("pledges", "u2", &[2], "pledges", &Value::Null);
    assert_eq!(status, 503);
}

#[test]
fn a_once_only_index_gets_no_follow_up_requests() {
    let asked = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let heard = asked.clone();
    let count = move |part: &SubRequest| {
        heard.lock().unwrap().push(part.id.clone());
        (Duration::ZERO, Behavior::Respond)
    };
    let mut ledger = RowStore::new(&mut Rand64::new(13), SHARDS, 0);
    let mut chance = Rand64::new(1);
    (0..12).for_each(|n| drop(ledger.add(&mut chance, n % 2)));
    let installation = INSTALLATION.replace("index=\"history\"", "index=\"order\"");
    let rig = start_with(AMPLE_MS, ledger.clone(), 2, &installation, count);
    let with = weights(&[0, 1]);
    let (status, answer) =
        rig.service
            .connect()
            .query_merged("order", "o1", &[0, 1], "all", &json!({"rows": 5}));
    assert_eq!(status, 200, "{answer}");
    // The page ends where a shard's next row is unknown, and says so.
    assert!(
        !answer["cut"]["behind"].as_array().unwrap().is_empty(),
        "{answer}"
    );
    PagedRead::new(&with)
        .check_page(&ledger, &with, 1.0, 5, &answer)
        .unwrap();
    assert_eq!(asked.lock().unwrap().len(), 2);
    // An idempotent index with the same rows gets follow-up requests, with ids of their own, and the page is full.
    // Responses that take half of the soft deadline leave no time for them: then the page is cut, and says so.
    let rig = start_with(AMPLE_MS, ledger.clone(), 2, INSTALLATION, now);
    let (_, answer) =
        rig.service
            .connect()
            .query_merged("history", "h1", &[0, 1], "all", &json!({"rows": 5}));
    assert_eq!(
        (answer["rows"].as_array().unwrap().len(), &answer["cut"]),
        (5, &Value::Null),
        "{answer}"
    );
    PagedRead::new(&with)
        .check_page(&ledger, &with, FLOOR, 5, &answer)
        .unwrap();
}

#[test]
fn the_demo_shows_pages_and_a_partial_total() {
    // On one site, and with all replicas behind a gateway: the responses are the same.
    let shows = ["1", "2"].map(|sites| {
        let output = std::process::Command::new(EXE)
            .args(["try", "--show", "--sites", sites])
            .output()
            .unwrap();
        let said = String::from_utf8(output.stdout).unwrap();
        assert!(output.status.success(), "{said}");
        let partial = said.split("# the total").nth(1).unwrap();
        assert!(
            partial.contains("\"at-least\"") && partial.contains("\"unanswered\""),
            "{partial}"
        );
        assert_eq!(
            said.matches("\"d000").count(),
            10,
            "two pages of five: {said}"
        );
        let of_rows = |line: &&str| !line.contains("\"next\"") && !line.starts_with("Two sites");
        said.lines()
            .filter(of_rows)
            .map(str::to_owned)
            .collect::<Vec<_>>()
    });
    assert_eq!(shows[0], shows[1]);
}
