//! One co-ordinator instance: decodes its events into inputs and runs its steps.

use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use linenthread_core::Coordinator;
use linenthread_core::conversion::{to_count, to_tenth_millis};
use linenthread_core::interface::{
    AttemptResult, Inputs, MembershipUpdate, NewQuery, NewSubRequest, ProbeResult, SearchIndex,
    TenthMillis,
};
use linenthread_terms::{self as terms, tenth_millis};
use snafu::{OptionExt, ensure};

use crate::encoder::Encoder;
use crate::error::{AdapterError, UnknownClassSnafu, UnknownListSnafu, UnknownModeSnafu};
use crate::event::{
    InputKind, ListEntry, STREAMING_BYTES, membership_mode, read_outcome, read_queue_depth,
};
use crate::fields::Fields;
use crate::ids::{IdTable, Target};
use crate::reply::{Reply, action};

/// Units of [`TenthMillis`] in a millisecond.
const TENTHS_PER_MS: f64 = 10.0;

/// Lists that membership events refer to, by number.
pub(crate) type Lists = HashMap<u16, Vec<ListEntry>>;

/// A co-ordinator and its table of ids.
pub(crate) struct Instance {
    coordinator: Coordinator,
    ids: IdTable,
    index_count: usize,
    /// The position of the queue depth in a load report.
    queue_position: Option<usize>,
    /// Inputs received in the current batch.
    inputs: Inputs,
}

impl Instance {
    /// Reads the event that starts an instance.
    pub(crate) fn boot(fields: &mut Fields) -> Result<Instance, AdapterError> {
        let seed = fields.u64("init-seed")?;
        let length = fields.count("config")?;
        let settings = terms::parse_settings(fields.bytes(length, "config")?)?;
        let config = terms::coordinator_config(&settings)?;
        Ok(Instance {
            index_count: config.indexes.len(),
            coordinator: Coordinator::new(config, seed),
            ids: IdTable::default(),
            queue_position: terms::queue_position(&settings),
            inputs: Inputs::default(),
        })
    }

    /// Reads an event for a running instance.
    pub(crate) fn on_event(
        &mut self,
        kind: InputKind,
        fields: &mut Fields,
        lists: &Lists,
    ) -> Result<(), AdapterError> {
        match kind {
            InputKind::Membership => self.on_membership(fields, lists)?,
            InputKind::Request => self.on_request(fields)?,
            InputKind::Streaming => _ = fields.bytes(STREAMING_BYTES, "streaming")?,
            InputKind::AttemptResult => self.on_attempt_result(fields)?,
            InputKind::Abandoned => self.on_abandoned(fields)?,
            // There is a single timer, and its only purpose is to run the instance.
            InputKind::Timer => _ = fields.u64("label")?,
            InputKind::ProbeResult => self.on_probe_result(fields)?,
            InputKind::PeerMessage => skip_peer_message(fields)?,
        }
        Ok(())
    }

    /// Runs a step on the inputs received and writes its decisions to the reply.
    pub(crate) fn step(&mut self, number: u32, now: TenthMillis, reply: &mut Reply) {
        self.inputs.now = now;
        let (coordinator, inputs) = (&mut self.coordinator, &self.inputs);
        let mut encoder = Encoder {
            instance: number,
            ids: &mut self.ids,
            reply,
        };
        let result = catch_unwind(AssertUnwindSafe(|| {
            coordinator.step(inputs, &mut encoder);
        }));
        if let Err(cause) = result {
            let text = match (cause.downcast_ref::<String>(), cause.downcast_ref::<&str>()) {
                (Some(text), _) => text.as_str(),
                (None, Some(text)) => text,
                (None, None) => "the decision module panicked",
            };
            reply.record(action::PANICKED, number).put_text(text);
        }
        self.inputs = Inputs::default();
    }

    fn on_membership(&mut self, fields: &mut Fields, lists: &Lists) -> Result<(), AdapterError> {
        let mode = fields.u8("mode")?;
        fields.u64("rev")?;
        let list = fields.u16("ref")?;
        if mode == membership_mode::UNAVAILABLE {
            self.inputs.membership.push(MembershipUpdate::Unavailable);
            return Ok(());
        }
        let entries = lists.get(&list).context(UnknownListSnafu { list })?;
        let update = match mode {
            membership_mode::DELTA => MembershipUpdate::Delta,
            membership_mode::SNAPSHOT => MembershipUpdate::Snapshot,
            membership_mode::CACHED => MembershipUpdate::Cached,
            mode => return UnknownModeSnafu { mode }.fail(),
        };
        let entries = entries
            .iter()
            .map(|entry| entry.to_membership(&mut self.ids));
        let update = update(entries.collect());
        self.inputs.membership.push(update);
        Ok(())
    }

    /// Reads a query or one of its sub-requests; only sub-requests have a shard of 0 or more.
    fn on_request(&mut self, fields: &mut Fields) -> Result<(), AdapterError> {
        let id = fields.u64("request-id")?;
        let index = usize::from(fields.u16("class")?);
        ensure!(index < self.index_count, UnknownClassSnafu { class: index });
        let customer = fields.count("client-group")?;
        let key = fields.u64("partition-key")?;
        // Rounded down, unlike other times, because a response must not arrive after the deadline.
        let hard_deadline = to_tenth_millis((fields.f64("deadline-ms")? * TENTHS_PER_MS).floor());
        fields.f64("expected-ms")?;
        let number = fields.f32("whole-no")?.to_bits();
        let shard = fields.f32("segment-no")?;
        let weight = f64::from(fields.f32("size-or-weight")?);
        fields.u16("marks")?;
        if shard < 0.0 {
            self.inputs.queries.push(NewQuery {
                query: self.ids.add_query(id, number),
                search_index: SearchIndex(index),
                customer,
                key: (key != 0).then_some(key),
                sequence_number: u64::from(number),
                hard_deadline,
            });
        } else if let Some(query) = self.ids.add_sub_request(id, number) {
            self.inputs.sub_requests.push(NewSubRequest {
                query,
                shard: to_count(f64::from(shard)),
                weight,
            });
        }
        Ok(())
    }

    fn on_attempt_result(&mut self, fields: &mut Fields) -> Result<(), AdapterError> {
        let id = fields.u64("request-id")?;
        let attempt = usize::from(fields.u8("try")?);
        fields.u32("replica")?;
        let outcome = read_outcome(fields)?;
        let elapsed = tenth_millis(fields.f64("delay-seen-ms")?);
        fields.u8("no-more")?;
        let queue_depth = read_queue_depth(fields, self.queue_position)?;
        if let Some(Target::SubRequest { query, sub_request }) = self.ids.target(id) {
            self.inputs.results.push(AttemptResult {
                query,
                sub_request,
                attempt,
                outcome,
                elapsed,
                queue_depth,
            });
        }
        Ok(())
    }

    fn on_abandoned(&mut self, fields: &mut Fields) -> Result<(), AdapterError> {
        let id = fields.u64("request-id")?;
        if let Some(Target::Query(query)) = self.ids.target(id) {
            self.inputs.cancelled.push(query);
        }
        Ok(())
    }

    fn on_probe_result(&mut self, fields: &mut Fields) -> Result<(), AdapterError> {
        let replica = self.ids.replica_index(fields.u32("replica")?);
        let outcome = read_outcome(fields)?;
        fields.f64("delay-seen-ms")?;
        let queue_depth = read_queue_depth(fields, self.queue_position)?;
        self.inputs.probes.push(ProbeResult {
            replica,
            outcome,
            queue_depth,
        });
        Ok(())
    }
}

/// Skips a message from another co-ordinator, since co-ordinators share no state.
fn skip_peer_message(fields: &mut Fields) -> Result<(), AdapterError> {
    fields.u32("from")?;
    let length = usize::from(fields.u16("body")?);
    fields.bytes(length, "body")?;
    Ok(())
}
