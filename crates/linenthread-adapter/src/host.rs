//! Hosts the instances: decodes each batch into what came in for one co-ordinator, and encodes what it
//! decides. Ids become indices here; nothing else is known of them beyond this file.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, Inputs, MembershipEntry, MembershipUpdate, NewQuery,
    NewSubRequest, Phase, ProbeResult, TenthMillis,
};
use linenthread_core::{Coordinator, DecisionSink};
use linenthread_terms::{self as terms, tenth_millis};

use crate::frame::{Fields, Reply};

/// A list entry as it came; it is matched to an instance's indices only when news refers to it.
struct Entry {
    replica: u32,
    site: u16,
    cell: u16,
    phase: Phase,
    started: f64,
}

/// The ids behind one lookup's index.
#[derive(Default)]
struct Ids {
    lookup: u64,
    number: u32,
    parts: Vec<u64>,
}

/// Which index stands for which id, one way and back.
#[derive(Default)]
struct Names {
    replicas: Vec<u32>,
    replica_index: HashMap<u32, usize>,
    lookups: Vec<Ids>,
    free: Vec<usize>,
    by_number: HashMap<u32, usize>,
    /// Lookups and parts by id; a lookup itself has no part.
    by_id: HashMap<u64, (usize, Option<usize>)>,
}

impl Names {
    fn replica(&mut self, id: u32) -> usize {
        let replicas = &mut self.replicas;
        *self.replica_index.entry(id).or_insert_with(|| {
            replicas.push(id);
            replicas.len() - 1
        })
    }

    fn add_lookup(&mut self, id: u64, number: u32) -> usize {
        let ids = Ids {
            lookup: id,
            number,
            parts: Vec::new(),
        };
        let lookup = if let Some(free) = self.free.pop() {
            self.lookups[free] = ids;
            free
        } else {
            self.lookups.push(ids);
            self.lookups.len() - 1
        };
        self.by_number.insert(number, lookup);
        self.by_id.insert(id, (lookup, None));
        lookup
    }
}

struct Instance {
    coordinator: Coordinator,
    names: Names,
    indexes: usize,
    queue_at: Option<usize>,
    arrivals: Inputs,
}

/// Encodes one co-ordinator's decisions into the reply.
struct Encoder<'a> {
    who: u32,
    names: &'a mut Names,
    reply: &'a mut Reply,
}

fn ms(time: TenthMillis) -> [u8; 8] {
    (time as f64 / 10.0).to_be_bytes()
}

impl Encoder<'_> {
    fn on_lookup(&mut self, code: u8, lookup: usize) -> &mut Reply {
        let id = self.names.lookups[lookup].lookup;
        self.reply.record(code, self.who).put(&id.to_be_bytes())
    }

    fn on_part(&mut self, code: u8, lookup: usize, part: usize) -> &mut Reply {
        let id = self.names.lookups[lookup].parts[part];
        self.reply.record(code, self.who).put(&id.to_be_bytes())
    }
}

impl DecisionSink for Encoder<'_> {
    fn send(&mut self, lookup: usize, part: usize, replica: usize, time_out: TenthMillis) {
        let id = self.names.replicas[replica];
        self.on_part(12, lookup, part)
            .put(&id.to_be_bytes())
            .put(&ms(time_out));
    }

    fn cancel(&mut self, lookup: usize, part: usize, call: usize) {
        self.on_part(4, lookup, part).put(&[call as u8]);
    }

    fn respond(&mut self, lookup: usize, whole: bool) {
        self.on_lookup(8, lookup).put(&[u8::from(whole)]);
    }

    fn reject(&mut self, lookup: usize, retry_after: Option<TenthMillis>) {
        self.on_lookup(5, lookup).put(&ms(retry_after.unwrap_or(0)));
    }

    fn fail(&mut self, lookup: usize) {
        self.on_lookup(1, lookup);
    }

    fn release(&mut self, lookup: usize) {
        let ids = std::mem::take(&mut self.names.lookups[lookup]);
        for id in ids.parts.iter().chain([&ids.lookup]) {
            self.names.by_id.remove(id);
        }
        if self.names.by_number.get(&ids.number) == Some(&lookup) {
            self.names.by_number.remove(&ids.number);
        }
        self.names.free.push(lookup);
    }

    fn probe(&mut self, replica: usize) {
        let id = self.names.replicas[replica];
        self.reply.record(13, self.who).put(&id.to_be_bytes());
    }

    fn close_idle(&mut self, replica: usize) {
        let id = self.names.replicas[replica];
        self.reply.record(10, self.who).put(&id.to_be_bytes());
    }

    fn watch_membership(&mut self) {
        self.reply.record(11, self.who).put(&[1]);
    }

    fn wake_at(&mut self, at: TenthMillis) {
        self.reply
            .record(2, self.who)
            .put(&0u64.to_be_bytes())
            .put(&ms(at));
    }
}

fn ending(code: u16) -> Result<AttemptOutcome, String> {
    Ok(match code {
        100 => AttemptOutcome::Success,
        301 => AttemptOutcome::Error,
        302 => AttemptOutcome::Rejected,
        303 => AttemptOutcome::TimedOut,
        304 => AttemptOutcome::ConnectFailed,
        305 => AttemptOutcome::ConnectionLost,
        306 => AttemptOutcome::Cancelled,
        307 => AttemptOutcome::NotSent,
        _ => return Err(format!("unknown outcome {code}")),
    })
}

fn read_entry(f: &mut Fields) -> Result<Entry, String> {
    let replica = f.u32("replica")?;
    let site = f.u16("site")?;
    f.u16("sku")?;
    let cell = f.u16("set-no")?;
    let phase = match f.u8("phase")? {
        0 => Phase::Removed,
        1 => Phase::Ready,
        2 => Phase::Draining,
        other => return Err(format!("unknown phase {other}")),
    };
    f.f32("size")?;
    Ok(Entry {
        replica,
        site,
        cell,
        phase,
        started: f.f64("online-since-ms")?,
    })
}

/// Of a load report only the waiting parts are read, where they are told.
fn read_queue(f: &mut Fields, at: Option<usize>) -> Result<Option<f64>, String> {
    let mut queue = None;
    for i in 0..usize::from(f.u8("stats")?) {
        let value = f64::from(f.f32("stats")?);
        if Some(i) == at && value.is_finite() {
            queue = Some(value.max(0.0));
        }
    }
    Ok(queue)
}

/// All instances of one process, and the lists that they share.
#[derive(Default)]
pub(crate) struct Host {
    lists: HashMap<u16, Vec<Entry>>,
    /// In order of number, so that replies come out the same whatever else the process hosts.
    instances: BTreeMap<u32, Instance>,
    /// Instances that had an event in the batch under way.
    touched: Vec<u32>,
}

impl Host {
    /// Takes one frame (without its length) and makes the reply to it.
    pub(crate) fn batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, String> {
        let mut f = Fields::new(frame);
        let now = tenth_millis(f.f64("clock")?);
        self.touched.clear();
        while !f.is_empty() {
            self.event(&mut f)?;
        }
        self.touched.sort_unstable();
        self.touched.dedup();
        let mut reply = Reply::new();
        for &who in &self.touched {
            let Some(instance) = self.instances.get_mut(&who) else {
                continue;
            };
            instance.arrivals.now = now;
            let mut encoder = Encoder {
                who,
                names: &mut instance.names,
                reply: &mut reply,
            };
            let (coordinator, arrivals) = (&mut instance.coordinator, &instance.arrivals);
            if let Err(cause) = catch_unwind(AssertUnwindSafe(|| {
                coordinator.step(arrivals, &mut encoder);
            })) {
                let text = match (cause.downcast_ref::<String>(), cause.downcast_ref::<&str>()) {
                    (Some(text), _) => text.as_str(),
                    (None, Some(text)) => text,
                    (None, None) => "the decision module panicked",
                };
                reply.record(3, who).put_text(text);
            }
            instance.arrivals = Inputs::default();
        }
        Ok(reply.finish())
    }

    fn event(&mut self, f: &mut Fields) -> Result<(), String> {
        let code = f.u8("event code")?;
        if code == 11 {
            let number = f.u16("ref")?;
            let n = f.u32("elements")?;
            let entries = (0..n).map(|_| read_entry(f)).collect::<Result<_, _>>()?;
            self.lists.insert(number, entries);
            return Ok(());
        }
        if !(1..=10).contains(&code) {
            return Err(format!("unknown event code {code}"));
        }
        let who = f.u32("who")?;
        if code == 1 {
            let seed = f.u64("init-seed")?;
            let n = f.u32("config")? as usize;
            let settings =
                terms::parse_settings(f.bytes(n, "config")?).map_err(|e| e.to_string())?;
            let (deployment, queue_at) = (
                terms::coordinator_config(&settings).map_err(|e| e.to_string())?,
                terms::queue_position(&settings),
            );
            let indexes = deployment.indexes.len();
            let coordinator = Coordinator::new(deployment, seed);
            let (names, arrivals) = (Names::default(), Inputs::default());
            self.instances.insert(
                who,
                Instance {
                    coordinator,
                    names,
                    indexes,
                    queue_at,
                    arrivals,
                },
            );
            self.touched.push(who);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(&who)
            .ok_or_else(|| format!("unknown instance {who}"))?;
        self.touched.push(who);
        let (names, arrivals) = (&mut instance.names, &mut instance.arrivals);
        match code {
            2 => {
                let mode = f.u8("mode")?;
                f.u64("rev")?;
                let number = f.u16("ref")?;
                if mode == 3 {
                    arrivals.membership.push(MembershipUpdate::Unavailable);
                    return Ok(());
                }
                let entries = self
                    .lists
                    .get(&number)
                    .ok_or_else(|| format!("unknown list {number}"))?;
                let listed = entries
                    .iter()
                    .map(|e| MembershipEntry {
                        replica: names.replica(e.replica),
                        id: u64::from(e.replica),
                        replica_group: usize::from(e.cell),
                        zone: usize::from(e.site),
                        phase: e.phase,
                        started_at: (e.started != 0.0).then(|| tenth_millis(e.started)),
                        slow_start_share: None,
                    })
                    .collect();
                arrivals.membership.push(match mode {
                    0 => MembershipUpdate::Delta(listed),
                    1 => MembershipUpdate::Snapshot(listed),
                    2 => MembershipUpdate::Cached(listed),
                    other => return Err(format!("unknown registry mode {other}")),
                });
            }
            3 => read_request(f, instance.indexes, names, arrivals)?,
            4 => {
                f.bytes(21, "streaming")?; // no index of this family streams
            }
            5 => {
                let id = f.u64("request-id")?;
                let call = usize::from(f.u8("try")?);
                f.u32("replica")?;
                let ending = ending(f.u16("rc")?)?;
                let took = tenth_millis(f.f64("delay-seen-ms")?);
                f.u8("no-more")?;
                let queue = read_queue(f, instance.queue_at)?;
                if let Some(&(lookup, Some(part))) = names.by_id.get(&id) {
                    arrivals.results.push(AttemptResult {
                        query: lookup,
                        sub_request: part,
                        attempt: call,
                        outcome: ending,
                        elapsed: took,
                        queue_depth: queue,
                    });
                }
            }
            6 => {
                let id = f.u64("request-id")?;
                if let Some(&(lookup, None)) = names.by_id.get(&id) {
                    arrivals.abandoned.push(lookup);
                }
            }
            7 => {
                f.u64("label")?; // there is one wake-up; being called is its whole message
            }
            8 => {
                let replica = names.replica(f.u32("replica")?);
                let ending = ending(f.u16("rc")?)?;
                f.f64("delay-seen-ms")?;
                let queue = read_queue(f, instance.queue_at)?;
                arrivals.probes.push(ProbeResult {
                    replica,
                    outcome: ending,
                    queue_depth: queue,
                });
            }
            9 => {
                f.u32("from")?;
                let n = usize::from(f.u16("body")?);
                f.bytes(n, "body")?; // co-ordinators share nothing
            }
            _ => {
                self.instances.remove(&who);
            }
        }
        Ok(())
    }
}

fn read_request(
    f: &mut Fields,
    indexes: usize,
    names: &mut Names,
    arrivals: &mut Inputs,
) -> Result<(), String> {
    let id = f.u64("request-id")?;
    let index = usize::from(f.u16("class")?);
    if index >= indexes {
        return Err(format!("unknown class {index}"));
    }
    let customer = f.u32("client-group")? as usize;
    let key = f.u64("partition-key")?;
    let hard_deadline = (f.f64("deadline-ms")? * 10.0).floor() as TenthMillis;
    f.f64("expected-ms")?;
    let number = f.f32("whole-no")?;
    let shard = f.f32("segment-no")?;
    let amount = f64::from(f.f32("size-or-weight")?);
    f.u16("marks")?;
    if shard < 0.0 {
        let lookup = names.add_lookup(id, number.to_bits());
        let key = (key != 0).then_some(key);
        let number = u64::from(number.to_bits());
        arrivals.queries.push(NewQuery {
            query: lookup,
            index,
            customer,
            key,
            sequence_number: number,
            hard_deadline,
        });
    } else if let Some(&lookup) = names.by_number.get(&number.to_bits()) {
        let parts = &mut names.lookups[lookup].parts;
        names.by_id.insert(id, (lookup, Some(parts.len())));
        parts.push(id);
        arrivals.sub_requests.push(NewSubRequest {
            query: lookup,
            shard: shard as usize,
            weight: amount,
        });
    }
    Ok(())
}
