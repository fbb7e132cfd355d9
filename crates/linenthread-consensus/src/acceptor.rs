use linenthread_messages::{
    Accept, AcceptAck, Accepted, Ballot, Prepare, Promise, Record, Rejected,
};

/// Promises and acceptances of this node's disk, for one number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Acceptor {
    /// What all below is for. It may be above the next number, if the disk holds less of what is decided than of
    /// what was accepted: every number below is decided then, and none of them is accepted anew.
    number: u64,
    promised: Option<Ballot>,
    accepted: Option<Accepted>,
}

impl Acceptor {
    pub(crate) fn new(
        number: u64,
        promised: Option<Ballot>,
        accepted: Option<Accepted>,
    ) -> Acceptor {
        Acceptor {
            number,
            promised,
            accepted,
        }
    }

    /// The least number that it may take part in.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// It accepted something that, as far as it knows, is not decided.
    pub(crate) fn has_undecided(&self) -> bool {
        self.accepted.is_some()
    }

    /// All below this number is decided: nothing that was promised for it binds any more.
    pub(crate) fn advance_to(&mut self, number: u64) {
        if number > self.number {
            *self = Acceptor::new(number, None, None);
        }
    }

    /// Promises to accept nothing under an earlier ballot; the record is synced before the promise is said.
    pub(crate) fn on_prepare(&mut self, request: &Prepare) -> Result<(Record, Promise), Rejected> {
        self.refuse_older(request.ballot)?;
        self.promised = Some(request.ballot);
        let accepted = self.accepted.clone();
        let promise = Promise {
            number: self.number,
            ballot: request.ballot,
            accepted,
        };
        let record = Record {
            number: self.number,
            promised: self.promised,
            ..Record::default()
        };
        Ok((record, promise))
    }

    /// Accepts a value; the record is synced before the acknowledgement is said.
    pub(crate) fn on_accept(&mut self, request: Accept) -> Result<(Record, AcceptAck), Rejected> {
        self.refuse_older(request.ballot)?;
        self.promised = Some(request.ballot);
        self.accepted = Some(Accepted {
            ballot: request.ballot,
            value: request.value,
        });
        let record = Record {
            number: self.number,
            promised: self.promised,
            accepted: self.accepted.clone(),
            ..Record::default()
        };
        Ok((
            record,
            AcceptAck {
                number: self.number,
                ballot: request.ballot,
            },
        ))
    }

    fn refuse_older(&self, ballot: Ballot) -> Result<(), Rejected> {
        match self.promised.filter(|promised| *promised > ballot) {
            Some(promised) => Err(Rejected {
                number: self.number,
                promised,
            }),
            None => Ok(()),
        }
    }
}
