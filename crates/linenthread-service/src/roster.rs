//! Watches the roster, and tells the desk what it says or that it says nothing.

use std::net::SocketAddr;
use std::time::Duration;

use linenthread_protocol::membership::{self, MembershipList};
use tokio::sync::watch::Receiver;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::desk::Desk;

/// How long the roster is asked to hold a watch: the longest that it allows, since a watch that it holds is
/// answered as soon as there is news, and one that ends has to be asked for anew.
const HOLD: Duration = Duration::from_secs(60);
/// How much longer an answer may take before it counts as failed.
const SLACK: Duration = Duration::from_secs(2);

/// Follows the roster for as long as the program runs, wherever it is said to be found. A new address gives
/// up at once what is asked at the old one, and starts there with the whole list: revisions of two rosters
/// can't be compared. The last list is kept meanwhile.
pub(crate) async fn watch(
    desk: Desk,
    mut address: Receiver<SocketAddr>,
    cells: usize,
    ask_first: bool,
) {
    if !ask_first {
        desk.roster_wanted().await;
    }
    loop {
        let at = *address.borrow_and_update();
        tokio::select! {
            () = follow(&desk, at, cells) => {}
            Ok(()) = address.changed() => info!(roster = %*address.borrow(), "the roster has moved"),
        }
    }
}

/// Asks for the whole list, then watches for changes. After a failure, and where the roster is only to be
/// watched on request, the module says when to ask.
async fn follow(desk: &Desk, address: SocketAddr, cells: usize) {
    let connector = awc::Connector::new().timeout(SLACK).limit(2);
    let client = awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish();
    let mut revision = None;
    let mut failing = false;
    loop {
        let (path, wait) = match revision {
            None => (membership::LIST_PATH.to_owned(), SLACK),
            Some(revision) => (
                membership::watch_path(revision, HOLD.as_millis() as u64),
                HOLD + SLACK,
            ),
        };
        let url = format!("http://{address}{path}");
        match timeout(wait, ask(&client, &url, cells))
            .await
            .unwrap_or_else(|_| Err("no answer in time".into()))
        {
            Ok(list) => {
                if list.complete || !list.replicas.is_empty() || failing {
                    info!(
                        revision = list.revision,
                        whole = list.complete,
                        entries = list.replicas.len(),
                        "roster told"
                    );
                }
                failing = false;
                revision = Some(list.revision);
                desk.roster(Some(&list));
            }
            Err(cause) => {
                if !failing {
                    warn!("roster failed, the last list is kept: {cause}");
                }
                failing = true;
                desk.roster(None);
                desk.roster_wanted().await;
            }
        }
    }
}

async fn ask(client: &awc::Client, url: &str, cells: usize) -> Result<MembershipList, String> {
    let mut response = client.get(url).send().await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status().as_u16()));
    }
    let body = response
        .body()
        .limit(membership::MAX_BYTES)
        .await
        .map_err(|e| e.to_string())?;
    membership::decode(&body, cells).map_err(|e| e.to_string())
}
