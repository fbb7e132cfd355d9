use std::collections::{BTreeSet, VecDeque};

/// The log of changes: which replicas changed, place by place. It forgets the oldest.
pub struct ChangeLog {
    place: u64,
    entries: VecDeque<(u64, String)>,
    most: usize,
}

impl ChangeLog {
    pub fn new(most: usize) -> ChangeLog {
        ChangeLog {
            place: 0,
            entries: VecDeque::new(),
            most,
        }
    }

    pub fn offset(&self) -> u64 {
        self.place
    }

    pub fn add(&mut self, ident: &str) {
        self.place += 1;
        self.entries.push_back((self.place, ident.to_owned()));
        if self.entries.len() > self.most {
            self.entries.pop_front();
        }
    }

    /// What changed after a place; `None` where that is forgotten, or was never reached.
    pub fn since(&self, place: u64) -> Option<BTreeSet<&str>> {
        let first = self.entries.front().map_or(self.place + 1, |(p, _)| *p);
        if place > self.place || place + 1 < first {
            return None;
        }
        Some(
            self.entries
                .iter()
                .rev()
                .take_while(|(p, _)| *p > place)
                .map(|(_, i)| i.as_str())
                .collect(),
        )
    }
}
