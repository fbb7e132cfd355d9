//! The lines that processes write, and waits for some of them.

use std::io::{BufRead, BufReader, Read};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// A line that a process wrote.
struct Line {
    machine: String,
    text: String,
}

/// Lines of all processes, in the order in which they came.
pub(crate) struct LogLines {
    sender: Sender<Line>,
    receiver: Receiver<Line>,
    seen: Vec<Line>,
}

impl LogLines {
    pub(crate) fn new() -> LogLines {
        let (sender, receiver) = channel();
        LogLines {
            sender,
            receiver,
            seen: Vec::new(),
        }
    }

    /// Collects what a process writes until it ends.
    pub(crate) fn follow(&self, machine: &str, output: impl Read + Send + 'static) {
        let (sender, machine) = (self.sender.clone(), machine.to_owned());
        std::thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = sender.send(Line {
                    machine: machine.clone(),
                    text,
                });
            }
        });
    }

    /// What a process wrote before is not waited for any more.
    pub(crate) fn forget(&mut self, machine: &str) {
        while let Ok(line) = self.receiver.try_recv() {
            self.seen.push(line);
        }
        self.seen.retain(|line| line.machine != machine);
    }

    /// The lines of a process so far that hold one of these words.
    pub(crate) fn of(&mut self, machine: &str, words: &[&str]) -> Vec<String> {
        while let Ok(line) = self.receiver.try_recv() {
            self.seen.push(line);
        }
        let is =
            |line: &&Line| line.machine == machine && words.iter().any(|w| line.text.contains(w));
        self.seen
            .iter()
            .filter(is)
            .map(|line| line.text.clone())
            .collect()
    }

    /// Waits until a process has written a line that holds all of these words; false when the time is up.
    pub(crate) fn wait_for(&mut self, machine: &str, words: &[&str], within: Duration) -> bool {
        let by = Instant::now() + within;
        let is =
            |line: &Line| line.machine == machine && words.iter().all(|w| line.text.contains(w));
        if self.seen.iter().any(is) {
            return true;
        }
        loop {
            let left = by.saturating_duration_since(Instant::now());
            let Ok(line) = self.receiver.recv_timeout(left) else {
                return false;
            };
            let found = is(&line);
            self.seen.push(line);
            if found {
                return true;
            }
        }
    }
}
