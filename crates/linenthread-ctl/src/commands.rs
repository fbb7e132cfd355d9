//! The commands: each calls the control API and returns the text to print.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use linenthread_config::Configuration;
use linenthread_ctl::{
    Change, Client, MembersStatus, ReplicaStatus, Request, Response, Summary, configuration_changes,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{
    CompareSnafu, EncodeSnafu, Error, InvalidAddressSnafu, InvalidConfigurationSnafu,
    InvalidCurrentConfigurationSnafu, NoConfigurationSnafu, NoControlAddressSnafu,
    NoResponseToReplaceSnafu, ReadFileSnafu, RequestSnafu, UnexpectedStatusSnafu,
    UnreadableResponseSnafu,
};
use crate::flags::{LinenthreadCtl, LinenthreadCtlCmd};

const CONTROL_VARIABLE: &str = "LINENTHREAD_CONTROL";
/// How long one control node may take to respond.
const TIMEOUT: Duration = Duration::from_secs(3);
/// How often the list of control nodes is gone through for a read.
const READ_ROUNDS: usize = 2;
/// As for a read; a replacement is worth more patience, since operators can't tell what became of one without a
/// response.
const REPLACE_ROUNDS: usize = 5;

const MEMBERS_PATH: &str = "/Members.Read";
const REPLICAS_PATH: &str = "/Replicas.Read";
const READ_PATH: &str = "/Configuration.Read";
const REPLACE_PATH: &str = "/Configuration.Replace";

/// What a command prints, and the exit code.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) exit_code: u8,
}

impl From<String> for Output {
    fn from(text: String) -> Output {
        Output { text, exit_code: 0 }
    }
}

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

    fn replicas(&self, backend: Option<&str>) -> Result<String, Error> {
        let mut replicas: Vec<ReplicaStatus> = self.get(REPLICAS_PATH)?;
        replicas.retain(|replica| backend.is_none_or(|backend| replica.backend == backend));
        replicas.sort_by(|a, b| (&a.backend, &a.id).cmp(&(&b.backend, &b.id)));
        self.format(&replicas, |replicas| lines(replicas))
    }

    fn read(&self) -> Result<String, Error> {
        let document = self.current()?.context(NoConfigurationSnafu)?;
        Ok(String::from_utf8_lossy(&document).into_owned())
    }

    /// Exit code 1 if the file would change anything.
    fn diff(&self, path: &Path) -> Result<Output, Error> {
        let new = read_configuration(path)?;
        let old = self.current()?;
        let changes = configuration_changes(old.as_deref(), &new).context(CompareSnafu)?;
        let texts: Vec<String> = changes.iter().map(Change::to_string).collect();
        Ok(Output {
            text: self.format(&texts, |texts| lines(texts))?,
            exit_code: u8::from(!changes.is_empty()),
        })
    }

    fn replace(&self, path: &Path, base: Option<u64>) -> Result<String, Error> {
        let document = read_configuration(path)?;
        let base = match base {
            Some(base) => base,
            None => self.current_revision()?,
        };
        let headers = [
            ("X-Base-Revision", base.to_string()),
            ("Content-Type", "application/json".into()),
        ];
        let request = Request {
            method: "POST",
            path: REPLACE_PATH,
            headers: &headers,
            body: &document,
        };
        let response = self
            .client
            .send(&request, REPLACE_ROUNDS)
            .context(NoResponseToReplaceSnafu)?;
        let (status, message) = (response.status, text(&response));
        match status {
            200 if self.json => Ok(message),
            200 => Ok(format!("in force, replaces revision {base}")),
            412 => Err(Error::RevisionConflict { message }),
            400..500 => Err(Error::Rejected { status, message }),
            _ => Err(Error::UnknownOutcome { status, message }),
        }
    }

    fn get<T: DeserializeOwned>(&self, path: &'static str) -> Result<T, Error> {
        let response = self.send_get(path)?;
        ensure!(
            response.status == 200,
            UnexpectedStatusSnafu {
                path,
                status: response.status,
                message: text(&response),
            }
        );
        serde_json::from_slice(&response.body).context(UnreadableResponseSnafu { path })
    }

    /// The configuration in force, if there is one.
    fn current(&self) -> Result<Option<Vec<u8>>, Error> {
        let path = READ_PATH;
        let response = self.send_get(path)?;
        match response.status {
            200 => Ok(Some(response.body)),
            404 => Ok(None),
            status => Err(Error::Unavailable { path, status }),
        }
    }

    /// Revision of the configuration in force; 0 for none.
    fn current_revision(&self) -> Result<u64, Error> {
        let Some(document) = self.current()? else {
            return Ok(0);
        };
        let current = Configuration::decode(&document).context(InvalidCurrentConfigurationSnafu)?;
        Ok(current.revision)
    }

    fn send_get(&self, path: &str) -> Result<Response, Error> {
        self.client
            .send(&Request::get(path), READ_ROUNDS)
            .context(RequestSnafu)
    }

    /// JSON if the flag asks for it, else what `human_readable` makes of the value.
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

/// The content of a file that is a valid configuration.
fn read_configuration(path: &Path) -> Result<Vec<u8>, Error> {
    let document = std::fs::read(path).context(ReadFileSnafu { path })?;
    Configuration::parse(&document).context(InvalidConfigurationSnafu { path })?;
    Ok(document)
}

fn text(response: &Response) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}

fn lines<T: ToString>(items: &[T]) -> String {
    let lines: Vec<String> = items.iter().map(T::to_string).collect();
    lines.join("\n")
}
