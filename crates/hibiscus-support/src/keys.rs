//! Certificates of a fleet, made for tests and examples.

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;

/// Name that every instance's certificate carries.
pub const FLEET_NAME: &str = "hibiscus-fleet";

/// The certificate authority of one fleet.
pub struct FleetAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

/// The keys of one instance, in PEM.
#[derive(Clone, Debug)]
pub struct InstanceKeys {
    /// The authority's certificate.
    pub authority: String,
    /// The instance's certificate.
    pub certificate: String,
    /// The instance's private key.
    pub key: String,
}

impl FleetAuthority {
    /// A new authority, and with it a new fleet.
    ///
    /// # Panics
    ///
    /// Panics when no key can be made.
    pub fn generate() -> Self {
        let key = KeyPair::generate().expect("a key is generated");
        let mut params = CertificateParams::new(Vec::new()).expect("the names are valid");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, key).expect("the authority is signed");
        Self { issuer }
    }

    /// Keys for one more instance of the fleet.
    ///
    /// # Panics
    ///
    /// Panics when no key can be made.
    pub fn issue(&self) -> InstanceKeys {
        let key = KeyPair::generate().expect("a key is generated");
        let params =
            CertificateParams::new(vec![FLEET_NAME.to_owned()]).expect("the name is valid");
        let certificate = params
            .signed_by(&key, &self.issuer)
            .expect("the certificate is signed");
        InstanceKeys {
            authority: self.issuer.as_ref().pem(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        }
    }
}
