//! How a node is lost.

/// How a node is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The process ends and the kernel closes its connections.
    Killed,
    /// The machine is gone: its connections hang.
    Dark,
}
