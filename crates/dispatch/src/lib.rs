//! The choice of a backend for a request: types, groups, rotation and best fit. No I/O.
