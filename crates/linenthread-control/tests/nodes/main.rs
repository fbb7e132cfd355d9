//! Control nodes stepped together: contact, freezes, leaving and joining, second losses.

mod busy;
mod cluster;
mod contact;
mod leaving;
