//! The Paxos acceptor for one number.

use linenthread_messages::{
    Accept, AcceptAck, Accepted, Ballot, Prepare, Promise, Record, Rejected,
};

use crate::value_number::ValueNumber;

/// The promises and the accepted value of this node for one number.
///
/// [`crate::Register`] passes it only requests for this number.
///
/// `on_prepare` and `on_accept` return a record that must be synced before the reply is sent, so that promises and
/// acceptances survive a restart (*one-value-per-number*).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Acceptor {
    /// The number that the other fields apply to. Normally the one after the newest decided value. After a restart it
    /// may be higher, if the disk dropped the record of a decided value. In that case all lower numbers are decided,
    /// and this node no longer accepts anything for them.
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

    /// Returns the only number that this acceptor votes on: all lower ones are decided, and the next one can only be
    /// decided after this one.
    pub(crate) fn number(&self) -> ValueNumber {
        self.number
    }

    /// Reports whether this node has accepted a value that it does not know to be decided.
    pub(crate) fn has_undecided_value(&self) -> bool {
        self.accepted.is_some()
    }

    /// Discards the promises and acceptances for lower numbers, which are all decided.
    pub(crate) fn advance_to(&mut self, number: ValueNumber) {
        if number > self.number {
            *self = Acceptor::new(number, None, None);
        }
    }

    /// Handles phase 1: promises not to accept a value under a lower ballot.
    ///
    /// # Errors
    /// Fails if a higher ballot is promised already.
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

    /// Handles phase 2: accepts a value.
    ///
    /// # Errors
    /// Fails if a higher ballot is promised already.
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
