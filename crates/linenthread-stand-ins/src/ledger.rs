//! Replicas that hold real rows by slice and answer merged indexes from them, with faults on cue.
//!
//! The query `pledges` asks a slice for totals of `amount`, `charities` for those by charity, and anything
//! asked as `{"query":..,"rows":N,"after":..}` for its donations: latest first, then the largest, then by id.
//! What a whole answer must say is worked out here from the full data, in the plainest way there is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use oorandom::Rand64;
use serde_json::{Value, json};

use crate::fleet::{Fleet, Part};

/// The operators' file for these indexes, with marks signed by `marks.key`.
pub const INSTALLATION: &str = r#"<installation version="1">
  <merging>
    <marks life="900" secret="marks.key"/>
    <rows index="history" page="5" most="100">
      <order field="date" direction="descending"/>
      <order field="amount" kind="decimal" scale="2" direction="descending"/>
      <identity field="id"/>
    </rows>
    <totals index="pledges">
      <measure field="amount" scale="2" negative="no" figures="sum count least most mean"/>
    </totals>
    <groups index="charities" most="3" first="largest">
      <measure field="amount" scale="2" negative="no" figures="sum count"/>
    </groups>
  </merging>
</installation>
"#;

#[derive(Clone, Debug, PartialEq)]
pub struct Donation {
    pub id: String,
    pub date: String,
    pub cents: i64,
    pub charity: String,
}

fn money(cents: i64) -> String {
    format!("{}.{:02}", cents / 100, cents % 100)
}

impl Donation {
    pub fn row(&self) -> Value {
        json!({"id": self.id, "date": self.date, "amount": money(self.cents), "charity": self.charity})
    }

    /// What rows are ordered by: the least comes first.
    pub fn rank(&self) -> (std::cmp::Reverse<String>, i64, String) {
        (
            std::cmp::Reverse(self.date.clone()),
            -self.cents,
            self.id.clone(),
        )
    }
}

/// All rows, by slice.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub slices: Vec<Vec<Donation>>,
    made: u64,
}

/// Totals of an amount, as a slice tells them.
fn totals(of: &[&Donation]) -> Value {
    let cents = || of.iter().map(|d| d.cents);
    json!({"amount": {"count": of.len(), "sum": money(cents().sum()),
                      "least": cents().min().map(money), "most": cents().max().map(money)}})
}

impl Ledger {
    /// So many slices with up to so many rows each; dates and amounts often meet.
    pub fn new(chance: &mut Rand64, slices: usize, most: u64) -> Ledger {
        let mut ledger = Ledger {
            slices: vec![Vec::new(); slices],
            made: 0,
        };
        for slice in 0..slices {
            for _ in 0..chance.rand_range(0..most + 1) {
                ledger.add(chance, slice);
            }
        }
        ledger
    }

    /// One more donation in a slice.
    pub fn add(&mut self, chance: &mut Rand64, slice: usize) -> Donation {
        self.made += 1;
        let charities = ["mensa", "ulivi", "etna", "faro", "ponte", "sale"];
        let donation = Donation {
            id: format!("d{:05}", self.made),
            date: format!("2026-11-{:02}", chance.rand_range(1..29)),
            cents: chance.rand_range(1..40) as i64 * 250,
            charity: charities[chance.rand_range(0..charities.len() as u64) as usize].into(),
        };
        let rows = &mut self.slices[slice];
        rows.push(donation.clone());
        rows.sort_by_key(Donation::rank);
        donation
    }

    /// What a replica of a slice answers to a part's text, with at most so many rows.
    pub fn answer(&self, slice: usize, text: &str, most_rows: usize) -> String {
        let rows = &self.slices[slice];
        match serde_json::from_str::<Value>(text) {
            Ok(asked) if asked.is_object() => {
                let after = asked["after"].as_array().map(|after| {
                    let word = |at: usize| after[at].as_str().unwrap_or_default().to_owned();
                    let cents: i64 = word(1).replace('.', "").parse().unwrap_or_default();
                    (std::cmp::Reverse(word(0)), -cents, word(2))
                });
                let rows: Vec<_> = rows
                    .iter()
                    .filter(|d| after.as_ref().is_none_or(|after| d.rank() > *after))
                    .collect();
                let n = most_rows.min(asked["rows"].as_u64().unwrap_or(0) as usize);
                let told: Vec<_> = rows.iter().take(n).map(|d| d.row()).collect();
                json!({"rows": told, "more": rows.len() > n}).to_string()
            }
            _ if text == "charities" => {
                let mut by: BTreeMap<&str, Vec<&Donation>> = BTreeMap::new();
                rows.iter()
                    .for_each(|d| by.entry(&d.charity).or_default().push(d));
                let groups: Vec<_> = by
                    .iter()
                    .map(|(of, rows)| json!({"of": of, "totals": totals(rows)}))
                    .collect();
                json!({"groups": groups}).to_string()
            }
            _ => json!({"totals": totals(&rows.iter().collect::<Vec<_>>())}).to_string(),
        }
    }

    /// The sum, count, least and most over some slices, from the full data.
    pub fn true_totals(&self, slices: &[usize]) -> (i64, usize, Option<i64>, Option<i64>) {
        let cents: Vec<i64> = slices
            .iter()
            .flat_map(|&s| &self.slices[s])
            .map(|d| d.cents)
            .collect();
        (
            cents.iter().sum(),
            cents.len(),
            cents.iter().min().copied(),
            cents.iter().max().copied(),
        )
    }

    /// Sum and count by charity over some slices, from the full data.
    pub fn true_groups(&self, slices: &[usize]) -> BTreeMap<String, (i64, usize)> {
        let mut by: BTreeMap<String, (i64, usize)> = BTreeMap::new();
        for d in slices.iter().flat_map(|&s| &self.slices[s]) {
            let (sum, count) = by.entry(d.charity.clone()).or_default();
            (*sum, *count) = (*sum + d.cents, *count + 1);
        }
        by
    }
}

/// What a replica does with a part.
#[derive(Clone, Debug, PartialEq)]
pub enum How {
    Answer,
    /// The answer twice, the second time with other words.
    TwoAnswers,
    /// Words that are no value of its index.
    Unreadable,
    /// A frame that is none.
    Spoilt,
    Errored,
    Full,
    Cut,
    Silent,
}

/// Replicas over one ledger; `cue` says what becomes of each part, and after how long.
pub struct Hosts {
    pub addresses: Vec<SocketAddr>,
    pub ledger: Arc<Mutex<Ledger>>,
}

impl Hosts {
    pub fn start(
        n: usize,
        ledger: Ledger,
        most_rows: usize,
        mut cue: impl FnMut(&Part) -> (Duration, How) + Send + 'static,
    ) -> Hosts {
        let fleet = Fleet::start(n);
        let (addresses, ledger) = (fleet.addresses.clone(), Arc::new(Mutex::new(ledger)));
        let data = ledger.clone();
        spawn(move || {
            while let Some(part) = fleet.next() {
                let ((after, how), data) = (cue(&part), data.clone());
                spawn(move || {
                    sleep(after);
                    let value = data
                        .lock()
                        .unwrap()
                        .answer(part.shard, &part.text, most_rows);
                    let says = |how: &str, value: &str| {
                        let rest = format!("{} {how} 17 queue=0\n{value}", part.id);
                        let frame = [
                            &(rest.len() as u32 + 1).to_be_bytes()[..],
                            b"E",
                            rest.as_bytes(),
                        ];
                        part.bytes(&frame.concat());
                    };
                    match how {
                        How::Answer => says("hit", &value),
                        How::TwoAnswers => {
                            says("hit", &value);
                            says("hit", "something else");
                        }
                        How::Unreadable => says("hit", "{\"rows\":[7],\"totals\":[]}"),
                        How::Spoilt => drop(part.bytes(b"\0\0\0\x02Zz")),
                        How::Errored => says("fault", ""),
                        How::Full => says("overload", ""),
                        How::Cut => part.cut(),
                        How::Silent => {}
                    }
                });
            }
        });
        Hosts { addresses, ledger }
    }
}
