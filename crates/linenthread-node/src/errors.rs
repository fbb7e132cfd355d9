use snafu::Snafu;

/// What ends the program, or a connection: the step and the peer at which it arose.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("neither --settings nor LINENTHREAD_BOOT names the settings file"))]
    NoSettings,
    #[snafu(display("{file}: {source}"))]
    Configuration {
        file: String,
        source: linenthread_config::ConfigurationError,
    },
    #[snafu(display("{file}: {source}"))]
    Settings {
        file: String,
        source: linenthread_config::SettingsError,
    },
    #[snafu(display("{step} {peer}: {source}"))]
    Step {
        step: &'static str,
        peer: String,
        source: std::io::Error,
    },
    #[snafu(display("{step} {peer}: {cause}"))]
    Message {
        step: &'static str,
        peer: String,
        cause: String,
    },
}

pub(crate) fn step(
    step: &'static str,
    peer: impl ToString,
) -> impl FnOnce(std::io::Error) -> Error {
    let peer = peer.to_string();
    move |source| Error::Step { step, peer, source }
}

pub(crate) fn read(path: &std::path::Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(step("reading", path.display()))
}
