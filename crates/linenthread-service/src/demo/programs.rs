//! The programs of the demo: writes their files, and starts the stub replicas and stub service discovery that they use.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use linenthread_fakes::row_store::{INSTALLATION, RowStore};
use linenthread_fakes::{
    Behavior, IndexSettings, RowReplicas, ScriptedBehavior, ServiceDiscovery, SubRequest,
    config_with_indexes, member, membership,
};
use oorandom::Rand64;
use serde_json::Value;
use snafu::ResultExt;

use super::error::{DemoError, DirectorySnafu, FreePortSnafu, WriteSnafu};
use super::{LATE_SHARD, REPLICA_GROUPS, SHARDS, Scenario};
use crate::config::Config;
use crate::installation::InstallationSettings;
use crate::serve::{self, ReloadedFiles};

/// Delay of all responses but the late one.
const NORMAL_DELAY: Duration = Duration::from_millis(5);
/// Delay of the late response: longer than the soft deadline of the indexes.
const LATE_DELAY: Duration = Duration::from_secs(3);

/// The files of one program and their parsed contents.
pub(super) struct PreparedProgram {
    /// Deletes the files when it is dropped.
    _directory: tempfile::TempDir,
    file: PathBuf,
    installation_file: PathBuf,
    config: Config,
    settings: InstallationSettings,
}

/// Writes a program's files, and reads them as `serve` does.
fn prepare(config: &Value, installation: &str, seed: u64) -> Result<PreparedProgram, DemoError> {
    let directory = tempfile::tempdir().context(DirectorySnafu)?;
    let write_file = |name: &str, text: &str| {
        let file = directory.path().join(name);
        std::fs::write(&file, text).context(WriteSnafu { file: &file })?;
        Ok::<_, DemoError>(file)
    };
    for key in ["marks.key", "link.key"] {
        write_file(key, &format!("only for a first try {seed:016x}"))?;
    }
    let installation_file = write_file("installation.xml", installation)?;
    let file = write_file("config.json", &config.to_string())?;
    let config = Config::read(&file)?;
    let settings = InstallationSettings::read(&installation_file, &config)?;
    Ok(PreparedProgram {
        _directory: directory,
        file,
        installation_file,
        config,
        settings,
    })
}

/// Runs one program; calls `ready` with the address on which it listens.
pub(super) async fn serve_program(
    prepared: PreparedProgram,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), DemoError> {
    let PreparedProgram {
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

/// Starts stub replicas and returns the membership list that contains them.
fn start_replicas(seed: u64) -> String {
    let treatment = |sub_request: &SubRequest| {
        let is_late = sub_request.shard == LATE_SHARD && sub_request.text == "pledges";
        ScriptedBehavior {
            delay: if is_late { LATE_DELAY } else { NORMAL_DELAY },
            behavior: Behavior::Respond,
        }
    };
    let rows = RowStore::new(&mut Rand64::new(u128::from(seed)), SHARDS, 9);
    let replicas = RowReplicas::start(REPLICA_GROUPS, rows, 50, treatment);
    let addresses = replicas.addresses.iter().enumerate();
    let entries = addresses.map(|(replica, address)| member(replica, *address, "active"));
    membership(1, true, entries.collect())
}

/// Starts stub service discovery that serves a membership list, and returns a configuration that uses it.
fn configuration(known_members: &str) -> Value {
    let index = |name| IndexSettings {
        name,
        non_idempotent: false,
        soft_deadline: Duration::from_secs(1),
        floor: 0.5,
    };
    let indexes = ["history", "pledges", "charities"].map(index);
    let discovery = ServiceDiscovery::start(known_members.to_owned());
    let config = config_with_indexes(
        discovery.address,
        known_members,
        &indexes,
        REPLICA_GROUPS,
        SHARDS,
    );
    // Its thread must serve requests until the process ends.
    std::mem::forget(discovery);
    config
}

/// The programs to run.
pub(super) struct Programs {
    /// The program that the demo queries.
    pub(super) queried: PreparedProgram,
    /// With two sites, the gateway through which the queried program reaches all replicas.
    pub(super) gateway: Option<PreparedProgram>,
}

impl Programs {
    /// Starts the stub replicas and stub service discovery, and writes the programs' files.
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
