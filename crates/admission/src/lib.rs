//! Attempt ledger, slots and fair queue.
