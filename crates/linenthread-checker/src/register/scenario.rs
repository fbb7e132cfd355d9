//! What is explored of the register: calls, and how often what may happen.

use std::fmt;
use std::str::FromStr;

use linenthread_consensus::{Change, Order, Revision, document_digest};
use linenthread_messages::OrderIdentity;
use snafu::{OptionExt, Snafu};

use crate::node_index::NodeIndex;

/// A call that some caller makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// An order: revision 1 on base 0.
    OrderA,
    /// A competing order: revision 1 on base 0, with another document.
    OrderB,
    /// An order on top: revision 2 on base 1.
    OrderC,
    /// A change of the voters: the node with the spare disk in place of the one that lost its disk, or of the third
    /// one.
    ReplaceVoter,
    /// A read of the newest value.
    Read,
}

impl Call {
    /// The order's identity and document, if the call is an order.
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

    /// The order's identity, if the call is an order.
    pub(crate) fn order(self) -> Option<OrderIdentity> {
        self.order_and_document().map(|(identity, _)| identity)
    }

    /// The change to propose, if the call is an order.
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

/// A call and the node that receives it, written as `NODE:CALL`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ScheduledCall {
    /// The node.
    pub node: NodeIndex,
    /// The call.
    pub call: Call,
}

/// The text is not of the form `NODE:CALL`.
#[derive(Debug, Snafu)]
#[snafu(display(
    "{text:?} is no call: NODE:CALL expected, with node 1 to 3 and call a, b, c, replace or read"
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

/// How often each kind of event may happen, at any node and any time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EventBudget {
    /// Ticks that move a node's clock past every time-out.
    pub ticks: u8,
    /// Messages that are delivered twice.
    pub duplicates: u8,
    /// Restarts from the disk.
    pub crashes: u8,
    /// Restarts with an empty disk; at most 1, since there is one spare disk.
    pub lost_disks: u8,
}

/// A bounded scenario of three voters and one spare disk.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// Each call is made once, at any time.
    pub calls: Vec<ScheduledCall>,
    /// What else may happen.
    pub budget: EventBudget,
    /// Whether a record is synced at any time after it was written, or never if the node restarts before; otherwise
    /// it is synced at once.
    pub slow_disks: bool,
}

impl Scenario {
    /// The scenarios that are explored by default, each completely.
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

    /// Calls separated by commas: `1:a,2:b,3:read`.
    ///
    /// # Errors
    /// One of them is not of the form `NODE:CALL`.
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
