//! Signal handling: shutdown requests and reloading of the settings.

use std::path::PathBuf;
use std::rc::Rc;

use linenthread_config::Settings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::error::{Error, io_context};

/// Notifies about shutdown requests and reloaded settings.
#[derive(Clone)]
pub(crate) struct SignalWatch {
    shutdown: watch::Receiver<bool>,
    settings: watch::Receiver<Option<Rc<Settings>>>,
}

impl SignalWatch {
    /// Waits until a shutdown has been requested. May be called repeatedly.
    pub(crate) async fn shutdown_requested(&self) {
        let mut shutdown = self.shutdown.clone();
        let _ = shutdown.wait_for(|requested| *requested).await;
    }

    /// Returns a receiver of the last reloaded settings, which are `None` until the first reload.
    pub(crate) fn settings(&self) -> watch::Receiver<Option<Rc<Settings>>> {
        self.settings.clone()
    }
}

/// Starts handling signals: SIGTERM and SIGINT request a shutdown, SIGHUP reloads the settings file.
///
/// # Errors
///
/// If the signal handlers cannot be installed.
pub(crate) fn listen(settings_path: PathBuf) -> Result<SignalWatch, Error> {
    let listen_for = |kind| signal(kind).map_err(io_context("listening for signals", ""));
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    let mut hangup = listen_for(SignalKind::hangup())?;
    let (shutdown_sender, shutdown) = watch::channel(false);
    let (settings_sender, settings) = watch::channel(None);
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => { let _ = shutdown_sender.send(true); }
                _ = interrupt.recv() => { let _ = shutdown_sender.send(true); }
                _ = hangup.recv() => match crate::read_settings(&settings_path) {
                    Ok(settings) => {
                        log::info!("event=settings_reloaded");
                        let _ = settings_sender.send(Some(Rc::new(settings)));
                    }
                    // An invalid file has no effect.
                    Err(error) => log::warn!(cause = error.to_string(); "event=settings_rejected"),
                },
            }
        }
    });
    Ok(SignalWatch { shutdown, settings })
}
