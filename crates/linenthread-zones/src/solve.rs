//! How much goes where by a table, and how far ways must be closed so that no zone gets more than it has room for.

use crate::decide::Ground;
use crate::table::{Reason, Row};
use crate::{ALL, MOST_ZONES};

/// Shards that lie in the same zones: holders that take parts by zone, and what share of parts asks for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Pattern {
    pub holders: Vec<u16>,
    pub share: f64,
}

/// How near a zone is to another: itself, its region, elsewhere.
pub(crate) fn nearness(ground: &Ground, from: usize, to: usize) -> u8 {
    match (
        from == to,
        ground.zones[from].region == ground.zones[to].region,
    ) {
        (true, _) => 0,
        (_, true) => 1,
        _ => 2,
    }
}

/// Parts a second from one zone of clients to each zone of replicas, of one asked: by the rows of a table. Each key
/// finds each way open or closed by a hash of its own, goes to the nearest holders whose way is open, and among
/// these to any one alike; what finds no way open is refused.
fn spread(ground: &Ground, from: usize, row: &Row) -> Vec<f64> {
    let count = ground.zones.len();
    let mut to = vec![0.0; count];
    for pattern in &ground.patterns {
        let mut left = pattern.share;
        for near in 0..3 {
            let there: Vec<usize> = (0..count)
                .filter(|&w| {
                    pattern.holders[w] > 0 && nearness(ground, from, w) == near && row.open[w].0 > 0
                })
                .collect();
            let mut passed = 0.0;
            // Every way in which those can be open or closed to a key.
            for open in 0..1_u32 << there.len().min(MOST_ZONES) {
                let is_open = |n: usize| open >> n & 1 == 1;
                let chance: f64 = (0..there.len())
                    .map(|n| f64::from(row.open[there[n]].0) / f64::from(ALL))
                    .enumerate()
                    .map(|(n, share)| if is_open(n) { share } else { 1.0 - share })
                    .product();
                let holders = |n: usize| f64::from(pattern.holders[there[n]]);
                let all: f64 = (0..there.len()).filter(|&n| is_open(n)).map(holders).sum();
                if all == 0.0 {
                    passed += chance;
                    continue;
                }
                for n in (0..there.len()).filter(|&n| is_open(n)) {
                    to[there[n]] += left * chance * holders(n) / all;
                }
            }
            left *= passed;
        }
    }
    to
}

/// Parts a second that go to each zone from each, by the rows of a table: `[from][to]`.
pub fn loads(ground: &Ground, asked: &[f64], rows: &[Row]) -> Vec<Vec<f64>> {
    let one = |from: usize| {
        spread(ground, from, &rows[from])
            .into_iter()
            .map(|s| s * asked[from])
            .collect()
    };
    (0..ground.zones.len()).map(one).collect()
}

/// Closes ways until no zone gets more than its room. What a zone's own clients ask for comes first: what is moved
/// there has the rest. Shares only fall, so it comes to an end.
pub fn fit(ground: &Ground, asked: &[f64], room: &[f64], rows: &mut [Row]) {
    let count = ground.zones.len();
    for round in 0..64 {
        let loads = loads(ground, asked, rows);
        let mut over = false;
        for to in 0..count {
            let own = loads[to][to];
            let moved: f64 = (0..count).filter(|f| *f != to).map(|f| loads[f][to]).sum();
            // A hair above is a matter of rounding.
            if own + moved <= room[to] * 1.001 {
                continue;
            }
            over = true;
            let for_own = (room[to] / own.max(f64::MIN_POSITIVE)).min(1.0);
            let for_moved = ((room[to] - own).max(0.0) / moved.max(f64::MIN_POSITIVE)).min(1.0);
            for (from, row) in rows.iter_mut().enumerate() {
                let keeps = if from == to { for_own } else { for_moved };
                let (share, reason) = &mut row.open[to];
                // Rounded down, and by one at the least, so that each round ends nearer.
                let less = (f64::from(*share) * keeps) as u16;
                if keeps < 1.0 && *share > 0 {
                    *share = less.min(*share - 1);
                    *reason = if *reason == Reason::Sound {
                        Reason::Room
                    } else {
                        *reason
                    };
                }
            }
            if round == 62 {
                rows.iter_mut()
                    .enumerate()
                    .filter(|(f, _)| *f != to)
                    .for_each(|(_, r)| r.open[to].0 = 0);
            }
        }
        if !over {
            return;
        }
    }
}
