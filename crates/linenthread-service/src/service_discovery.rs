//! Watches the list of replicas at service discovery and passes each update or failure to the coordinator driver.

use std::net::SocketAddr;
use std::time::Duration;

use linenthread_protocol::membership::{self, MembershipError, MembershipList};
use snafu::{ResultExt, Snafu, ensure};
use tokio::sync::watch::Receiver;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::coordinator_driver::CoordinatorDriver;

/// The longest time for which service discovery may hold a watch request open, in milliseconds. This is the maximum
/// that it permits: it responds to an open watch as soon as there is an update, and a watch that ends costs a new
/// request.
const WATCH_TIMEOUT_MS: u64 = 60_000;
/// Time limit for a response. A watch request has this time in addition to [`WATCH_TIMEOUT_MS`].
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why the list could not be fetched, as written to the log.
#[derive(Debug, Snafu)]
enum FetchError {
    #[snafu(display("no response in time"))]
    Timeout,
    #[snafu(display("{source}"))]
    Request {
        source: awc::error::SendRequestError,
    },
    #[snafu(display("status {status}"))]
    Status { status: u16 },
    #[snafu(display("{source}"))]
    Body { source: awc::error::PayloadError },
    #[snafu(display("{source}"))]
    Decode { source: MembershipError },
}

/// When the list is requested for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FirstFetch {
    Immediately,
    /// When the coordinator requests it.
    OnRequest,
}

/// Watches service discovery for as long as the program runs. When the configured address changes, aborts the request
/// to the old address and fetches the complete list from the new one, as revisions of two services cannot be compared.
/// The last list stays in use meanwhile.
pub(crate) async fn watch(
    driver: CoordinatorDriver,
    mut address: Receiver<SocketAddr>,
    replica_groups: usize,
    first_fetch: FirstFetch,
) {
    if first_fetch == FirstFetch::OnRequest {
        driver.membership_requested().await;
    }
    loop {
        let current = *address.borrow_and_update();
        tokio::select! {
            () = watch_address(&driver, current, replica_groups) => {}
            Ok(()) = address.changed() => info!(discovery = %*address.borrow(), "service discovery moved"),
        }
    }
}

/// Requests the complete list, then watches for changes. After a failure, waits until the coordinator requests the list
/// again.
async fn watch_address(driver: &CoordinatorDriver, address: SocketAddr, replica_groups: usize) {
    let connector = awc::Connector::new().timeout(RESPONSE_TIMEOUT).limit(2);
    let client = awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish();
    let mut revision = None;
    let mut failing = false;
    loop {
        match fetch(&client, address, revision, replica_groups).await {
            Ok(list) => {
                if list.complete || !list.replicas.is_empty() || failing {
                    info!(
                        revision = list.revision,
                        complete = list.complete,
                        entries = list.replicas.len(),
                        "membership list received"
                    );
                }
                failing = false;
                revision = Some(list.revision);
                driver.on_membership(Some(&list));
            }
            Err(cause) => {
                if !failing {
                    warn!("service discovery failed, keeping the last membership list: {cause}");
                }
                failing = true;
                driver.on_membership(None);
                driver.membership_requested().await;
            }
        }
    }
}

/// Requests the complete list, or, if a revision is given, waits for the changes since that revision.
async fn fetch(
    client: &awc::Client,
    address: SocketAddr,
    revision: Option<u64>,
    replica_groups: usize,
) -> Result<MembershipList, FetchError> {
    let (path, wait) = match revision {
        None => (membership::LIST_PATH.to_owned(), RESPONSE_TIMEOUT),
        Some(revision) => {
            let path = membership::watch_path(revision, WATCH_TIMEOUT_MS);
            let watch_timeout = Duration::from_millis(WATCH_TIMEOUT_MS);
            (path, watch_timeout + RESPONSE_TIMEOUT)
        }
    };
    let url = format!("http://{address}{path}");
    match timeout(wait, get(client, &url, replica_groups)).await {
        Ok(fetched) => fetched,
        Err(_) => TimeoutSnafu.fail(),
    }
}

async fn get(
    client: &awc::Client,
    url: &str,
    replica_groups: usize,
) -> Result<MembershipList, FetchError> {
    let mut response = client.get(url).send().await.context(RequestSnafu)?;
    let status = response.status();
    ensure!(
        status.is_success(),
        StatusSnafu {
            status: status.as_u16()
        }
    );
    let body = response
        .body()
        .limit(membership::MAX_BYTES)
        .await
        .context(BodySnafu)?;
    membership::decode(&body, replica_groups).context(DecodeSnafu)
}
