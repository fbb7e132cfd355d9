//! Lines of CSV. Columns and roles have the names that recorded figures have; [`crate::fit_csv`] reads them.

use std::fmt::Write;

use super::measurement::{Measurement, RoleRow};
use crate::scale::Scale;

/// The header of the lines of [`Measurement::csv`].
pub const CSV_HEADER: &str = "fronts,replicas,control,voters,seconds,seed,document_bytes,role,machines,messages_in,\
messages_out,bytes_in,bytes_out,processor_percent,heap_bytes,transient_bytes,disk_bytes,ack_ms,in_force_p50_ms,\
in_force_p99_ms,in_force_last_ms,snapshot_bytes,snapshot_node_ms,snapshot_front_ms";

impl Measurement {
    /// One line for each row, without a header.
    pub fn csv(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{},{},{}",
                scale_fields(&self.scale),
                row_fields(row),
                self.system_fields()
            );
        }
        text
    }

    fn system_fields(&self) -> String {
        format!(
            "{},{},{},{},{:.0},{:.3},{:.3}",
            self.acknowledged.last_ms,
            self.in_force.median_ms,
            self.in_force.p99_ms,
            self.in_force.last_ms,
            self.snapshot.bytes,
            self.snapshot.control_ms,
            self.snapshot.ingress_ms
        )
    }
}

fn scale_fields(scale: &Scale) -> String {
    format!(
        "{},{},{},{},{},{},{}",
        scale.ingress_nodes,
        scale.replicas,
        scale.control,
        scale.voters,
        scale.seconds,
        scale.seed,
        scale.document_bytes
    )
}

fn row_fields(row: &RoleRow) -> String {
    format!(
        "{},{},{:.3},{:.3},{:.1},{:.1},{:.5},{:.0},{:.0},{:.1}",
        row.name(),
        row.machines,
        row.messages_in,
        row.messages_out,
        row.bytes_in,
        row.bytes_out,
        row.processor_percent,
        row.heap_bytes,
        row.transient_bytes,
        row.disk_bytes
    )
}
