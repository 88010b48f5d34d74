//! Transaction signatures of messages between the server and its secondaries (TSIG, RFC 8945).

use hickory_proto::op::Message;
use hickory_proto::rr::rdata::tsig::{TSIG, TsigAlgorithm, TsigError, make_tsig_record};
use hickory_proto::rr::{Name, TSigResponseContext, TSigner};
use thiserror::Error;

/// The largest allowed difference between the two clocks, in seconds (RFC 8945, section 10, recommends 300).
const FUDGE_S: u16 = 300;
/// The shortest secret, in bytes: that of the signatures that are made with it (RFC 8945, section 8).
const MIN_SECRET_SIZE: usize = 32;

/// Why a key was rejected.
#[derive(Clone, Debug, PartialEq, Error)]
#[non_exhaustive]
pub enum KeyError {
    /// The name is not a domain name.
    #[error("the key name '{0}' is not a domain name")]
    Name(String),
    /// The secret is too short; the value is its size in bytes.
    #[error("the secret has {0} bytes; at least {MIN_SECRET_SIZE} are needed")]
    Short(usize),
    /// The DNS library rejects the key, for this reason.
    #[error("the DNS library rejects the key: {0}")]
    Unusable(String),
}

/// A key for HMAC-SHA256, which both sides know by its name.
#[derive(Clone)]
pub struct TsigKey(TSigner);

/// The result of verifying the signature of a message.
pub(crate) enum Verification {
    /// The message has no signature.
    Unsigned,
    /// The message is signed with the key at index `key`.
    Signed {
        key: usize,
        /// The signature of the query, which the signature of the response covers.
        mac: Vec<u8>,
    },
    /// The key is unknown, the signature is wrong, or its time is too far off. The context signs the error response.
    Failed(Box<TSigResponseContext>),
}

impl TsigKey {
    /// Creates a key.
    ///
    /// # Errors
    ///
    /// The name is not a domain name, the secret is too short, or the DNS library rejects the key.
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

    /// Whether a response to a request with the signature `request_mac` is validly signed with this key.
    pub(crate) fn verifies_response(&self, packet: &[u8], request_mac: &[u8], now_s: u64) -> bool {
        self.0
            .verify_message_byte(packet, Some(request_mac), true)
            .is_ok_and(|(_, _, valid_s)| valid_s.contains(&now_s))
    }
}

/// Verifies the signature of a query with the key that it names.
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

/// Signs the messages of a response; each signature covers the previous one (RFC 8945, section 5.3.1).
pub(crate) struct ResponseSigner {
    signer: TSigner,
    previous_mac: Vec<u8>,
    is_first: bool,
    now_s: u64,
}

impl ResponseSigner {
    /// Creates a signer for the response to a query with the signature `query_mac`.
    pub(crate) fn new(key: &TsigKey, query_mac: Vec<u8>, now_s: u64) -> ResponseSigner {
        ResponseSigner {
            signer: key.0.clone(),
            previous_mac: query_mac,
            is_first: true,
            now_s,
        }
    }

    /// Encodes the message with its signature; `None` if it cannot be encoded or signed.
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

    /// The bytes that the signature of a message after the first one covers: the previous signature, the message, and
    /// of the TSIG variables only the times.
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
