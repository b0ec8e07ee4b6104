"""Private certificate authority and process certificates for TLS between processes."""

from datetime import UTC, datetime, timedelta
from ipaddress import IPv4Address, IPv6Address, ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from apricotpath.errors import InputError
from apricotpath.signing import write_private

AUTHORITY_DAYS = 3650
PROCESS_DAYS = 365
# Certificates are valid from this long before they are created, to allow for slow clocks.
BACKDATE = timedelta(minutes=5)


def create_authority(name: str, certificate: Path, private_key: Path, now: datetime) -> None:
    """Create a self-signed authority certificate and its key.

    Raises InputError if a file exists.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = _name(name)
    signed_certificate = (
        _builder(subject, subject, key, now, AUTHORITY_DAYS)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(_key_usage(signs_certificates=True), critical=True)
        .sign(key, hashes.SHA256())
    )
    _save(certificate, private_key, signed_certificate, key)


def issue_certificate(
    process: str,
    addresses: tuple[str, ...],
    authority: tuple[Path, Path],
    files: tuple[Path, Path],
    now: datetime,
) -> None:
    """Create a process certificate and its key.

    `authority` and `files` are paths (certificate, private key). `addresses` are
    IP addresses. Raises InputError if an address is invalid, the authority
    cannot be read or a file exists.
    """
    issuer, issuer_key = _load_authority(*authority)
    key = ec.generate_private_key(ec.SECP256R1())
    names = x509.SubjectAlternativeName([x509.IPAddress(_address(text)) for text in addresses])
    uses = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
    signed_certificate = (
        _builder(_name(process), issuer.subject, key, now, PROCESS_DAYS)
        .add_extension(names, critical=False)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(_key_usage(signs_certificates=False), critical=True)
        .add_extension(x509.ExtendedKeyUsage(uses), critical=False)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(issuer_key.public_key()),
            critical=False,
        )
        .sign(issuer_key, hashes.SHA256())
    )
    _save(*files, signed_certificate, key)


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    now: datetime,
    days: int,
) -> x509.CertificateBuilder:
    start = now.astimezone(UTC) - BACKDATE
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + timedelta(days=days))
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
    )


def _key_usage(signs_certificates: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not signs_certificates,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=signs_certificates,
        crl_sign=signs_certificates,
        encipher_only=False,
        decipher_only=False,
    )


def _name(text: str) -> x509.Name:
    try:
        return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])
    except ValueError as exc:
        raise InputError(f"{text!r} cannot be the name in a certificate: {exc}") from exc


def _address(text: str) -> IPv4Address | IPv6Address:
    try:
        return ip_address(text)
    except ValueError as exc:
        raise InputError(f"{text!r} is not an IP number") from exc


def _load_authority(
    certificate: Path, private_key: Path
) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
    try:
        issuer = x509.load_pem_x509_certificate(certificate.read_bytes())
        key = serialization.load_pem_private_key(private_key.read_bytes(), password=None)
    except OSError as exc:
        raise InputError(f"{exc.filename}: cannot be read: {exc.strerror}") from exc
    except (ValueError, TypeError) as exc:
        raise InputError(f"{certificate}: is not an authority in PEM form") from exc
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise InputError(f"{private_key}: is not the key of an authority made by 'tls init'")
    return issuer, key


def _save(
    certificate: Path,
    private_key: Path,
    signed_certificate: x509.Certificate,
    key: ec.EllipticCurvePrivateKey,
) -> None:
    if certificate.exists():
        raise InputError(f"{certificate}: exists already")
    pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    write_private(private_key, pem)
    try:
        certificate.write_bytes(signed_certificate.public_bytes(serialization.Encoding.PEM))
    except OSError as exc:
        raise InputError(f"{certificate}: cannot be written: {exc.strerror}") from exc
