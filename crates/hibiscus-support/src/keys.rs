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
        self.sign(instance_params(FLEET_NAME))
    }

    /// Keys of an instance whose certificate expired long ago.
    ///
    /// # Panics
    ///
    /// Panics when no key can be made.
    pub fn issue_expired(&self) -> InstanceKeys {
        let mut params = instance_params(FLEET_NAME);
        params.not_after = rcgen::date_time_ymd(2020, 1, 1);
        self.sign(params)
    }

    /// Keys whose certificate names `name` instead of the fleet.
    ///
    /// # Panics
    ///
    /// Panics when no key can be made.
    pub fn issue_named(&self, name: &str) -> InstanceKeys {
        self.sign(instance_params(name))
    }

    fn sign(&self, params: CertificateParams) -> InstanceKeys {
        let key = KeyPair::generate().expect("a key is generated");
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

/// Contents of a certificate that names `name`.
fn instance_params(name: &str) -> CertificateParams {
    CertificateParams::new(vec![name.to_owned()]).expect("the name is valid")
}
