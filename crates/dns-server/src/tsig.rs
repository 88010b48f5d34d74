//! Signatures of messages between a server and its secondaries (TSIG, RFC 8945).

use hickory_proto::op::Message;
use hickory_proto::rr::rdata::tsig::{TSIG, TsigAlgorithm, TsigError, make_tsig_record};
use hickory_proto::rr::{Name, TSigResponseContext, TSigner};
use thiserror::Error;

/// How far the two clocks may be apart, in seconds (RFC 8945, section 10, recommends 300).
const FUDGE_S: u16 = 300;
/// A key is at least as long as the signatures it makes (RFC 8945, section 8).
const MIN_SECRET_SIZE: usize = 32;

/// Why a key was rejected.
#[derive(Clone, Debug, PartialEq, Error)]
#[non_exhaustive]
pub enum KeyError {
    /// The name is not a domain name.
    #[error("'{0}' is no name for a key")]
    Name(String),
    /// The secret is too short; its size in bytes.
    #[error("a secret has {MIN_SECRET_SIZE} bytes at least; this one has {0}")]
    Short(usize),
    /// The library rejects the key, for this reason.
    #[error("the key cannot be used: {0}")]
    Unusable(String),
}

/// A key for HMAC-SHA256, known to both sides by its name.
#[derive(Clone)]
pub struct TsigKey(TSigner);

/// What the signature of a message says.
pub(crate) enum Verification {
    /// There is none.
    Unsigned,
    /// It is by the key at this index.
    Signed {
        key: usize,
        /// The signature, which the response's is made over.
        mac: Vec<u8>,
    },
    /// An unknown key, a wrong signature, or a time too far off: with the context of the response.
    Failed(Box<TSigResponseContext>),
}

impl TsigKey {
    /// # Errors
    ///
    /// The name is not a domain name, or the secret is too short.
    pub fn new(name: &str, secret: Vec<u8>) -> Result<TsigKey, KeyError> {
        if secret.len() < MIN_SECRET_SIZE {
            return Err(KeyError::Short(secret.len()));
        }
        let key_name = Name::from_ascii(name).map_err(|_| KeyError::Name(name.into()))?;
        TSigner::new(secret, TsigAlgorithm::HmacSha256, key_name, FUDGE_S)
            .map(TsigKey)
            .map_err(|error| KeyError::Unusable(error.to_string()))
    }

    pub(crate) fn signer(&self) -> &TSigner {
        &self.0
    }

    /// Whether a response to a request with this signature is signed by the key.
    pub(crate) fn verifies_response(&self, packet: &[u8], request_mac: &[u8], now_s: u64) -> bool {
        self.0
            .verify_message_byte(packet, Some(request_mac), true)
            .is_ok_and(|(_, _, valid_s)| valid_s.contains(&now_s))
    }
}

/// Verifies the signature of a query by any of the keys.
pub(crate) fn verify(
    keys: &[TsigKey],
    packet: &[u8],
    message: &Message,
    now_s: u64,
) -> Verification {
    let Some(record) = &message.signature else {
        return Verification::Unsigned;
    };
    let id = message.metadata.id;
    let index = keys
        .iter()
        .position(|key| key.0.signer_name() == &record.name);
    let Some(index) = index else {
        let context = TSigResponseContext::unknown_key(id, now_s, record.name.clone());
        return Verification::Failed(Box::new(context));
    };
    let signer = &keys[index].0;
    let context = match signer.verify_message_byte(packet, None, true) {
        Ok((mac, _, valid_s)) if valid_s.contains(&now_s) => {
            return Verification::Signed { key: index, mac };
        }
        Ok((mac, ..)) => {
            TSigResponseContext::new(id, now_s, signer.clone(), mac, Some(TsigError::BadTime))
        }
        Err(_) => TSigResponseContext::bad_signature(id, now_s, signer.clone()),
    };
    Verification::Failed(Box::new(context))
}

/// Signs the messages of a response, each over the previous one (RFC 8945, section 5.3.1).
pub(crate) struct ResponseSigner {
    signer: TSigner,
    previous_mac: Vec<u8>,
    is_first: bool,
    now_s: u64,
}

impl ResponseSigner {
    /// For the response to a query with this signature.
    pub(crate) fn new(key: &TsigKey, query_mac: Vec<u8>, now_s: u64) -> ResponseSigner {
        ResponseSigner {
            signer: key.0.clone(),
            previous_mac: query_mac,
            is_first: true,
            now_s,
        }
    }

    /// The message as bytes with its signature; none if it cannot be encoded.
    pub(crate) fn sign(&mut self, mut message: Message) -> Option<Vec<u8>> {
        let id = message.metadata.id;
        let bytes = message.to_vec().ok()?;
        let record = if self.is_first {
            let query_mac = std::mem::take(&mut self.previous_mac);
            TSigResponseContext::new(id, self.now_s, self.signer.clone(), query_mac, None)
                .sign(&bytes)
                .ok()?
        } else {
            let mac = self.signer.sign(&self.signed_bytes(&bytes)).ok()?;
            let algorithm = self.signer.algorithm().clone();
            let tsig = TSIG::new(algorithm, self.now_s, FUDGE_S, mac, id, None, Vec::new());
            Box::new(make_tsig_record(self.signer.signer_name().clone(), tsig))
        };
        self.previous_mac = record.data.mac.clone();
        self.is_first = false;
        message.set_signature(record);
        message.to_vec().ok()
    }

    /// What a message after the first one is signed over: of the variables only the times.
    fn signed_bytes(&self, message: &[u8]) -> Vec<u8> {
        let mut signed = Vec::with_capacity(message.len() + self.previous_mac.len() + 10);
        signed.extend((self.previous_mac.len() as u16).to_be_bytes());
        signed.extend(&self.previous_mac);
        signed.extend(message);
        signed.extend(&self.now_s.to_be_bytes()[2..]);
        signed.extend(FUDGE_S.to_be_bytes());
        signed
    }
}
