//! Judges merged answers by the full data, without any code of the program's own.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::ledger::{Donation, Ledger};

type Rank = (std::cmp::Reverse<String>, i64, String);

/// One client that reads a merged index page by page.
#[derive(Clone, Debug)]
pub struct Reading {
    shards: Vec<usize>,
    /// The last row's rank up to which each slice was shown or passed.
    read: BTreeMap<usize, Rank>,
    /// Ids shown so far.
    shown: Vec<String>,
}

fn cents(text: &Value) -> Option<i64> {
    let text = text.as_str()?;
    let (whole, fraction) = text.split_once('.')?;
    let sign = if whole.starts_with('-') { -1 } else { 1 };
    (fraction.len() == 2).then_some(())?;
    Some(whole.parse::<i64>().ok()? * 100 + sign * fraction.parse::<i64>().ok()?)
}

fn list(value: &Value) -> Vec<usize> {
    value
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|n| Some(n.as_u64()? as usize))
        .collect()
}

/// Holds what an answer says of its slices to what was asked, and to the floor; gives those that are in.
pub fn slices(asked: &[(usize, f64)], floor: f64, answer: &Value) -> Result<Vec<usize>, String> {
    let said = &answer["slices"];
    let is_in = list(&said["in"]);
    let missing: Vec<usize> = said["missing"]
        .as_object()
        .into_iter()
        .flatten()
        .flat_map(|m| list(m.1))
        .collect();
    let mut all = [is_in.clone(), missing.clone()].concat();
    all.sort_unstable();
    let mut shards: Vec<usize> = asked.iter().map(|a| a.0).collect();
    shards.sort_unstable();
    if all != shards {
        return Err(format!(
            "in {is_in:?} and missing {missing:?} are not {shards:?}"
        ));
    }
    let weight = |of: &[usize]| {
        asked
            .iter()
            .filter(|a| of.contains(&a.0))
            .map(|a| a.1)
            .sum::<f64>()
    };
    let share = weight(&is_in) / weight(&shards);
    if share < floor - 1e-3 {
        return Err(format!(
            "{share} of the weight is in, under the floor {floor}"
        ));
    }
    if (said["share"].as_f64().unwrap_or(-1.0) - share).abs() > 1e-3 {
        return Err(format!(
            "the share is told as {}, it is {share}",
            said["share"]
        ));
    }
    if answer["finished"].as_bool() != Some(missing.is_empty()) {
        return Err(format!(
            "finished is {} with {missing:?} missing",
            answer["finished"]
        ));
    }
    Ok(is_in)
}

impl Reading {
    pub fn new(asked: &[(usize, f64)]) -> Self {
        Reading {
            shards: asked.iter().map(|a| a.0).collect(),
            read: BTreeMap::new(),
            shown: Vec::new(),
        }
    }

    /// What is in the slices and was not yet shown or passed, in order.
    fn ahead<'l>(&self, ledger: &'l Ledger, of: &[usize]) -> Vec<(usize, &'l Donation)> {
        let rows = |s: usize| ledger.slices[s].iter().map(move |d| (s, d));
        let mut rows: Vec<_> = of.iter().flat_map(|&s| rows(s)).collect();
        rows.retain(|(s, d)| self.read.get(s).is_none_or(|read| d.rank() > *read));
        rows.sort_by_key(|(_, d)| d.rank());
        rows
    }

    /// Judges one page of at most so many rows, and takes it as read.
    pub fn page(
        &mut self,
        ledger: &Ledger,
        asked: &[(usize, f64)],
        floor: f64,
        limit: usize,
        answer: &Value,
    ) -> Result<(), String> {
        let is_in = slices(asked, floor, answer)?;
        let ahead = self.ahead(ledger, &is_in);
        let rows = answer["rows"].as_array().ok_or("no rows")?;
        let want: Vec<Value> = ahead
            .iter()
            .take(rows.len())
            .map(|(_, d)| d.row())
            .collect();
        if *rows != want {
            return Err(format!("rows are {rows:?}, not {want:?}"));
        }
        let cut = list(&answer["cut"]["behind"]);
        if answer["cut"].is_null() && rows.len() != limit.min(ahead.len()) {
            return Err(format!(
                "{} rows of {} that are there, no cut is told",
                rows.len(),
                ahead.len()
            ));
        }
        if let Some(last) = ahead.get(rows.len().wrapping_sub(1)).map(|(_, d)| d.rank()) {
            for &s in &is_in {
                let read = self.read.entry(s).or_insert_with(|| last.clone());
                *read = last.clone().max(read.clone());
            }
        }
        if let Some(s) = cut
            .iter()
            .find(|s| !self.ahead(ledger, &is_in).iter().any(|(of, _)| of == *s))
        {
            return Err(format!("slice {s} is told as behind, and has no more rows"));
        }
        for row in rows {
            let id = row["id"].as_str().unwrap_or_default().to_owned();
            if self.shown.contains(&id) {
                return Err(format!("{id} is shown again"));
            }
            self.shown.push(id);
        }
        let goes_on = ahead.len() > rows.len() || is_in.len() < self.shards.len();
        if answer["goes_on"].as_bool() != Some(goes_on) || answer["next"].is_string() != goes_on {
            return Err(format!(
                "goes_on is {}, next is {}; it is {goes_on}",
                answer["goes_on"], answer["next"]
            ));
        }
        Ok(())
    }

    /// Judges the whole reading once it has no next page: nothing that was there throughout is left out.
    pub fn ends(&self, ledger: &Ledger, added: &[Donation]) -> Result<(), String> {
        let there = self.shards.iter().flat_map(|&s| &ledger.slices[s]);
        let left_out = there
            .filter(|d| !added.contains(d))
            .find(|d| !self.shown.contains(&d.id));
        left_out.map_or(Ok(()), |d| Err(format!("{} was never shown", d.id)))
    }
}

/// Judges one figure against its true value over the slices that are in, and over all of them.
fn figure(
    name: &str,
    said: &Value,
    is_in: Option<i64>,
    of_all: Option<i64>,
    lacks: bool,
) -> Result<(), String> {
    let value = if name == "count" {
        said["value"].as_i64()
    } else {
        cents(&said["value"])
    };
    if value != is_in {
        return Err(format!("{name} is {}, not {is_in:?}", said["value"]));
    }
    let holds = match said["is"].as_str() {
        Some("exact") => !lacks && value == of_all,
        Some("at-least") => lacks && value <= of_all,
        Some("at-most") => lacks && (value >= of_all),
        Some("either-way") => lacks,
        _ => false,
    };
    if holds {
        Ok(())
    } else {
        Err(format!(
            "{name} {} is told as {}, all have {of_all:?}",
            said["value"], said["is"]
        ))
    }
}

/// Judges totals of `amount`.
pub fn totals(
    ledger: &Ledger,
    asked: &[(usize, f64)],
    floor: f64,
    answer: &Value,
) -> Result<(), String> {
    let is_in = slices(asked, floor, answer)?;
    let shards: Vec<usize> = asked.iter().map(|a| a.0).collect();
    let lacks = is_in.len() < shards.len();
    let ((sum, count, least, most), all) =
        (ledger.true_totals(&is_in), ledger.true_totals(&shards));
    let said = &answer["totals"]["amount"];
    figure("sum", &said["sum"], Some(sum), Some(all.0), lacks)?;
    figure(
        "count",
        &said["count"],
        Some(count as i64),
        Some(all.1 as i64),
        lacks,
    )?;
    figure("least", &said["least"], least, all.2, lacks)?;
    figure("most", &said["most"], most, all.3, lacks)?;
    // Half a unit at the most, either way.
    let mean = cents(&said["mean"]["value"]);
    let holds = match mean {
        None => count == 0,
        Some(mean) => 2 * (mean * count as i64 - sum).abs() <= count as i64,
    };
    let is = said["mean"]["is"].as_str();
    match holds && is == Some(if lacks { "either-way" } else { "exact" }) {
        true => Ok(()),
        false => Err(format!(
            "the mean of {sum} over {count} is told as {}",
            said["mean"]
        )),
    }
}

/// Judges groups by charity, so many by themselves and the largest first.
pub fn groups(
    ledger: &Ledger,
    asked: &[(usize, f64)],
    floor: f64,
    most: usize,
    answer: &Value,
) -> Result<(), String> {
    let is_in = slices(asked, floor, answer)?;
    let shards: Vec<usize> = asked.iter().map(|a| a.0).collect();
    let lacks = is_in.len() < shards.len();
    let (of, all) = (ledger.true_groups(&is_in), ledger.true_groups(&shards));
    let mut by_size: Vec<_> = of.iter().collect();
    by_size.sort_by_key(|(name, (sum, _))| (-sum, (*name).clone()));
    let told = answer["groups"].as_array().ok_or("no groups")?;
    let names: Vec<&str> = told.iter().filter_map(|g| g["of"].as_str()).collect();
    let want: Vec<&str> = by_size
        .iter()
        .take(most)
        .map(|(name, _)| name.as_str())
        .collect();
    if names != want {
        return Err(format!("groups are {names:?}, not {want:?}"));
    }
    let judge = |said: &Value, (sum, count): (i64, usize), all: (i64, usize)| {
        figure("sum", &said["sum"], Some(sum), Some(all.0), lacks)?;
        figure(
            "count",
            &said["count"],
            Some(count as i64),
            Some(all.1 as i64),
            lacks,
        )
    };
    for (group, name) in told.iter().zip(&names) {
        judge(&group["totals"]["amount"], of[*name], all[*name])?;
    }
    let rest = |of: &BTreeMap<String, (i64, usize)>| {
        let left = of
            .iter()
            .filter(|(name, _)| !want.contains(&name.as_str()))
            .map(|(_, of)| of);
        left.fold((0, 0), |(sum, count), (s, c)| (sum + s, count + c))
    };
    if (by_size.len() > most) == answer["rest"].is_null() {
        return Err(format!("the rest is {}", answer["rest"]));
    }
    if answer["rest"].is_null() {
        return Ok(());
    }
    judge(&answer["rest"]["totals"]["amount"], rest(&of), rest(&all))
}
