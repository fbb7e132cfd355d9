pub mod front;
