//! The names of one deployment and the numbers that stand for them.

use pondarch_controller::{MachineTypeId, ZoneId};

/// Names past this number share the last number: endpoint lists that invent names must not use memory without bound.
const MAX_NAMES: usize = 4_096;

/// The names that one controller's settings and endpoint lists use; each is numbered by its position.
#[derive(Debug, Default)]
pub struct DeploymentNames {
    pub(crate) zones: Vec<String>,
    pub(crate) machine_types: Vec<String>,
    pub(crate) request_classes: Vec<String>,
    pub(crate) report_fields: Vec<String>,
}

impl DeploymentNames {
    /// The number of a zone. A name that is new gets the next number.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number_of(&mut self.zones, name))
    }

    /// The number of a machine type. A name that is new gets the next number.
    pub fn machine_type(&mut self, name: &str) -> MachineTypeId {
        MachineTypeId(number_of(&mut self.machine_types, name))
    }

    /// The number of a zone that the settings or an endpoint list named; none for any other.
    #[must_use]
    pub fn known_zone(&self, name: &str) -> Option<ZoneId> {
        self.zones
            .iter()
            .position(|zone| zone == name)
            .map(|position| ZoneId(position as u16))
    }

    /// The names of the values of a load report, in their order.
    #[must_use]
    pub fn report_fields(&self) -> &[String] {
        &self.report_fields
    }

    /// The names of the request classes, by their numbers.
    #[must_use]
    pub fn request_classes(&self) -> &[String] {
        &self.request_classes
    }

    /// The number of a request class; none for a name that the settings lack.
    #[must_use]
    pub fn request_class(&self, name: &str) -> Option<u8> {
        self.request_classes
            .iter()
            .position(|class| class == name)
            .map(|position| position as u8)
    }
}

/// The position of a name in `names`, where it is added if it is new and there is capacity.
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
