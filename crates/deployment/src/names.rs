//! The names of one deployment and their numbers.

use pondarch_controller::{MachineTypeId, ZoneId};

/// Maximum number of names per list. Further names share the last number, so that endpoint lists with ever new names
/// cannot use unbounded memory.
const MAX_NAMES: usize = 4_096;

/// The names in the settings and endpoint lists of one controller, each numbered by its position.
#[derive(Debug, Default)]
pub struct DeploymentNames {
    pub(crate) zones: Vec<String>,
    pub(crate) machine_types: Vec<String>,
    pub(crate) request_classes: Vec<String>,
    pub(crate) report_fields: Vec<String>,
}

impl DeploymentNames {
    /// Returns the number of a zone. A new name gets the next number.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number_of(&mut self.zones, name))
    }

    /// Returns the number of a machine type. A new name gets the next number.
    pub fn machine_type(&mut self, name: &str) -> MachineTypeId {
        MachineTypeId(number_of(&mut self.machine_types, name))
    }

    /// Returns the number of a zone that the settings or an endpoint list have named, or `None` for other names.
    #[must_use]
    pub fn known_zone(&self, name: &str) -> Option<ZoneId> {
        self.zones
            .iter()
            .position(|zone| zone == name)
            .map(|position| ZoneId(position as u16))
    }

    /// Returns the names of the values in a load report, in order.
    #[must_use]
    pub fn report_fields(&self) -> &[String] {
        &self.report_fields
    }

    /// Returns the names of the request classes, indexed by their numbers.
    #[must_use]
    pub fn request_classes(&self) -> &[String] {
        &self.request_classes
    }

    /// Returns the number of a request class, or `None` if the settings do not name it.
    #[must_use]
    pub fn request_class(&self, name: &str) -> Option<u8> {
        self.request_classes
            .iter()
            .position(|class| class == name)
            .map(|position| position as u8)
    }
}

/// Returns the position of a name in `names`. A new name is added if the list is not full.
fn number_of(names: &mut Vec<String>, name: &str) -> u16 {
    let position = names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            if names.len() < MAX_NAMES {
                names.push(name.to_string());
            }
            names.len() - 1
        });
    position as u16
}
