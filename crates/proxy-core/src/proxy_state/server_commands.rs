//! Runtime API commands for the servers of a backend.

use super::{Backend, ProxyState, Server, StateError};
use crate::routing_table::MAX_MEMBERSHIPS;
use pondarch_runtime_api::command::WeightArgument;
use pondarch_runtime_api::{AdminState, ServerRef};
use std::net::{IpAddr, SocketAddr};

/// Weight of a server that is added without an explicit weight.
const DEFAULT_WEIGHT: u16 = 1;

impl ProxyState {
    pub(super) fn get_weight(&mut self, server: &ServerRef) -> Result<String, StateError> {
        let weight = self.server_mut(server)?.weight;
        Ok(format!("{weight} (initial {weight})\n"))
    }

    pub(super) fn set_weight(
        &mut self,
        server: &ServerRef,
        weight: WeightArgument,
    ) -> Result<String, StateError> {
        let server = self.server_mut(server)?;
        server.weight = match weight {
            WeightArgument::Absolute(units) => units,
            WeightArgument::Percent(percent) => (f64::from(server.weight) * percent / 100.0) as u16,
        };
        Ok(String::new())
    }

    pub(super) fn set_admin_state(
        &mut self,
        server: &ServerRef,
        state: AdminState,
    ) -> Result<String, StateError> {
        self.server_mut(server)?.state = state;
        Ok(String::new())
    }

    pub(super) fn set_address(
        &mut self,
        server: &ServerRef,
        ip: IpAddr,
        port: Option<u16>,
    ) -> Result<String, StateError> {
        let server = self.server_mut(server)?;
        let old = server.address;
        let new = SocketAddr::new(ip, port.unwrap_or(old.port()));
        server.address = new;
        Ok(format!(
            "IP changed from '{}' to '{}', port changed from '{}' to '{}' by 'stats socket command'\n",
            old.ip(),
            new.ip(),
            old.port(),
            new.port()
        ))
    }

    pub(super) fn add_server(
        &mut self,
        server: ServerRef,
        address: SocketAddr,
        weight: Option<u16>,
    ) -> Result<String, StateError> {
        let backend = self.backend_mut(&server.backend)?;
        if backend.servers.len() >= MAX_MEMBERSHIPS {
            return Err(StateError::BackendFull);
        }
        if backend.servers.contains_key(&server.server) {
            return Err(StateError::ServerExists);
        }
        let weight = weight.unwrap_or(DEFAULT_WEIGHT);
        let added = Server::new(address, weight, AdminState::Maint);
        backend.servers.insert(server.server, added);
        Ok("New server registered.\n".into())
    }

    pub(super) fn delete_server(&mut self, server: &ServerRef) -> Result<String, StateError> {
        let deleted = self.server_mut(server)?;
        if deleted.state != AdminState::Maint {
            return Err(StateError::NotInMaintenance);
        }
        if deleted.in_flight > 0 {
            return Err(StateError::RequestsInFlight);
        }
        self.backend_mut(&server.backend)?
            .servers
            .remove(&server.server);
        Ok("Server deleted.\n".into())
    }

    fn backend_mut(&mut self, backend: &str) -> Result<&mut Backend, StateError> {
        self.backends.get_mut(backend).ok_or(StateError::NoBackend)
    }

    fn server_mut(&mut self, server: &ServerRef) -> Result<&mut Server, StateError> {
        let servers = &mut self.backend_mut(&server.backend)?.servers;
        servers.get_mut(&server.server).ok_or(StateError::NoServer)
    }
}
