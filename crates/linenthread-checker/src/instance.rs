use std::fmt;

use linenthread_consensus::{Change, document_digest};
use linenthread_messages::{OrderIdentity, Voter};
use snafu::Snafu;

use crate::invariants;
use crate::search::Model;
use crate::step::{Action, Described, actions, apply};
use crate::world::World;

/// The disks of the first value; the node at place i has the disk i at first.
pub(crate) const VOTERS: [u64; 3] = [1, 2, 3];
/// The name of the empty disk that comes in place of a lost one.
pub(crate) const NEW_DISK: u64 = 4;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Revision 1 on base 0.
    OrderA,
    /// Revision 1 on base 0, with another document.
    OrderB,
    /// Revision 2 on base 1.
    OrderC,
    /// Disk 4 counts in place of the lost one, or of disk 3.
    Replace,
    /// The newest value.
    Read,
}

/// A call that is not understood.
#[derive(Debug, Snafu)]
#[snafu(display(
    "{word} is no call: NODE:CALL with node 1 to 3 and call a, b, c, replace or read is"
))]
pub struct CallFault {
    word: String,
}

impl Call {
    /// The order that it brings, if any.
    pub(crate) fn order(self) -> Option<(OrderIdentity, &'static str)> {
        let (base, revision, document) = match self {
            Call::OrderA => (0, 1, "a"),
            Call::OrderB => (0, 1, "b"),
            Call::OrderC => (1, 2, "c"),
            Call::Replace | Call::Read => return None,
        };
        let digest = document_digest(document.as_bytes());
        Some((
            OrderIdentity {
                revision,
                base,
                digest,
            },
            document,
        ))
    }

    /// The change that it wants, if it is an order.
    pub(crate) fn change(self) -> Option<Change> {
        let (order, document) = self.order()?;
        Some(Change::Document {
            base: order.base,
            revision: order.revision,
            document: document.into(),
        })
    }
}

/// What is explored.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Each call comes once, at any time, to the node at this place.
    pub calls: Vec<(usize, Call)>,
    /// So many ticks, of any nodes.
    pub ticks: u8,
    /// So many messages are delivered twice.
    pub duplicates: u8,
    /// So many nodes start anew from their disk.
    pub crashes: u8,
    /// So many nodes lose their disk and start anew with an empty one; at most 1.
    pub lost_disks: u8,
    /// Records are synced some time after they were handed over, or never if the node starts anew before.
    pub slow_disks: bool,
}

/// Without any fault; the base of those of the suite.
const PLAIN: Instance = Instance {
    calls: Vec::new(),
    ticks: 0,
    duplicates: 0,
    crashes: 0,
    lost_disks: 0,
    slow_disks: false,
};

impl Instance {
    /// The instances that are explored by default, each whole.
    pub fn suite() -> Vec<Instance> {
        use Call::{OrderA, OrderB, OrderC, Read, Replace};
        vec![
            Instance {
                calls: vec![(0, OrderA), (1, OrderB), (1, OrderA)],
                ..PLAIN
            },
            Instance {
                calls: vec![(0, OrderA), (1, OrderB)],
                crashes: 1,
                ..PLAIN
            },
            Instance {
                calls: vec![(0, OrderA)],
                crashes: 1,
                slow_disks: true,
                ..PLAIN
            },
            Instance {
                calls: vec![(0, OrderA), (1, OrderB)],
                lost_disks: 1,
                ..PLAIN
            },
            Instance {
                calls: vec![(0, OrderA), (1, Replace)],
                lost_disks: 1,
                ..PLAIN
            },
            Instance {
                calls: vec![(0, OrderA), (0, OrderC)],
                ..PLAIN
            },
            Instance {
                calls: vec![(0, OrderA), (2, Read)],
                ..PLAIN
            },
            Instance {
                calls: vec![(0, OrderA), (1, OrderA)],
                duplicates: 1,
                ..PLAIN
            },
        ]
    }

    /// Calls as on the command line: `1:a,2:b,3:a`.
    ///
    /// # Errors
    /// A word is no call.
    pub fn parse_calls(words: &str) -> Result<Vec<(usize, Call)>, CallFault> {
        words
            .split(',')
            .map(|word| {
                parse_call(word).ok_or_else(|| CallFault {
                    word: word.to_owned(),
                })
            })
            .collect()
    }
}

impl Model for Instance {
    type State = World;
    type Action = Action;

    fn start(&self) -> World {
        World::new(self)
    }

    fn fingerprint(&self, state: &World) -> u128 {
        state.fingerprint()
    }

    fn actions(&self, state: &World) -> Vec<Action> {
        actions(state, self)
    }

    fn apply(&self, state: &World, action: Action) -> World {
        apply(state, self, action)
    }

    fn broken(&self, state: &World) -> Vec<&'static str> {
        invariants::broken(state).collect()
    }

    fn landmarks(&self, state: &World) -> Vec<&'static str> {
        let history = &state.history.inner;
        let all = [
            ("acknowledged", !history.acknowledged.is_empty()),
            ("refused", !history.refused.is_empty()),
            (
                "replaced",
                history.decided.values().any(|value| value.epoch > 0),
            ),
            ("read", history.reads > 0),
        ];
        all.into_iter()
            .filter(|(_, reached)| *reached)
            .map(|(name, _)| name)
            .collect()
    }

    fn describe(&self, state: &World, action: Action) -> String {
        Described(state, self, action).to_string()
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let calls: Vec<String> = self
            .calls
            .iter()
            .map(|(place, call)| format!("{}:{call:?}", place + 1))
            .collect();
        write!(
            f,
            "calls {}, ticks {}, duplicates {}, ",
            calls.join(" "),
            self.ticks,
            self.duplicates
        )?;
        write!(
            f,
            "crashes {}, lost disks {}, slow disks {}",
            self.crashes, self.lost_disks, self.slow_disks
        )
    }
}

fn parse_call(word: &str) -> Option<(usize, Call)> {
    let (node, call) = word.split_once(':')?;
    let place = node
        .parse::<usize>()
        .ok()?
        .checked_sub(1)
        .filter(|place| *place < VOTERS.len())?;
    let call = match call {
        "a" => Call::OrderA,
        "b" => Call::OrderB,
        "c" => Call::OrderC,
        "replace" => Call::Replace,
        "read" => Call::Read,
        _ => return None,
    };
    Some((place, call))
}

pub(crate) fn voter(id: u64) -> Voter {
    Voter {
        id,
        address: String::new(),
    }
}
