//! Limit on what a controller admits that has just started: until the load is known, the capacity of the listed hosts
//! decides. Then the limit ends step by step, because an overload may show later than in the first reports.

/// The fraction of all requests that may be admitted.
pub(crate) struct StartupLimit {
    fraction: f64,
}

impl StartupLimit {
    /// Returns a limit that admits all requests.
    pub(crate) fn none() -> StartupLimit {
        StartupLimit { fraction: 1.0 }
    }

    /// Returns the fraction of all requests that may be admitted.
    pub(crate) fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Returns whether the limit sheds load.
    pub(crate) fn is_shedding(&self) -> bool {
        self.fraction < 1.0
    }

    /// Sets the limit to the present capacity, as a fraction of the capacity of all listed hosts when they are warm.
    pub(crate) fn set_to_capacity(&mut self, capacity_fraction: f64) {
        self.fraction = capacity_fraction;
    }

    /// Raises the limit by a fraction of all requests, and at least to the present capacity.
    pub(crate) fn raise(&mut self, rise: f64, capacity_fraction: f64) {
        self.fraction = (self.fraction + rise).max(capacity_fraction).min(1.0);
    }

    /// Ends the limit.
    pub(crate) fn end(&mut self) {
        self.fraction = 1.0;
    }
}
