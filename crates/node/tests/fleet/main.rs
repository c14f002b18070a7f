//! Tests with several nodes in one process, built as one program so that they share their test
//! doubles.

mod access;
mod common;
mod health;
mod message_sequences;
mod store_outage;
