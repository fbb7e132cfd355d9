//! Merged answers: clients that read pages, totals and groups through the decision module and the merge
//! package over a fleet in simulated time, each answer judged by the full data.

use std::collections::BTreeMap;

use linenthread_core::interface::{
    AttemptOutcome, Idempotency, IndexConfig, NewQuery, NewSubRequest, TenthMillis,
};
use linenthread_merge::{
    Asked, Figure, First, Form, Groups, Kind, Marks, Measure, Merge, Order, PageWish, Plan, Rows,
    Taken,
};
use linenthread_stand_ins::checker::{self, Reading};
use linenthread_stand_ins::ledger::{Donation, Ledger};
use oorandom::Rand64;
use serde_json::Value;

use crate::fleet::{CALLS_A_PART, Decision, Event, Fate, Fleet, Manner, SHARDS};

/// Clients at once, each with rows of its own.
const CLIENTS: usize = 6;
const SOFT: TenthMillis = 4_000;
const HARD: TenthMillis = 9_000;
/// Groups told by themselves at the most.
const MOST_GROUPS: usize = 3;
/// Breaches that are printed.
const PRINTED: usize = 10;

#[derive(Clone, Debug)]
pub(crate) struct Drill {
    pub lookups: usize,
    pub seed: u64,
    pub slow: Option<f64>,
    pub floor: f64,
    pub only_delays: bool,
}

fn plans() -> Vec<Plan> {
    let measure = |figures: &[Figure]| {
        vec![Measure {
            field: "amount".into(),
            scale: 2,
            never_negative: true,
            figures: figures.to_vec(),
        }]
    };
    let order = |field: &str, kind| Order {
        field: field.into(),
        kind,
        descending: true,
    };
    let rows = Rows {
        order: vec![order("date", Kind::Text), order("amount", Kind::Decimal(2))],
        identity: "id".into(),
        distinct: None,
        page: 5,
        most: 100,
        pages: true,
    };
    let all = [
        Figure::Sum,
        Figure::Count,
        Figure::Least,
        Figure::Most,
        Figure::Mean,
    ];
    let groups = Groups {
        measures: measure(&[Figure::Sum, Figure::Count]),
        most: MOST_GROUPS,
        first: First::Largest,
        held: 100,
    };
    vec![
        Plan {
            index: "history".into(),
            form: Form::Rows(rows),
        },
        Plan {
            index: "pledges".into(),
            form: Form::Totals(measure(&all)),
        },
        Plan {
            index: "charities".into(),
            form: Form::Groups(groups),
        },
    ]
}

/// Totals are whole for the module from less than all parts on: their answer must not say so.
fn index(floor: f64, need: f64) -> IndexConfig {
    IndexConfig {
        idempotency: Idempotency::Idempotent,
        soft_deadline: SOFT,
        value: 1.0,
        late_value_share: 0.1,
        complete_share: need,
        min_share: floor,
        partial_value: 0.9,
        fetch_sub_requests: 0,
    }
}

/// A lookup under way.
struct Open<'p> {
    merge: Merge<'p>,
    client: usize,
    limit: usize,
    hard: TenthMillis,
    answered: bool,
    calls: BTreeMap<usize, usize>,
    /// The round of each part call, and what it asked.
    rounds: BTreeMap<(usize, usize), (u32, String)>,
}

/// A client that reads on, page by page.
struct Client {
    ledger: Ledger,
    asked: Vec<(usize, f64)>,
    plan: usize,
    reading: Reading,
    added: Vec<Donation>,
    mark: Option<String>,
    /// Most rows that its replicas give at once.
    most_rows: usize,
}

#[derive(Default)]
struct Counts {
    asked: usize,
    whole: usize,
    partial: usize,
    cut: usize,
    refused: usize,
    onward: usize,
    again: usize,
    breaches: usize,
}

struct Play<'p> {
    drill: &'p Drill,
    plans: &'p [Plan],
    marks: Marks,
    fleet: Fleet,
    open: BTreeMap<usize, Open<'p>>,
    clients: Vec<Client>,
    counts: Counts,
    /// Lookups' indices that may be used again, and how many there are.
    free: Vec<usize>,
    indices: usize,
}

impl Drill {
    /// Asks all lookups; how many there were and how many breaches were found.
    pub(crate) fn run(&self) -> (usize, usize) {
        let plans = plans();
        let mut chance = Rand64::new(u128::from(self.seed));
        let manner = Manner {
            slow: self.slow.unwrap_or_else(|| chance.rand_float() * 0.1),
            faults: if self.only_delays {
                0.0
            } else {
                0.02 + 0.2 * chance.rand_float()
            },
            changes: !self.only_delays,
        };
        let marks =
            Marks::new(vec![b"a secret of the drill".to_vec()], 1 << 40).expect("long enough");
        let client = |_| Client {
            ledger: Ledger::new(&mut chance, SHARDS, 14),
            asked: Vec::new(),
            plan: 0,
            reading: Reading::new(&[]),
            added: Vec::new(),
            mark: None,
            most_rows: 4,
        };
        let clients: Vec<Client> = (0..CLIENTS).map(client).collect();
        let need = |plan: &Plan| {
            if plan.index == "pledges" {
                self.floor.max(0.8)
            } else {
                1.0
            }
        };
        let indexes = plans
            .iter()
            .map(|plan| index(self.floor, need(plan)))
            .collect();
        let mut play = Play {
            drill: self,
            plans: &plans,
            marks,
            fleet: Fleet::new(indexes, self.seed, manner),
            open: BTreeMap::new(),
            clients,
            counts: Counts::default(),
            free: Vec::new(),
            indices: 0,
        };
        (0..CLIENTS).for_each(|c| play.fleet.schedule(1 + c as TenthMillis, Event::Client(c)));
        while play.counts.asked < self.lookups || !play.open.is_empty() {
            play.step();
        }
        let Counts {
            asked,
            whole,
            partial,
            cut,
            refused,
            onward,
            again,
            breaches,
        } = play.counts;
        let share = |n: usize| 100.0 * n as f64 / asked.max(1) as f64;
        println!(
            "slow {:.3}, faults {:.3}, floor {}: {:.1}% whole, {:.1}% partial, {:.1}% cut, {:.1}% refused; \
             {onward} parts asked on, {again} second answers",
            manner.slow,
            manner.faults,
            self.floor,
            share(whole),
            share(partial),
            share(cut),
            share(refused)
        );
        (asked, breaches)
    }
}

impl Play<'_> {
    fn breach(&mut self, lookup: usize, why: &str) {
        self.counts.breaches += 1;
        if self.counts.breaches <= PRINTED {
            let Drill {
                seed,
                lookups,
                floor,
                slow,
                only_delays,
            } = self.drill;
            let mut slow = slow.map_or_else(String::new, |slow| format!(" --slow {slow}"));
            slow.push_str(if *only_delays { " --only-delays" } else { "" });
            println!("breach at lookup {lookup}: {why}");
            println!(
                "  again: linenthread-drill merged --lookups {lookups} --seed {seed} --floor {floor}{slow}"
            );
        }
    }

    fn step(&mut self) {
        for event in self.fleet.next() {
            match event {
                Event::Client(client) if self.counts.asked < self.drill.lookups => self.ask(client),
                Event::Ends(l, p, c, fate) => self.ends(l, p, c, fate),
                _ => {}
            }
        }
        for decision in self.fleet.round() {
            self.decided(&decision);
        }
    }

    /// A client's next lookup: the next page, after rows were added perhaps, or another reading.
    fn ask(&mut self, c: usize) {
        let client = &mut self.clients[c];
        let chance = &mut self.fleet.chance;
        let mut below = |n: usize| chance.rand_range(0..n.max(1) as u64) as usize;
        if client.mark.is_none() {
            let mut shards: Vec<usize> = (0..SHARDS).filter(|_| below(3) > 0).collect();
            if shards.is_empty() {
                shards.push(below(SHARDS));
            }
            let turn = below(shards.len());
            shards.rotate_left(turn);
            let weights: Vec<f64> = shards.iter().map(|_| 1.0 + below(4) as f64).collect();
            let all: f64 = weights.iter().sum();
            client.asked = shards
                .into_iter()
                .zip(weights.iter().map(|w| w / all))
                .collect();
            client.plan = [0, 0, 1, 2][below(4)];
            client.reading = Reading::new(&client.asked);
            client.added.clear();
            client.most_rows = 1 + below(8);
            if below(20) == 0 {
                client.ledger = Ledger::new(chance, SHARDS, 14);
            }
        } else if below(2) == 0 {
            let slice = client.asked[below(client.asked.len())].0;
            let donation = client.ledger.add(chance, slice);
            client.added.push(donation);
        }
        let plan = &self.plans[client.plan];
        let limit = 1 + chance.rand_range(0..9) as usize;
        let is_rows = matches!(plan.form, Form::Rows(_));
        let wish = PageWish {
            rows: is_rows.then_some(limit),
            mark: client.mark.clone(),
        };
        let asked = Asked {
            customer: None,
            key: None,
            query: &plan.index,
            slices: &client.asked,
            shards: SHARDS,
        };
        let lookup = self.free.pop().unwrap_or_else(|| {
            self.indices += 1;
            self.indices - 1
        });
        self.counts.asked += 1;
        let merge = match Merge::begin(plan, &asked, &wish, Some(&self.marks), 1_000) {
            Ok(merge) => merge,
            Err(why) => {
                client.mark = None;
                self.fleet.schedule(1, Event::Client(c));
                return self.breach(lookup, &format!("not begun: {why}"));
            }
        };
        let hard = self.fleet.now + HARD;
        let new = NewQuery {
            query: lookup,
            index: client.plan,
            customer: 0,
            key: Some(c as u64),
            sequence_number: lookup as u64,
            hard_deadline: hard,
        };
        self.fleet.arrivals.queries.push(new);
        let part = |&(shard, weight): &(usize, f64)| NewSubRequest {
            query: lookup,
            shard,
            weight,
        };
        self.fleet
            .arrivals
            .sub_requests
            .extend(client.asked.iter().map(part));
        let (calls, rounds) = (BTreeMap::new(), BTreeMap::new());
        let open = Open {
            merge,
            client: c,
            limit,
            hard,
            answered: false,
            calls,
            rounds,
        };
        self.open.insert(lookup, open);
    }

    fn ends(&mut self, l: usize, p: usize, c: usize, fate: Fate) {
        let Some(open) = self.open.get_mut(&l).filter(|_| self.fleet.is_out(l, p, c)) else {
            return;
        };
        let client = &self.clients[open.client];
        let (round, text) = open.rounds.get(&(p, c)).cloned().unwrap_or_default();
        let mut ending = fate.ending();
        let mut wrong = None;
        match fate {
            Fate::Answered | Fate::AnsweredTwice | Fate::Unreadable => {
                let good = client
                    .ledger
                    .answer(client.asked[p].0, &text, client.most_rows);
                let value = if fate == Fate::Unreadable {
                    "{\"rows\":[{}],\"totals\":1}"
                } else {
                    &good
                };
                match open.merge.take(p, round, value) {
                    Taken::In | Taken::Again { .. } => ending = AttemptOutcome::Success,
                    Taken::Unreadable(why) if fate != Fate::Unreadable => {
                        wrong = Some(format!("a good value is not read: {why}: {value}"));
                    }
                    Taken::Unreadable(_) => ending = AttemptOutcome::Error,
                }
                // A second copy, with other words: it must count for nothing.
                if fate == Fate::AnsweredTwice && wrong.is_none() {
                    self.counts.again += 1;
                    let again = open.merge.take(p, round, "{\"rows\":[],\"more\":false}");
                    if !matches!(again, Taken::Again { .. }) {
                        wrong = Some(format!("a second answer is taken: {again:?}"));
                    }
                }
            }
            _ => open.merge.fail(p),
        }
        let onward = open.merge.onward();
        self.counts.onward += onward.len();
        self.fleet
            .arrivals
            .continuations
            .extend(onward.iter().map(|&p| (l, p)));
        self.fleet.end(l, p, c, ending);
        if let Some(why) = wrong {
            self.breach(l, &why);
        }
    }

    fn decided(&mut self, decision: &Decision) {
        let now = self.fleet.now;
        let (lookup, ends) = match *decision {
            Decision::Call { lookup, part, call } => {
                let Some(open) = self.open.get_mut(&lookup) else {
                    return;
                };
                let question = (open.merge.round(part), open.merge.text(part));
                open.rounds.insert((part, call), question);
                let calls = open.calls.entry(part).or_default();
                *calls += 1;
                let (too_many, answered) = (*calls > CALLS_A_PART, open.answered);
                if too_many || answered {
                    self.breach(lookup, "a part is sent too often, or after the answer");
                }
                return;
            }
            Decision::Release { lookup } => {
                self.free.push(lookup);
                if self.open.remove(&lookup).is_some_and(|open| !open.answered) {
                    self.breach(lookup, "released without an answer");
                }
                return;
            }
            Decision::Satisfy { lookup, .. } => (lookup, false),
            Decision::Nack { lookup } | Decision::Abort { lookup } => (lookup, true),
        };
        let Some(open) = self.open.get_mut(&lookup) else {
            return;
        };
        let late = std::mem::replace(&mut open.answered, true) || now > open.hard;
        let c = open.client;
        let pause = 1 + self.fleet.chance.rand_range(0..100) as TenthMillis;
        self.fleet.schedule(pause, Event::Client(c));
        if late {
            self.breach(lookup, "answered late or a second time");
        }
        if ends {
            self.counts.refused += 1;
            self.clients[c].mark = None;
            return;
        }
        self.judge(
            lookup,
            matches!(decision, Decision::Satisfy { whole: true, .. }),
        );
    }

    fn judge(&mut self, lookup: usize, whole: bool) {
        let Some(open) = self.open.get(&lookup) else {
            return;
        };
        let (client, floor) = (&mut self.clients[open.client], self.drill.floor);
        let body = open.merge.answer(whole, Some(&self.marks), 1_000);
        let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
        let judged = match client.plan {
            0 => client
                .reading
                .page(&client.ledger, &client.asked, floor, open.limit, &answer),
            1 => checker::totals(&client.ledger, &client.asked, floor, &answer),
            _ => checker::groups(&client.ledger, &client.asked, floor, MOST_GROUPS, &answer),
        };
        let held = open.merge.held() <= open.limit;
        client.mark = answer["next"].as_str().map(str::to_owned);
        let ended = match client.plan == 0 && client.mark.is_none() {
            true => client.reading.ends(&client.ledger, &client.added),
            false => Ok(()),
        };
        let is_whole = answer["finished"] == Value::Bool(true);
        self.counts.whole += usize::from(is_whole);
        self.counts.partial += usize::from(!is_whole);
        self.counts.cut += usize::from(answer["cut"].is_object());
        let wrong = judged.and(ended).and_then(|()| {
            let marked = whole || !is_whole;
            if marked && held {
                Ok(())
            } else {
                Err("whole beyond the module's word, or more held than a page".into())
            }
        });
        if let Err(why) = wrong {
            self.clients[self.open[&lookup].client].mark = None;
            self.breach(lookup, &format!("{why}\n  {answer}"));
        }
    }
}
