//! Clients: sessions of several requests on one connection, with pauses, some of which end early.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, serve};
use linenthread_http::{Head, response_framing};
use tokio::io::DuplexStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::fate::Chance;
use crate::judge::{Asked, Judge, Runs};
use crate::network::Network;
use crate::world::{HOST, LIMIT_MS};

const ROOM: usize = 1 << 16;
const LONGEST: usize = 1 << 20;
/// An answer may come so long after its deadline: the front waits that long for a replica's last word.
const SLACK: Duration = Duration::from_millis(60);
/// Nothing is waited for longer.
const FOREVER: Duration = Duration::from_secs(60);

/// So many of a thousand batches are two requests at once, are sent in two pieces, and are not waited for.
const PIPELINED: u64 = 100;
const CUT: u64 = 100;
const IMPATIENT: u64 = 30;

/// What all sessions of a world share.
#[derive(Clone)]
pub struct Shared {
    pub plane: Rc<DataPlane<Network>>,
    pub judge: Rc<RefCell<Judge>>,
    pub runs: Runs,
    pub chance: Chance,
    /// For how long the front has been frozen in all.
    pub frozen: Rc<Cell<Duration>>,
}

/// How a session's request went on.
#[derive(PartialEq, Eq)]
enum Next {
    GoesOn,
    Ends,
}

/// One session.
pub async fn session(shared: Shared, name: String) {
    let (near, far) = tokio::io::duplex(ROOM);
    let peer = std::net::SocketAddr::from(([10, 9, 0, 1], 1));
    spawn_local(serve(far, peer, shared.plane.clone()));
    let mut http = HttpConnection::new(near);
    let batches = 2 + shared.chance.below(5);
    for number in 0..batches {
        let count = if shared.chance.per_mille(PIPELINED) {
            2
        } else {
            1
        };
        let batch: Vec<Asked> = (0..count)
            .map(|n| draw(&shared.chance, &format!("{name}-{number}-{n}")))
            .collect();
        if ask(&shared, &mut http, &batch).await == Next::Ends {
            return;
        }
        tokio::time::sleep(shared.chance.ms(0, 150)).await;
    }
    // Nothing more may come.
    if timeout(Duration::from_millis(500), http.wait_for_data(FOREVER))
        .await
        .is_ok()
    {
        let last = Asked {
            attempt: name,
            path: String::new(),
            repeatable: true,
            gathers: false,
        };
        shared
            .judge
            .borrow_mut()
            .unanswered(&last, "something came that nobody asked for");
    }
}

fn draw(chance: &Chance, attempt: &str) -> Asked {
    let (prefix, repeatable, gathers) = match chance.below(4) {
        0 | 1 => ("/once/", false, false),
        2 => ("/one/", true, false),
        _ => ("/all/", true, true),
    };
    Asked {
        attempt: attempt.to_owned(),
        path: format!("{prefix}{}", chance.below(50)),
        repeatable,
        gathers,
    }
}

/// Some requests at once, and their answers in the same order if the client waits for them.
async fn ask(shared: &Shared, http: &mut HttpConnection<DuplexStream>, batch: &[Asked]) -> Next {
    let chance = &shared.chance;
    let limit = if chance.per_mille(700) {
        LIMIT_MS
    } else {
        50 + chance.below(LIMIT_MS)
    };
    for asked in batch {
        shared.judge.borrow_mut().ask(asked);
        shared.runs.log(&["asked", &asked.attempt, &asked.path]);
    }
    send(
        chance,
        http,
        batch.iter().flat_map(|asked| bytes(asked, limit)).collect(),
    )
    .await;
    for asked in batch {
        if receive(shared, http, asked, limit).await == Next::Ends {
            return Next::Ends;
        }
    }
    Next::GoesOn
}

/// Writes it, in two pieces at times.
async fn send(chance: &Chance, http: &mut HttpConnection<DuplexStream>, bytes: Vec<u8>) {
    let by = Instant::now() + FOREVER;
    let cut = if chance.per_mille(CUT) {
        chance.below(bytes.len() as u64) as usize
    } else {
        0
    };
    if cut > 0 {
        let _ = http.write(&bytes[..cut], by).await;
        tokio::time::sleep(chance.ms(0, 50)).await;
    }
    let _ = http.write(&bytes[cut..], by).await;
}

/// One answer. A request's time begins when it has been sent, and the one before it is answered.
async fn receive(
    shared: &Shared,
    http: &mut HttpConnection<DuplexStream>,
    asked: &Asked,
    limit: u64,
) -> Next {
    let chance = &shared.chance;
    let (began, frozen) = (Instant::now(), shared.frozen.get());
    let patience = if chance.per_mille(IMPATIENT) {
        chance.ms(1, 200)
    } else {
        FOREVER
    };
    let Ok(answer) = timeout(patience, answer(http)).await else {
        return leave(shared, asked, patience);
    };
    let Some((head, body)) = answer else {
        shared
            .judge
            .borrow_mut()
            .unanswered(asked, "the connection ended");
        return Next::Ends;
    };
    let allowed = Duration::from_millis(limit) + SLACK + shared.frozen.get().saturating_sub(frozen);
    let late = began.elapsed().saturating_sub(allowed);
    let status = head.status().to_string();
    shared.runs.log(&[
        "answered",
        &asked.attempt,
        &status,
        head.header("x-replica-seal").unwrap_or(""),
    ]);
    shared
        .judge
        .borrow_mut()
        .answered(asked, &head, &body, late, &shared.runs);
    if head.keeps_alive() {
        Next::GoesOn
    } else {
        Next::Ends
    }
}

/// The client has gone, or has waited in vain.
fn leave(shared: &Shared, asked: &Asked, patience: Duration) -> Next {
    let mut judge = shared.judge.borrow_mut();
    if patience == FOREVER {
        judge.unanswered(asked, "silence");
    } else {
        judge.counts.left += 1;
    }
    Next::Ends
}

fn bytes(asked: &Asked, limit: u64) -> Vec<u8> {
    let Asked {
        attempt,
        path,
        repeatable,
        ..
    } = asked;
    let (method, body) = if *repeatable {
        ("GET", String::new())
    } else {
        ("POST", format!("order {attempt}"))
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Remaining-Ms: {limit}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

async fn answer(http: &mut HttpConnection<DuplexStream>) -> Option<(Head, Vec<u8>)> {
    let by = Instant::now() + FOREVER;
    let head = http.read_response_head(LONGEST, by).await.ok()?;
    let framing = response_framing(&head, false).ok()?;
    let body = http
        .read_body(framing, LONGEST, FOREVER, Some(by))
        .await
        .ok()?;
    Some((head, body))
}
