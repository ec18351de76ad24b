//! Keys and certificates of an instance, and their validation.

use std::sync::Arc;

use rustls::CertificateError;
use rustls::Error;
use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::pki_types::pem::PemObject;

/// Subject name in the certificates of all instances.
pub const FLEET_NAME: &str = "hibiscus-fleet";

/// One of the key settings of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyPart {
    /// Certificate of the fleet's authority.
    Authority,
    /// Certificate of the instance.
    Certificate,
    /// Private key of the instance.
    Key,
}

impl KeyPart {
    /// Returns the name of the setting.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Authority => "authority",
            Self::Certificate => "certificate",
            Self::Key => "key",
        }
    }
}

/// Why a key or certificate can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("failed to use the link's {}: {cause}", .part.as_str())]
pub struct KeyFault {
    /// The invalid setting.
    pub part: KeyPart,
    /// Description of the error.
    pub cause: String,
}

/// Result of reading or checking keys.
pub(crate) type Result<T> = std::result::Result<T, KeyFault>;

/// Keys and certificates of one instance, in PEM format.
#[derive(Clone, Copy, Debug)]
pub struct LinkKeys<'a> {
    /// Certificate of the fleet's authority.
    pub authority: &'a str,
    /// Certificate of this instance.
    pub certificate: &'a str,
    /// Private key of this instance.
    pub key: &'a str,
}

/// Keys and certificates in the types of the TLS library.
pub(crate) struct ParsedKeys {
    pub(crate) roots: Arc<RootCertStore>,
    pub(crate) chain: Vec<CertificateDer<'static>>,
    pub(crate) key: PrivateKeyDer<'static>,
}

/// Returns the cryptography provider of the link.
pub(crate) fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// Creates the error for `part` with the given `cause`.
pub(crate) fn fault(part: KeyPart, cause: impl Into<String>) -> KeyFault {
    KeyFault {
        part,
        cause: cause.into(),
    }
}

impl LinkKeys<'_> {
    /// Checks that the keys can be parsed, belong together and are valid now.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid key or certificate.
    pub fn check(&self) -> Result<()> {
        let parsed = self.parse()?;
        check_certificate(&parsed)?;
        rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| fault(KeyPart::Key, error.to_string()))?
            .with_no_client_auth()
            .with_single_cert(parsed.chain, parsed.key)
            .map_err(|_error| fault(KeyPart::Key, "it does not belong to the certificate"))?;
        Ok(())
    }

    /// Parses the PEM blocks.
    pub(crate) fn parse(&self) -> Result<ParsedKeys> {
        let authority = certificate(self.authority, KeyPart::Authority)?;
        let own = certificate(self.certificate, KeyPart::Certificate)?;
        let key = PrivateKeyDer::from_pem_slice(self.key.as_bytes())
            .map_err(|_error| fault(KeyPart::Key, "it must be a private key as one PEM block"))?;
        let mut roots = RootCertStore::empty();
        roots.add(authority).map_err(|_error| {
            fault(
                KeyPart::Authority,
                "it is not the certificate of an authority",
            )
        })?;
        Ok(ParsedKeys {
            roots: Arc::new(roots),
            chain: vec![own],
            key,
        })
    }
}

/// Parses one certificate.
fn certificate(text: &str, part: KeyPart) -> Result<CertificateDer<'static>> {
    CertificateDer::from_pem_slice(text.as_bytes())
        .map_err(|_error| fault(part, "it must be a certificate as one PEM block"))
}

/// Checks that the certificate is signed by the fleet's authority, has the
/// fleet's name, and is valid now.
fn check_certificate(parsed: &ParsedKeys) -> Result<()> {
    let failed = |cause: String| fault(KeyPart::Certificate, cause);
    let verifier =
        WebPkiServerVerifier::builder_with_provider(Arc::clone(&parsed.roots), provider())
            .build()
            .map_err(|error| fault(KeyPart::Authority, error.to_string()))?;
    let name = ServerName::try_from(FLEET_NAME).map_err(|error| failed(error.to_string()))?;
    let Some(own) = parsed.chain.first() else {
        return Err(failed("it is missing".to_owned()));
    };
    verifier
        .verify_server_cert(own, &[], &name, &[], UnixTime::now())
        .map(|_verified| ())
        .map_err(|error| failed(describe(&error)))
}

/// Describes why a certificate was rejected.
fn describe(error: &Error) -> String {
    let Error::InvalidCertificate(cause) = error else {
        return error.to_string();
    };
    match cause {
        CertificateError::Expired | CertificateError::ExpiredContext { .. } => {
            "it has expired".to_owned()
        }
        CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
            "it is not valid yet".to_owned()
        }
        CertificateError::UnknownIssuer | CertificateError::BadSignature => {
            "the fleet's authority has not signed it".to_owned()
        }
        CertificateError::NotValidForName | CertificateError::NotValidForNameContext { .. } => {
            format!("it does not name `{FLEET_NAME}`")
        }
        _ => error.to_string(),
    }
}
