//! The programs of the demo: their files, and the stub replicas and stub service discovery that they use.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use linenthread_fakes::row_store::{INSTALLATION, RowStore};
use linenthread_fakes::{
    Behavior, Class, RowReplicas, ServiceDiscovery, SubRequest, config_of, member, membership,
};
use oorandom::Rand64;
use serde_json::Value;
use snafu::ResultExt;

use super::error::{DemoError, DirectorySnafu, FreePortSnafu, WriteSnafu};
use super::{LATE_SHARD, REPLICA_GROUPS, SHARDS, Scenario};
use crate::config::Config;
use crate::installation::InstallationSettings;
use crate::serve::{self, ReloadedFiles};

/// Delay of the late response, beyond the query's deadline.
const LATE_DELAY: Duration = Duration::from_secs(3);

/// The files of one program, read as `serve` reads them.
pub(super) struct Prepared {
    /// Removes the files when it is dropped.
    _directory: tempfile::TempDir,
    file: PathBuf,
    installation_file: PathBuf,
    config: Config,
    settings: InstallationSettings,
}

/// Writes a program's files and reads them.
fn prepare(config: &Value, installation: &str, seed: u64) -> Result<Prepared, DemoError> {
    let directory = tempfile::tempdir().context(DirectorySnafu)?;
    let put = |name: &str, text: &str| {
        let file = directory.path().join(name);
        std::fs::write(&file, text).context(WriteSnafu { file: &file })?;
        Ok::<_, DemoError>(file)
    };
    for key in ["marks.key", "link.key"] {
        put(key, &format!("only for a first try {seed:016x}"))?;
    }
    let installation_file = put("installation.xml", installation)?;
    let file = put("config.json", &config.to_string())?;
    let config = Config::read(&file)?;
    let settings = InstallationSettings::read(&installation_file, &config)?;
    Ok(Prepared {
        _directory: directory,
        file,
        installation_file,
        config,
        settings,
    })
}

/// Runs one program; `ready` is told where it listens.
pub(super) async fn serve_one(
    prepared: Prepared,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), DemoError> {
    let Prepared {
        _directory,
        file,
        installation_file,
        config,
        settings,
    } = prepared;
    let files = ReloadedFiles {
        config: &file,
        installation: Some(&installation_file),
    };
    Ok(serve::serve(config, settings, files, ready).await?)
}

/// Starts stub replicas and gives the endpoint list that names them.
fn start_replicas(seed: u64) -> String {
    let response = |sub_request: &SubRequest| match (sub_request.shard, sub_request.text.as_str()) {
        (LATE_SHARD, "pledges") => (LATE_DELAY, Behavior::Respond),
        _ => (Duration::from_millis(5), Behavior::Respond),
    };
    let rows = RowStore::new(&mut Rand64::new(u128::from(seed)), SHARDS, 9);
    let replicas = RowReplicas::start(REPLICA_GROUPS, rows, 50, response);
    let addresses = replicas.addresses.iter().enumerate();
    let entries = addresses.map(|(replica, address)| member(replica, *address, "active"));
    membership(1, true, entries.collect())
}

/// Starts stub service discovery for an endpoint list and gives a configuration that uses it.
fn configuration(endpoints: &str) -> Value {
    let class = |name| Class {
        name,
        non_idempotent: false,
        soft_deadline: Duration::from_secs(1),
        floor: 0.5,
    };
    let classes = ["history", "pledges", "charities"].map(class);
    let discovery = ServiceDiscovery::start(endpoints.to_owned());
    let config = config_of(
        discovery.address,
        endpoints,
        &classes,
        REPLICA_GROUPS,
        SHARDS,
    );
    // Its thread must answer until the program ends.
    std::mem::forget(discovery);
    config
}

/// The programs to run.
pub(super) struct Programs {
    /// The one that is queried.
    pub(super) queried: Prepared,
    /// With two sites, the one through which it reaches all replicas.
    pub(super) gateway: Option<Prepared>,
}

impl Programs {
    /// Starts what the programs need, and writes their files.
    pub(super) fn prepare(seed: u64, scenario: Scenario) -> Result<Programs, DemoError> {
        let with_replicas = configuration(&start_replicas(seed));
        if scenario != Scenario::TwoSites {
            return Ok(Programs {
                queried: prepare(&with_replicas, INSTALLATION, seed)?,
                gateway: None,
            });
        }
        let address = TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .context(FreePortSnafu)?;
        let gateway = format!(
            "<installation version=\"1\"><gateway listen=\"{address}\" secret=\"link.key\" cold-share=\"500\"/></installation>"
        );
        let peers = format!(
            "<peers><peer name=\"messina\" address=\"{address}\" secret=\"link.key\"/></peers></installation>"
        );
        let with_peer = INSTALLATION.replace("</installation>", &peers);
        let without_replicas = configuration(&membership(1, true, Vec::new()));
        Ok(Programs {
            queried: prepare(&without_replicas, &with_peer, seed)?,
            gateway: Some(prepare(&with_replicas, &gateway, seed)?),
        })
    }
}
