//! The demo of one site, or of two with a link between them.

use std::net::SocketAddr;
use std::thread;

use tokio::sync::oneshot;

use super::error::DemoError;
use super::programs::{Programs, serve_program};
use super::queries::{commands, show, wait_until_reachable};
use super::{DemoOptions, Scenario};
use crate::log;

/// Runs until SIGINT or SIGTERM, or, with `--show`, until the responses are printed.
pub(super) fn run(options: &DemoOptions) -> Result<(), DemoError> {
    let scenario = options.scenario();
    let Programs { queried, gateway } = Programs::prepare(options.seed, scenario)?;
    let show_only = options.show;
    let (done, shown) = oneshot::channel();
    let ready = move |address| {
        if scenario == Scenario::TwoSites {
            println!("Two sites: all replicas are reached over a link through a gateway.");
        }
        if show_only {
            show_in_thread(address, done);
        } else {
            println!("{}", commands(address));
        }
    };
    if !show_only {
        log::start();
    }
    let serve_gateway = async {
        match gateway {
            Some(gateway) => serve_program(gateway, |_| {}).await,
            None => Ok(()),
        }
    };
    let serve_both = async { tokio::join!(serve_program(queried, ready), serve_gateway).0 };
    let until_end = async {
        tokio::select! {
            served = serve_both => served,
            Ok(all_succeeded) = shown => {
                if all_succeeded { Ok(()) } else { Err(DemoError::Unanswered) }
            }
        }
    };
    actix_rt::System::new().block_on(until_end)
}

/// Sends the queries and prints the responses in a separate thread, as its client blocks. Sends on `done` whether all
/// queries succeeded.
fn show_in_thread(address: SocketAddr, done: oneshot::Sender<bool>) {
    thread::spawn(move || done.send(wait_until_reachable(address) && show(address)));
}
