//! Hosts the instances: passes the events of a batch to their instances and collects the decisions.

use std::collections::BTreeMap;

use linenthread_terms::tenth_millis;
use snafu::OptionExt;

use crate::error::{AdapterError, UnknownInstanceSnafu};
use crate::event::{EventKind, ListEntry};
use crate::fields::Fields;
use crate::instance::{Instance, Lists};
use crate::reply::Reply;

/// All instances of one process, and the lists that they share.
#[derive(Default)]
pub(crate) struct Host {
    lists: Lists,
    /// Ordered by number, so that the reply does not depend on other instances in the process.
    instances: BTreeMap<u32, Instance>,
    /// Instances that received an event in the current batch.
    active: Vec<u32>,
}

impl Host {
    /// Processes one batch, passed without its length, and returns the reply.
    pub(crate) fn on_batch(&mut self, batch: &[u8]) -> Result<Vec<u8>, AdapterError> {
        let mut fields = Fields::new(batch);
        let now = tenth_millis(fields.f64("clock")?);
        self.active.clear();
        while !fields.is_empty() {
            self.on_event(&mut fields)?;
        }
        self.active.sort_unstable();
        self.active.dedup();
        let mut reply = Reply::new();
        for &number in &self.active {
            // Instances killed in this batch no longer exist.
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.step(number, now, &mut reply);
            }
        }
        Ok(reply.finish())
    }

    fn on_event(&mut self, fields: &mut Fields) -> Result<(), AdapterError> {
        let kind = EventKind::read(fields)?;
        if kind == EventKind::List {
            return self.on_list(fields);
        }
        let number = fields.u32("who")?;
        if kind == EventKind::Boot {
            let instance = Instance::boot(fields)?;
            self.instances.insert(number, instance);
            self.active.push(number);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(&number)
            .context(UnknownInstanceSnafu { instance: number })?;
        self.active.push(number);
        if let EventKind::Input(kind) = kind {
            return instance.on_event(kind, fields, &self.lists);
        }
        self.instances.remove(&number);
        Ok(())
    }

    fn on_list(&mut self, fields: &mut Fields) -> Result<(), AdapterError> {
        let number = fields.u16("ref")?;
        let count = fields.u32("elements")?;
        let entries = (0..count)
            .map(|_| ListEntry::read(fields))
            .collect::<Result<_, _>>()?;
        self.lists.insert(number, entries);
        Ok(())
    }
}
