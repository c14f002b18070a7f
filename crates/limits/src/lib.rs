//! Rate limits with granted allowances.
