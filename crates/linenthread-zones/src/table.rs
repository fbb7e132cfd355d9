//! The table that all act on.

use linenthread_frames::{DecodeError, Decoder, Encoder};
use snafu::{OptionExt, ensure};

use crate::error::{FormatError, ShareTooLargeSnafu, TooManyZonesSnafu, UnknownReasonSnafu};
use crate::{ALL, MOST_ZONES};

/// Why a way is not open to all keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    Sound,
    /// The zone is down, by the word of most who see it.
    Down,
    /// Only this pair of zones can't reach each other.
    Cut,
    /// An operator's order.
    Drained,
    /// It was left and is taken back step by step.
    Returning,
    /// There is no room there for more than that.
    Room,
    /// The zone is slow, and has room for less.
    Slow,
}

const REASONS: [Reason; 7] = [
    Reason::Sound,
    Reason::Down,
    Reason::Cut,
    Reason::Drained,
    Reason::Returning,
    Reason::Room,
    Reason::Slow,
];

/// One zone of clients: by zone of replicas for how many keys of a thousand the way there is open, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub open: Vec<(u16, Reason)>,
}

/// What all act on.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// From when on, in milliseconds since 1970 on the clock of who made it.
    pub from_ms: u64,
    /// Zones by name: a number means the same to all by this.
    pub zones: Vec<String>,
    pub rows: Vec<Row>,
}

impl Table {
    /// All ways open.
    pub fn sound(zones: Vec<String>) -> Table {
        let row = Row {
            open: vec![(ALL, Reason::Sound); zones.len()],
        };
        Table {
            from_ms: 0,
            rows: vec![row; zones.len()],
            zones,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut put = Encoder::new();
        put.u64(self.from_ms);
        put.u8(self.zones.len() as u8);
        self.zones.iter().for_each(|name| put.text(name));
        for (share, reason) in self.rows.iter().flat_map(|row| &row.open) {
            put.u16(*share);
            put.u8(REASONS.iter().position(|r| r == reason).unwrap_or_default() as u8);
        }
        put.into_bytes()
    }

    /// # Errors
    ///
    /// What can be no table.
    pub fn decode(bytes: &[u8]) -> Result<Table, FormatError> {
        let mut take = Decoder::new(bytes);
        let from_ms = take.u64()?;
        let count = usize::from(take.u8()?);
        ensure!(count <= MOST_ZONES, TooManyZonesSnafu { count });
        let zones = (0..count)
            .map(|_| take.text())
            .collect::<Result<Vec<String>, DecodeError>>()?;
        let mut rows = Vec::with_capacity(count);
        for _ in 0..count {
            let mut open = Vec::with_capacity(count);
            for _ in 0..count {
                let share = take.u16()?;
                let code = take.u8()?;
                let reason = REASONS
                    .get(usize::from(code))
                    .context(UnknownReasonSnafu { code })?;
                ensure!(share <= ALL, ShareTooLargeSnafu { share });
                open.push((share, *reason));
            }
            rows.push(Row { open });
        }
        take.finish()?;
        Ok(Table {
            from_ms,
            zones,
            rows,
        })
    }

    /// Whether it sends keys elsewhere than another does.
    pub fn moves(&self, other: &Table) -> bool {
        let shares = |t: &Table| {
            t.rows
                .iter()
                .flat_map(|r| &r.open)
                .map(|(s, _)| *s)
                .collect::<Vec<_>>()
        };
        self.zones != other.zones || shares(self) != shares(other)
    }
}
