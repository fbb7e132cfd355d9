//! `linenthread-ctl`, the operators' client. Exit codes: 0 done; 1 refused or different; 2 the call is wrong; 3
//! nobody answered.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use linenthread_config::Configuration;
use linenthread_ctl::{Client, Reply};
use serde_json::Value;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The operators' client of the search front.
        cmd linenthread-ctl {
            /// Control addresses, comma-separated: HOST:PORT,...; else the variable LINENTHREAD_CONTROL.
            optional --control addresses: String
            /// Answers as JSON.
            optional --json
            /// One line on the system: machines, counted disks, configuration, replicas.
            cmd status {}
            /// The machines that hold sessions.
            cmd members {}
            /// The replicas, by service.
            cmd replicas {
                /// Only those of this service.
                optional --backend name: String
            }
            /// Prints the configuration in force.
            cmd read {}
            /// Judges a file and puts it in force.
            cmd replace {
                required configuration: PathBuf
                /// The revision it builds on; else the one in force.
                optional --base revision: u64
                /// Only judges the file, and tells what would change.
                optional --dry-run
            }
            /// What a file would change; exit 1 if anything.
            cmd diff {
                required configuration: PathBuf
            }
        }
    }
}

struct End(u8, String);

fn bad(e: impl std::fmt::Display) -> End {
    End(2, e.to_string())
}

struct Tool {
    client: Client,
    json: bool,
}

impl Tool {
    fn get(&self, path: &str) -> Result<Reply, End> {
        self.client
            .call("GET", path, &[], &[], 2)
            .map_err(|e| End(3, e.to_string()))
    }

    fn value(&self, path: &str) -> Result<Value, End> {
        let reply = self.get(path)?;
        let value =
            serde_json::from_slice(&reply.body).map_err(|e| End(3, format!("{path}: {e}")))?;
        if reply.status == 200 {
            Ok(value)
        } else {
            Err(End(1, format!("{path}: {} {value}", reply.status)))
        }
    }

    /// The configuration in force, if any was taken.
    fn in_force(&self) -> Result<Option<Vec<u8>>, End> {
        let reply = self.get("/Configuration.Read")?;
        match reply.status {
            200 => Ok(Some(reply.body)),
            404 => Ok(None),
            status => Err(End(3, format!("/Configuration.Read: {status}"))),
        }
    }

    fn status(&self) -> Result<String, End> {
        let (members, replicas) = (self.value("/Members.Read")?, self.value("/Replicas.Read")?);
        let phase = |p: &str| list(&replicas).iter().filter(|r| r["phase"] == p).count();
        let summary = serde_json::json!({
            "hubs": list(&members["hubs"]).len() + 1,
            "counted": list(&members["counted"]).len(),
            "fronts": list(&members["fronts"]).len(),
            "whole": members["whole"],
            "revision": members["revision"],
            "available": phase("available"),
            "draining": phase("draining"),
            "silent": phase("silent"),
        });
        Ok(if self.json {
            summary.to_string()
        } else {
            pairs(&summary)
        })
    }

    fn members(&self) -> Result<String, End> {
        let members = self.value("/Members.Read")?;
        if self.json {
            return Ok(members.to_string());
        }
        let mut text = format!(
            "asked={} zone={}\n",
            word(&members["name"]),
            word(&members["zone"])
        );
        for (kind, all) in [("hub", &members["hubs"]), ("front", &members["fronts"])] {
            list(all)
                .iter()
                .for_each(|m| _ = writeln!(text, "{kind} {}", pairs(m)));
        }
        Ok(text.trim_end().to_owned())
    }

    fn replicas(&self, backend: Option<String>) -> Result<String, End> {
        let all = self.value("/Replicas.Read")?;
        let wanted = |r: &&Value| backend.as_ref().is_none_or(|b| r["backend"] == b.as_str());
        let mut kept: Vec<&Value> = list(&all).iter().filter(wanted).collect();
        kept.sort_by_key(|r| (word(&r["backend"]), word(&r["ident"])));
        if self.json {
            return Ok(Value::from(kept.into_iter().cloned().collect::<Vec<_>>()).to_string());
        }
        Ok(kept.into_iter().map(pairs).collect::<Vec<_>>().join("\n"))
    }

    fn read(&self) -> Result<String, End> {
        let document = self
            .in_force()?
            .ok_or(End(1, "no configuration was taken yet".into()))?;
        Ok(String::from_utf8_lossy(&document).into_owned())
    }

    fn diff(&self, path: &Path) -> Result<(String, bool), End> {
        let new = judged(path)?;
        let old = self.in_force()?;
        let changes = changes(old.as_deref(), &new)?;
        let text = if self.json {
            Value::from(changes.clone()).to_string()
        } else {
            changes.join("\n")
        };
        Ok((text, !changes.is_empty()))
    }

    fn replace(&self, path: &Path, base: Option<u64>, dry_run: bool) -> Result<String, End> {
        let document = judged(path)?;
        if dry_run {
            return Ok(self.diff(path)?.0);
        }
        let in_force = match (base, self.in_force()) {
            (Some(base), _) => base,
            (None, old) => match old? {
                Some(old) => Configuration::decode(&old).map_err(bad)?.revision,
                None => 0,
            },
        };
        let headers = [
            ("X-Base-Revision", in_force.to_string()),
            ("Content-Type", "application/json".into()),
        ];
        let reply = self
            .client
            .call("POST", "/Configuration.Replace", &headers, &document, 5);
        let reply = reply.map_err(|e| End(3, format!("not known whether it is in force: {e}")))?;
        let said = String::from_utf8_lossy(&reply.body).into_owned();
        match reply.status {
            200 => Ok(if self.json {
                said
            } else {
                format!("in force on top of revision {in_force}")
            }),
            412 => Err(End(1, format!("another version is in place: {said}"))),
            status @ 400..500 => Err(End(1, format!("refused with {status}: {said}"))),
            status => Err(End(
                3,
                format!("not known whether it is in force: {status} {said}"),
            )),
        }
    }
}

fn judged(path: &Path) -> Result<Vec<u8>, End> {
    let document = std::fs::read(path).map_err(|e| bad(format!("{}: {e}", path.display())))?;
    Configuration::parse(&document).map_err(|e| bad(format!("{}: {e}", path.display())))?;
    Ok(document)
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn word(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// key=value pairs of an object.
fn pairs(value: &Value) -> String {
    let one = |(k, v): (&String, &Value)| format!("{k}={}", word(v));
    value
        .as_object()
        .map(|o| o.iter().map(one).collect::<Vec<_>>().join(" "))
        .unwrap_or_default()
}

/// What differs, a line each: routes and services by label, the rest by name.
fn changes(old: Option<&[u8]>, new: &[u8]) -> Result<Vec<String>, End> {
    let parse = |b: &[u8]| serde_json::from_slice::<Value>(b).map_err(bad);
    let (old, new) = (old.map_or(Ok(Value::Null), parse)?, parse(new)?);
    let mut lines = Vec::new();
    for kind in ["route_table", "backends"] {
        let find =
            |all: &Value, label: &Value| list(all).iter().find(|r| r["label"] == *label).cloned();
        for entry in list(&new[kind]) {
            match find(&old[kind], &entry["label"]) {
                None => lines.push(format!("+ {kind} {}", word(&entry["label"]))),
                Some(was) if was != *entry => {
                    lines.push(format!(
                        "~ {kind} {}: {was} -> {entry}",
                        word(&entry["label"])
                    ));
                }
                Some(_) => {}
            }
        }
        let gone = list(&old[kind])
            .iter()
            .filter(|e| find(&new[kind], &e["label"]).is_none());
        lines.extend(gone.map(|e| format!("- {kind} {}", word(&e["label"]))));
    }
    for kind in ["revision", "constraints"] {
        if old[kind] != new[kind] {
            lines.push(format!("~ {kind}: {} -> {}", old[kind], new[kind]));
        }
    }
    Ok(lines)
}

fn run(flags: flags::LinenthreadCtl) -> Result<(String, u8), End> {
    let control = flags
        .control
        .or_else(|| std::env::var("LINENTHREAD_CONTROL").ok());
    let control = control.ok_or(bad(
        "neither --control nor LINENTHREAD_CONTROL names an address",
    ))?;
    let address = |t: &str| {
        t.parse::<SocketAddr>()
            .map_err(|_| bad(format!("{t} is no address")))
    };
    let addresses = control.split(',').map(address).collect::<Result<_, _>>()?;
    let client = Client {
        addresses,
        within: Duration::from_secs(3),
    };
    let tool = Tool {
        client,
        json: flags.json,
    };
    match flags.subcommand {
        flags::LinenthreadCtlCmd::Status(_) => tool.status().map(|t| (t, 0)),
        flags::LinenthreadCtlCmd::Members(_) => tool.members().map(|t| (t, 0)),
        flags::LinenthreadCtlCmd::Replicas(r) => tool.replicas(r.backend).map(|t| (t, 0)),
        flags::LinenthreadCtlCmd::Read(_) => tool.read().map(|t| (t, 0)),
        flags::LinenthreadCtlCmd::Diff(d) => tool
            .diff(&d.configuration)
            .map(|(text, differs)| (text, u8::from(differs))),
        flags::LinenthreadCtlCmd::Replace(r) => tool
            .replace(&r.configuration, r.base, r.dry_run)
            .map(|t| (t, 0)),
    }
}

fn main() -> ExitCode {
    let flags = match flags::LinenthreadCtl::from_env() {
        Ok(flags) => flags,
        Err(e) => e.exit(),
    };
    match run(flags) {
        Ok((text, code)) => {
            if !text.is_empty() {
                println!("{text}");
            }
            ExitCode::from(code)
        }
        Err(End(code, cause)) => {
            eprintln!("linenthread-ctl: {cause}");
            ExitCode::from(code)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::changes;

    #[test]
    fn a_difference_names_what_came_went_and_changed() {
        let old =
            br#"{"revision":1,"route_table":[{"label":"a","n":1},{"label":"b"}],"backends":[]}"#;
        let new =
            br#"{"revision":2,"route_table":[{"label":"a","n":2},{"label":"c"}],"backends":[]}"#;
        let lines = changes(Some(old), new).map_err(|e| e.1).unwrap();
        let begin: Vec<&str> = lines.iter().map(|l| l.split(':').next().unwrap()).collect();
        assert_eq!(
            begin,
            [
                "~ route_table a",
                "+ route_table c",
                "- route_table b",
                "~ revision"
            ]
        );
        assert!(changes(Some(new), new).map_err(|e| e.1).unwrap().is_empty());
    }
}
