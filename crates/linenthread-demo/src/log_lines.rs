//! Collects the output lines of all processes and waits for lines with given contents.

use std::io::{BufRead, BufReader, Read};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use crate::transcript::Transcript;

/// A line that the process of a machine wrote.
struct Line {
    machine: String,
    text: String,
}

impl Line {
    fn is_of(&self, machine: &str) -> bool {
        self.machine == machine
    }

    fn contains_all(&self, parts: &[&str]) -> bool {
        parts.iter().all(|part| self.text.contains(part))
    }

    fn contains_any(&self, parts: &[&str]) -> bool {
        parts.iter().any(|part| self.text.contains(part))
    }
}

/// Lines of all processes, in the order in which they were received.
pub(crate) struct LogLines {
    sender: Sender<Line>,
    receiver: Receiver<Line>,
    received: Vec<Line>,
    /// Lines that [`LogLines::wait_for`] and [`LogLines::lines_with_any`] ignore.
    forgotten: Vec<Line>,
    transcript: Transcript,
}

impl LogLines {
    pub(crate) fn new(transcript: Transcript) -> LogLines {
        let (sender, receiver) = channel();
        LogLines {
            sender,
            receiver,
            received: Vec::new(),
            forgotten: Vec::new(),
            transcript,
        }
    }

    /// Collects the standard output of a process until it exits.
    pub(crate) fn follow_stdout(&self, machine: &str, output: impl Read + Send + 'static) {
        self.collect(machine, output, |_| {});
    }

    /// Collects the standard error of a process and prints it as well, since panics are reported there.
    pub(crate) fn follow_stderr(&self, machine: &str, output: impl Read + Send + 'static) {
        self.collect(machine, output, |text| eprintln!("{text}"));
    }

    fn collect(
        &self,
        machine: &str,
        output: impl Read + Send + 'static,
        show: impl Fn(&str) + Send + 'static,
    ) {
        let (sender, machine) = (self.sender.clone(), machine.to_owned());
        let transcript = self.transcript.clone();
        std::thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                show(&text);
                transcript.add(&machine, &text);
                let machine = machine.clone();
                // Fails once the cluster, and with it the receiver, is dropped.
                let _ = sender.send(Line { machine, text });
            }
        });
    }

    fn receive_pending(&mut self) {
        self.received.extend(self.receiver.try_iter());
    }

    /// Forgets the lines that a process has written so far.
    pub(crate) fn forget(&mut self, machine: &str) {
        self.receive_pending();
        let forgotten = self.received.extract_if(.., |line| line.is_of(machine));
        self.forgotten.extend(forgotten);
    }

    /// Returns the lines that all processes have written so far and that contain any of these parts, including
    /// forgotten lines.
    pub(crate) fn all_lines_with_any(&mut self, parts: &[&str]) -> Vec<String> {
        self.receive_pending();
        self.forgotten
            .iter()
            .chain(&self.received)
            .filter(|line| line.contains_any(parts))
            .map(|line| format!("{}: {}", line.machine, line.text))
            .collect()
    }

    /// Returns the lines that a process has written so far and that contain any of these parts.
    pub(crate) fn lines_with_any(&mut self, machine: &str, parts: &[&str]) -> Vec<String> {
        self.receive_pending();
        self.received
            .iter()
            .filter(|line| line.is_of(machine) && line.contains_any(parts))
            .map(|line| line.text.clone())
            .collect()
    }

    /// Waits until a process has written a line that contains all of these parts; returns false after the time-out.
    pub(crate) fn wait_for(&mut self, machine: &str, parts: &[&str], timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let is_wanted = |line: &Line| line.is_of(machine) && line.contains_all(parts);
        if self.received.iter().any(is_wanted) {
            return true;
        }
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.receiver.recv_timeout(remaining) else {
                return false;
            };
            let is_match = is_wanted(&line);
            self.received.push(line);
            if is_match {
                return true;
            }
        }
    }
}
