//! The Paxos acceptor for one number.

use linenthread_messages::{
    Accept, AcceptAck, Accepted, Ballot, Prepare, Promise, Record, Rejected,
};

use crate::value_number::ValueNumber;

/// What this node has promised and accepted for one number.
///
/// A request for another number must not be handed to it: [`crate::Register`] checks that before.
///
/// `on_prepare` and `on_accept` return the record that must be synced before the reply leaves: what another node relies on survives a
/// restart (*one-value-per-number*).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Acceptor {
    /// The number that the other fields belong to. After a restart it may be above the number after the newest decided
    /// value, if the disk dropped the record of a decided value. Every number below is decided then, and this node
    /// accepts nothing for it any more.
    number: ValueNumber,
    promised: Option<Ballot>,
    accepted: Option<Accepted>,
}

impl Acceptor {
    pub(crate) fn new(
        number: ValueNumber,
        promised: Option<Ballot>,
        accepted: Option<Accepted>,
    ) -> Acceptor {
        Acceptor {
            number,
            promised,
            accepted,
        }
    }

    /// The only number that it votes on: all below are decided, and the next one waits until this one is.
    pub(crate) fn number(&self) -> ValueNumber {
        self.number
    }

    /// Whether it has accepted a value that is not known to be decided.
    pub(crate) fn has_undecided(&self) -> bool {
        self.accepted.is_some()
    }

    /// Everything below this number is decided: promises for it bind no more.
    pub(crate) fn advance_to(&mut self, number: ValueNumber) {
        if number > self.number {
            *self = Acceptor::new(number, None, None);
        }
    }

    /// Phase 1: promises to accept nothing under a lower ballot.
    ///
    /// # Errors
    /// A higher ballot is promised already.
    pub(crate) fn on_prepare(&mut self, request: &Prepare) -> Result<(Record, Promise), Rejected> {
        self.check_ballot(request.ballot)?;
        self.promised = Some(request.ballot);
        let promise = Promise {
            number: self.number.get(),
            ballot: request.ballot,
            accepted: self.accepted.clone(),
        };
        let record = Record {
            number: self.number.get(),
            promised: self.promised,
            ..Record::default()
        };
        Ok((record, promise))
    }

    /// Phase 2: accepts a value.
    ///
    /// # Errors
    /// A higher ballot is promised.
    pub(crate) fn on_accept(&mut self, request: Accept) -> Result<(Record, AcceptAck), Rejected> {
        self.check_ballot(request.ballot)?;
        self.promised = Some(request.ballot);
        self.accepted = Some(Accepted {
            ballot: request.ballot,
            value: request.value,
        });
        let ack = AcceptAck {
            number: self.number.get(),
            ballot: request.ballot,
        };
        let record = Record {
            number: self.number.get(),
            promised: self.promised,
            accepted: self.accepted.clone(),
            ..Record::default()
        };
        Ok((record, ack))
    }

    fn check_ballot(&self, ballot: Ballot) -> Result<(), Rejected> {
        match self.promised.filter(|promised| *promised > ballot) {
            Some(promised) => Err(Rejected {
                number: self.number.get(),
                promised,
            }),
            None => Ok(()),
        }
    }
}
