//! Operators that race: each sends a change until it has a clear answer, and reads back. Orders that were
//! taken long ago are sent again, to any machine, and so are others under their numbers.

use linenthread_control::CallId;

use super::world::{Event, World};

/// How many later orders have been taken when one is sent again.
const LATER: [usize; 4] = [1, 10, 70, 300];

/// An order: a configuration on top of another.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Change {
    pub(super) base: u64,
    pub(super) revision: u64,
    pub(super) document: Vec<u8>,
}

/// What a call asks for.
pub(super) enum Request {
    Replace {
        operator: usize,
        change: Change,
    },
    /// An order that was taken, once more.
    Again {
        change: Change,
        later: usize,
    },
    /// Another order under the number of one that was taken.
    Rival {
        change: Change,
    },
    Read {
        operator: usize,
        floor: u64,
    },
    Drain(String),
    Beat,
}

/// A call that waits for its answer.
pub(super) struct Call {
    pub(super) node: usize,
    pub(super) request: Request,
}

#[derive(Default)]
pub(super) struct Operator {
    pub(super) current: u64,
    pub(super) change: Option<Change>,
    /// The call that it waits for, and since when.
    pub(super) waits: Option<(u64, u64)>,
}

impl World {
    /// Notes a call; none where no process listens.
    pub(super) fn call(&mut self, node: usize, request: Request) -> Option<u64> {
        self.nodes[node].control.as_ref()?;
        self.next += 1;
        self.calls.insert(self.next, Call { node, request });
        Some(self.next)
    }

    pub(super) fn any_node(&mut self) -> usize {
        self.up_to(self.nodes.len() as u64) as usize
    }

    pub(super) fn operator(&mut self, o: usize) {
        let now = self.now;
        let wait = if self.is_fast() {
            1 + self.up_to(25)
        } else {
            150 + self.up_to(700)
        };
        self.push(now + wait, Event::Operator { operator: o });
        let n = self.any_node();
        if self.operators[o]
            .waits
            .is_some_and(|(_, at)| now < at + 1_000)
        {
            return;
        }
        if let Some((token, _)) = self.operators[o].waits.take() {
            self.calls.remove(&token); // It hears no answer any more.
        }
        if !self.is_running(n) {
            return;
        }
        let reads = if self.is_fast() { 20 } else { 3 };
        if self.operators[o].change.is_none() && self.up_to(reads) == 0 {
            self.read(n, o);
        } else {
            self.send_change(n, o);
        }
    }

    fn read(&mut self, n: usize, operator: usize) {
        let floor = self.acked.keys().last().copied().unwrap_or(0);
        if let Some(token) = self.call(n, Request::Read { operator, floor }) {
            self.operators[operator].waits = Some((token, self.now));
            self.at(n, |c, now, out| {
                c.read_configuration(now, CallId(token), out);
            });
        }
    }

    fn send_change(&mut self, n: usize, operator: usize) {
        let change = match self.operators[operator].change.clone() {
            Some(change) => change,
            None => self.new_change(operator),
        };
        if let Some(token) = self.call(
            n,
            Request::Replace {
                operator,
                change: change.clone(),
            },
        ) {
            self.operators[operator].waits = Some((token, self.now));
            self.replace(n, token, change);
        }
    }

    fn new_change(&mut self, operator: usize) -> Change {
        let base = self.operators[operator].current;
        // On some days two operators pick the same number for different changes.
        let revision = if self.same_numbers {
            base + 1 + self.up_to(2)
        } else {
            base + 1 + self.operators.len() as u64 * self.up_to(3) + operator as u64
        };
        let document = format!(
            "{{\"by\":{operator},\"revision\":{revision},\"at\":{}}}",
            self.now
        )
        .into_bytes();
        let change = Change {
            base,
            revision,
            document,
        };
        self.sent.push(change.clone());
        self.operators[operator].change = Some(change.clone());
        change
    }

    pub(super) fn replace(&mut self, n: usize, token: u64, change: Change) {
        let Change {
            base,
            revision,
            document,
        } = change;
        self.at(n, |c, now, out| {
            c.replace_configuration(now, CallId(token), base, revision, document, out);
        });
    }

    /// An order that was taken is sent again, or another under its number.
    pub(super) fn late_order(&mut self) {
        let wait = if self.is_fast() {
            100 + self.up_to(400)
        } else {
            400 + self.up_to(1_200)
        };
        self.push(self.now + wait, Event::LateOrder);
        let n = self.any_node();
        let later = LATER[self.up_to(LATER.len() as u64) as usize];
        if self.is_running(n) {
            self.ask_again(n, later);
        }
    }

    pub(super) fn ask_again(&mut self, n: usize, later: usize) {
        let Some(index) = self.history.len().checked_sub(later + 1) else {
            return;
        };
        let mut change = self.history[index].clone();
        let request = if self.up_to(3) == 0 {
            change.document.push(b' ');
            Request::Rival {
                change: change.clone(),
            }
        } else {
            Request::Again {
                change: change.clone(),
                later,
            }
        };
        if let Some(token) = self.call(n, request) {
            self.replace(n, token, change);
        }
    }

    /// After the troubles: each of the distances, and the very first order, at every machine.
    pub(super) fn ask_all_again(&mut self) {
        let first = self.history.len().saturating_sub(1);
        for n in 0..self.nodes.len() {
            for later in LATER.into_iter().chain([0, first]) {
                if self.is_running(n) {
                    self.ask_again(n, later);
                }
            }
        }
    }

    /// A process that was frozen is asked at once when it wakes, before it hears anything else.
    pub(super) fn ask_on_waking(&mut self, n: usize) {
        if !self.is_running(n) {
            return;
        }
        self.ask_again(n, 1);
        if let Some(change) = self.history.last().cloned() {
            // It builds on what is no longer the newest version, or on it: no answer may be sure of that.
            let stale = Change {
                base: change.base,
                revision: change.revision + 1_000,
                document: b"{}".to_vec(),
            };
            if let Some(token) = self.call(
                n,
                Request::Rival {
                    change: stale.clone(),
                },
            ) {
                self.replace(n, token, stale);
            }
        }
        let floor = self.acked.keys().last().copied().unwrap_or(0);
        if let Some(token) = self.call(n, Request::Read { operator: 0, floor }) {
            self.at(n, |c, now, out| {
                c.read_configuration(now, CallId(token), out);
            });
        }
        self.beat_at(n);
    }
}
