//! Links to gateways, which carry sub-requests to replicas that only a gateway in another site can reach. The state
//! machine in `linenthread-link` makes the decisions; this module passes inputs to it and performs its actions.

mod connection;
mod frame_writer;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_link::routing::LinkStatus;
use linenthread_link::{
    Call, CallId, ClientAction, ClientCloseReason, ClientConfig, Frame, LinkAvailability,
    LinkClient, MembersReport, ProbeId, Secrets,
};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::timeout;
use tracing::info;

use crate::clock::{self, Clock};
use crate::log::LogRateLimit;
use crate::transports::attempt::{OutcomeReporter, OutcomeSender, OutgoingSubRequest, ProbeReport};

/// A change of the replicas behind a link, or of the link's availability.
pub(crate) enum LinkEvent {
    /// The replicas behind the link have changed.
    Members(MembersReport),
    /// The link has started or stopped accepting calls.
    Availability(LinkAvailability),
}

struct Inner {
    name: String,
    address: SocketAddr,
    clock: Clock,
    client: RefCell<LinkClient>,
    /// Calls that have no outcome yet.
    calls: RefCell<BTreeMap<CallId, OutcomeReporter>>,
    probes: RefCell<BTreeMap<ProbeId, oneshot::Sender<ProbeReport>>>,
    outgoing: RefCell<VecDeque<Frame>>,
    /// Whether the state machine has requested a connect.
    connect_requested: Cell<bool>,
    /// Why the state machine has requested to close the connection, if it has.
    close_reason: RefCell<Option<ClientCloseReason>>,
    /// Wakes the link's task.
    wake: Notify,
    events: mpsc::UnboundedSender<LinkEvent>,
    log_limit: LogRateLimit,
}

/// The link to one peer.
#[derive(Clone)]
pub(crate) struct Peer(Rc<Inner>);

/// A call in flight over a link. Dropping it cancels the call, unless it has finished.
pub(crate) struct InFlightAttempt {
    peer: Peer,
    id: CallId,
}

impl InFlightAttempt {
    /// Does nothing: a link monitors its connection by heartbeats and not by the time-outs of calls.
    #[expect(
        clippy::unused_self,
        reason = "same interface as an attempt on a direct connection"
    )]
    pub(in crate::transports) fn on_timeout(&self) {}
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let pending = self.peer.0.calls.borrow_mut().remove(&self.id);
        if pending.is_some() {
            self.peer
                .step(|client, _, actions| client.withdraw(self.id, actions));
        }
    }
}

/// The settings of one link.
pub(crate) struct LinkConfig {
    /// The peer's name.
    pub name: String,
    pub address: SocketAddr,
    pub secrets: Secrets,
    pub client: ClientConfig,
    /// The seed of the random delays before reconnects.
    pub seed: u64,
}

impl Peer {
    /// Starts a link, which reconnects whenever it is lost and reports changes to `events`.
    pub(crate) fn start(
        config: LinkConfig,
        clock: Clock,
        events: mpsc::UnboundedSender<LinkEvent>,
    ) -> Peer {
        let peer = Peer(Rc::new(Inner {
            name: config.name,
            address: config.address,
            clock,
            client: RefCell::new(LinkClient::new(config.client, config.secrets, config.seed)),
            calls: RefCell::default(),
            probes: RefCell::default(),
            outgoing: RefCell::default(),
            connect_requested: Cell::new(false),
            close_reason: RefCell::default(),
            wake: Notify::new(),
            events,
            log_limit: LogRateLimit::default(),
        }));
        actix_rt::spawn(peer.clone().run());
        peer
    }

    /// Reports whether the link is usable, and its capacity.
    pub(crate) fn status(&self) -> LinkStatus {
        self.0.client.borrow().status()
    }

    /// Passes an input to the state machine, and performs the actions that it returns.
    fn step(&self, input: impl FnOnce(&mut LinkClient, TenthMillis, &mut Vec<ClientAction>)) {
        let mut actions = Vec::new();
        input(
            &mut self.0.client.borrow_mut(),
            self.0.clock.now(),
            &mut actions,
        );
        for action in actions {
            self.perform(action);
        }
        self.0.wake.notify_one();
    }

    fn perform(&self, action: ClientAction) {
        match action {
            ClientAction::Connect => self.0.connect_requested.set(true),
            ClientAction::Close(reason) => drop(self.0.close_reason.replace(Some(reason))),
            ClientAction::Send(frame) => self.0.outgoing.borrow_mut().push_back(frame),
            ClientAction::CallCompleted {
                id,
                outcome,
                queue_depth,
                value,
            } => {
                let reporter = self.0.calls.borrow_mut().remove(&id);
                if let Some(reporter) = reporter {
                    reporter.report(outcome, queue_depth, value);
                }
            }
            ClientAction::ProbeCompleted {
                id,
                outcome,
                queue_depth,
            } => {
                let pending = self.0.probes.borrow_mut().remove(&id);
                if let Some(pending) = pending {
                    let report = ProbeReport {
                        outcome,
                        queue_depth,
                    };
                    pending.send(report).ok();
                }
            }
            ClientAction::Members(report) => {
                self.0.events.send(LinkEvent::Members(report)).ok();
            }
            ClientAction::Availability(availability) => self.report_availability(availability),
        }
    }

    /// Logs a change of availability and reports it to the coordinator driver.
    fn report_availability(&self, availability: LinkAvailability) {
        match availability {
            LinkAvailability::Up => info!(peer = self.0.name, "link up"),
            LinkAvailability::Down => info!(peer = self.0.name, "link down"),
        }
        let event = LinkEvent::Availability(availability);
        self.0.events.send(event).ok();
    }

    /// Sends sub-requests of one query to one replica, each as a separate call.
    pub(crate) fn send(
        &self,
        replica_id: &str,
        query_id: &str,
        sub_requests: &[OutgoingSubRequest],
        wait: Duration,
        outcomes: &OutcomeSender,
    ) -> Vec<InFlightAttempt> {
        let deadline = self.0.clock.now() + clock::to_tenths(wait);
        let start = |outgoing: &OutgoingSubRequest| {
            let call = Call {
                replica: replica_id.to_owned(),
                query: query_id.to_owned(),
                shard: u32::try_from(outgoing.shard).unwrap_or(u32::MAX),
                continuation: outgoing.continuation,
                text: outgoing.text.to_string(),
            };
            self.start_call(call, deadline, outgoing, outcomes)
        };
        sub_requests.iter().map(start).collect()
    }

    fn start_call(
        &self,
        call: Call,
        deadline: TenthMillis,
        outgoing: &OutgoingSubRequest,
        outcomes: &OutcomeSender,
    ) -> InFlightAttempt {
        let mut id = CallId(0);
        // The call may complete at once, so it is registered before the actions are performed.
        self.step(|client, now, actions| {
            id = client.call(now, call, deadline, outgoing.priority, actions);
            let reporter = OutcomeReporter::new(outgoing.key, outcomes);
            self.0.calls.borrow_mut().insert(id, reporter);
        });
        InFlightAttempt {
            peer: self.clone(),
            id,
        }
    }

    /// Probes the health and load of a replica behind the link.
    pub(crate) async fn probe(&self, replica_id: &str, wait: Duration) -> ProbeReport {
        let (report, response) = oneshot::channel();
        self.step(|client, _, actions| {
            let id = client.probe(replica_id.to_owned(), actions);
            self.0.probes.borrow_mut().insert(id, report);
        });
        match timeout(wait, response).await {
            Ok(Ok(report)) => report,
            Ok(Err(_)) => ProbeReport::without_queue_depth(AttemptOutcome::ConnectionLost),
            Err(_) => ProbeReport::without_queue_depth(AttemptOutcome::TimedOut),
        }
    }
}
