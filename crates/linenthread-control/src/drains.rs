//! Calls of replicas that drain or depart, each acknowledged when a majority of the voters' machines know of
//! it.

use std::collections::BTreeSet;

use crate::timing::CALL;
use crate::{CallId, Response};

struct Drain {
    call: CallId,
    ident: String,
    receipt: u64,
    until: u64,
    known_by: BTreeSet<u64>,
}

/// The calls that wait, and the replicas that a majority knows to drain or to have departed.
#[derive(Default)]
pub(crate) struct Drains {
    waiting: Vec<Drain>,
    known_by_majority: BTreeSet<String>,
    receipts: u64,
}

impl Drains {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn is_known_by_majority(&self, ident: &str) -> bool {
        self.known_by_majority.contains(ident)
    }

    /// It is to be made known anew.
    pub(crate) fn forget(&mut self, ident: &str) {
        self.known_by_majority.remove(ident);
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.known_by_majority.retain(|ident| keep(ident));
    }

    /// A call waits from now on; the number that receipts of it are to name.
    pub(crate) fn begin(&mut self, now: u64, call: CallId, ident: &str, own_disk: u64) -> u64 {
        self.receipts += 1;
        self.waiting.push(Drain {
            call,
            ident: ident.to_owned(),
            receipt: self.receipts,
            until: now + CALL,
            known_by: BTreeSet::from([own_disk]),
        });
        self.receipts
    }

    pub(crate) fn on_receipt(&mut self, disk: u64, receipt: u64) {
        for drain in self
            .waiting
            .iter_mut()
            .filter(|drain| drain.receipt == receipt)
        {
            drain.known_by.insert(disk);
        }
    }

    /// What the machine of a disk knew may have gone with it.
    pub(crate) fn disk_gone(&mut self, disk: u64) {
        for drain in &mut self.waiting {
            drain.known_by.remove(&disk);
        }
    }

    /// The calls that end now, each with its answer.
    pub(crate) fn settle(
        &mut self,
        now: u64,
        is_majority: impl Fn(&BTreeSet<u64>) -> bool,
    ) -> Vec<(CallId, Response)> {
        let known = &mut self.known_by_majority;
        let mut answers = Vec::new();
        self.waiting.retain(|drain| {
            // What waited through a freeze is late, whoever may have said since that it knows.
            let answer = if now >= drain.until {
                Response::Unavailable("too few others know of it")
            } else if is_majority(&drain.known_by) {
                known.insert(drain.ident.clone());
                Response::Acknowledged(None)
            } else {
                return true;
            };
            answers.push((drain.call, answer));
            false
        });
        answers
    }
}
