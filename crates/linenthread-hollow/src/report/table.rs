//! A table for people.

use std::fmt::Write;

use super::measurement::{Measurement, RoleRow};

impl Measurement {
    /// All that was measured, as text of several lines.
    pub fn table(&self) -> String {
        let mut text = self.scale_line();
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{:<32}{:>9}{:>10}{:>10}{:>11}{:>11}{:>9}{:>9}{:>10}{:>9}",
            "one machine of a role, a second",
            "machines",
            "msgs in",
            "msgs out",
            "KB in",
            "KB out",
            "core %",
            "heap MB",
            "call MB",
            "disk KB"
        );
        for row in &self.rows {
            text += &row_line(row);
        }
        text + &self.changes_line() + &self.snapshot_line()
    }

    fn scale_line(&self) -> String {
        let scale = &self.scale;
        format!(
            "ingress nodes {}, replicas {}, control nodes {} ({} vote), {} s measured, seed {}, document {} bytes\n",
            scale.ingress_nodes,
            scale.replicas,
            scale.control,
            self.voters_at_end,
            scale.seconds,
            scale.seed,
            scale.document_bytes
        )
    }

    fn changes_line(&self) -> String {
        format!(
            "changes: {} acknowledged, {} ms last; in force at {} of {} ingress nodes, 50% {} ms, 99% {} ms, last {} ms\n",
            self.acknowledged.count,
            self.acknowledged.last_ms,
            self.ingress_in_force,
            self.scale.ingress_nodes,
            self.in_force.median_ms,
            self.in_force.p99_ms,
            self.in_force.last_ms
        )
    }

    fn snapshot_line(&self) -> String {
        format!(
            "storm of {} ingress nodes: {:.0} KB a snapshot, {:.2} ms at the control node, {:.2} ms at the ingress \
             node; tables {:?}\n",
            self.snapshot.ingress_nodes,
            self.snapshot.bytes / 1e3,
            self.snapshot.control_ms,
            self.snapshot.ingress_ms,
            self.table_sizes
        )
    }
}

fn row_line(row: &RoleRow) -> String {
    let name = match row.work {
        Some(work) => format!("  {} {}", row.role.name(), work.name()),
        None => row.role.name().to_owned(),
    };
    format!(
        "{name:<32}{:>9}{:>10.1}{:>10.1}{:>11.2}{:>11.2}{:>9.3}{:>9.2}{:>10.2}{:>9.2}\n",
        row.machines,
        row.messages_in,
        row.messages_out,
        row.bytes_in / 1e3,
        row.bytes_out / 1e3,
        row.processor_percent,
        row.heap_bytes / 1e6,
        row.transient_bytes / 1e6,
        row.disk_bytes / 1e3
    )
}
