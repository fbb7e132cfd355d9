//! Several links may lead to one replica: which of them a call takes.
//!
//! What is a property of the link is judged here once, for all replicas behind it: whether it is up, how long
//! the way is, and how much of its credit is in use. A call takes the way that is expected to be quickest; one
//! that was taken last keeps its calls while no other is better by more than a quarter, so that calls don't
//! swing between two alike. What several gateways say of one replica is taken at its most careful.

use linenthread_core::interface::{Phase, TenthMillis};

use crate::frame::Member;

/// How a link stands at this moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    pub up: bool,
    /// How long a frame takes one way; 0 while it is not known.
    pub one_way: TenthMillis,
    /// Calls that have not ended, and how many there may be.
    pub out: u64,
    pub room: u64,
}

/// How much worse than the best the way taken last may be and keep its calls.
const STAYS: f64 = 1.25;
/// Below so many tenths of a millisecond one way is as good as another.
const ALIKE: f64 = 5.0;

/// The way's expected time: twice the way, stretched by how full the link is.
fn cost(standing: &Standing) -> f64 {
    let full = standing.out as f64 / standing.room.max(1) as f64;
    (standing.one_way as f64 + ALIKE) * (1.0 + full) / (1.0 - full.min(0.95))
}

/// Of the links that lead to a replica, by number, the one to take; `last` is the one taken before.
pub fn pick(
    ways: &[usize],
    standing: impl Fn(usize) -> Option<Standing>,
    last: Option<usize>,
) -> Option<usize> {
    let open: Vec<(usize, f64)> = ways
        .iter()
        .filter_map(|&way| Some((way, standing(way).filter(|s| s.up && s.out < s.room)?)))
        .map(|(way, standing)| (way, cost(&standing)))
        .collect();
    let (best, least) = open.iter().copied().min_by(|a, b| a.1.total_cmp(&b.1))?;
    let stays = |(way, cost): &&(usize, f64)| Some(*way) == last && *cost <= least * STAYS;
    Some(open.iter().find(stays).map_or(best, |(way, _)| *way))
}

/// What several gateways say of one replica, at its most careful: it drains if one says so, it is as cold as
/// the coldest word, and of its cold budget the least share counts.
pub fn most_careful<'m>(said: impl Iterator<Item = &'m Member>) -> Option<Member> {
    said.filter(|m| m.phase != Phase::Removed)
        .cloned()
        .reduce(|mut one, other| {
            if other.phase == Phase::Draining {
                one.phase = Phase::Draining;
            }
            one.age_ms = match (one.age_ms, other.age_ms) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
            one.share = one.share.min(other.share);
            one
        })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_takes_the_way_that_is_up_short_and_has_room() {
        let way = |up, one_way, out| {
            Some(Standing {
                up,
                one_way,
                out,
                room: 100,
            })
        };
        let take = |ways: &[Option<Standing>], last| {
            let all: Vec<usize> = (0..ways.len()).collect();
            pick(&all, |way| ways[way], last)
        };
        assert_eq!(take(&[way(true, 20, 0), way(true, 100, 0)], None), Some(0));
        assert_eq!(
            take(&[way(false, 20, 0), way(true, 100, 0)], Some(0)),
            Some(1),
            "down"
        );
        assert_eq!(
            take(&[way(true, 20, 100), way(true, 100, 0)], Some(0)),
            Some(1),
            "full"
        );
        assert_eq!(
            take(&[way(true, 20, 90), way(true, 40, 0)], None),
            Some(1),
            "nearly full"
        );
        assert_eq!(
            take(&[way(true, 100, 0), way(true, 95, 0)], Some(0)),
            Some(0),
            "alike: it stays"
        );
        assert_eq!(
            take(&[way(true, 100, 0), way(true, 20, 0)], Some(0)),
            Some(1),
            "much better"
        );
        assert_eq!(take(&[way(false, 1, 0), None], Some(0)), None);
    }

    #[test]
    fn of_two_words_the_more_careful_counts() {
        let member = |phase, age_ms, share| Member {
            id: "s".into(),
            site: "m".into(),
            cell: 0,
            phase,
            age_ms,
            share,
        };
        let (a, b) = (
            member(Phase::Ready, None, 500),
            member(Phase::Draining, Some(7), 250),
        );
        assert_eq!(
            most_careful([&a, &b].into_iter()),
            Some(member(Phase::Draining, Some(7), 250))
        );
        let gone = member(Phase::Removed, None, 0);
        assert_eq!(
            most_careful([&gone, &a].into_iter()),
            Some(a),
            "a list that is behind"
        );
        assert_eq!(most_careful([&gone].into_iter()), None);
    }
}
