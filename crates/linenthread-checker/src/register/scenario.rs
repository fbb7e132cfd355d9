//! Scenarios of the register model: the calls, and the limits on other events.

use std::fmt;
use std::str::FromStr;

use linenthread_consensus::{Change, Order, Revision, document_digest};
use linenthread_messages::OrderIdentity;
use snafu::{OptionExt, Snafu};

use crate::node_index::NodeIndex;

/// A call to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// An order for revision 1 on base 0.
    OrderA,
    /// A competing order for revision 1 on base 0, with a different document.
    OrderB,
    /// An order for revision 2 on base 1, which follows on revision 1.
    OrderC,
    /// A voter change. The identity of the spare disk replaces that of the lost disk, or the third initial identity if
    /// no disk is lost.
    ReplaceVoter,
    /// A read of the newest value.
    Read,
}

impl Call {
    /// Returns the identity and the document of an order; `None` for other calls.
    fn order_and_document(self) -> Option<(OrderIdentity, &'static str)> {
        let (base, revision, document) = match self {
            Call::OrderA => (0, 1, "a"),
            Call::OrderB => (0, 1, "b"),
            Call::OrderC => (1, 2, "c"),
            Call::ReplaceVoter | Call::Read => return None,
        };
        let identity = OrderIdentity {
            revision,
            base,
            digest: document_digest(document.as_bytes()),
        };
        Some((identity, document))
    }

    /// Returns the identity of an order; `None` for other calls.
    pub(crate) fn order(self) -> Option<OrderIdentity> {
        self.order_and_document().map(|(identity, _)| identity)
    }

    /// Returns the change that an order proposes; `None` for other calls.
    pub(crate) fn change(self) -> Option<Change> {
        let (identity, document) = self.order_and_document()?;
        Some(Change::Order(Order {
            base: Revision::new(identity.base),
            revision: Revision::new(identity.revision),
            document: document.into(),
        }))
    }

    fn name(self) -> &'static str {
        match self {
            Call::OrderA => "a",
            Call::OrderB => "b",
            Call::OrderC => "c",
            Call::ReplaceVoter => "replace",
            Call::Read => "read",
        }
    }

    fn from_name(name: &str) -> Option<Call> {
        const ALL: [Call; 5] = [
            Call::OrderA,
            Call::OrderB,
            Call::OrderC,
            Call::ReplaceVoter,
            Call::Read,
        ];
        ALL.into_iter().find(|call| call.name() == name)
    }
}

/// A call and the node that receives it. Its text form is `NODE:CALL`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ScheduledCall {
    /// The node that receives the call.
    pub node: NodeIndex,
    /// The call to make.
    pub call: Call,
}

/// An error for text that is not of the form `NODE:CALL`.
#[derive(Debug, Snafu)]
#[snafu(display(
    "invalid call {text:?}: expected NODE:CALL with node 1 to 3 and call a, b, c, replace or read"
))]
pub struct ParseCallError {
    text: String,
}

impl FromStr for ScheduledCall {
    type Err = ParseCallError;

    fn from_str(text: &str) -> Result<ScheduledCall, ParseCallError> {
        let parse = || {
            let (number, name) = text.split_once(':')?;
            let node = NodeIndex::from_number(number.parse().ok()?)?;
            let call = Call::from_name(name)?;
            Some(ScheduledCall { node, call })
        };
        parse().context(ParseCallSnafu { text })
    }
}

impl fmt::Display for ScheduledCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.node, self.call.name())
    }
}

/// Limits how often each kind of event occurs, at any node and any time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EventBudget {
    /// Ticks, each of which advances the clock of one node past every time-out.
    pub ticks: u8,
    /// Messages that are delivered twice.
    pub duplicates: u8,
    /// Restarts from the disk.
    pub crashes: u8,
    /// Restarts with an empty disk. At most 1, because there is only one spare disk.
    pub lost_disks: u8,
}

/// A bounded scenario of the register with three voters and one spare disk.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// The calls, each of which is made at most once, at any time.
    pub calls: Vec<ScheduledCall>,
    /// Limits on the other events.
    pub budget: EventBudget,
    /// Whether records are synced at any time after they were written, or never if the node restarts before that.
    /// Otherwise they are synced immediately.
    pub slow_disks: bool,
}

impl Scenario {
    /// Returns the scenarios that are explored by default. Each of them is small enough to be explored completely.
    pub fn suite() -> Vec<Scenario> {
        let crash = || EventBudget {
            crashes: 1,
            ..EventBudget::default()
        };
        let lost_disk = || EventBudget {
            lost_disks: 1,
            ..EventBudget::default()
        };
        let duplicate = || EventBudget {
            duplicates: 1,
            ..EventBudget::default()
        };
        let none = EventBudget::default;
        vec![
            Scenario::of("1:a,2:b,2:a", none()),
            Scenario::of("1:a,2:b", crash()),
            Scenario {
                slow_disks: true,
                ..Scenario::of("1:a", crash())
            },
            Scenario::of("1:a,2:b", lost_disk()),
            Scenario::of("1:a,2:replace", lost_disk()),
            Scenario::of("1:a,1:c", none()),
            Scenario::of("1:a,3:read", none()),
            Scenario::of("1:a,2:a", duplicate()),
        ]
    }

    fn of(calls: &str, budget: EventBudget) -> Scenario {
        Scenario {
            calls: Scenario::parse_calls(calls).expect("the suite's calls are well-formed"),
            budget,
            slow_disks: false,
        }
    }

    /// Parses calls separated by commas, such as `1:a,2:b,3:read`.
    ///
    /// # Errors
    /// Fails if one of them is not of the form `NODE:CALL`.
    pub fn parse_calls(list: &str) -> Result<Vec<ScheduledCall>, ParseCallError> {
        list.split(',').map(str::parse).collect()
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let calls: Vec<String> = self.calls.iter().map(ScheduledCall::to_string).collect();
        let EventBudget {
            ticks,
            duplicates,
            crashes,
            lost_disks,
        } = self.budget;
        write!(
            formatter,
            "calls {}, ticks {ticks}, duplicates {duplicates}, crashes {crashes}, lost disks {lost_disks}, slow disks {}",
            calls.join(" "),
            self.slow_disks
        )
    }
}
