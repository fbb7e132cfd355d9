//! The gateway, the frontend for links from other sites. A call that arrives over a link is sent to the replica that
//! it names, once, and its outcome is returned. The peer selects the replica and decides whether to retry.
//!
//! The state machine in `linenthread-link` decides on sessions and calls; this module passes inputs to it and
//! performs its actions.

mod calls;
mod connection;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::TenthMillis;
use linenthread_link::{ConnectionId, LinkServer, Member, ServerAction};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::coordinator_driver::CoordinatorDriver;
use crate::log::LogRateLimit;
use crate::transports::Transports;
use calls::CallKey;
use connection::Connection;

/// Maximum sleep of the gateway's timer: 10 s.
const MAX_SLEEP: TenthMillis = 100_000;
/// Interval at which a graceful shutdown checks whether all calls are over.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Inner {
    driver: CoordinatorDriver,
    transports: Transports,
    server: RefCell<LinkServer>,
    /// The share of a replica's slow-start budget that each peer may use, in thousandths.
    slow_start_share: u16,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    /// Running calls, each with the notification that cancels it.
    running: RefCell<BTreeMap<CallKey, Rc<Notify>>>,
    last_connection_number: Cell<u64>,
    /// Wakes the timer's task.
    wake: Notify,
    log_limit: LogRateLimit,
}

/// Serves links from other sites.
#[derive(Clone)]
pub(crate) struct Gateway(Rc<Inner>);

impl Gateway {
    pub(crate) fn new(
        driver: CoordinatorDriver,
        transports: Transports,
        server: LinkServer,
        slow_start_share: u16,
    ) -> Gateway {
        Gateway(Rc::new(Inner {
            driver,
            transports,
            server: RefCell::new(server),
            slow_start_share,
            connections: RefCell::default(),
            running: RefCell::default(),
            last_connection_number: Cell::default(),
            wake: Notify::new(),
            log_limit: LogRateLimit::default(),
        }))
    }

    /// Passes an input to the state machine, and performs the actions that it returns.
    fn step(&self, input: impl FnOnce(&mut LinkServer, TenthMillis, &mut Vec<ServerAction>)) {
        let mut actions = Vec::new();
        input(
            &mut self.0.server.borrow_mut(),
            self.0.driver.clock().now(),
            &mut actions,
        );
        for action in actions {
            self.perform(action);
        }
        self.0.wake.notify_one();
    }

    fn perform(&self, action: ServerAction) {
        match action {
            ServerAction::Send { connection, frame } => self.send(connection, &frame),
            ServerAction::Close { connection, reason } => {
                if let Some(connection) = self.0.connections.borrow().get(&connection) {
                    connection.close(reason);
                }
            }
            ServerAction::StartCall {
                session,
                number,
                timeout,
                call,
            } => {
                let key = CallKey { session, number };
                let cancelled = Rc::new(Notify::new());
                self.0.running.borrow_mut().insert(key, cancelled.clone());
                actix_rt::spawn(self.clone().run_call(key, timeout, call, cancelled));
            }
            ServerAction::CancelCall { session, number } => {
                let key = CallKey { session, number };
                if let Some(cancelled) = self.0.running.borrow().get(&key) {
                    cancelled.notify_one();
                }
            }
            ServerAction::Probe {
                connection,
                id,
                replica,
            } => {
                actix_rt::spawn(self.clone().probe(connection, id, replica));
            }
        }
    }

    /// Serves links for as long as it is polled.
    pub(crate) async fn run(&self, listener: &TcpListener) {
        tokio::join!(
            self.accept(listener),
            self.run_timer(),
            self.announce_members()
        );
    }

    /// Announces to the peers the replicas that service discovery lists, at the start and after each change.
    async fn announce_members(&self) {
        loop {
            let members = self
                .0
                .driver
                .local_members()
                .into_iter()
                .map(|member| Member {
                    slow_start_share: self.0.slow_start_share,
                    ..member
                })
                .collect();
            self.step(|server, _, actions| server.set_members(members, actions));
            self.0.driver.local_changed().await;
        }
    }

    /// Calls the state machine whenever one of its time-outs has passed.
    async fn run_timer(&self) {
        loop {
            tokio::select! {
                () = sleep_until(self.next_timeout()) => self.step(LinkServer::on_timeout),
                () = self.0.wake.notified() => {}
            }
        }
    }

    fn next_timeout(&self) -> Instant {
        let clock = self.0.driver.clock();
        let next = self.0.server.borrow().next_timeout();
        clock.at(next.min(clock.now() + MAX_SLEEP))
    }

    /// Shuts down gracefully: accepts no new calls, and waits until the outcomes of the running calls are delivered,
    /// but for at most `max_wait`.
    pub(crate) async fn drain(&self, max_wait: Duration) {
        self.step(|server, _, actions| server.start_draining(actions));
        let drained = async {
            while self.0.server.borrow().retained_calls() > 0 {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        timeout(max_wait, drained).await.ok();
    }
}
