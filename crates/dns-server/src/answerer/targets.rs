//! Answers with the hosts of a table, as SRV records or as addresses.

use super::Answerer;
use crate::fitting::largest_that_fits;
use crate::reply::Reply;
use crate::response::ResponseDraft;
use crate::rows::{address_record, addressable_hosts};
use crate::view::{TableHost, View};
use hickory_proto::op::ResponseCode;
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{RData, Record, RecordType};
use pondarch_dns_core::{SrvTarget, srv_weights};
use std::collections::BTreeMap;

/// The most addresses in an answer. A resolver without SRV support uses the first of them or any.
const MAX_ADDRESSES: usize = 4;
/// Size in bytes of a record with an IPv6 address and a compressed name.
const ADDRESS_RECORD_SIZE: usize = 28;

impl Answerer {
    /// The answer with SRV records, and with the addresses of their targets if they fit.
    pub(super) fn services(
        &mut self,
        draft: ResponseDraft<'_>,
        hosts: &[TableHost],
        reply: Reply,
    ) -> Reply {
        let by_id: BTreeMap<_, &TableHost> = hosts.iter().map(|host| (&host.host, host)).collect();
        let targets = srv_weights(hosts.iter().map(TableHost::weighted_host));
        let zone = &self.zone;
        let build = |targets: &[SrvTarget], with_addresses: bool| {
            let mut message = draft.message();
            for target in targets {
                let Some(host) = by_id.get(&target.host) else {
                    continue;
                };
                let Some(name) = zone.host_name(&target.host) else {
                    continue;
                };
                let srv = SRV::new(0, target.weight, host.address.port(), name.clone());
                message.add_answer(Record::from_rdata(
                    draft.query.name.clone(),
                    draft.lifetime_s,
                    RData::SRV(srv),
                ));
                if with_addresses {
                    let address = host.address.ip();
                    message.add_additional(address_record(name, draft.lifetime_s, address));
                }
            }
            message
        };
        match largest_that_fits(&targets, draft.max_size, &mut self.rng, build) {
            Some(bytes) => Reply {
                packets: vec![bytes],
                ..reply
            },
            None => draft.truncated(),
        }
    }

    /// The answer for resolvers without SRV support: a few addresses, drawn by weight without replacement, so that the
    /// first is in proportion to the weights. Hosts that are warming up are left out if there are others, because a
    /// client may send each address an even share of its requests.
    pub(super) fn addresses(
        &mut self,
        draft: ResponseDraft<'_>,
        hosts: &[TableHost],
        reply: Reply,
        view: &View,
    ) -> Reply {
        let query_type = draft.query.query_type;
        let wants_v4 = query_type != RecordType::AAAA;
        let mut hosts: Vec<&TableHost> = addressable_hosts(hosts)
            .into_iter()
            .filter(|host| host.address.is_ipv4() == wants_v4 || query_type == RecordType::ANY)
            .collect();
        if hosts.is_empty() {
            return self.negative(draft, ResponseCode::NoError, view);
        }
        let mut message = draft.message();
        let empty_size = message.to_vec().map_or(usize::MAX, |bytes| bytes.len());
        let max_addresses =
            (draft.max_size.saturating_sub(empty_size) / ADDRESS_RECORD_SIZE).min(MAX_ADDRESSES);
        while !hosts.is_empty() && message.answers.len() < max_addresses.max(1) {
            let host = self.draw_by_weight(&mut hosts);
            message.add_answer(address_record(
                draft.query.name.clone(),
                draft.lifetime_s,
                host.address.ip(),
            ));
        }
        draft.finish(&message, reply)
    }

    /// Removes and returns one host, drawn by weight. `hosts` must not be empty.
    fn draw_by_weight<'a>(&mut self, hosts: &mut Vec<&'a TableHost>) -> &'a TableHost {
        let sum: f64 = hosts.iter().map(|host| host.weight.max(0.0)).sum();
        let mut remaining = self.rng.f64() * sum;
        let drawn = hosts.iter().position(|host| {
            remaining -= host.weight.max(0.0);
            remaining < 0.0
        });
        hosts.swap_remove(drawn.unwrap_or(0))
    }
}
