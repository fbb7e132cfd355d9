//! A simulated platform that receives usage reports: checks fencing tokens, records accepted calls, and simulates failures.

use linenthread_control::{Epoch, PlatformCall, PlatformOutcome};
use linenthread_time::Instant;

/// How the simulated platform responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Accepts all calls whose fencing token is not too low.
    #[default]
    Healthy,
    /// Rejects every call as busy.
    Busy,
    /// Accepts calls like [`Behaviour::Healthy`], but its responses are lost.
    ResponsesLost,
}

/// A call that the platform has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AcceptedCall {
    pub at: Instant,
    pub node: usize,
    pub fence: Epoch,
    pub window: u64,
    pub body: Vec<u8>,
}

#[derive(Default)]
pub(crate) struct Platform {
    pub behaviour: Behaviour,
    pub highest_fence: Epoch,
    pub accepted: Vec<AcceptedCall>,
}

impl Platform {
    /// Handles a call and returns the outcome that the caller observes.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        node: usize,
        call: &PlatformCall,
    ) -> PlatformOutcome {
        if now >= call.not_after {
            return PlatformOutcome::NotSent;
        }
        if self.behaviour == Behaviour::Busy {
            return PlatformOutcome::Busy;
        }
        if call.fence < self.highest_fence {
            return PlatformOutcome::FenceTooLow;
        }
        self.highest_fence = call.fence;
        self.accepted.push(AcceptedCall {
            at: now,
            node,
            fence: call.fence,
            window: call.report.window,
            body: call.report.body.to_vec(),
        });
        match self.behaviour {
            Behaviour::ResponsesLost => PlatformOutcome::Unknown,
            Behaviour::Healthy | Behaviour::Busy => PlatformOutcome::Accepted,
        }
    }

    /// Returns the reported windows, in the order in which they were first accepted.
    pub(crate) fn windows(&self) -> Vec<u64> {
        let mut windows = Vec::new();
        for call in &self.accepted {
            if !windows.contains(&call.window) {
                windows.push(call.window);
            }
        }
        windows
    }

    /// Returns the body of the first accepted call for a window.
    pub(crate) fn body(&self, window: u64) -> Option<String> {
        let call = self.accepted.iter().find(|call| call.window == window)?;
        Some(String::from_utf8(call.body.clone()).expect("a body is UTF-8"))
    }

    /// Panics if the accepted calls violate *one-report-per-window* (two different bodies for a window),
    /// *one-sender-per-fence* (two nodes with the same fencing token), or *no-return-within-lease* (a node calls
    /// again within the lease time of its earlier call, with a call of another node in between).
    pub(crate) fn assert_single_reporter(&self, lease: std::time::Duration) {
        for (index, call) in self.accepted.iter().enumerate() {
            for later in &self.accepted[index + 1..] {
                if later.window == call.window {
                    assert_eq!(later.body, call.body, "two reports for one window");
                }
                if later.fence == call.fence {
                    assert_eq!(later.node, call.node, "two nodes with one fencing token");
                }
            }
            let others_between = |end: usize| {
                self.accepted[index + 1..end]
                    .iter()
                    .any(|between| between.node != call.node)
            };
            let returned = self
                .accepted
                .iter()
                .enumerate()
                .skip(index + 1)
                .find(|(end, later)| later.node == call.node && others_between(*end));
            if let Some((_, later)) = returned {
                assert!(
                    later.at >= call.at + lease,
                    "{call:?} was followed too soon by {later:?}"
                );
            }
        }
    }
}
