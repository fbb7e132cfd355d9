//! Replicas that send heartbeats, some of which drain.

use linenthread_control::Beat;

use super::operators::Call;
use super::world::{Event, START, World};

impl World {
    pub(super) fn replica(&mut self) {
        let wait = 40 + self.up_to(100);
        self.push(self.now + wait, Event::Replica);
        let n = self.up_to(self.nodes.len() as u64) as usize;
        if self.nodes[n].control.is_none() || self.nodes[n].frozen > self.now {
            return;
        }
        let r = self.up_to(12);
        let fresh = self.up_to(10) == 0;
        let ident = format!("i-{r}-{}", (self.now - START) / 9_000);
        // One that drains goes on draining.
        if fresh {
            self.draining.insert(ident.clone());
        }
        let drains = self.draining.contains(&ident);
        let count = self.counts.entry(ident.clone()).or_default();
        *count += 1;
        let text = format!(
            "{{\"backend\":\"b{}\",\"address\":\"10.9.0.{r}:1\",\"zone\":\"z{}\",\"phase\":\"{}\",\"call_count\":{count}}}",
            r % 3,
            r % 3,
            if drains { "draining" } else { "available" }
        );
        let beat: Beat = serde_json::from_str(&text).expect("a beat");
        let call = if drains { Call::Drain(ident.clone()) } else { Call::Beat };
        if let Some(token) = self.call(n, call) {
            self.at(n, |c, now, out| c.beat(now, token, &ident, beat, out));
        }
    }
}
