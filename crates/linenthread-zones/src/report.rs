//! What one co-ordinator sees of each zone, and what many saw together.

use std::collections::BTreeMap;

use linenthread_core::interface::{AttemptOutcome, TenthMillis};
use linenthread_frames::{Decoder, Encoder};
use snafu::ensure;

use crate::MOST_ZONES;
use crate::error::{FormatError, InconsistentCountsSnafu, UnknownZoneSnafu};

/// With fewer parts than this of late an observer has no opinion of a zone; of what it saw half is left with each
/// report.
const FEW: f64 = 5.0;
const LATE: f64 = 0.5;
/// So many reports later what became of a replica's last part is out of date.
const FRESH: u64 = 16;
/// It takes a zone for down when so much of what it sent there came to nothing ...
const DOWN: f64 = 0.6;
/// ... and for slow when answers take so many times what they took on the whole.
const SLOW: f64 = 3.0;
/// A part that was given up after so many times that was met by silence.
const SILENT: f64 = 20.0;
/// How much of its usual time an observer keeps with each report.
const KEEP: f64 = 0.98;
/// Reports that are added up to one at the most: a thousand co-ordinators, some of them told twice.
const MOST_VOICES: u32 = 100_000;

/// What went one way, from the zone of clients to that of replicas, within a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Observers with an opinion, and how many of them take the other zone for down, for slow.
    pub voices: u32,
    pub down: u32,
    pub slow: u32,
    /// Parts that ended, and of them those answered, and how long these took in all, in milliseconds.
    pub ended: u32,
    pub answered: u32,
    pub time_ms: u64,
}

/// What one or many observers saw.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// By zone of clients: observers, and parts that their lookups asked for.
    pub asked: BTreeMap<u8, (u32, u32)>,
    /// By zone of clients and zone of replicas.
    pub ways: BTreeMap<(u8, u8), Way>,
}

impl Report {
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty() && self.ways.is_empty()
    }

    /// Adds another's to this one.
    pub fn add(&mut self, other: &Report) {
        for (zone, (observers, parts)) in &other.asked {
            let sum = self.asked.entry(*zone).or_default();
            *sum = (
                sum.0.saturating_add(*observers).min(MOST_VOICES),
                sum.1.saturating_add(*parts),
            );
        }
        for (at, way) in &other.ways {
            let sum = self.ways.entry(*at).or_default();
            sum.voices = sum.voices.saturating_add(way.voices).min(MOST_VOICES);
            sum.down = sum.down.saturating_add(way.down).min(sum.voices);
            sum.slow = sum.slow.saturating_add(way.slow).min(sum.voices);
            sum.ended = sum.ended.saturating_add(way.ended);
            sum.answered = sum.answered.saturating_add(way.answered).min(sum.ended);
            sum.time_ms = sum.time_ms.saturating_add(way.time_ms);
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut put = Encoder::new();
        put.u16(self.asked.len() as u16);
        for (zone, (observers, parts)) in &self.asked {
            put.u8(*zone);
            put.u32(*observers);
            put.u32(*parts);
        }
        put.u16(self.ways.len() as u16);
        for ((from, to), way) in &self.ways {
            put.raw([*from, *to]);
            [way.voices, way.down, way.slow, way.ended, way.answered]
                .into_iter()
                .for_each(|n| put.u32(n));
            put.u64(way.time_ms);
        }
        put.into_bytes()
    }

    /// # Errors
    ///
    /// What can be no report.
    pub fn decode(bytes: &[u8]) -> Result<Report, FormatError> {
        let mut take = Decoder::new(bytes);
        let mut report = Report::default();
        let zone = |take: &mut Decoder| -> Result<u8, FormatError> {
            let zone = take.u8()?;
            ensure!(usize::from(zone) < MOST_ZONES, UnknownZoneSnafu { zone });
            Ok(zone)
        };
        for _ in 0..take.u16()? {
            let at = zone(&mut take)?;
            report.asked.insert(at, (take.u32()?, take.u32()?));
        }
        for _ in 0..take.u16()? {
            let at = (zone(&mut take)?, zone(&mut take)?);
            let way = Way {
                voices: take.u32()?,
                down: take.u32()?,
                slow: take.u32()?,
                ended: take.u32()?,
                answered: take.u32()?,
                time_ms: take.u64()?,
            };
            if way.down > way.voices || way.slow > way.voices || way.answered > way.ended {
                return InconsistentCountsSnafu.fail();
            }
            report.ways.insert(at, way);
        }
        take.finish()?;
        Ok(report)
    }
}

/// One co-ordinator's eyes.
#[derive(Clone, Debug)]
pub struct Watch {
    own: u8,
    asked: u32,
    ways: BTreeMap<u8, Way>,
    /// By zone, of late: parts that ended, that were answered, and what these took.
    late: BTreeMap<u8, (f64, f64, f64)>,
    /// By zone and replica, whether what went there last was answered, and in which report that was: a zone that is
    /// down is asked for little more than probes after the first failures.
    last: BTreeMap<(u8, usize), (bool, u64)>,
    reports: u64,
    /// What answers take on the whole: a sum of times and of answers that fades.
    usual: (f64, f64),
}

impl Watch {
    /// In the zone of this number.
    pub fn new(own: u8) -> Watch {
        Watch {
            own,
            asked: 0,
            ways: BTreeMap::new(),
            late: BTreeMap::new(),
            last: BTreeMap::new(),
            reports: 0,
            usual: (0.0, 0.0),
        }
    }

    /// Lookups came with so many parts.
    pub fn asked(&mut self, parts: usize) {
        self.asked = self.asked.saturating_add(parts as u32);
    }

    /// A part call to a replica of a zone has ended. What was given up from here, or turned away by a full replica,
    /// says nothing of whether the zone can be reached.
    pub fn ended(&mut self, zone: u8, replica: usize, ending: AttemptOutcome, took: TenthMillis) {
        let usual_ms = if self.usual.1 > 0.0 {
            self.usual.0 / self.usual.1
        } else {
            f64::INFINITY
        };
        // One that was given up since another was quicker says nothing, unless it had been silent for long: that is
        // how a way on which nothing comes through is met.
        let silent =
            ending == AttemptOutcome::Cancelled && took as f64 / 10.0 > SILENT * usual_ms.max(1.0);
        if matches!(
            ending,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::Rejected
        ) && !silent
            || usize::from(zone) >= MOST_ZONES
        {
            return;
        }
        self.last.insert(
            (zone, replica),
            (ending == AttemptOutcome::Success, self.reports),
        );
        let way = self.ways.entry(zone).or_default();
        way.ended = way.ended.saturating_add(1);
        if ending == AttemptOutcome::Success {
            way.answered += 1;
            way.time_ms += (took.max(0) / 10) as u64;
        }
    }

    /// A replica is gone, or another has its number: what was known of it is out of date.
    pub fn gone(&mut self, replica: usize) {
        self.last.retain(|(_, known), _| *known != replica);
    }

    /// What was seen since the last report; `replicas` are those of each zone that take parts.
    pub fn report(&mut self, replicas: &[u32]) -> Report {
        let usual = if self.usual.1 > 0.0 {
            self.usual.0 / self.usual.1
        } else {
            f64::INFINITY
        };
        let ways = std::mem::take(&mut self.ways);
        for way in ways.values() {
            self.usual.0 = self.usual.0 * KEEP + way.time_ms as f64;
            self.usual.1 = self.usual.1 * KEEP + f64::from(way.answered);
        }
        for (to, way) in &ways {
            let late = self.late.entry(*to).or_default();
            late.0 += f64::from(way.ended);
            late.1 += f64::from(way.answered);
            late.2 += way.time_ms as f64;
        }
        let mut judged = BTreeMap::new();
        self.reports += 1;
        self.last
            .retain(|_, (_, report)| *report + FRESH > self.reports);
        for to in self.last.keys().map(|(zone, _)| *zone) {
            self.late.entry(to).or_default();
        }
        for (to, late) in &mut self.late {
            let way = ways.get(to).copied().unwrap_or_default();
            // Most of its replicas were tried, and none of them answers any more.
            let tried = self.last.iter().filter(|((zone, _), _)| zone == to);
            let (tried, failed) =
                tried.fold((0, 0), |(t, f), (_, ok)| (t + 1, f + u32::from(!ok.0)));
            let none = failed == tried
                && 2 * tried > replicas.get(usize::from(*to)).copied().unwrap_or(u32::MAX);
            let down = none || 1.0 - late.1 / late.0.max(1.0) >= DOWN;
            let slow = !down && late.1 > 0.0 && late.2 / late.1 > SLOW * usual.max(1.0);
            let voices = u32::from(none || late.0 >= FEW);
            let way = Way {
                voices,
                down: voices * u32::from(down),
                slow: voices * u32::from(slow),
                ..way
            };
            judged.insert((self.own, *to), way);
            *late = (late.0 * LATE, late.1 * LATE, late.2 * LATE);
        }
        self.late.retain(|_, late| late.0 > 0.1);
        Report {
            asked: BTreeMap::from([(self.own, (1, std::mem::take(&mut self.asked)))]),
            ways: judged,
        }
    }
}
