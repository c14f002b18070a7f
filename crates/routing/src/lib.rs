//! Endpoint choice and retries.
