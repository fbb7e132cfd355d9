//! Control nodes stepped together: contact, freezes, leaving and joining, second losses.

mod cluster;
mod contact;
mod leaving;
