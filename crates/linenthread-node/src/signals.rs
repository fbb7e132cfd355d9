//! Signals: the end that was asked for, once for all however often it is asked, and settings to be read anew.

use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::errors::{Error, step};

/// The end that was asked for, and settings that were read anew.
#[derive(Clone)]
pub(crate) struct Ends {
    end: watch::Receiver<bool>,
    settings: watch::Receiver<Option<Rc<linenthread_config::Settings>>>,
}

impl Ends {
    pub(crate) async fn asked(&self) {
        let mut end = self.end.clone();
        let _ = end.wait_for(|asked| *asked).await;
    }

    /// The settings as they were read last, each time they are read anew.
    pub(crate) fn settings(&self) -> watch::Receiver<Option<Rc<linenthread_config::Settings>>> {
        self.settings.clone()
    }
}

pub(crate) fn listen(path: PathBuf) -> Result<Ends, Error> {
    let of = |kind| signal(kind).map_err(step("listening for signals", ""));
    let (mut term, mut int) = (of(SignalKind::terminate())?, of(SignalKind::interrupt())?);
    let mut hangup = of(SignalKind::hangup())?;
    let (end_tx, end) = watch::channel(false);
    let (settings_tx, settings) = watch::channel(None);
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                _ = term.recv() => { let _ = end_tx.send(true); }
                _ = int.recv() => { let _ = end_tx.send(true); }
                _ = hangup.recv() => match crate::settings(&path) {
                    Ok(read) => {
                        log::info!("event=settings_reloaded");
                        let _ = settings_tx.send(Some(Rc::new(read)));
                    }
                    // A bad file changes nothing.
                    Err(e) => log::warn!(cause = e.to_string(); "event=settings_rejected"),
                },
            }
        }
    });
    Ok(Ends { end, settings })
}
