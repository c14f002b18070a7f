//! Client of the upstreams.
