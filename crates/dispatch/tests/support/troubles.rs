//! What befalls the backends of a day.

/// Engines that are silent for a while.
#[derive(Clone, Copy, Debug)]
pub struct Dark {
    pub from_s: f64,
    pub for_s: f64,
    pub share: f64,
}

/// What befalls the backends of a day.
#[derive(Clone, Debug, Default)]
pub struct Troubles {
    pub dark: Option<Dark>,
    /// How many times slower an engine works, by its number.
    pub slow: Vec<(usize, f64)>,
    /// Engines that reset this share of what they get.
    pub resets: Vec<(usize, f64)>,
}
