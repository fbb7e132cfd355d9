//! The commands. Each calls the control API and returns the text to print.

use std::net::{AddrParseError, SocketAddr};
use std::path::Path;
use std::time::Duration;

use linenthread_config::Configuration;
use linenthread_ctl::control_api::{
    BASE_REVISION_HEADER, DUTIES_PATH, MEMBERS_PATH, NOT_FOUND, OK, PRECONDITION_FAILED,
    READ_CONFIGURATION_PATH, REPLACE_CONFIGURATION_PATH, REPLICAS_PATH,
};
use linenthread_ctl::{
    Change, Client, DutiesStatus, DutyReport, MembersStatus, ReplicaStatus, Request, Response,
    Summary, UnreachableNode, configuration_changes, control_node_addresses,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{
    CompareSnafu, EncodeSnafu, Error, InvalidAddressSnafu, InvalidConfigurationSnafu,
    InvalidCurrentConfigurationSnafu, NoConfigurationSnafu, NoControlAddressSnafu, NoDutiesSnafu,
    ReadFileSnafu, UnavailableSnafu, UnexpectedStatusSnafu, UnreadableResponseSnafu,
};
use crate::flags::{LinenthreadCtl, LinenthreadCtlCmd};

/// The environment variable for the addresses of the control nodes.
const CONTROL_VARIABLE: &str = "LINENTHREAD_CONTROL";
/// Timeout of a request to one control node.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Number of times that all control nodes are tried for a read.
const READ_ROUNDS: usize = 2;
/// Number of times that all control nodes are tried for a replacement. It is higher than for a read, since operators
/// can't know the outcome of a replacement without a response; sending it again is harmless.
const REPLACE_ROUNDS: usize = 5;

/// The output of a command, and the exit code if printing succeeds.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) exit_code: u8,
}

/// Converts the text of a successful command.
impl From<String> for Output {
    fn from(text: String) -> Output {
        Output { text, exit_code: 0 }
    }
}

/// Executes the command given on the command line.
pub(crate) fn run(flags: LinenthreadCtl) -> Result<Output, Error> {
    let commands = Commands {
        client: Client {
            addresses: control_addresses(flags.control)?,
            timeout: TIMEOUT,
        },
        json: flags.json,
    };
    match flags.subcommand {
        LinenthreadCtlCmd::Status(_) => commands.status().map(Output::from),
        LinenthreadCtlCmd::Members(_) => commands.members().map(Output::from),
        LinenthreadCtlCmd::Duties(_) => commands.duties().map(Output::from),
        LinenthreadCtlCmd::Replicas(command) => {
            let backend = command.backend.as_deref();
            commands.replicas(backend).map(Output::from)
        }
        LinenthreadCtlCmd::Read(_) => commands.read().map(Output::from),
        LinenthreadCtlCmd::Diff(command) => commands.diff(&command.configuration),
        LinenthreadCtlCmd::Replace(command) if command.dry_run => {
            let difference = commands.diff(&command.configuration)?;
            Ok(Output::from(difference.text))
        }
        LinenthreadCtlCmd::Replace(command) => commands
            .replace(&command.configuration, command.base)
            .map(Output::from),
    }
}

fn control_addresses(flag: Option<String>) -> Result<Vec<SocketAddr>, Error> {
    flag.or_else(|| std::env::var(CONTROL_VARIABLE).ok())
        .context(NoControlAddressSnafu)?
        .split(',')
        .map(|text| text.parse().context(InvalidAddressSnafu { text }))
        .collect()
}

/// The commands, with the global flags.
struct Commands {
    client: Client,
    json: bool,
}

impl Commands {
    fn status(&self) -> Result<String, Error> {
        let members: MembersStatus = self.get(MEMBERS_PATH)?;
        let replicas: Vec<ReplicaStatus> = self.get(REPLICAS_PATH)?;
        let summary = Summary::new(&members, &replicas);
        self.format(&summary, Summary::to_string)
    }

    fn members(&self) -> Result<String, Error> {
        let members: MembersStatus = self.get(MEMBERS_PATH)?;
        self.format(&members, MembersStatus::to_string)
    }

    fn duties(&self) -> Result<String, Error> {
        let members: MembersStatus = self.get(MEMBERS_PATH)?;
        let (mut reports, mut unreachable) = (Vec::new(), Vec::new());
        let addresses = control_node_addresses(&self.client.addresses, &members);
        let address_count = addresses.len();
        for address in addresses {
            match self.duty_reports(&address) {
                Ok(node_reports) => reports.extend(node_reports),
                Err(reason) => unreachable.push(UnreachableNode {
                    name: members.name_of(&address).map(str::to_owned),
                    address,
                    reason,
                }),
            }
        }
        let no_response = unreachable.len() == address_count;
        let status = DutiesStatus::new(&reports, unreachable);
        ensure!(!no_response, NoDutiesSnafu { status });
        self.format(&status, DutiesStatus::to_string)
    }

    /// Returns the duties that one control node reports, or the reason why it could not be queried.
    fn duty_reports(&self, address: &str) -> Result<Vec<DutyReport>, String> {
        let address = address
            .parse()
            .map_err(|error: AddrParseError| error.to_string())?;
        let response = self
            .client
            .send_to_one(address, &Request::get(DUTIES_PATH))
            .map_err(|reason| reason.to_string())?;
        serde_json::from_slice(&response.body).map_err(|error| error.to_string())
    }

    fn replicas(&self, backend: Option<&str>) -> Result<String, Error> {
        let mut replicas: Vec<ReplicaStatus> = self.get(REPLICAS_PATH)?;
        replicas.retain(|replica| backend.is_none_or(|backend| replica.backend == backend));
        replicas.sort_by(|a, b| (&a.backend, &a.id).cmp(&(&b.backend, &b.id)));
        self.format(&replicas, |replicas| join_lines(replicas))
    }

    fn read(&self) -> Result<String, Error> {
        let document = self
            .current_configuration()?
            .context(NoConfigurationSnafu)?;
        Ok(String::from_utf8_lossy(&document).into_owned())
    }

    /// Returns the changes that a file would make; the exit code is 1 if there are any.
    fn diff(&self, path: &Path) -> Result<Output, Error> {
        let new = read_configuration(path)?;
        let old = self.current_configuration()?;
        let changes = configuration_changes(old.as_deref(), &new).context(CompareSnafu)?;
        let texts: Vec<String> = changes.iter().map(Change::to_string).collect();
        Ok(Output {
            text: self.format(&texts, |texts| join_lines(texts))?,
            exit_code: u8::from(!changes.is_empty()),
        })
    }

    fn replace(&self, path: &Path, base: Option<u64>) -> Result<String, Error> {
        let document = read_configuration(path)?;
        let base = match base {
            Some(base) => base,
            None => self.current_revision()?,
        };
        let response = self.send_replacement(base, &document)?;
        let (status, message) = (response.status, response.body_text());
        match status {
            OK if self.json => Ok(message),
            OK => Ok(format!("in force, replaces revision {base}")),
            PRECONDITION_FAILED => Err(self.conflict(&document, message)),
            _ => Err(Error::Rejected { status, message }),
        }
    }

    /// Returns the error for a replacement whose base is not the revision in force. A control node accepts a document
    /// that it has already committed on the same base, so if the revision in force has the file's number, its content
    /// or its base differs.
    fn conflict(&self, document: &[u8], message: String) -> Error {
        let sent = Configuration::decode(document).map(|sent| sent.revision);
        match (sent, self.current_revision()) {
            (Ok(revision), Ok(current)) if revision == current => {
                Error::RevisionNotRaised { revision }
            }
            _ => Error::RevisionConflict { message },
        }
    }

    fn send_replacement(&self, base: u64, document: &[u8]) -> Result<Response, Error> {
        let headers = [
            (BASE_REVISION_HEADER, base.to_string()),
            ("Content-Type", "application/json".into()),
        ];
        let request = Request {
            method: "POST",
            path: REPLACE_CONFIGURATION_PATH,
            headers: &headers,
            body: document,
        };
        self.client
            .send(&request, REPLACE_ROUNDS)
            .map_err(Error::replacement_failed)
    }

    /// Reads and decodes a control node's report.
    fn get<T: DeserializeOwned>(&self, path: &'static str) -> Result<T, Error> {
        let response = self.send_get(path)?;
        ensure!(
            response.status == OK,
            UnexpectedStatusSnafu {
                path,
                status: response.status,
                message: response.body_text(),
            }
        );
        serde_json::from_slice(&response.body).context(UnreadableResponseSnafu { path })
    }

    /// Returns the configuration in force, if there is one.
    fn current_configuration(&self) -> Result<Option<Vec<u8>>, Error> {
        let path = READ_CONFIGURATION_PATH;
        let response = self.send_get(path)?;
        match response.status {
            OK => Ok(Some(response.body)),
            NOT_FOUND => Ok(None),
            status => Err(Error::UnexpectedStatus {
                path,
                status,
                message: response.body_text(),
            }),
        }
    }

    /// Returns the revision of the configuration in force, or 0 if there is none.
    fn current_revision(&self) -> Result<u64, Error> {
        let Some(document) = self.current_configuration()? else {
            return Ok(0);
        };
        let current = Configuration::decode(&document).context(InvalidCurrentConfigurationSnafu)?;
        Ok(current.revision)
    }

    fn send_get(&self, path: &'static str) -> Result<Response, Error> {
        self.client
            .send(&Request::get(path), READ_ROUNDS)
            .context(UnavailableSnafu { path })
    }

    /// Encodes a value as JSON if the `--json` flag is set, else formats it with `human_readable`.
    fn format<T: Serialize>(
        &self,
        value: &T,
        human_readable: impl FnOnce(&T) -> String,
    ) -> Result<String, Error> {
        if self.json {
            serde_json::to_string(value).context(EncodeSnafu)
        } else {
            Ok(human_readable(value))
        }
    }
}

/// Reads and validates a configuration file; returns its content.
fn read_configuration(path: &Path) -> Result<Vec<u8>, Error> {
    let document = std::fs::read(path).context(ReadFileSnafu { path })?;
    Configuration::parse(&document).context(InvalidConfigurationSnafu { path })?;
    Ok(document)
}

fn join_lines<T: ToString>(items: &[T]) -> String {
    let lines: Vec<String> = items.iter().map(T::to_string).collect();
    lines.join("\n")
}
