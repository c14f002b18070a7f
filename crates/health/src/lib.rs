//! Outlier detection and ejection.
